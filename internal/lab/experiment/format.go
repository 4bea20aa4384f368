// Package experiment plays a day that a TOML file describes: a fleet, discovery, gateways as real processes,
// load in phases and a timeline of events. Whatever happens is measured from outside the gateways.
package experiment

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/lab/hostmodel"
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
	Retries     float64  `toml:"retries"`
	Backoff     string   `toml:"backoff"`
	Wait        Duration `toml:"wait"`
	Honour      float64  `toml:"honour"`
	MostAfter   Duration `toml:"most_retry_after"`
	TryShare    float64  `toml:"try_share"`
	Marks       bool     `toml:"marks_retry"`
	Connections int      `toml:"connections"`
	KeepFor     int      `toml:"requests_per_connection"`
	SlowShare   float64  `toml:"slow_share"`
	SlowFor     Duration `toml:"slow_for"`
	Silent      int      `toml:"silent"`
}

// Class is a kind of request.
type Class struct {
	Name     string   `toml:"name"`
	Share    float64  `toml:"share"`
	Unsafe   bool     `toml:"unsafe"`
	Keyed    bool     `toml:"keyed"`      // sent with a key; the hosts of one cell drop a repeat
	Window   Duration `toml:"window"`     // for so long
	Late     float64  `toml:"late_worth"` // share of the worth that an answer after the aim earns, as gateways are told
	Worth    float64  `toml:"worth"`
	Aim      Duration `toml:"aim"`
	Patience Duration `toml:"patience"`
	Body     int      `toml:"body"`
	Work     Work     `toml:"work"`
}

// Work is drawn anew for each request.
type Work struct {
	Dist string   `toml:"dist"`
	Mean Duration `toml:"mean"`
	CV   float64  `toml:"cv"`
}

// Hosts are so many hosts of one kind.
type Hosts struct {
	Kind     string   `toml:"kind"`
	Count    int      `toml:"count"`
	Site     string   `toml:"site"`
	Cell     int      `toml:"cell"` // hosts that share what keys they have seen; 0 is all of the kind
	Cores    int      `toml:"cores"`
	Speed    float64  `toml:"speed"`
	Slots    int      `toml:"slots"`
	Queue    int      `toml:"queue"`
	ThrashAt float64  `toml:"thrash_at"`
	Thrash   float64  `toml:"thrash"`
	ColdFrom float64  `toml:"cold_from"`
	ColdFor  Duration `toml:"cold_for"`
	WarmBy   string   `toml:"warm_by"`
	Fall     float64  `toml:"fall_multiple"`
	FallFor  Duration `toml:"fall_for"`
	Cold     bool     `toml:"cold"` // at the begin of the run

	PauseEvery Duration `toml:"pause_every"`
	PauseFor   Duration `toml:"pause_for"`
	PauseGrow  float64  `toml:"pause_grow"`
	ErrorRate  float64  `toml:"error_rate"`
	Conns      int      `toml:"connections"`
	FullTax    float64  `toml:"full_tax"`
	Handshake  Duration `toml:"handshake_work"`
	Idle       Duration `toml:"idle"`
	ReportMin  Duration `toml:"report_least"`
	ReportMax  Duration `toml:"report_most"`
	ReportLate Duration `toml:"report_delay"`
	Noise      float64  `toml:"report_noise"`
	Body       int      `toml:"body"`
}

// Phase is a stretch of load, see load.Phase.
type Phase struct {
	For     Duration `toml:"for"`
	Rate    float64  `toml:"rate"`
	To      float64  `toml:"to"`
	Steps   int      `toml:"steps"`
	Jump    float64  `toml:"jump"`
	JumpAt  Duration `toml:"jump_at"`
	JumpFor Duration `toml:"jump_for"`
	Rush    string   `toml:"rush"`
	RushTo  float64  `toml:"rush_to"`
	Arrive  string   `toml:"arrivals"` // "poisson" or "even"
}

