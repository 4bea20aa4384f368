// Package config reads the configuration of a gateway from the environment and from the file that the environment
// names. It rejects an invalid configuration with an error that names the field.
//
// Its errors wrap a fielderror.Error, except those of the operating system and of balancer.Config.Validate.
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

// Environment variables. Their values take precedence over those of the file.
const (
	envFile      = "LB_CONFIG" // path of the configuration file; required
	envName      = "LB_NAME"
	envListen    = "LB_LISTEN"
	envAdmin     = "LB_CONTROL"
	envDiscovery = "LB_DISCOVERY"
	envGossip    = "LB_FLEET" // path of the gossip file, or gossipInConfigFile; empty for no cluster
	envTempDir   = "TMPDIR"
)

// Causes of a fielderror.Error, beside fielderror.ErrMissing and those of package settings: a variable that is not set,
// an invalid address or seed, limits below the minimum, and a number of peers that differs from that of gateways.
var (
	ErrNotSet     = errors.New("is not set")
	ErrNotAddress = errors.New("is not an address and port")
	ErrNotSeed    = errors.New("is not a hexadecimal number of 64 bits")
	ErrTooSmall   = errors.New("too small for the program to work")
	ErrPeerCount  = errors.New("another number of peers than of gateways")
)

// Config is the configuration of a gateway.
type Config struct {
	Name            string
	Listen          netip.AddrPort
	Admin           netip.AddrPort // invalid (the zero value) if there is no admin endpoint
	Discovery       netip.AddrPort
	Seed            uint64
	Limits          Limits
	CachedEndpoints json.RawMessage // the last known endpoint list, in discovery's format; may be empty
	Settings        settings.Settings
	Path            string // path of the configuration file, which a reload reads again
	// HotRestartSocket is the path of the socket on which a successor process requests to take over; empty if no
	// directory for it is configured (TMPDIR).
	HotRestartSocket string
	Gossip           *gossipconfig.Config // nil if the gateway joins no cluster
	GossipPath       string               // path of the gossip file; empty if there is none
	topLevelFields   []string             // the names of the file's top-level fields
}

// Limits are the resources of the machine that the gateway may use.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor cores, above 0
	MemoryMB float64 `json:"memory_mb"` // for the whole process
	Sockets  int     `json:"sockets"`   // maximum number of open sockets
}

// The smallest limits with which the program works.
const (
	minSockets  = 64
	minMemoryMB = 16
)

// Load reads the environment, through getenv, and the configuration files that it names.
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
	case gossipInConfigFile:
		cfg.Gossip, err = base.gossipFromPeerList(raw, cfg.Settings)
	default:
		cfg.GossipPath = gossipPath
		cfg.Gossip, err = gossipconfig.Load(gossipPath, cfg.Name)
	}
	return cfg, err
}

// Reload parses the new text of the configuration file. The gateway keeps its name and its listening sockets. The
// address of discovery is taken from the file alone: LB_DISCOVERY still has the value from the start, and would hide a
// changed address in the file. A file that lacks a field of the configuration in force was most likely read while it
// was being written, so Reload rejects the whole file.
func (c Config) Reload(raw []byte) (Config, error) {
	admin := ""
	if c.Admin.IsValid() {
		admin = c.Admin.String()
	}
	reloaded, err := Config{Name: c.Name, Path: c.Path}.read(raw, c.Listen.String(), admin, "")
	if err != nil {
		return reloaded, err
	}
	reloaded.Admin, reloaded.HotRestartSocket = c.Admin, c.HotRestartSocket // opened at the start only
	for _, field := range c.topLevelFields {
		if !slices.Contains(reloaded.topLevelFields, field) {
			return reloaded, fielderror.Inline(field, settings.ErrNoLongerSet)
		}
	}
	return reloaded, c.Settings.CheckReload(reloaded.Settings)
}

// file is the configuration file. gossipFromPeerList reads its fields for the cluster.
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

// read parses a file's text and returns the configuration. Arguments that are not empty, and c.Name, take precedence
// over the fields of the file.
func (c Config) read(raw []byte, listen, admin, discovery string) (Config, error) {
	var f file
	if err := c.decode(raw, &f); err != nil {
		return c, err
	}
	var err error
	if c.topLevelFields, err = c.parseTopLevelFields(raw); err != nil {
		return c, err
	}
	c.Name, c.Limits, c.CachedEndpoints = firstNonEmpty(c.Name, f.Name), f.Limits, f.Endpoints
	if c.Name == "" {
		return c, fielderror.Inlinef("name", "%w (%s)", fielderror.ErrMissing, envName)
	}
	if c.Listen, err = parseAddrPort("listen", firstNonEmpty(listen, f.Listen)); err != nil {
		return c, err
	}
	if text := firstNonEmpty(admin, f.Admin); text != "" {
		if c.Admin, err = parseAddrPort("control", text); err != nil {
			return c, err
		}
	}
	if c.Discovery, err = parseAddrPort("discovery", firstNonEmpty(discovery, f.Discovery)); err != nil {
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

// decode decodes the file's JSON. Its error names LB_CONFIG and the path of the file.
func (c Config) decode(raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s: %w", envFile, &fielderror.Error{File: c.Path, Err: err})
	}
	return nil
}

// parseTopLevelFields returns the sorted names of the file's top-level fields that are not null.
func (c Config) parseTopLevelFields(raw []byte) (fields []string, err error) {
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

// check returns an error for the first limit that is too small.
func (l Limits) check() error {
	switch {
	case !(l.Cores > 0):
		return tooSmallError("limits.cores", "is %v, must be positive", l.Cores)
	case !(l.MemoryMB >= minMemoryMB):
		return tooSmallError("limits.memory_mb", "is %v, must be at least %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return tooSmallError("limits.sockets", "is %d, must be at least %d", l.Sockets, minSockets)
	}
	return nil
}

// tooSmallError returns an error with the cause ErrTooSmall.
func tooSmallError(field, format string, args ...any) error {
	return fielderror.Inline(field, fielderror.CauseWithText(ErrTooSmall, format, args...))
}

// firstNonEmpty returns first unless it is empty, otherwise second.
func firstNonEmpty(first, second string) string {
	if first != "" {
		return first
	}
	return second
}

// parseAddrPort parses the value of a field as an IP address and port.
func parseAddrPort(field, text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, fielderror.Inlinef(field, "%q %w", text, ErrNotAddress)
	}
	return addr, nil
}
