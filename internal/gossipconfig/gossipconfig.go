// Package gossipconfig reads the gossip file, whose path is in LB_FLEET. The file defines the cluster that a gateway
// belongs to, the address on which it listens for gossip, and the addresses of the other gateways.
//
// Errors in the text of the file are returned as a fielderror.List, which has one entry with file, line and column
// for each fault.
package gossipconfig

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"thymebend/internal/fielderror"
	"thymebend/internal/gossipcodec"
	"thymebend/internal/membership"
	"thymebend/internal/tomlfile"
)

// Causes of a fielderror.Error that callers can match with errors.Is, in addition to those of tomlfile.
var (
	// ErrName is the cause for an invalid name of the cluster, of this gateway or of a seed peer.
	ErrName = errors.New("invalid name of a cluster or gateway")
	// ErrAddress is the cause for a text that is not an IPv4 address with a port above 0.
	ErrAddress = errors.New("invalid IPv4 address or port")
	// ErrDuplicate is the cause for a seed peer whose name or address occurs earlier in the list.
	ErrDuplicate = errors.New("duplicate name or address")
	// ErrTooMany is the cause for a list of more than [membership.MaxMembers] seed peers.
	ErrTooMany = errors.New("too many peers")
	// ErrRange is the cause for a value of the table [shares] outside its limits.
	ErrRange = errors.New("value out of range")
)

// Config is the content of the gossip file, with the gateway's name filled in.
type Config struct {
	Cluster string         // name of the cluster
	Name    string         // name of this gateway in the cluster
	Listen  netip.AddrPort // address on which this gateway receives gossip datagrams
	// Flat indicates a flat network: each gateway has the same address for all others, and gateways that are not seed
	// peers may join.
	Flat       bool
	SeedPeers  []membership.SeedPeer
	Assignment *Assignment // nil if the file has no table [shares]: the gateways then use no subsets
}

// configFile is the structure of the gossip file, with the key names of the file.
type configFile struct {
	Cluster    string           `toml:"fleet"`
	Name       string           `toml:"name"`
	Listen     string           `toml:"listen"`
	Flat       bool             `toml:"flat"`
	Peers      []peerTable      `toml:"peer"`
	Assignment *assignmentTable `toml:"shares"`
}

type peerTable struct {
	Name string `toml:"name"`
	Addr string `toml:"addr"`
}

// Load reads and parses the file at path. defaultName is the gateway's name if the file states none.
func Load(path, defaultName string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_FLEET: %w", err)
	}
	return Parse(path, raw, defaultName)
}

// Parse parses the text of a gossip file. path identifies the file in errors. name is the gateway's name if the file
// states none.
func Parse(path string, raw []byte, name string) (*Config, error) {
	var f configFile
	r := reader{tomlfile.Read(path, raw, &f)}
	if err := r.file.Err(); err != nil {
		return nil, err
	}
	if f.Name != "" {
		name = f.Name
	}
	r.checkName("fleet", f.Cluster)
	r.checkName("name", name)
	c := &Config{Cluster: f.Cluster, Name: name, Flat: f.Flat, Listen: r.address("listen", f.Listen)}
	c.SeedPeers = r.peers(f.Peers)
	if f.Assignment != nil {
		c.Assignment = r.assignment(f.Assignment)
	}
	if err := r.file.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// reader validates a decoded file and collects its faults.
type reader struct{ file *tomlfile.File }

// addFault records a fault of a field. errors.Is matches the fault with kind.
func (r reader) addFault(kind error, field, format string, args ...any) {
	r.file.AddFault(field, "%w", fielderror.CauseWithText(kind, format, args...))
}

func (r reader) checkName(field, name string) bool {
	ok := gossipcodec.ValidName(name)
	if !ok {
		r.addFault(ErrName, field, "invalid name %q: need 1 to %d printable ASCII characters without spaces", name,
			gossipcodec.MaxName)
	}
	return ok
}

func (r reader) address(field, text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 || !addr.Addr().Is4() {
		r.addFault(ErrAddress, field, "invalid address %q: need an IPv4 address and a port", text)
	}
	return addr
}

// peers reads the seed peers. Each name and each address may occur only once.
func (r reader) peers(list []peerTable) (peers []membership.SeedPeer) {
	if len(list) > membership.MaxMembers {
		r.addFault(ErrTooMany, "peer", "%d peers exceed the maximum of %d", len(list), membership.MaxMembers)
	}
	names, nameByAddr := make(map[string]bool), make(map[netip.AddrPort]string)
	for i, p := range list {
		nameField, addrField := fmt.Sprintf("peer.%d.name", i), fmt.Sprintf("peer.%d.addr", i)
		addr := r.address(addrField, p.Addr)
		switch other := nameByAddr[addr]; {
		case !r.checkName(nameField, p.Name):
		case names[p.Name]:
			r.addFault(ErrDuplicate, nameField, "%q is there already", p.Name)
		case addr.IsValid() && other != "":
			r.addFault(ErrDuplicate, addrField, "%s is already the address of %s", addr, other)
		}
		names[p.Name], nameByAddr[addr] = true, p.Name
		peers = append(peers, membership.SeedPeer{Name: p.Name, Addr: addr})
	}
	return peers
}