// Event is something that happens at a time of the run.
type Event struct {
	At Duration `toml:"at"`
	Do string   `toml:"do"`

	Host  string   `toml:"host"`  // one host by name, or
	Kind  string   `toml:"kind"`  // those of a kind, or all,
	Part  float64  `toml:"part"`  // of which this share is drawn, or
	Count int      `toml:"count"` // so many
	Every Duration `toml:"every"` // one after another, this long apart

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
	hosts := func(more ...string) []string { return append(hostFields(), more...) }
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
	in := tomlfile.Read(name, text, f)
	if err := in.Err(); err != nil {
		return nil, err
	}
	f.Complete(in)
	if err := in.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// Complete fills in what a file leaves out, and notes everything in it that cannot be played.
func (f *File) Complete(in *tomlfile.File) {
	f.defaults(in)
	f.check(in)
}

func either[T comparable](v *T, unset T) {
	var zero T
	if *v == zero {
		*v = unset
	}
}

func ms(n int) Duration { return Duration{Duration: time.Duration(n) * time.Millisecond} }

func (f *File) defaults(in *tomlfile.File) {
	g := &f.Gateways
	if !in.Has("gateways.count") {
		g.Count = 1
	}
	either(&g.Cores, 1)
	either(&g.MemoryMB, 64)
	either(&g.Sockets, 1024)
	either(&g.Log, "info")
	either(&f.Seed, 1)
	either(&f.Front.Notice, ms(1000))
	either(&f.Clients.Backoff, "fixed")
	either(&f.Clients.Wait, ms(100))
	either(&f.Clients.MostAfter, ms(2000))
	if !in.Has("clients.honour") {
		f.Clients.Honour = 1
	}
	for i := range f.Classes {
		c := &f.Classes[i]
		if !in.Has(fmt.Sprintf("class.%d.worth", i)) {
			c.Worth = 1
		}
		either(&c.Aim, ms(800))
		either(&c.Patience, ms(2000))
		either(&c.Work.Dist, "fixed")
		if c.Keyed {
			either(&c.Window, ms(1500))
		}
		if (c.Unsafe || c.Keyed) && !in.Has(fmt.Sprintf("class.%d.body", i)) {
			c.Body = 200
		}
	}
	for i := range f.Hosts {
		h := &f.Hosts[i]
		either(&h.Count, 1)
		either(&h.Site, "suva")
		either(&h.Cores, 1)
		either(&h.Speed, 1)
		either(&h.Slots, h.Cores)
		if !in.Has(fmt.Sprintf("hosts.%d.queue", i)) {
			h.Queue = 12 * h.Cores
		}
		either(&h.WarmBy, "time")
		either(&h.FallFor, ms(1000))
		either(&h.Body, 200)
		either(&h.Idle, ms(30000))
		if !in.Has(fmt.Sprintf("hosts.%d.report_most", i)) {
			h.ReportMin, h.ReportMax, h.ReportLate = ms(50), ms(250), ms(20)
		}
	}
}

// check notes everything that cannot be played.
func (f *File) check(in *tomlfile.File) {
	need := func(ok bool, path, format string, args ...any) {
		if !ok {
			in.Fault(path, format, args...)
		}
	}
	need(f.Name != "" && !strings.ContainsAny(f.Name, " /\\"), "name", "must be one word")
	need(f.Gateways.Count >= 1 && f.Gateways.Count <= 64, "gateways.count", "must be 1 to 64")
	need(f.Gateways.Cores > 0 && f.Gateways.Cores <= 64, "gateways.cores", "must be over 0 and at most 64")
	need(f.Gateways.MemoryMB >= 16, "gateways.memory_mb", "must be at least 16")
	need(f.Gateways.Sockets >= 64 && f.Gateways.Sockets <= 1<<20, "gateways.sockets", "must be 64 to 1048576")
	c := f.Clients
	need(c.Retries >= 0 && c.Retries <= 100, "clients.retries", "must be 0 to 100")
	need(c.Backoff == "fixed" || c.Backoff == "exp", "clients.backoff", "%q is none of fixed, exp", c.Backoff)
	need(c.Honour >= 0 && c.Honour <= 1, "clients.honour", "must be 0 to 1")
	need(c.TryShare >= 0 && c.TryShare <= 1, "clients.try_share", "must be 0 to 1")
	need(c.SlowShare >= 0 && c.SlowShare <= 1, "clients.slow_share", "must be 0 to 1")
	need(c.Connections >= 0 && c.Silent >= 0 && c.KeepFor >= 0, "clients", "counts must not be negative")
	need(c.Wait.Duration >= 0 && c.SlowFor.Duration >= 0, "clients", "times must not be negative")
	need(len(f.Classes) > 0, "class", "at least one is needed")
	need(len(f.Hosts) > 0, "hosts", "at least one kind is needed")
	need(len(f.Phases) > 0, "phase", "at least one is needed")
	var classes, kinds, hosts []string
	for i, k := range f.Classes {
		at := func(field string) string { return fmt.Sprintf("class.%d.%s", i, field) }
		need(k.Name != "" && !strings.ContainsAny(k.Name, " /,?"), at("name"), "must be one word that fits in a path")
		need(!slices.Contains(classes, k.Name), at("name"), "%q is there already", k.Name)
		need(k.Share > 0, at("share"), "must be positive")
		need(k.Worth >= 0, at("worth"), "must not be negative")
		need(k.Patience.Duration > 0, at("patience"), "must be positive")
		need(k.Aim.Duration > 0 && k.Aim.Duration <= k.Patience.Duration, at("aim"), "must be over 0 and at most patience")
		need(k.Body >= 0 && k.Body <= 64<<10 && (k.Unsafe || k.Keyed || k.Body == 0), at("body"), "must be 0 to 65536, for unsafe and keyed classes only")
		need(!k.Unsafe || !k.Keyed, at("keyed"), "does not go with unsafe")
		need(k.Window.Duration >= 0 && (k.Keyed || k.Window.Duration == 0), at("window"), "goes with keyed")
		need(k.Late >= 0 && k.Late <= 1, at("late_worth"), "must be 0 to 1")
		if err := k.Work.model().Check(); err != nil {
			in.Fault(at("work"), "%v", err)
		}
		classes = append(classes, k.Name)
	}
	for i, h := range f.Hosts {
		at := func(field string) string { return fmt.Sprintf("hosts.%d.%s", i, field) }
		need(h.Kind != "" && !strings.ContainsAny(h.Kind, " /,"), at("kind"), "must be one word")
		need(!slices.Contains(kinds, h.Kind), at("kind"), "%q is there already", h.Kind)
		need(h.Count >= 1 && h.Count <= 500, at("count"), "must be 1 to 500")
		need(h.Cores >= 1 && h.Slots >= 1 && h.Queue >= 0, at("cores"), "cores and slots must be at least 1, queue at least 0")
		need(h.Speed > 0, at("speed"), "must be positive")
		need(h.Cell >= 0, at("cell"), "must not be negative")
		need(h.ColdFrom >= 0 && h.ColdFrom <= 1, at("cold_from"), "must be 0 to 1")
		need(h.ColdFrom == 0 || h.ColdFor.Duration > 0, at("cold_from"), "goes with cold_for")
		need(!h.Cold || h.ColdFrom > 0, at("cold"), "goes with cold_from")
		need(h.WarmBy == "time" || h.WarmBy == "work", at("warm_by"), "%q is none of time, work", h.WarmBy)
		need(h.ErrorRate >= 0 && h.ErrorRate <= 1, at("error_rate"), "must be 0 to 1")
		need(h.Thrash >= 0 && h.FullTax >= 0 && h.FullTax < 1, at("thrash"), "thrash must be 0 or more, full_tax 0 to 1")
		need(h.ReportMin.Duration <= h.ReportMax.Duration, at("report_least"), "must be at most report_most")
		need(h.Body >= 0 && h.Body <= 64<<10, at("body"), "must be 0 to 65536")
		kinds = append(kinds, h.Kind)
		for n := range h.Count {
			hosts = append(hosts, HostName(h.Kind, n))
		}
	}
	for i, p := range f.Phases {
		path := fmt.Sprintf("phase.%d", i)
		need(p.Arrive == "" || p.Arrive == "poisson" || p.Arrive == "even", path+".arrivals", "%q is none of poisson, even", p.Arrive)
		need(p.Rush == "" || slices.Contains(classes, p.Rush), path+".rush", "%q is no class, known are %s", p.Rush, strings.Join(classes, ", "))
		if err := p.model().Check(); err != nil {
			in.Fault(path, "%v", err)
		}
	}
	length := f.Length()
	known := eventFields()
	for i, e := range f.Events {
		path := fmt.Sprintf("event.%d", i)
		need(e.At.Duration >= 0 && e.At.Duration <= length, path+".at", "must be within the phases, 0s to %v", length)
		fields, ok := known[e.Do]
		if !ok {
			text := fmt.Sprintf("%q is no event", e.Do)
			names := slices.Sorted(keys(known))
			if near := tomlfile.Nearest(e.Do, names); near != "" {
				text += ", did you mean " + near + "?"
			}
			in.Fault(path+".do", "%s; known are %s", text, strings.Join(names, ", "))
			continue
		}
		for _, field := range []string{"host", "kind", "part", "count", "every", "gateway", "for", "share", "factor", "class", "fault",
			"on", "off", "lag", "faulty"} {
			need(!in.Has(path+"."+field) || slices.Contains(fields, field), path+"."+field, "does not go with %s", e.Do)
		}
		need(e.Host == "" || slices.Contains(hosts, e.Host), path+".host", "%q is no host, known are %s", e.Host, strings.Join(hosts, ", "))
		need(e.Kind == "" || slices.Contains(kinds, e.Kind), path+".kind", "%q is no kind, known are %s", e.Kind, strings.Join(kinds, ", "))
		need(e.Class == "" || slices.Contains(classes, e.Class), path+".class", "%q is no class, known are %s", e.Class, strings.Join(classes, ", "))
		need(e.Part >= 0 && e.Part <= 1, path+".part", "must be 0 to 1")
		need(e.Count >= 0, path+".count", "must not be negative")
		need(e.Share >= 0 && e.Share <= 1, path+".share", "must be 0 to 1")
		need(e.Gateway >= -1 && e.Gateway < f.Gateways.Count, path+".gateway", "must be -1 to %d", f.Gateways.Count-1)
		need(e.For.Duration >= 0, path+".for", "must not be negative")
		faults := make([]string, 0, 12)
		for _, x := range emulation.Faults() {
			faults = append(faults, string(x))
		}
		need(e.Do != "host-spoil" || slices.Contains(faults, e.Fault), path+".fault", "%q is none of %s", e.Fault, strings.Join(faults, ", "))
		need((e.Do != "host-slow" && e.Do != "heavy") || e.Factor > 0, path+".factor", "must be positive")
		need(e.Do != "heavy" || e.Class != "", path+".class", "heavy needs a class")
		need(e.Do != "host-pause" && e.Do != "heavy" || e.For.Duration > 0, path+".for", "%s needs a time", e.Do)
	}
}

func keys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Length is how long the load lasts.
func (f *File) Length() time.Duration { return load.Length(f.phases()) }

func (f *File) phases() []load.Phase {
	var out []load.Phase
	for _, p := range f.Phases {
		out = append(out, p.model())
	}
	return out
}

func (f *File) classes() []load.Class {
	var out []load.Class
	for _, c := range f.Classes {
		out = append(out, load.Class{Name: c.Name, Share: c.Share, Unsafe: c.Unsafe, Keyed: c.Keyed, Worth: c.Worth,
			Aim: c.Aim.Duration, Patience: c.Patience.Duration, Body: c.Body})
	}
	return out
}

func (p Phase) model() load.Phase {
	return load.Phase{For: p.For.Duration, Rate: p.Rate, To: p.To, Steps: p.Steps, Jump: p.Jump, JumpAt: p.JumpAt.Duration,
		JumpFor: p.JumpFor.Duration, Rush: p.Rush, RushTo: p.RushTo, Poisson: p.Arrive != "even"}
}

func (w Work) model() hostmodel.Work {
	return hostmodel.Work{Dist: w.Dist, Mean: w.Mean.Duration, CV: w.CV}
}

func (c Clients) model() load.Clients {
	return load.Clients{Retries: c.Retries, Backoff: c.Backoff, Wait: c.Wait.Duration, Honour: c.Honour,
		MostAfter: c.MostAfter.Duration, TryShare: c.TryShare, Marks: c.Marks, Connections: c.Connections,
		KeepFor: c.KeepFor, SlowShare: c.SlowShare, SlowFor: c.SlowFor.Duration, Silent: c.Silent}
}

// cell is the number of a host's cell over the whole fleet. A host that replaces another gets the cell that its number
// falls into.
func (f *File) cell(h Hosts, n int) int {
	before := 0
	for _, other := range f.Hosts {
		size := other.Cell
		if size == 0 {
			size = max(1, other.Count)
		}
		if other.Kind == h.Kind {
			return before + n%max(1, other.Count)/size
		}
		before += (other.Count + size - 1) / size
	}
	return before
}

// HostName names a host of a kind by its number.
func HostName(kind string, n int) string { return fmt.Sprintf("%s-%d", kind, n) }

// Spec is the model of one host.
func (f *File) Spec(h Hosts, n int) hostmodel.Spec {
	work := make(map[string]hostmodel.Work)
	for _, c := range f.Classes {
		work[c.Name] = c.Work.model()
	}
	return hostmodel.Spec{Name: HostName(h.Kind, n), Site: h.Site, Kind: h.Kind, Cores: h.Cores, Speed: h.Speed, Slots: h.Slots,
		Queue: h.Queue, ThrashAt: h.ThrashAt, Thrash: h.Thrash,
		Cold: hostmodel.Cold{From: h.ColdFrom, For: h.ColdFor.Duration, ByWork: h.WarmBy == "work", FallMultiple: h.Fall,
			FallFor: h.FallFor.Duration},
		Pause:     hostmodel.Pause{Every: h.PauseEvery.Duration, For: h.PauseFor.Duration, Grow: h.PauseGrow},
		ErrorRate: h.ErrorRate, Conns: h.Conns, FullTax: h.FullTax, HandshakeWork: h.Handshake.Duration,
		Report: hostmodel.Report{Least: h.ReportMin.Duration, Most: h.ReportMax.Duration, Delay: h.ReportLate.Duration, Noise: h.Noise},
		Body:   h.Body, Work: work}
}

// Shape is a load's course in a file of its own: phases and, if stated, how clients act.
type Shape struct {
	Clients Clients `toml:"clients"`
	Phases  []Phase `toml:"phase"`
}

// LoadShape reads a shape for the given classes. The error holds everything that is wrong.
func LoadShape(path string, classes []load.Class) ([]load.Phase, *load.Clients, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	var s Shape
	in := tomlfile.Read(path, text, &s)
	if err := in.Err(); err != nil {
		return nil, nil, err
	}
	if len(s.Phases) == 0 {
		in.Fault("phase", "at least one is needed")
	}
	var out []load.Phase
	for i, p := range s.Phases {
		at := fmt.Sprintf("phase.%d", i)
		if err := p.model().Check(); err != nil {
			in.Fault(at, "%v", err)
		}
		if p.Rush != "" && !slices.ContainsFunc(classes, func(c load.Class) bool { return c.Name == p.Rush }) {
			in.Fault(at+".rush", "%q is no class of this run", p.Rush)
		}
		if p.Arrive != "" && p.Arrive != "poisson" && p.Arrive != "even" {
			in.Fault(at+".arrivals", "%q is none of poisson, even", p.Arrive)
		}
		out = append(out, p.model())
	}
	var clients *load.Clients
	if in.Has("clients") {
		c := s.Clients.model()
		clients = &c
	}
	return out, clients, in.Err()
}
