package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"thymebend/internal/membership"
)

// configFile is a configuration of a fleet of so many, with so many addresses.
func configFile(t *testing.T, gateways, peers int) []byte {
	t.Helper()
	addrs := make([]string, peers)
	for n := range addrs {
		addrs[n] = fmt.Sprintf("10.2.%d.%d:7946", n/250, n%250+1)
	}
	raw, err := json.Marshal(map[string]any{"name": "g", "listen": "10.1.0.1:8443", "discovery": "10.9.0.1:80",
		"seed":   "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "peer_listen": "10.2.0.1:7946",
		"peers": addrs,
		"settings": map[string]any{"balancers": gateways, "rank": gateways - 1, "zones": []string{"a"},
			"bounds": map[string]any{"peers": true, "most_tries": 2},
			"classes": []any{map[string]any{"name": "view", "aim_ms": 800, "give_up_ms": 2000,
				"repeat": "repeatable"}}}})
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// The settings and the peers of 1,024 gateways are taken, and of as many as a view holds.
func TestLargeFleetsAreRead(t *testing.T) {
	for _, gateways := range []int{1024, membership.MaxMembers} {
		raw := configFile(t, gateways, gateways)
		c, err := Config{Name: "g", Path: "g"}.read(raw, "", "", "")
		if err != nil || c.Settings.Config.Gateways != gateways {
			t.Fatalf("%d gateways: %v", gateways, err)
		}
		f, err := c.gossipOfPeers(raw, c.Settings)
		if err != nil || len(f.SeedPeers) != gateways-1 {
			t.Fatalf("%d gateways: %v", gateways, err)
		}
		if _, err := membership.New(membership.Config{Cluster: f.Cluster, Name: f.Name, Start: 1,
			SeedPeers: f.SeedPeers}, 0); err != nil {
			t.Errorf("%d gateways: no view: %v", gateways, err)
		}
	}
	raw := configFile(t, 1024, 1023)
	c, err := Config{Name: "g", Path: "g"}.read(raw, "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.gossipOfPeers(raw, c.Settings); err == nil ||
		!strings.Contains(err.Error(), "names 1023 gateways, the settings 1024") {
		t.Errorf("a peer too few: %v", err)
	}
}
