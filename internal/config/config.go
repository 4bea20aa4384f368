// Package config reads what a gateway is told at its start, from the environment and from the file that it
// names, and refuses what cannot work by the name of the field.
package config

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"thymebend/internal/gossipconfig"
	"thymebend/internal/hotrestart"
	"thymebend/internal/membership"
	"thymebend/internal/settings"
)

// Config is all that a gateway is told at its start.
type Config struct {
	Name            string
	Listen          netip.AddrPort
	Admin           netip.AddrPort // the operators' address; not valid where there is none
	Discovery       netip.AddrPort
	Seed            uint64
	Limits          Limits
	CachedEndpoints json.RawMessage // the host list as last had, in discovery's form; may be empty
	Settings        settings.Settings
	Path            string               // of the file, to be read again at a reload
	HotRestartDir   string               // where the next process of this gateway asks; empty where there is no directory for it
	Gossip          *gossipconfig.Config // nil where LB_FLEET asks for none
	GossipPath      string               // empty where the fleet stands in the configuration file
	fields          []string             // what the file holds at its top
}

// Limits are those of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// The least that the program can work in.
const (
	leastSockets = 64
	leastMemory  = 16
)

// Load reads the environment and the file that it names.
func Load(getenv func(string) string) (Config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("LB_CONFIG is not set")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("LB_CONFIG: %w", err)
	}
	told := Config{Name: getenv("LB_NAME"), Path: path}
	cfg, err := told.read(raw, getenv("LB_LISTEN"), getenv("LB_CONTROL"), getenv("LB_DISCOVERY"))
	if dir := getenv("TMPDIR"); err == nil && dir != "" {
		cfg.HotRestartDir = hotrestart.Path(dir, cfg.Listen)
	}
	switch path := getenv("LB_FLEET"); {
	case err != nil || path == "":
	case path == fromPeers:
		cfg.Gossip, err = told.peers(raw, cfg.Settings)
	default:
		cfg.GossipPath = path
		cfg.Gossip, err = gossipconfig.Load(path, cfg.Name)
	}
	return cfg, err
}

// fromPeers is what LB_FLEET says where the fleet stands in the configuration file itself, as its peers.
const fromPeers = "peers"

// peers reads the fleet from the configuration file: an address for each gateway, ordered by their numbers. It is nil where the
// settings refuse datagrams or the file names no peers.
func (c Config) peers(raw []byte, s settings.Settings) (*gossipconfig.Config, error) {
	var file struct {
		Listen string   `json:"peer_listen"`
		Peers  []string `json:"peers"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("LB_CONFIG: %s: %w", c.Path, err)
	}
	if !s.Gateway.Peers || len(file.Peers) == 0 {
		return nil, nil
	}
	if len(file.Peers) != s.Config.Gateways {
		return nil, fmt.Errorf("peers names %d gateways, the settings %d", len(file.Peers), s.Config.Gateways)
	}
	listen, err := address("peer_listen", file.Listen)
	if err != nil {
		return nil, err
	}
	name := func(n int) string { return fmt.Sprintf("gw-%d", n) }
	f := &gossipconfig.Config{Cluster: "peers", Name: name(s.Config.Rank), Listen: listen, Assignment: gossipconfig.DefaultAssignment()}
	for n, text := range file.Peers {
		at, err := address(fmt.Sprintf("peers[%d]", n), text)
		if err != nil {
			return nil, err
		}
		if n != s.Config.Rank {
			f.SeedPeers = append(f.SeedPeers, membership.Peer{Name: name(n), Addr: at})
		}
	}
	return f, nil
}

// Reload reads the file's new text. The program keeps its name and its listening sockets; discovery is the
// file's alone, for the environment still tells what the file has replaced. A file that lacks what the one in force
// has was most likely read half written, and is refused whole.
func (c Config) Reload(raw []byte) (Config, error) {
	control := ""
	if c.Admin.IsValid() {
		control = c.Admin.String()
	}
	fresh, err := Config{Name: c.Name, Path: c.Path}.read(raw, c.Listen.String(), control, "")
	if err != nil {
		return fresh, err
	}
	fresh.Admin, fresh.HotRestartDir = c.Admin, c.HotRestartDir // listening sockets are opened at the start only
	for _, field := range c.fields {
		if !slices.Contains(fresh.fields, field) {
			return fresh, fmt.Errorf("%s is missing, the file in force has it", field)
		}
	}
	return fresh, c.Settings.Missing(fresh.Settings)
}

// read takes a file's text. What is told beside it goes first where both tell the same.
func (c Config) read(raw []byte, listen, control, discovery string) (Config, error) {
	var err error
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Control   string          `json:"control"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return c, fmt.Errorf("LB_CONFIG: %s: %w", c.Path, err)
	}
	all := map[string]json.RawMessage{}
	if err := json.Unmarshal(raw, &all); err != nil {
		return c, fmt.Errorf("LB_CONFIG: %s: %w", c.Path, err)
	}
	for field, value := range all {
		if string(value) != "null" {
			c.fields = append(c.fields, field)
		}
	}
	slices.Sort(c.fields)
	c.Name, c.Limits, c.CachedEndpoints = either(c.Name, file.Name), file.Limits, file.Known
	if c.Name == "" {
		return c, fmt.Errorf("name is missing (LB_NAME)")
	}
	if c.Listen, err = address("listen", either(listen, file.Listen)); err != nil {
		return c, err
	}
	if text := either(control, file.Control); text != "" {
		if c.Admin, err = address("control", text); err != nil {
			return c, err
		}
	}
	if c.Discovery, err = address("discovery", either(discovery, file.Discovery)); err != nil {
		return c, err
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed %q is not a hexadecimal number of 64 bits", file.Seed)
	}
	if err := c.Limits.check(); err != nil {
		return c, err
	}
	if len(file.Settings) == 0 {
		return c, fmt.Errorf("settings is missing")
	}
	if c.Settings, err = settings.ParseJSON(file.Settings); err != nil {
		return c, err
	}
	return c, c.Settings.Config.Validate()
}

func (l Limits) check() error {
	switch {
	case !(l.Cores > 0):
		return fmt.Errorf("limits.cores is %v, must be positive", l.Cores)
	case !(l.MemoryMB >= leastMemory):
		return fmt.Errorf("limits.memory_mb is %v, must be at least %d", l.MemoryMB, leastMemory)
	case l.Sockets < leastSockets:
		return fmt.Errorf("limits.sockets is %d, must be at least %d", l.Sockets, leastSockets)
	}
	return nil
}

func either(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

func address(field, text string) (netip.AddrPort, error) {
	at, err := netip.ParseAddrPort(text)
	if err != nil {
		return at, fmt.Errorf("%s %q is not an address and port", field, text)
	}
	return at, nil
}
