// Package fleetfile reads the file that LB_FLEET names: which fleet a gateway belongs to, where it speaks with the others
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

// File is a gateway's place in its fleet.
type File struct {
	Fleet  string
	Name   string // of this gateway in the fleet
	Listen netip.AddrPort
	Flat   bool // every gateway is reached at one address from everywhere, and those not in the book may join
	Book   []membership.Peer
	Shares *Shares // nil where the file does not ask for shares
}

// Shares says how the fleet divides hosts. All its gateways must have the same.
type Shares struct {
	Users    int           // gateways that use a host, on the mean, and that own the turns of a cold one
	Most     int           // gateways that use a host at most, for hosts that hold few connections
	Least    int           // hosts that a gateway uses at least
	Away     float64       // chance of a host of another zone, over one of the own, above 0 to 1
	WarmRate float64       // requests a second, of the class with the most work, that the weakest warm host answers; 0: by the classes' aims
	Skew     time.Duration // by which two gateways' clocks differ at most
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
func Load(path, name string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("LB_FLEET: %w", err)
	}
	return Parse(path, raw, name)
}

// Parse does so with a text at hand.
func Parse(path string, raw []byte, name string) (*File, error) {
	var t text
	in := tomlfile.Read(path, raw, &t)
	if err := in.Err(); err != nil {
		return nil, err
	}
	f := &File{Fleet: t.Fleet, Name: name, Flat: t.Flat}
	if t.Name != "" {
		f.Name = t.Name
	}
	if !gossipcodec.Name(f.Fleet) {
		in.Fault("fleet", "%q is no name of 1 to %d printable ASCII characters", f.Fleet, gossipcodec.MostName)
	}
	if !gossipcodec.Name(f.Name) {
		in.Fault("name", "%q is no name of 1 to %d printable ASCII characters", f.Name, gossipcodec.MostName)
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
	if len(t.Peers) > membership.MostMembers {
		in.Fault("peer", "%d peers, %d at most", len(t.Peers), membership.MostMembers)
	}
	for i, p := range t.Peers {
		field := func(name string) string { return fmt.Sprintf("peer.%d.%s", i, name) }
		at := address(field("addr"), p.Addr)
		switch other := addrs[at]; {
		case !gossipcodec.Name(p.Name):
			in.Fault(field("name"), "%q is no name of 1 to %d printable ASCII characters", p.Name, gossipcodec.MostName)
		case names[p.Name]:
			in.Fault(field("name"), "%q is there already", p.Name)
		case at.IsValid() && other != "":
			in.Fault(field("addr"), "%s is the address of %s already", at, other)
		}
		names[p.Name], addrs[at] = true, p.Name
		f.Book = append(f.Book, membership.Peer{Name: p.Name, Addr: at})
	}
	f.shares(in, &t)
	if err := in.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// Usual is what an empty table [shares] says.
func Usual() *Shares {
	return &Shares{Users: usualUsers, Most: usualMost * usualUsers, Least: usualLeast, Away: usualAway, Skew: usualSkew}
}

func (f *File) shares(in *tomlfile.File, t *text) {
	if t.Shares == nil {
		return
	}
	s := Usual()
	s.WarmRate = t.Shares.WarmRate
	if v := t.Shares.Users; v != nil {
		s.Users, s.Most = *v, usualMost**v
	}
	if v := t.Shares.Most; v != nil {
		s.Most = *v
	}
	if v := t.Shares.Least; v != nil {
		s.Least = *v
	}
	if v := t.Shares.Away; v != nil {
		s.Away = *v
	}
	if v := t.Shares.Skew; v != nil {
		s.Skew = v.Duration
	}
	if s.Users < 1 || s.Users > mostUsers {
		in.Fault("shares.users", "must be 1 to %d", mostUsers)
	}
	if s.Most < s.Users || s.Most > membership.MostMembers {
		in.Fault("shares.most_users", "must be at least users, %d, and at most %d", s.Users, membership.MostMembers)
	}
	if s.Least < 1 || s.Least > mostUsers {
		in.Fault("shares.least", "must be 1 to %d", mostUsers)
	}
	if !(s.Away > 0 && s.Away <= 1) {
		in.Fault("shares.away", "must be above 0 and at most 1")
	}
	if !(s.WarmRate >= 0 && s.WarmRate <= mostRate) {
		in.Fault("shares.warm_rate", "must be 0 to %v requests a second; 0 is what the classes' aims tell", mostRate)
	}
	if s.Skew < 0 || s.Skew > mostSkew {
		in.Fault("shares.skew", "must be 0s to %v", mostSkew)
	}
	f.Shares = s
}
