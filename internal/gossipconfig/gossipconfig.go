// Package gossipconfig reads the file that LB_FLEET names: which cluster a gateway belongs to, where it speaks
// with the others and how it reaches them.
//
// Errors of a file's text are a fielderror.List with everything that is wrong, each with file, line and column.
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

// Causes of a fielderror.Error, beside those of tomlfile.
var (
	ErrName      = errors.New("no name of a cluster or gateway")
	ErrAddress   = errors.New("no IPv4 address and port")
	ErrDuplicate = errors.New("there already")
	ErrTooMany   = errors.New("too many peers")
	ErrRange     = errors.New("out of its range")
)

// Config is a gateway's place in its cluster.
type Config struct {
	Cluster string
	Name    string // of this gateway in the cluster
	Listen  netip.AddrPort
	// Flat says that every gateway is reached at one address from everywhere, and that those that are no seed
	// peers may join.
	Flat       bool
	SeedPeers  []membership.SeedPeer
	Assignment *Assignment // nil where the file does not ask for subsets
}

// configFile is the file's text by the protocol's names.
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

// Load reads a file. name is the gateway's where the file names none.
func Load(path, defaultName string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_FLEET: %w", err)
	}
	return Parse(path, raw, defaultName)
}

// Parse is Load with the text at hand; path names it in errors.
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

// reader checks a file that was decoded, and collects its faults.
type reader struct{ file *tomlfile.File }

// addFault reports a fault that errors.Is matches with kind.
func (r reader) addFault(kind error, field, format string, args ...any) {
	r.file.Fault(field, "%w", fielderror.Worded(kind, format, args...))
}

func (r reader) checkName(field, name string) bool {
	ok := gossipcodec.ValidName(name)
	if !ok {
		r.addFault(ErrName, field, "%q is no name of 1 to %d printable ASCII characters", name, gossipcodec.MaxName)
	}
	return ok
}

func (r reader) address(field, text string) netip.AddrPort {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 || !addr.Addr().Is4() {
		r.addFault(ErrAddress, field, "%q is no IPv4 address and port", text)
	}
	return addr
}

// peers reads the seed peers: no name and no address may be there twice.
func (r reader) peers(list []peerTable) (peers []membership.SeedPeer) {
	if len(list) > membership.MaxMembers {
		r.addFault(ErrTooMany, "peer", "%d peers, %d at most", len(list), membership.MaxMembers)
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
			r.addFault(ErrDuplicate, addrField, "%s is the address of %s already", addr, other)
		}
		names[p.Name], nameByAddr[addr] = true, p.Name
		peers = append(peers, membership.SeedPeer{Name: p.Name, Addr: addr})
	}
	return peers
}
