// Package scale simulates the control traffic of a whole fleet in one process on a virtual clock. Its gateways run the
// real reducers of the membership view and of the configuration distribution, without client traffic. Some of them,
// the full gateways, also hold the whole endpoint list, divide it among the gateways and read the settings. It measures
// bytes, processor time and memory, and how soon crashes, joins and configuration changes are known.
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

// Options holds the size of a fleet and the events and faults of a run.
type Options struct {
	Gateways, Hosts, Services, Tenants, Routes int
	Zones, Regions                             int
	Full                                       int           // full gateways: they also hold list, division, settings
	Seed                                       uint64        // of all random decisions
	For                                        time.Duration // length of the measured period in virtual time
	Loss                                       float64       // share of the datagrams and frames that is lost
	Stalls                                     float64       // share of the gateways that is paused for 2 s in every 10 s
	Restarts, Failures                         int           // number of them in the measured period
	// Changes is the number of configuration changes in the measured period; below 0 there are no control machines.
	Changes int
	Faults  []Fault
}

// FaultKind is the kind of a Fault, under its name in files and on the command line.
type FaultKind string

// The fault kinds.
const (
	RackFails        FaultKind = "rack"   // all gateways of a rack crash at once
	ZoneFails        FaultKind = "zone"   // all gateways and control machines of a zone crash at once
	RegionsPartition FaultKind = "parted" // messages between regions are dropped
	LossRises        FaultKind = "loss"   // Share of the datagrams and frames is lost
	GatewaysStop     FaultKind = "stalls" // Share of the gateways is paused for the fault's duration
)

// faultKinds returns all fault kinds.
func faultKinds() []FaultKind {
	return []FaultKind{RackFails, ZoneFails, RegionsPartition, LossRises, GatewaysStop}
}

// Fault is a fault with a planned time.
type Fault struct {
	Kind  FaultKind
	At    time.Duration // since the begin of the measured period
	For   time.Duration // duration; crashed processes start again after it
	Share float64       // for LossRises and GatewaysStop only
}

// Defaults returns the size expected of the fleet in two years, without faults.
func Defaults() Options {
	return Options{Gateways: 870, Hosts: 7700, Services: 390, Tenants: 44_000, Routes: 4100, Zones: 7,
		Regions: 2, Full: 2, Seed: 1,
		For: 60 * time.Second, Changes: -1}
}

// Limits of the options.
const (
	minGateways     = 3
	maxTenants      = 200_000
	maxRoutes       = 50_000
	maxServices     = 5_000
	maxZones        = 64
	maxRegions      = 8
	maxFull         = 16
	minMeasuredTime = time.Second
	maxMeasuredTime = 24 * time.Hour
	maxEvents       = 20_000 // limit of the restarts, of the failures and of the changes
	maxFaults       = 100
)

