// Package config reads what a gateway is told at its start, from the environment and from the file that it
// names, and refuses what cannot work by the name of the field.
//
// Its errors wrap a fielderror.Error, except those of the system and of balancer.Config.Validate.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"thymebend/internal/fielderror"
	"thymebend/internal/gossipconfig"
	"thymebend/internal/hotrestart"
	"thymebend/internal/settings"
)

// Variables of the environment. What they say goes before what the file says.
const (
	envFile      = "LB_CONFIG" // path of the configuration file; required
	envName      = "LB_NAME"
	envListen    = "LB_LISTEN"
	envAdmin     = "LB_CONTROL"
	envDiscovery = "LB_DISCOVERY"
	envGossip    = "LB_FLEET" // path of the gossip configuration, gossipFromPeers, or empty for none
	envTempDir   = "TMPDIR"
)

// Causes of a fielderror.Error, beside fielderror.ErrMissing and those of package settings.
var (
	ErrNotSet     = errors.New("is not set")
	ErrNotAddress = errors.New("is not an address and port")
	ErrNotSeed    = errors.New("is not a hexadecimal number of 64 bits")
	ErrTooSmall   = errors.New("too small for the program to work")
	ErrPeerCount  = errors.New("another number of peers than of gateways")
)

// Config is all that a gateway is told at its start.
type Config struct {
	Name            string
	Listen          netip.AddrPort
	Admin           netip.AddrPort // not valid where there is no admin endpoint
	Discovery       netip.AddrPort
	Seed            uint64
	Limits          Limits
	CachedEndpoints json.RawMessage // the endpoint list as last had, in discovery's form; may be empty
	Settings        settings.Settings
	Path            string // of the file, to be read again at a reload
	// HotRestartSocket is where the next process of this gateway asks to take over; empty where there is no
	// directory for it.
	HotRestartSocket string
	Gossip           *gossipconfig.Config // nil where LB_FLEET asks for none
	GossipPath       string               // empty where the cluster stands in the configuration file
	fields           []string             // what the file holds at its top
}

// Limits are those of the machine.
type Limits struct {
	Cores    float64 `json:"cores"`     // of the processor, above 0
	MemoryMB float64 `json:"memory_mb"` // for the whole process
	Sockets  int     `json:"sockets"`   // that may be open at once
}

// The least that the program can work in.
const (
	minSockets  = 64
	minMemoryMB = 16
)

// Load reads the environment and the file that it names.
func Load(getenv func(string) string) (Config, error) {
	path := getenv(envFile)
	if path == "" {
		return Config{}, fielderror.Inline(envFile, ErrNotSet)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", envFile, err)
	}
	base := Config{Name: getenv(envName), Path: path}
	cfg, err := base.read(raw, getenv(envListen), getenv(envAdmin), getenv(envDiscovery))
	if err != nil {
		return cfg, err
	}
	if dir := getenv(envTempDir); dir != "" {
		cfg.HotRestartSocket = hotrestart.Path(dir, cfg.Listen)
	}
	switch gossipPath := getenv(envGossip); gossipPath {
	case "":
	case gossipFromPeers:
		cfg.Gossip, err = base.gossipOfPeers(raw, cfg.Settings)
	default:
		cfg.GossipPath = gossipPath
		cfg.Gossip, err = gossipconfig.Load(gossipPath, cfg.Name)
	}
	return cfg, err
}

// Reload reads the file's new text. The program keeps its name and its listening sockets; discovery is the
// file's alone, for the environment still tells what the file has replaced. A file that lacks what the one in force
// has was most likely read half written, and is refused whole.
func (c Config) Reload(raw []byte) (Config, error) {
	admin := ""
	if c.Admin.IsValid() {
		admin = c.Admin.String()
	}
	fresh, err := Config{Name: c.Name, Path: c.Path}.read(raw, c.Listen.String(), admin, "")
	if err != nil {
		return fresh, err
	}
	fresh.Admin, fresh.HotRestartSocket = c.Admin, c.HotRestartSocket // listening sockets are opened at the start only
	for _, field := range c.fields {
		if !slices.Contains(fresh.fields, field) {
			return fresh, fielderror.Inline(field, settings.ErrNoLongerSet)
		}
	}
	return fresh, c.Settings.CheckReload(fresh.Settings)
}

// file is the configuration file.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Admin     string          `json:"control"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // hexadecimal
	Limits    Limits          `json:"limits"`
	Endpoints json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// read takes a file's text. What is told beside it goes first where both tell the same.
func (c Config) read(raw []byte, listen, admin, discovery string) (Config, error) {
	var f file
	if err := c.decode(raw, &f); err != nil {
		return c, err
	}
	var err error
	if c.fields, err = c.fieldsOf(raw); err != nil {
		return c, err
	}
	c.Name, c.Limits, c.CachedEndpoints = either(c.Name, f.Name), f.Limits, f.Endpoints
	if c.Name == "" {
		return c, fielderror.Inlinef("name", "%w (%s)", fielderror.ErrMissing, envName)
	}
	if c.Listen, err = address("listen", either(listen, f.Listen)); err != nil {
		return c, err
	}
	if text := either(admin, f.Admin); text != "" {
		if c.Admin, err = address("control", text); err != nil {
			return c, err
		}
	}
	if c.Discovery, err = address("discovery", either(discovery, f.Discovery)); err != nil {
		return c, err
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fielderror.Inlinef("seed", "%q %w", f.Seed, ErrNotSeed)
	}
	if err := c.Limits.check(); err != nil {
		return c, err
	}
	if len(f.Settings) == 0 {
		return c, fielderror.Missing("settings")
	}
	if c.Settings, err = settings.ParseJSON(f.Settings); err != nil {
		return c, err
	}
	return c, c.Settings.Config.Validate()
}

// decode reads the file's JSON. It names the variable that names the file, and the file.
func (c Config) decode(raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s: %w", envFile, &fielderror.Error{File: c.Path, Err: err})
	}
	return nil
}

// fieldsOf lists the fields that the file holds at its top and that are not null.
func (c Config) fieldsOf(raw []byte) (fields []string, err error) {
	var all map[string]json.RawMessage
	if err := c.decode(raw, &all); err != nil {
		return nil, err
	}
	for field, value := range all {
		if string(value) != "null" {
			fields = append(fields, field)
		}
	}
	slices.Sort(fields)
	return fields, nil
}

func (l Limits) check() error {
	switch {
	case !(l.Cores > 0):
		return tooSmall("limits.cores", "is %v, must be positive", l.Cores)
	case !(l.MemoryMB >= minMemoryMB):
		return tooSmall("limits.memory_mb", "is %v, must be at least %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return tooSmall("limits.sockets", "is %d, must be at least %d", l.Sockets, minSockets)
	}
	return nil
}

func tooSmall(field, format string, args ...any) error {
	return fielderror.Inline(field, fielderror.Worded(ErrTooSmall, format, args...))
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
		return at, fielderror.Inlinef(field, "%q %w", text, ErrNotAddress)
	}
	return at, nil
}
