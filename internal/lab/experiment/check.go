package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/tomlfile"
)

// optionalEventFields returns the names of the fields that only some kinds of events may have.
func optionalEventFields() []string {
	return []string{"host", "kind", "part", "count", "every", "gateway", "for", "share", "factor", "class", "fault",
		"on", "off", "lag", "faulty"}
}

// checker collects every fault of an experiment file that prevents its run, with line and column.
type checker struct {
	file                          *File
	input                         *tomlfile.File
	classes, kinds, hosts, faults []string // defined names; classes, kinds and hosts are added during the check
}

// require adds a fault of the file, at the field that path names and with the formatted text, unless ok is true.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok {
		c.input.AddFault(path, format, args...)
	}
}

// checkGateways adds the faults of the experiment's name and of the gateways.
func (c *checker) checkGateways() {
	f := c.file
	c.require(f.Name != "" && !strings.ContainsAny(f.Name, " /\\"), "name", "must be one word")
	c.require(f.Gateways.Count >= 1 && f.Gateways.Count <= 64, "gateways.count", "must be 1 to 64")
	c.require(f.Gateways.Cores > 0 && f.Gateways.Cores <= 64, "gateways.cores", "must be over 0 and at most 64")
	c.require(f.Gateways.MemoryMB >= 16, "gateways.memory_mb", "must be at least 16")
	c.require(f.Gateways.Sockets >= 64 && f.Gateways.Sockets <= 1<<20, "gateways.sockets", "must be 64 to 1048576")
}

func (c *checker) checkClients() {
	f := c.file
	c.require(f.Clients.Retries >= 0 && f.Clients.Retries <= 100, "clients.retries", "must be 0 to 100")
	c.require(f.Clients.Backoff == "fixed" || f.Clients.Backoff == "exp", "clients.backoff",
		"%q is none of fixed, exp", f.Clients.Backoff)
	c.require(f.Clients.Honour >= 0 && f.Clients.Honour <= 1, "clients.honour", "must be 0 to 1")
	c.require(f.Clients.TryShare >= 0 && f.Clients.TryShare <= 1, "clients.try_share", "must be 0 to 1")
	c.require(f.Clients.SlowShare >= 0 && f.Clients.SlowShare <= 1, "clients.slow_share", "must be 0 to 1")
	c.require(f.Clients.Connections >= 0 && f.Clients.Silent >= 0 && f.Clients.RequestsPerConnection >= 0, "clients",
		"counts must not be negative")
	c.require(f.Clients.Wait.Duration >= 0 && f.Clients.SlowFor.Duration >= 0, "clients", "times must not be negative")
}

// checkClass adds the faults of the i-th class and records its name.
func (c *checker) checkClass(i int, class Class) {
	fieldPath := func(field string) string { return fmt.Sprintf("class.%d.%s", i, field) }
	c.require(class.Name != "" && !strings.ContainsAny(class.Name, " /,?"), fieldPath("name"),
		"must be one word that fits in a path")
	c.require(!slices.Contains(c.classes, class.Name), fieldPath("name"), "%q is there already", class.Name)
	c.require(class.Share > 0, fieldPath("share"), "must be positive")
	c.require(class.Weight >= 0, fieldPath("worth"), "must not be negative")
	c.require(class.Timeout.Duration > 0, fieldPath("patience"), "must be positive")
	c.require(class.LatencyObjective.Duration > 0 && class.LatencyObjective.Duration <= class.Timeout.Duration, fieldPath("aim"),
		"must be over 0 and at most patience")
	c.require(class.Body >= 0 && class.Body <= 64<<10 && (class.Unsafe || class.Keyed || class.Body == 0),
		fieldPath("body"), "must be 0 to 65536, for unsafe and keyed classes only")
	c.require(!class.Unsafe || !class.Keyed, fieldPath("keyed"), "does not go with unsafe")
	c.require(class.Window.Duration >= 0 && (class.Keyed || class.Window.Duration == 0), fieldPath("window"),
		"goes with keyed")
	c.require(class.LateWeight >= 0 && class.LateWeight <= 1, fieldPath("late_worth"), "must be 0 to 1")
	if err := class.Work.workModel().Check(); err != nil {
		c.input.AddFault(fieldPath("work"), "%v", err)
	}
	c.classes = append(c.classes, class.Name)
}

// checkHosts adds the faults of the i-th kind of hosts and records the names of the kind and its hosts.
func (c *checker) checkHosts(i int, h Hosts) {
	fieldPath := func(field string) string { return fmt.Sprintf("hosts.%d.%s", i, field) }
	c.require(h.Kind != "" && !strings.ContainsAny(h.Kind, " /,"), fieldPath("kind"), "must be one word")
	c.require(!slices.Contains(c.kinds, h.Kind), fieldPath("kind"), "%q is there already", h.Kind)
	c.require(h.Count >= 1 && h.Count <= 500, fieldPath("count"), "must be 1 to 500")
	c.require(h.Cores >= 1 && h.Slots >= 1 && h.Queue >= 0, fieldPath("cores"),
		"cores and slots must be at least 1, queue at least 0")
	c.require(h.Speed > 0, fieldPath("speed"), "must be positive")
	c.require(h.Cell >= 0, fieldPath("cell"), "must not be negative")
	c.require(h.ColdFrom >= 0 && h.ColdFrom <= 1, fieldPath("cold_from"), "must be 0 to 1")
	c.require(h.ColdFrom == 0 || h.ColdFor.Duration > 0, fieldPath("cold_from"), "goes with cold_for")
	c.require(!h.StartsCold || h.ColdFrom > 0, fieldPath("cold"), "goes with cold_from")
	c.require(h.WarmBy == "time" || h.WarmBy == "work", fieldPath("warm_by"), "%q is none of time, work", h.WarmBy)
	c.require(h.ErrorRate >= 0 && h.ErrorRate <= 1, fieldPath("error_rate"), "must be 0 to 1")
	c.require(h.Thrash >= 0 && h.FullTax >= 0 && h.FullTax < 1, fieldPath("thrash"),
		"thrash must be 0 or more, full_tax 0 to 1")
	c.require(h.ReportMin.Duration <= h.ReportMax.Duration, fieldPath("report_least"), "must be at most report_most")
	c.require(h.Body >= 0 && h.Body <= 64<<10, fieldPath("body"), "must be 0 to 65536")
	c.kinds = append(c.kinds, h.Kind)
	for n := range h.Count {
		c.hosts = append(c.hosts, HostName(h.Kind, n))
	}
}

