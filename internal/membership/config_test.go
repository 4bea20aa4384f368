package membership

import (
	"errors"
	"strings"
	"testing"

	"thymebend/internal/gossipcodec"
)

// Guards against an error that does not say which setting is wrong.
func TestNewErrorsNameTheInvalidField(t *testing.T) {
	for _, test := range []struct {
		name  string
		edit  func(*Config)
		field string
		text  string
	}{
		{"no cluster", func(c *Config) { c.Cluster = "" }, "Cluster", "fleet"},
		{"space in a name", func(c *Config) { c.Name = "a b" }, "Name", "name"},
		{"no start", func(c *Config) { c.Start = 0 }, "Start", "start"},
		{"impossible start", func(c *Config) { c.Start = gossipcodec.MaxStart + 1 }, "Start", "start"},
		{"long payload", func(c *Config) { c.Payload = make([]byte, 65) }, "Payload", "payload"},
		{"seed peer twice", func(c *Config) { c.SeedPeers = append(c.SeedPeers, SeedPeer{"b", addr(9)}) },
			"SeedPeers", "b stands twice"},
		{"address twice", func(c *Config) { c.SeedPeers = append(c.SeedPeers, SeedPeer{"d", addr(2)}) },
			"SeedPeers", "one address"},
		{"seed peer without address", func(c *Config) { c.SeedPeers = append(c.SeedPeers, SeedPeer{Name: "d"}) },
			"SeedPeers", "d has no address"},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := Config{Cluster: "f", Name: "a", Start: 1, SeedPeers: []SeedPeer{{"b", addr(2)}}}
			test.edit(&cfg)
			_, err := New(cfg, epoch)
			var faulty *ConfigError
			if !errors.As(err, &faulty) || faulty.Field != test.field || !strings.Contains(err.Error(), test.text) {
				t.Errorf("want field %s and %q: %v", test.field, test.text, err)
			}
		})
	}
}

// Guards against faulty seed peers that change those in force.
func TestInvalidSeedPeersChangeNothing(t *testing.T) {
	m := newMembership(t, nil)
	err := m.SetSeedPeers(epoch, []SeedPeer{{"b", addr(2)}, {"b", addr(4)}})
	if err == nil || m.seeds["c"] != addr(3) {
		t.Errorf("%v, seed peers %v", err, m.seeds)
	}
}

// Guards against a payload that no datagram can carry.
func TestSetPayloadRejectsOversizedPayloads(t *testing.T) {
	m := newMembership(t, nil)
	var faulty *ConfigError
	err := m.SetPayload(epoch, make([]byte, gossipcodec.MaxPayload+1))
	if !errors.As(err, &faulty) || faulty.Field != "Payload" {
		t.Errorf("%v", err)
	}
	if self, _ := m.Find("a"); self.Incarnation != 1 || len(self.Payload) != 0 {
		t.Errorf("it changed something: %+v", self)
	}
}
