package config

import (
	"fmt"

	"thymebend/internal/fielderror"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/membership"
	"thymebend/internal/settings"
)

// gossipFromPeers is what LB_FLEET says where the cluster stands in the configuration file itself, as its peers.
const gossipFromPeers = "peers"

// gossipOfPeers reads the cluster from the configuration file: an address for each gateway, ordered by their
// ranks. It is nil where the settings refuse datagrams or the file names no peers.
func (c Config) gossipOfPeers(raw []byte, s settings.Settings) (*gossipconfig.Config, error) {
	var f struct {
		Listen string   `json:"peer_listen"`
		Peers  []string `json:"peers"`
	}
	if err := c.decode(raw, &f); err != nil {
		return nil, err
	}
	if !s.Gateway.Peers || len(f.Peers) == 0 {
		return nil, nil
	}
	if len(f.Peers) != s.Config.Gateways {
		return nil, fielderror.Inline("peers", fielderror.Worded(ErrPeerCount,
			"names %d gateways, the settings %d", len(f.Peers), s.Config.Gateways))
	}
	listen, err := address("peer_listen", f.Listen)
	if err != nil {
		return nil, err
	}
	gossip := &gossipconfig.Config{
		Cluster:    "peers",
		Name:       peerName(s.Config.Rank),
		Listen:     listen,
		Assignment: gossipconfig.DefaultAssignment(),
	}
	for rank, text := range f.Peers {
		at, err := address(fmt.Sprintf("peers[%d]", rank), text)
		if err != nil {
			return nil, err
		}
		if rank != s.Config.Rank {
			gossip.SeedPeers = append(gossip.SeedPeers, membership.SeedPeer{Name: peerName(rank), Addr: at})
		}
	}
	return gossip, nil
}

// peerName is how the gateway of a rank is named in the cluster.
func peerName(rank int) string { return fmt.Sprintf("gw-%d", rank) }
