package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"thymebend/internal/membership"
)

// configFile returns the configuration file of a gateway in a cluster of the given number of gateways, with the given
// number of peer addresses.
func configFile(t *testing.T, gateways, peers int) []byte {
	t.Helper()
	addrs := make([]string, peers)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("10.2.%d.%d:7946", i/250, i%250+1)
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

// The configurations of clusters with 1,024 and with membership.MaxMembers gateways are accepted. A list with one peer
// too few is rejected.
func TestLargeClustersAreRead(t *testing.T) {
	for _, gateways := range []int{1024, membership.MaxMembers} {
		raw := configFile(t, gateways, gateways)
		c, err := Config{Name: "g", Path: "g"}.read(raw, "", "", "")
		if err != nil || c.Settings.Config.Gateways != gateways {
			t.Fatalf("%d gateways: %v", gateways, err)
		}
		gossip, err := c.gossipFromPeerList(raw, c.Settings)
		if err != nil || len(gossip.SeedPeers) != gateways-1 {
			t.Fatalf("%d gateways: %v", gateways, err)
		}
		if _, err := membership.New(membership.Config{Cluster: gossip.Cluster, Name: gossip.Name, Start: 1,
			SeedPeers: gossip.SeedPeers}, 0); err != nil {
			t.Errorf("%d gateways: membership rejects them: %v", gateways, err)
		}
	}
	raw := configFile(t, 1024, 1023)
	c, err := Config{Name: "g", Path: "g"}.read(raw, "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.gossipFromPeerList(raw, c.Settings); err == nil ||
		!strings.Contains(err.Error(), "names 1023 gateways, the settings 1024") {
		t.Errorf("1,023 peers for 1,024 gateways: err = %v", err)
	}
}
