// Package scale plays a whole fleet's control in one process on a virtual clock: hollow gateways, which
// have the real reducers of the fleet's view and of the distribution of configuration, and no client
// traffic; some of them also hold the whole list of hosts, divide it and read the settings. It measures
// bytes, processor time, memory, and how soon what happens is known.
package scale

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"thymebend/internal/assignment"
	"thymebend/internal/membership"
	"thymebend/internal/tomlfile"
)

// Options are a fleet's size and what happens to it.
type Options struct {
	Gateways, Hosts, Services, Tenants, Routes int
	Zones, Regions                             int
	Full                                       int           // gateways that hold lists, divisions and settings
	Seed                                       uint64        // of all that is random
	For                                        time.Duration // measured, of virtual time
	Loss                                       float64       // share of the datagrams and frames
	Stalls                                     float64       // share of the gateways stopped for 2 s in every 10
	Restarts, Failures                         int           // pressed into the measured time
	// of configuration, pressed into it; below 0: no control machines
	Changes int
	Faults  []Fault
}

// FaultKind is a trouble with a time of its own.
type FaultKind string

// The kinds.
const (
	RackFails    FaultKind = "rack"   // all gateways of a rack end at once
	ZoneFails    FaultKind = "zone"   // all gateways of a zone end at once, with its control machines
	RegionsPart  FaultKind = "parted" // regions do not hear each other
	LossRises    FaultKind = "loss"   // Share of the datagrams and frames is lost
	GatewaysStop FaultKind = "stalls" // Share of the gateways is stopped for the time
)

// faultKinds lists them.
func faultKinds() []FaultKind {
	return []FaultKind{RackFails, ZoneFails, RegionsPart, LossRises, GatewaysStop}
}

// Fault is one trouble.
type Fault struct {
	Kind  FaultKind
	At    time.Duration // after the measured time's begin
	For   time.Duration // until it is over, and what failed starts again
	Share float64       // for LossRises and GatewaysStop
}

// Defaults is the size that the fleet is to have in two years, without troubles.
func Defaults() Options {
	return Options{Gateways: 870, Hosts: 7700, Services: 390, Tenants: 44_000, Routes: 4100, Zones: 7,
		Regions: 2, Full: 2, Seed: 1,
		For: 60 * time.Second, Changes: -1}
}

// Bounds of the options.
const (
	leastGateways = 3
	mostTenants   = 200_000
	mostRoutes    = 50_000
	mostServices  = 5_000
	mostZones     = 64
	mostRegions   = 8
	mostFull      = 16
	leastFor      = time.Second
	mostFor       = 24 * time.Hour
	mostEvents    = 20_000 // restarts, failures or changes
	mostFaults    = 100
)

// FieldError is an option that cannot be used.
type FieldError struct {
	Field string // as the file names it
	Text  string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Text }

// Check returns all that is wrong with the options.
func (o *Options) Check() (wrong []*FieldError) {
	fault := func(field, format string, args ...any) {
		wrong = append(wrong, &FieldError{field, fmt.Sprintf(format, args...)})
	}
	for _, b := range []struct {
		field              string
		value, least, most int
	}{
		{"gateways", o.Gateways, leastGateways, membership.MaxMembers},
		{"hosts", o.Hosts, 1, assignment.MaxEndpoints},
		{"services", o.Services, 1, mostServices},
		{"tenants", o.Tenants, 0, mostTenants},
		{"routes", o.Routes, 1, mostRoutes},
		{"zones", o.Zones, 1, mostZones},
		{"regions", o.Regions, 1, mostRegions},
		{"full", o.Full, 0, mostFull},
		{"restarts", o.Restarts, 0, mostEvents},
		{"failures", o.Failures, 0, mostEvents},
		{"changes", o.Changes, -1, mostEvents},
	} {
		if b.value < b.least || b.value > b.most {
			fault(b.field, "%d, but %d to %d is needed", b.value, b.least, b.most)
		}
	}
	if o.Regions > o.Zones {
		fault("regions", "%d regions have %d zones: each needs one at least", o.Regions, o.Zones)
	}
	if o.Full > o.Gateways {
		fault("full", "%d of %d gateways", o.Full, o.Gateways)
	}
	if o.For < leastFor || o.For > mostFor {
		fault("for", "%v, but %v to %v is needed", o.For, leastFor, mostFor)
	}
	if !(o.Loss >= 0 && o.Loss < 1) {
		fault("loss", "%v, but 0 to under 1 is needed", o.Loss)
	}
	if !(o.Stalls >= 0 && o.Stalls <= 0.5) {
		fault("stalls", "%v, but 0 to 0.5 is needed", o.Stalls)
	}
	if len(o.Faults) > mostFaults {
		fault("fault", "%d, but %d at most", len(o.Faults), mostFaults)
	}
	for i, f := range o.Faults {
		wrong = append(wrong, f.check(fmt.Sprintf("fault.%d.", i), o)...)
	}
	return wrong
}

