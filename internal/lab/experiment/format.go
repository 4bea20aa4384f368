// Package experiment plays a day that a TOML file describes: a fleet, discovery, gateways as real processes,
// load in phases and a timeline of events. Whatever happens is measured from outside the gateways.
package experiment

import (
	"os"
	"time"

	"thymebend/internal/lab/load"
	"thymebend/internal/tomlfile"
)

// Duration is a time in the file.
type Duration = tomlfile.Duration

// File is an experiment as it is written.
type File struct {
	Name  string `toml:"name"`
	Title string `toml:"title"`
	About string `toml:"about"`
	Seed  uint64 `toml:"seed"`

	Gateways  Gateways  `toml:"gateways"`
	Discovery Discovery `toml:"discovery"`
	Front     Front     `toml:"front"`
	Clients   Clients   `toml:"clients"`
	Classes   []Class   `toml:"class"`
	Hosts     []Hosts   `toml:"hosts"`
	Phases    []Phase   `toml:"phase"`
	Events    []Event   `toml:"event"`
}

// Gateways are the gateway processes and what each is given.
type Gateways struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Log      string  `toml:"log"`    // level
	Spread   bool    `toml:"spread"` // over the hosts' sites, one after another; else all stand at the first
}

// Discovery is how late changes show.
type Discovery struct {
	Lag    Duration `toml:"lag"`
	Pushed bool     `toml:"pushed"` // by an agent beside each gateway, which is silent while discovery is down
}

// Front is the layer that deals clients out.
type Front struct {
	Notice Duration `toml:"notice"`
}

// Clients is how clients act, see load.Clients.
type Clients struct {
	Retries               float64  `toml:"retries"`
	Backoff               string   `toml:"backoff"`
	Wait                  Duration `toml:"wait"`
	Honour                float64  `toml:"honour"`
	MostAfter             Duration `toml:"most_retry_after"`
	TryShare              float64  `toml:"try_share"`
	Marks                 bool     `toml:"marks_retry"`
	Connections           int      `toml:"connections"`
	RequestsPerConnection int      `toml:"requests_per_connection"`
	SlowShare             float64  `toml:"slow_share"`
	SlowFor               Duration `toml:"slow_for"`
	Silent                int      `toml:"silent"`
}

// Class is a kind of request.
type Class struct {
	Name       string   `toml:"name"`
	Share      float64  `toml:"share"`
	Unsafe     bool     `toml:"unsafe"`
	Keyed      bool     `toml:"keyed"`      // sent with a key; the hosts of one cell drop a repeat
	Window     Duration `toml:"window"`     // for so long
	LateWeight float64  `toml:"late_worth"` // share of the worth that an answer after the aim earns, as gateways are told
	Worth      float64  `toml:"worth"`
	Aim        Duration `toml:"aim"`
	Patience   Duration `toml:"patience"`
	Body       int      `toml:"body"`
	Work       Work     `toml:"work"`
}

// Work is drawn anew for each request.
type Work struct {
	Dist string   `toml:"dist"`
	Mean Duration `toml:"mean"`
	CV   float64  `toml:"cv"`
}

// Hosts are so many hosts of one kind.
type Hosts struct {
	Kind       string   `toml:"kind"`
	Count      int      `toml:"count"`
	Site       string   `toml:"site"`
	Cell       int      `toml:"cell"` // hosts that share what keys they have seen; 0 is all of the kind
	Cores      int      `toml:"cores"`
	Speed      float64  `toml:"speed"`
	Slots      int      `toml:"slots"`
	Queue      int      `toml:"queue"`
	ThrashAt   float64  `toml:"thrash_at"`
	Thrash     float64  `toml:"thrash"`
	ColdFrom   float64  `toml:"cold_from"`
	ColdFor    Duration `toml:"cold_for"`
	WarmBy     string   `toml:"warm_by"`
	Fall       float64  `toml:"fall_multiple"`
	FallFor    Duration `toml:"fall_for"`
	StartsCold bool     `toml:"cold"` // at the begin of the run

	PauseEvery  Duration `toml:"pause_every"`
	PauseFor    Duration `toml:"pause_for"`
	PauseGrowth float64  `toml:"pause_grow"`
	ErrorRate   float64  `toml:"error_rate"`
	Conns       int      `toml:"connections"`
	FullTax     float64  `toml:"full_tax"`
	Handshake   Duration `toml:"handshake_work"`
	Idle        Duration `toml:"idle"`
	ReportMin   Duration `toml:"report_least"`
	ReportMax   Duration `toml:"report_most"`
	ReportLate  Duration `toml:"report_delay"`
	Noise       float64  `toml:"report_noise"`
	Body        int      `toml:"body"`
}

