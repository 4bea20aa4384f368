package membership

import (
	"fmt"
	"net/netip"

	"thymebend/internal/gossipcodec"
)

// MaxMembers is the maximum number of other members in the table, and of entries in the list of seed peers.
const MaxMembers = 2000

// SeedPeer is a gateway listed in the configuration, with the address at which it is reached.
type SeedPeer struct {
	Name string
	Addr netip.AddrPort
}

// Config holds the parameters of [New].
type Config struct {
	// Cluster is the name of the cluster. Datagrams of other clusters are rejected. It must satisfy
	// [gossipcodec.ValidName].
	Cluster string
	// Name is the name of this gateway, unique in the cluster. It must satisfy [gossipcodec.ValidName] too.
	Name string
	// Start is when this process started, in ms of Unix time, from 1 to [gossipcodec.MaxStart].
	Start uint64
	// Incarnation is 0, or the value that the predecessor process handed over together with its Start; see
	// [Membership.Identity].
	Incarnation uint64
	// SeedPeers are the gateways to contact when joining. An entry with this gateway's name is ignored.
	SeedPeers []SeedPeer
	// Flat indicates a flat network: this gateway uses addresses that other members report, and accepts datagrams
	// from any address. Otherwise it uses and accepts only the addresses of the seed peers.
	Flat bool
	// Payload is the data that this gateway spreads about itself, at most [gossipcodec.MaxPayload] bytes.
	Payload []byte
	// Seed seeds the random number generator, together with Start.
	Seed uint64
}

// ConfigError reports which field of a [Config] is invalid, and the reason.
type ConfigError struct {
	Field  string // name of the field in Config
	Reason string
}

// Error implements error.
func (e *ConfigError) Error() string { return "membership: " + e.Reason }

func configErrorf(field, format string, args ...any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

func (c *Config) validate() error {
	switch {
	case !gossipcodec.ValidName(c.Cluster):
		return configErrorf("Cluster",
			"invalid cluster name %q: need 1 to %d printable ASCII characters without spaces",
			c.Cluster, gossipcodec.MaxName)
	case !gossipcodec.ValidName(c.Name):
		return configErrorf("Name", "invalid gateway name %q: need 1 to %d printable ASCII characters without spaces",
			c.Name, gossipcodec.MaxName)
	case c.Start == 0 || c.Start > gossipcodec.MaxStart:
		return configErrorf("Start", "invalid process start %d: need 1 to %d ms of Unix time", c.Start,
			uint64(gossipcodec.MaxStart))
	}
	return validatePayload(c.Payload)
}

func validatePayload(payload []byte) error {
	if len(payload) > gossipcodec.MaxPayload {
		return configErrorf("Payload", "payload of %d bytes exceeds the maximum of %d bytes", len(payload),
			gossipcodec.MaxPayload)
	}
	return nil
}