func (f *Fault) check(path string, o *Options) (wrong []*FieldError) {
	fault := func(field, format string, args ...any) {
		wrong = append(wrong, &FieldError{path + field, fmt.Sprintf(format, args...)})
	}
	if !slices.Contains(faultKinds(), f.Kind) {
		fault("do", "%q is none of %s", f.Kind, kindNames())
	}
	if f.At < 0 || f.At > o.For {
		fault("at", "%v, but 0s to %v is needed, the length of the run", f.At, o.For)
	}
	if f.For <= 0 || f.For > mostFor {
		fault("for", "%v, but above 0s to %v is needed", f.For, mostFor)
	}
	shared := f.Kind == LossRises || f.Kind == GatewaysStop
	switch {
	case shared && !(f.Share > 0 && f.Share < 1):
		fault("share", "%v, but above 0 to under 1 is needed", f.Share)
	case !shared && f.Share != 0:
		fault("share", "goes with loss and stalls alone")
	}
	if f.Kind == RegionsPart && o.Regions < 2 {
		fault("do", "one region cannot be parted")
	}
	return wrong
}

func kindNames() string {
	var names []string
	for _, k := range faultKinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// fileForm is a file of options.
type fileForm struct {
	Gateways *int               `toml:"gateways"`
	Hosts    *int               `toml:"hosts"`
	Services *int               `toml:"services"`
	Tenants  *int               `toml:"tenants"`
	Routes   *int               `toml:"routes"`
	Zones    *int               `toml:"zones"`
	Regions  *int               `toml:"regions"`
	Full     *int               `toml:"full"`
	Seed     *uint64            `toml:"seed"`
	For      *tomlfile.Duration `toml:"for"`
	Loss     *float64           `toml:"loss"`
	Stalls   *float64           `toml:"stalls"`
	Restarts *int               `toml:"restarts"`
	Failures *int               `toml:"failures"`
	Changes  *int               `toml:"changes"`
	Faults   []struct {
		Do    string            `toml:"do"`
		At    tomlfile.Duration `toml:"at"`
		For   tomlfile.Duration `toml:"for"`
		Share float64           `toml:"share"`
	} `toml:"fault"`
}

// Load reads a file over some options. The error holds all that is wrong with it, with file, line and column.
func Load(path string, over Options) (Options, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return over, err
	}
	return Parse(path, raw, over)
}

// Parse does so with a text at hand.
func Parse(path string, raw []byte, over Options) (Options, error) {
	var form fileForm
	in := tomlfile.Read(path, raw, &form)
	if err := in.Err(); err != nil {
		return over, err
	}
	out := over
	form.apply(&out)
	for _, wrong := range out.Check() {
		in.AddFault(wrong.Field, "%s", wrong.Text)
	}
	if err := in.Err(); err != nil {
		return over, err
	}
	return out, nil
}

func (form *fileForm) apply(o *Options) {
	set(&o.Gateways, form.Gateways)
	set(&o.Hosts, form.Hosts)
	set(&o.Services, form.Services)
	set(&o.Tenants, form.Tenants)
	set(&o.Routes, form.Routes)
	set(&o.Zones, form.Zones)
	set(&o.Regions, form.Regions)
	set(&o.Full, form.Full)
	set(&o.Seed, form.Seed)
	set(&o.Loss, form.Loss)
	set(&o.Stalls, form.Stalls)
	set(&o.Restarts, form.Restarts)
	set(&o.Failures, form.Failures)
	set(&o.Changes, form.Changes)
	if form.For != nil {
		o.For = form.For.Duration
	}
	for _, f := range form.Faults {
		o.Faults = append(o.Faults, Fault{FaultKind(f.Do), f.At.Duration, f.For.Duration, f.Share})
	}
}

func set[T any](to, from *T) {
	if from != nil {
		*to = *from
	}
}

// ParseFault reads a fault as the command line has it: KIND@AT+FOR, and for loss and stalls =SHARE behind it.
func ParseFault(text string) (f Fault, err error) {
	const form = "KIND@AT+FOR or KIND@AT+FOR=SHARE, such as zone@20s+30s or loss@10s+5s=0.2"
	kind, rest, ok := strings.Cut(text, "@")
	times, share, shared := strings.Cut(rest, "=")
	at, length, both := strings.Cut(times, "+")
	if !ok || !both {
		return f, fmt.Errorf("%q is not %s", text, form)
	}
	f.Kind = FaultKind(kind)
	if f.At, err = time.ParseDuration(at); err != nil {
		return f, fmt.Errorf("%q: %q is no time; wanted %s", text, at, form)
	}
	if f.For, err = time.ParseDuration(length); err != nil {
		return f, fmt.Errorf("%q: %q is no time; wanted %s", text, length, form)
	}
	if shared {
		if _, err = fmt.Sscanf(share, "%g", &f.Share); err != nil {
			return f, fmt.Errorf("%q: %q is no share; wanted %s", text, share, form)
		}
	}
	return f, nil
}
