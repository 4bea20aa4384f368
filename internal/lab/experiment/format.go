// Package experiment runs an experiment that a TOML file describes: emulated hosts, discovery, gateways as real
// processes, load in phases and a timeline of events. Everything is measured from outside the gateways.
package experiment

import (
	"os"
	"time"

	"thymebend/internal/lab/load"
	"thymebend/internal/tomlfile"
)

// Duration is a duration in the file, written as text such as "800ms".
type Duration = tomlfile.Duration

// File is the content of an experiment file, with defaults filled in once Complete has run.
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

// Gateways is the number of gateway processes and the resources and options of each. With Spread, gateways are placed
// at the sites of the hosts in turn, otherwise all at the first site. result.json contains this type under the Go
// names of its fields.
type Gateways struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"`
	MemoryMB float64 `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
	Log      string  `toml:"log"` // log level
	Spread   bool    `toml:"spread"`
}

// Discovery configures how and when changes of the host list reach the gateways. With Pushed, lists come from an
// agent next to each gateway, which sends nothing while discovery is down.
type Discovery struct {
	Lag    Duration `toml:"lag"` // time until a change of the list becomes visible
	Pushed bool     `toml:"pushed"`
}

// Front configures the layer in front of the gateways that distributes clients over them.
type Front struct {
	Notice Duration `toml:"notice"` // a gateway to which connects have failed for this long is taken out
}

// Clients configures the behaviour of clients; load.Clients describes the fields.
type Clients struct {
	Retries               float64  `toml:"retries"`
	Backoff               string   `toml:"backoff"`
	Wait                  Duration `toml:"wait"`
	Honour                float64  `toml:"honour"`
	MaxRetryAfter         Duration `toml:"most_retry_after"`
	TryShare              float64  `toml:"try_share"`
	MarksRetries          bool     `toml:"marks_retry"`
	Connections           int      `toml:"connections"`
	RequestsPerConnection int      `toml:"requests_per_connection"`
	SlowShare             float64  `toml:"slow_share"`
	SlowFor               Duration `toml:"slow_for"`
	Silent                int      `toml:"silent"`
}

// Class is a class of requests.
type Class struct {
	Name             string   `toml:"name"`
	Share            float64  `toml:"share"`
	Unsafe           bool     `toml:"unsafe"`
	Keyed            bool     `toml:"keyed"`      // sent with an idempotency key; hosts of a cell drop repeats
	Window           Duration `toml:"window"`     // with Keyed: the time for which hosts remember a key
	LateWeight       float64  `toml:"late_worth"` // gateway setting: share of Weight that a late response earns
	Weight           float64  `toml:"worth"`
	LatencyObjective Duration `toml:"aim"`
	Timeout          Duration `toml:"patience"`
	Body             int      `toml:"body"`
	Work             Work     `toml:"work"`
}

// Work is the distribution from which the work of each request is drawn.
type Work struct {
	Dist string   `toml:"dist"`
	Mean Duration `toml:"mean"`
	CV   float64  `toml:"cv"`
}

// Hosts are Count hosts of one kind; hostmodel.Spec describes most fields.
type Hosts struct {
	Kind          string   `toml:"kind"`
	Count         int      `toml:"count"`
	Site          string   `toml:"site"`
	Cell          int      `toml:"cell"` // number of hosts that share a record of executed keys; 0: all of the kind
	Cores         int      `toml:"cores"`
	Speed         float64  `toml:"speed"`
	Slots         int      `toml:"slots"`
	Queue         int      `toml:"queue"`
	ThrashAt      float64  `toml:"thrash_at"`
	Thrash        float64  `toml:"thrash"`
	ColdFrom      float64  `toml:"cold_from"`
	ColdFor       Duration `toml:"cold_for"`
	WarmBy        string   `toml:"warm_by"`
	CrashMultiple float64  `toml:"fall_multiple"`
	CrashAfter    Duration `toml:"fall_for"`
	StartsCold    bool     `toml:"cold"` // hosts are in slow start when the run begins

	PauseEvery    Duration `toml:"pause_every"`
	PauseFor      Duration `toml:"pause_for"`
	PauseGrowth   float64  `toml:"pause_grow"`
	ErrorRate     float64  `toml:"error_rate"`
	Connections   int      `toml:"connections"`
	FullTax       float64  `toml:"full_tax"`
	HandshakeWork Duration `toml:"handshake_work"`
	IdleTimeout   Duration `toml:"idle"`
	ReportMin     Duration `toml:"report_least"`
	ReportMax     Duration `toml:"report_most"`
	ReportDelay   Duration `toml:"report_delay"`
	ReportNoise   float64  `toml:"report_noise"`
	Body          int      `toml:"body"`
}

// Phase is a part of the load; load.Phase describes the fields.
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

// Event is a fault or a change that is applied at time At, counted from the start of the load.
type Event struct {
	At Duration `toml:"at"`
	Do string   `toml:"do"`

	Host     string   `toml:"host"`  // selects one host by its name
	Kind     string   `toml:"kind"`  // selects the hosts of a kind; all hosts if Host and Kind are empty
	Fraction float64  `toml:"part"`  // draws this share of the selected hosts; used if Count is 0
	Count    int      `toml:"count"` // draws this number of the selected hosts
	Every    Duration `toml:"every"` // time between one host or gateway and the next

	Gateway int `toml:"gateway"` // number of the gateway, from 0; -1 means all, one after another

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

// hostFields returns the fields that every event of hosts allows.
func hostFields() []string { return []string{"host", "kind", "part", "count", "every"} }

// eventFields returns, by kind of event, the fields that the kind allows besides at and do.
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

// Load reads and checks an experiment file. The error lists every fault with file, line and column.
func Load(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text)
}

// Parse does the same as Load with a given text; name is the file name in the error.
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

// Complete sets the defaults of all omitted fields. It adds to input every fault that prevents a run.
func (f *File) Complete(input *tomlfile.File) {
	f.applyDefaults(input)
	f.check(input)
}

// ms returns n milliseconds.
func ms(n int) Duration { return Duration{Duration: time.Duration(n) * time.Millisecond} }

// Length returns the duration of the load, which is that of all phases.
func (f *File) Length() time.Duration { return load.TotalDuration(f.loadPhases()) }
