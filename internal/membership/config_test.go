package membership

import (
	"errors"
	"strings"
	"testing"

	"thymebend/internal/gossipcodec"
)

// Verifies that an error of New names the invalid field.
func TestNewErrorsNameTheInvalidField(t *testing.T) {
	for _, test := range []struct {
		name  string
		edit  func(*Config)
		field string
		text  string
	}{
		{"no cluster", func(c *Config) { c.Cluster = "" }, "Cluster", "invalid cluster name"},
		{"space in a name", func(c *Config) { c.Name = "a b" }, "Name", "invalid gateway name"},
		{"no start", func(c *Config) { c.Start = 0 }, "Start", "process start 0"},
		{"impossible start", func(c *Config) { c.Start = gossipcodec.MaxStart + 1 }, "Start", "process start"},
		{"long payload", func(c *Config) { c.Payload = make([]byte, 65) }, "Payload", "payload of 65 bytes"},
		{"seed peer twice", func(c *Config) { c.SeedPeers = append(c.SeedPeers, SeedPeer{"b", addr(9)}) },
			"SeedPeers", "seed peer b is listed twice"},
		{"address twice", func(c *Config) { c.SeedPeers = append(c.SeedPeers, SeedPeer{"d", addr(2)}) },
			"SeedPeers", "seed peers d and b have the same address"},
		{"seed peer without address", func(c *Config) { c.SeedPeers = append(c.SeedPeers, SeedPeer{Name: "d"}) },
			"SeedPeers", "seed peer d has no address"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := Config{Cluster: "f", Name: "a", Start: 1, SeedPeers: []SeedPeer{{"b", addr(2)}}}
			test.edit(&cfg)
			_, err := New(cfg, epoch)
			var faulty *ConfigError
			if !errors.As(err, &faulty) || faulty.Field != test.field || !strings.Contains(err.Error(), test.text) {
				t.Errorf("error %v, want field %s and a text with %q", err, test.field, test.text)
			}
		})
	}
}

// Verifies that SetSeedPeers keeps the current seed peers when it rejects a list.
func TestInvalidSeedPeersChangeNothing(t *testing.T) {
	m := newMembership(t, nil)
	err := m.SetSeedPeers(epoch, []SeedPeer{{"b", addr(2)}, {"b", addr(4)}})
	if err == nil || m.seeds["c"] != addr(3) {
		t.Errorf("error %v, seed peers %v; want an error and the seed peers unchanged", err, m.seeds)
	}
}

// Verifies that a payload too long for a claim is rejected and changes nothing.
func TestSetPayloadRejectsOversizedPayloads(t *testing.T) {
	m := newMembership(t, nil)
	var faulty *ConfigError
	err := m.SetPayload(epoch, make([]byte, gossipcodec.MaxPayload+1))
	if !errors.As(err, &faulty) || faulty.Field != "Payload" {
		t.Errorf("error %v, want a ConfigError of field Payload", err)
	}
	if self, _ := m.Find("a"); self.Incarnation != 1 || len(self.Payload) != 0 {
		t.Errorf("a rejected payload changed the own member: %+v", self)
	}
}
