package config

import (
	"fmt"

	"thymebend/internal/fielderror"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/membership"
	"thymebend/internal/settings"
)

// gossipInConfigFile is the value of LB_FLEET if the configuration file itself defines the cluster, in its field peers.
const gossipInConfigFile = "peers"

// gossipFromPeerList reads the gossip configuration from the configuration file, which lists the address of every
// gateway in the order of their ranks. It returns nil if the settings do not permit datagrams between gateways or the
// file lists no peers.
func (c Config) gossipFromPeerList(raw []byte, s settings.Settings) (*gossipconfig.Config, error) {
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
		return nil, fielderror.Inline("peers", fielderror.CauseWithText(ErrPeerCount,
			"names %d gateways, the settings %d", len(f.Peers), s.Config.Gateways))
	}
	listen, err := parseAddrPort("peer_listen", f.Listen)
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
		addr, err := parseAddrPort(fmt.Sprintf("peers[%d]", rank), text)
		if err != nil {
			return nil, err
		}
		if rank != s.Config.Rank {
			gossip.SeedPeers = append(gossip.SeedPeers, membership.SeedPeer{Name: peerName(rank), Addr: addr})
		}
	}
	return gossip, nil
}

// peerName returns the name in the cluster of the gateway with this rank.
func peerName(rank int) string { return fmt.Sprintf("gw-%d", rank) }