func (c *checker) checkPhase(i int, p Phase) {
	path := fmt.Sprintf("phase.%d", i)
	c.require(p.Arrivals == "" || p.Arrivals == "poisson" || p.Arrivals == "even", path+".arrivals",
		"%q is none of poisson, even", p.Arrivals)
	c.require(p.Rush == "" || slices.Contains(c.classes, p.Rush), path+".rush", "%q is no class, known are %s",
		p.Rush, strings.Join(c.classes, ", "))
	if err := p.loadPhase().Check(); err != nil {
		c.input.AddFault(path, "%v", err)
	}
}

// checkEvent adds the faults of the i-th event. length is the duration of the load; fieldsByEvent gives the optional
// fields that each kind of event allows.
func (c *checker) checkEvent(i int, e Event, length time.Duration, fieldsByEvent map[string][]string) {
	path := fmt.Sprintf("event.%d", i)
	c.require(e.At.Duration >= 0 && e.At.Duration <= length, path+".at", "must be within the phases, 0s to %v", length)
	fields, ok := fieldsByEvent[e.Do]
	if !ok {
		c.addUnknownEvent(path, e.Do, fieldsByEvent)
		return
	}
	for _, field := range optionalEventFields() {
		c.require(!c.input.Has(path+"."+field) || slices.Contains(fields, field), path+"."+field,
			"does not go with %s", e.Do)
	}
	c.require(e.Host == "" || slices.Contains(c.hosts, e.Host), path+".host", "%q is no host, known are %s",
		e.Host, strings.Join(c.hosts, ", "))
	c.require(e.Kind == "" || slices.Contains(c.kinds, e.Kind), path+".kind", "%q is no kind, known are %s",
		e.Kind, strings.Join(c.kinds, ", "))
	c.require(e.Class == "" || slices.Contains(c.classes, e.Class), path+".class", "%q is no class, known are %s",
		e.Class, strings.Join(c.classes, ", "))
	c.require(e.Fraction >= 0 && e.Fraction <= 1, path+".part", "must be 0 to 1")
	c.require(e.Count >= 0, path+".count", "must not be negative")
	c.require(e.Share >= 0 && e.Share <= 1, path+".share", "must be 0 to 1")
	c.require(e.Gateway >= -1 && e.Gateway < c.file.Gateways.Count, path+".gateway", "must be -1 to %d",
		c.file.Gateways.Count-1)
	c.require(e.For.Duration >= 0, path+".for", "must not be negative")
	c.checkRequiredFields(path, e)
}

// checkRequiredFields adds a fault for each field that this kind of event requires and that is missing or invalid.
func (c *checker) checkRequiredFields(path string, e Event) {
	c.require(e.Do != "host-spoil" || slices.Contains(c.faults, e.Fault), path+".fault", "%q is none of %s",
		e.Fault, strings.Join(c.faults, ", "))
	c.require((e.Do != "host-slow" && e.Do != "heavy") || e.Factor > 0, path+".factor", "must be positive")
	c.require(e.Do != "heavy" || e.Class != "", path+".class", "heavy needs a class")
	c.require(e.Do != "host-pause" && e.Do != "heavy" || e.For.Duration > 0, path+".for", "%s needs a time", e.Do)
}

// addUnknownEvent adds a fault for an unknown kind of event and suggests the known name that is closest to it.
func (c *checker) addUnknownEvent(path, name string, fieldsByEvent map[string][]string) {
	text := fmt.Sprintf("%q is no event", name)
	names := slices.Sorted(keys(fieldsByEvent))
	if closest := tomlfile.ClosestMatch(name, names); closest != "" {
		text += ", did you mean " + closest + "?"
	}
	c.input.AddFault(path+".do", "%s; known are %s", text, strings.Join(names, ", "))
}

// check adds to in every fault of the experiment that prevents its run.
func (f *File) check(in *tomlfile.File) {
	c := &checker{file: f, input: in}
	for _, fault := range emulation.Faults() {
		c.faults = append(c.faults, string(fault))
	}
	c.checkGateways()
	c.checkClients()
	c.require(len(f.Classes) > 0, "class", "at least one is needed")
	c.require(len(f.Hosts) > 0, "hosts", "at least one kind is needed")
	c.require(len(f.Phases) > 0, "phase", "at least one is needed")
	for i, class := range f.Classes {
		c.checkClass(i, class)
	}
	for i, hosts := range f.Hosts {
		c.checkHosts(i, hosts)
	}
	for i, phase := range f.Phases {
		c.checkPhase(i, phase)
	}
	length, fieldsByEvent := f.Length(), eventFields()
	for i, event := range f.Events {
		c.checkEvent(i, event, length, fieldsByEvent)
	}
}

// keys returns an iterator over the keys of m.
func keys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}
