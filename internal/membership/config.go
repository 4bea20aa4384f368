package membership

import (
	"fmt"
	"net/netip"

	"thymebend/internal/gossipcodec"
)

// MaxMembers bounds the members known and the seed peers.
const MaxMembers = 2000

// SeedPeer is a seed peer: another gateway that the configuration names, and how it is reached.
type SeedPeer struct {
	Name string
	Addr netip.AddrPort
}

// Config is what a Membership starts from.
type Config struct {
	// Cluster names the cluster; datagrams of another one are refused. It is a name as [gossipcodec.Name] has it.
	Cluster string
	// Name is this gateway's own, unique in the cluster.
	Name string
	// Start is when this process started, in ms of Unix time, above 0.
	Start uint64
	// Incarnation is 0, or what the process before handed over together with its Start; see [Membership.Identity].
	Incarnation uint64
	// SeedPeers are the gateways to join by. An entry with the own name is passed over.
	SeedPeers []SeedPeer
	// Flat says that any address may be used that other members state, and that datagrams may come from any address.
	// Otherwise only the addresses of the seed peers count.
	Flat bool
	// Payload is what this gateway spreads of itself, at most [gossipcodec.MaxPayload] bytes.
	Payload []byte
	// Seed seeds the random draws.
	Seed uint64
}

// ConfigError says which field of a [Config] cannot be used, and why.
type ConfigError struct {
	Field  string // of Config
	Reason string
}

// Error implements error.
func (e *ConfigError) Error() string { return "members: " + e.Reason }

func configErrorf(field, format string, args ...any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

func (c *Config) validate() error {
	switch {
	case !gossipcodec.ValidName(c.Cluster):
		return configErrorf("Cluster", "fleet %q is no name of 1 to %d printable characters",
			c.Cluster, gossipcodec.MaxName)
	case !gossipcodec.ValidName(c.Name):
		return configErrorf("Name", "name %q is no name of 1 to %d printable characters", c.Name, gossipcodec.MaxName)
	case c.Start == 0 || c.Start > gossipcodec.MaxStart:
		return configErrorf("Start", "start %d must be above 0, in ms of Unix time", c.Start)
	}
	return validatePayload(c.Payload)
}

func validatePayload(payload []byte) error {
	if len(payload) > gossipcodec.MaxPayload {
		return configErrorf("Payload", "a payload of %d bytes, %d at most", len(payload), gossipcodec.MaxPayload)
	}
	return nil
}