// FieldError reports an option whose value cannot be used.
type FieldError struct {
	Field  string // key of the option in a file
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// Check returns an error for each option that cannot be used.
func (o *Options) Check() (invalid []*FieldError) {
	addError := func(field, format string, args ...any) {
		invalid = append(invalid, &FieldError{field, fmt.Sprintf(format, args...)})
	}
	for _, b := range []struct {
		field            string
		value, low, high int
	}{
		{"gateways", o.Gateways, minGateways, membership.MaxMembers},
		{"hosts", o.Hosts, 1, assignment.MaxEndpoints},
		{"services", o.Services, 1, maxServices},
		{"tenants", o.Tenants, 0, maxTenants},
		{"routes", o.Routes, 1, maxRoutes},
		{"zones", o.Zones, 1, maxZones},
		{"regions", o.Regions, 1, maxRegions},
		{"full", o.Full, 0, maxFull},
		{"restarts", o.Restarts, 0, maxEvents},
		{"failures", o.Failures, 0, maxEvents},
		{"changes", o.Changes, -1, maxEvents},
	} {
		if b.value < b.low || b.value > b.high {
			addError(b.field, "%d, but %d to %d is needed", b.value, b.low, b.high)
		}
	}
	if o.Regions > o.Zones {
		addError("regions", "%d regions have %d zones: each needs one at least", o.Regions, o.Zones)
	}
	if o.Full > o.Gateways {
		addError("full", "%d full gateways, but the fleet has only %d gateways", o.Full, o.Gateways)
	}
	if o.For < minMeasuredTime || o.For > maxMeasuredTime {
		addError("for", "%v, but %v to %v is needed", o.For, minMeasuredTime, maxMeasuredTime)
	}
	if !(o.Loss >= 0 && o.Loss < 1) {
		addError("loss", "%v, but 0 to under 1 is needed", o.Loss)
	}
	if !(o.Stalls >= 0 && o.Stalls <= 0.5) {
		addError("stalls", "%v, but 0 to 0.5 is needed", o.Stalls)
	}
	if len(o.Faults) > maxFaults {
		addError("fault", "%d, but %d at most", len(o.Faults), maxFaults)
	}
	for i, f := range o.Faults {
		invalid = append(invalid, f.check(fmt.Sprintf("fault.%d.", i), o)...)
	}
	return invalid
}

// check returns an error for each field of the fault that cannot be used; path is the prefix of their keys.
func (f *Fault) check(path string, o *Options) (invalid []*FieldError) {
	addError := func(field, format string, args ...any) {
		invalid = append(invalid, &FieldError{path + field, fmt.Sprintf(format, args...)})
	}
	if !slices.Contains(faultKinds(), f.Kind) {
		addError("do", "%q is none of %s", f.Kind, faultKindNames())
	}
	if f.At < 0 || f.At > o.For {
		addError("at", "%v, but 0s to %v is needed, the length of the run", f.At, o.For)
	}
	if f.For <= 0 || f.For > maxMeasuredTime {
		addError("for", "%v, but above 0s to %v is needed", f.For, maxMeasuredTime)
	}
	needsShare := f.Kind == LossRises || f.Kind == GatewaysStop
	switch {
	case needsShare && !(f.Share > 0 && f.Share < 1):
		addError("share", "%v, but above 0 to under 1 is needed", f.Share)
	case !needsShare && f.Share != 0:
		addError("share", "is allowed only for loss and stalls")
	}
	if f.Kind == RegionsPartition && o.Regions < 2 {
		addError("do", "parted needs at least two regions")
	}
	return invalid
}

// faultKindNames returns the names of all fault kinds, separated by commas.
func faultKindNames() string {
	var names []string
	for _, k := range faultKinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}

// optionsFile is the form of an options file.
type optionsFile struct {
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

// Load reads the file at path and returns base with the file's options applied. The error lists all mistakes in the
// file, each with file, line and column.
func Load(path string, base Options) (Options, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return base, err
	}
	return Parse(path, raw, base)
}

// Parse is Load for the content of a file; path serves for error messages only.
func Parse(path string, raw []byte, base Options) (Options, error) {
	var form optionsFile
	in := tomlfile.Read(path, raw, &form)
	if err := in.Err(); err != nil {
		return base, err
	}
	out := base
	form.apply(&out)
	for _, wrong := range out.Check() {
		in.AddFault(wrong.Field, "%s", wrong.Reason)
	}
	if err := in.Err(); err != nil {
		return base, err
	}
	return out, nil
}

// apply overwrites the options that the file contains, and adds its faults.
func (form *optionsFile) apply(o *Options) {
	setIfPresent(&o.Gateways, form.Gateways)
	setIfPresent(&o.Hosts, form.Hosts)
	setIfPresent(&o.Services, form.Services)
	setIfPresent(&o.Tenants, form.Tenants)
	setIfPresent(&o.Routes, form.Routes)
	setIfPresent(&o.Zones, form.Zones)
	setIfPresent(&o.Regions, form.Regions)
	setIfPresent(&o.Full, form.Full)
	setIfPresent(&o.Seed, form.Seed)
	setIfPresent(&o.Loss, form.Loss)
	setIfPresent(&o.Stalls, form.Stalls)
	setIfPresent(&o.Restarts, form.Restarts)
	setIfPresent(&o.Failures, form.Failures)
	setIfPresent(&o.Changes, form.Changes)
	if form.For != nil {
		o.For = form.For.Duration
	}
	for _, f := range form.Faults {
		o.Faults = append(o.Faults, Fault{FaultKind(f.Do), f.At.Duration, f.For.Duration, f.Share})
	}
}

// setIfPresent sets *target to *value unless value is nil.
func setIfPresent[T any](target, value *T) {
	if value != nil {
		*target = *value
	}
}

// ParseFault parses a fault in the form of the command line: KIND@AT+FOR, followed by =SHARE for loss and stalls.
func ParseFault(text string) (f Fault, err error) {
	const form = "KIND@AT+FOR or KIND@AT+FOR=SHARE, such as zone@20s+30s or loss@10s+5s=0.2"
	kind, rest, ok := strings.Cut(text, "@")
	times, share, hasShare := strings.Cut(rest, "=")
	at, length, hasLength := strings.Cut(times, "+")
	if !ok || !hasLength {
		return f, fmt.Errorf("%q is not %s", text, form)
	}
	f.Kind = FaultKind(kind)
	if f.At, err = time.ParseDuration(at); err != nil {
		return f, fmt.Errorf("%q: %q is no time; wanted %s", text, at, form)
	}
	if f.For, err = time.ParseDuration(length); err != nil {
		return f, fmt.Errorf("%q: %q is no time; wanted %s", text, length, form)
	}
	if hasShare {
		if _, err = fmt.Sscanf(share, "%g", &f.Share); err != nil {
			return f, fmt.Errorf("%q: %q is no share; wanted %s", text, share, form)
		}
	}
	return f, nil
}
