// Package gossipconfig reads the file that LB_FLEET names: which fleet a gateway belongs to, where it speaks with the others
// and how it reaches them.
package gossipconfig

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/membership"
	"thymebend/internal/tomlfile"
)

// Config is a gateway's place in its fleet.
type Config struct {
	Cluster    string
	Name       string // of this gateway in the fleet
	Listen     netip.AddrPort
	Flat       bool // every gateway is reached at one address from everywhere, and those not in the book may join
	SeedPeers  []membership.Peer
	Assignment *Assignment // nil where the file does not ask for shares
}

// Assignment says how the fleet divides hosts. All its gateways must have the same.
type Assignment struct {
	Users          int           // gateways that use a host, on the mean, and that own the turns of a cold one
	MaxUsers       int           // gateways that use a host at most, for hosts that hold few connections
	MinEndpoints   int           // hosts that a gateway uses at least
	RemoteZoneOdds float64       // chance of a host of another zone, over one of the own, above 0 to 1
	WarmRate       float64       // requests a second, of the class with the most work, that the weakest warm host answers; 0: by the classes' aims
	ClockSkew      time.Duration // by which two gateways' clocks differ at most
}

// What holds where the table [shares] leaves a field out.
const (
	usualUsers = 12
	usualMost  = 3 // times users
	usualLeast = 2
	usualAway  = 0.5
	usualSkew  = 20 * time.Millisecond
	mostUsers  = 100
	mostRate   = 1e6
	mostSkew   = 100 * time.Millisecond // a turn is good for a quarter of the rule's window, less twice the skew
)

type text struct {
	Fleet  string `toml:"fleet"`
	Name   string `toml:"name"`
	Listen string `toml:"listen"`
	Flat   bool   `toml:"flat"`
	Peers  []struct {
		Name string `toml:"name"`
		Addr string `toml:"addr"`
	} `toml:"peer"`
	Shares *struct {
		Users    *int               `toml:"users"`
		Most     *int               `toml:"most_users"`
		Least    *int               `toml:"least"`
		Away     *float64           `toml:"away"`
		WarmRate float64            `toml:"warm_rate"`
		Skew     *tomlfile.Duration `toml:"skew"`
	} `toml:"shares"`
}

// Load reads a file. name is the gateway's where the file names none. The error holds everything that is wrong, with file,
// line and column.
func Load(path, name string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_FLEET: %w", err)
	}
	return Parse(path, raw, name)
}

// Parse does so with a text at hand.
func Parse(path string, raw []byte, name string) (*Config, error) {
	var t text
	in := tomlfile.Read(path, raw, &t)
	if err := in.Err(); err != nil {
		return nil, err
	}
	f := &Config{Cluster: t.Fleet, Name: name, Flat: t.Flat}
	if t.Name != "" {
		f.Name = t.Name
	}
	if !gossipcodec.Name(f.Cluster) {
		in.Fault("fleet", "%q is no name of 1 to %d printable ASCII characters", f.Cluster, gossipcodec.MaxName)
	}
	if !gossipcodec.Name(f.Name) {
		in.Fault("name", "%q is no name of 1 to %d printable ASCII characters", f.Name, gossipcodec.MaxName)
	}
	address := func(field, text string) netip.AddrPort {
		at, err := netip.ParseAddrPort(text)
		if err != nil || at.Port() == 0 || !at.Addr().Is4() {
			in.Fault(field, "%q is no IPv4 address and port", text)
		}
		return at
	}
	f.Listen = address("listen", t.Listen)
	names, addrs := make(map[string]bool), make(map[netip.AddrPort]string)
	if len(t.Peers) > membership.MaxMembers {
		in.Fault("peer", "%d peers, %d at most", len(t.Peers), membership.MaxMembers)
	}
	for i, p := range t.Peers {
		field := func(name string) string { return fmt.Sprintf("peer.%d.%s", i, name) }
		at := address(field("addr"), p.Addr)
		switch other := addrs[at]; {
		case !gossipcodec.Name(p.Name):
			in.Fault(field("name"), "%q is no name of 1 to %d printable ASCII characters", p.Name, gossipcodec.MaxName)
		case names[p.Name]:
			in.Fault(field("name"), "%q is there already", p.Name)
		case at.IsValid() && other != "":
			in.Fault(field("addr"), "%s is the address of %s already", at, other)
		}
		names[p.Name], addrs[at] = true, p.Name
		f.SeedPeers = append(f.SeedPeers, membership.Peer{Name: p.Name, Addr: at})
	}
	f.shares(in, &t)
	if err := in.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// DefaultAssignment is what an empty table [shares] says.
func DefaultAssignment() *Assignment {
	return &Assignment{Users: usualUsers, MaxUsers: usualMost * usualUsers, MinEndpoints: usualLeast, RemoteZoneOdds: usualAway, ClockSkew: usualSkew}
}

func (f *Config) shares(in *tomlfile.File, t *text) {
	if t.Shares == nil {
		return
	}
	s := DefaultAssignment()
	s.WarmRate = t.Shares.WarmRate
	if v := t.Shares.Users; v != nil {
		s.Users, s.MaxUsers = *v, usualMost**v
	}
	if v := t.Shares.Most; v != nil {
		s.MaxUsers = *v
	}
	if v := t.Shares.Least; v != nil {
		s.MinEndpoints = *v
	}
	if v := t.Shares.Away; v != nil {
		s.RemoteZoneOdds = *v
	}
	if v := t.Shares.Skew; v != nil {
		s.ClockSkew = v.Duration
	}
	if s.Users < 1 || s.Users > mostUsers {
		in.Fault("shares.users", "must be 1 to %d", mostUsers)
	}
	if s.MaxUsers < s.Users || s.MaxUsers > membership.MaxMembers {
		in.Fault("shares.most_users", "must be at least users, %d, and at most %d", s.Users, membership.MaxMembers)
	}
	if s.MinEndpoints < 1 || s.MinEndpoints > mostUsers {
		in.Fault("shares.least", "must be 1 to %d", mostUsers)
	}
	if !(s.RemoteZoneOdds > 0 && s.RemoteZoneOdds <= 1) {
		in.Fault("shares.away", "must be above 0 and at most 1")
	}
	if !(s.WarmRate >= 0 && s.WarmRate <= mostRate) {
		in.Fault("shares.warm_rate", "must be 0 to %v requests a second; 0 is what the classes' aims tell", mostRate)
	}
	if s.ClockSkew < 0 || s.ClockSkew > mostSkew {
		in.Fault("shares.skew", "must be 0s to %v", mostSkew)
	}
	f.Assignment = s
}