// Phase is a stretch of load, see load.Phase.
type Phase struct {
	For      Duration `toml:"for"`
	Rate     float64  `toml:"rate"`
	To       float64  `toml:"to"`
	Steps    int      `toml:"steps"`
	Jump     float64  `toml:"jump"`
	JumpAt   Duration `toml:"jump_at"`
	JumpFor  Duration `toml:"jump_for"`
	Rush     string   `toml:"rush"`
	RushTo   float64  `toml:"rush_to"`
	Arrivals string   `toml:"arrivals"` // "poisson" or "even"
}

// Event is something that happens at a time of the run.
type Event struct {
	At Duration `toml:"at"`
	Do string   `toml:"do"`

	Host     string   `toml:"host"`  // one host by name, or
	Kind     string   `toml:"kind"`  // those of a kind, or all,
	Fraction float64  `toml:"part"`  // of which this share is drawn, or
	Count    int      `toml:"count"` // so many
	Every    Duration `toml:"every"` // one after another, this long apart

	Gateway int `toml:"gateway"` // by number from 0; -1 means all, one after another

	For    Duration `toml:"for"`
	Share  float64  `toml:"share"`
	Factor float64  `toml:"factor"`
	Class  string   `toml:"class"`
	Fault  string   `toml:"fault"`
	On     Duration `toml:"on"`
	Off    Duration `toml:"off"`
	Lag    Duration `toml:"lag"`
	Faulty bool     `toml:"faulty"`
}

// What events there are, and which of their fields each may have beside at and do.
func hostFields() []string { return []string{"host", "kind", "part", "count", "every"} }

func eventFields() map[string][]string {
	hosts := func(extra ...string) []string { return append(hostFields(), extra...) }
	return map[string][]string{
		"gateway-kill":    {"gateway", "for", "every"},
		"gateway-restart": {"gateway", "for", "every"},
		"gateway-reload":  {"gateway", "faulty", "every"},
		"host-down":       hosts("for"),
		"host-cold":       hosts(),
		"host-drain":      hosts("for"),
		"host-replace":    hosts("for"),
		"host-cut":        hosts("for"),
		"host-hang":       hosts("for"),
		"host-noreply":    hosts("for"),
		"host-pause":      hosts("for"),
		"host-slow":       hosts("for", "factor"),
		"host-errors":     hosts("for", "share"),
		"host-spoil":      hosts("for", "share", "fault", "class"),
		"neighbour":       hosts("for", "share", "on", "off"),
		"heavy":           hosts("for", "share", "factor", "class"),
		"discovery-down":  {"for"},
		"discovery-mute":  {"for"},
		"discovery-flap":  {},
		"discovery-lag":   {"lag"},
		"discovery-move":  {"gateway"},
	}
}

// Load reads and checks an experiment. The error holds everything that is wrong, with file, line and column.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse does so with a text at hand.
func Parse(name string, text []byte) (*File, error) {
	f := &File{}
	input := tomlfile.Read(name, text, f)
	if err := input.Err(); err != nil {
		return nil, err
	}
	f.Complete(input)
	if err := input.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// Complete fills in what a file leaves out, and notes everything in it that cannot be played.
func (f *File) Complete(input *tomlfile.File) {
	f.applyDefaults(input)
	f.check(input)
}

func ms(n int) Duration { return Duration{Duration: time.Duration(n) * time.Millisecond} }

// Length is how long the load lasts.
func (f *File) Length() time.Duration { return load.Length(f.loadPhases()) }
