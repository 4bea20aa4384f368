package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/tomlfile"
)

// optionalEventFields are the fields of which each event has some.
func optionalEventFields() []string {
	return []string{"host", "kind", "part", "count", "every", "gateway", "for", "share", "factor", "class", "fault",
		"on", "off", "lag", "faulty"}
}

// checker notes everything in a file that cannot be played, at its line and column.
type checker struct {
	file                          *File
	in                            *tomlfile.File
	classes, kinds, hosts, faults []string // names known so far
}

// need notes a fault at a field unless it is as it must be.
func (c *checker) need(ok bool, path, format string, args ...any) {
	if !ok {
		c.in.AddFault(path, format, args...)
	}
}

func (c *checker) checkGateways() {
	f := c.file
	c.need(f.Name != "" && !strings.ContainsAny(f.Name, " /\\"), "name", "must be one word")
	c.need(f.Gateways.Count >= 1 && f.Gateways.Count <= 64, "gateways.count", "must be 1 to 64")
	c.need(f.Gateways.Cores > 0 && f.Gateways.Cores <= 64, "gateways.cores", "must be over 0 and at most 64")
	c.need(f.Gateways.MemoryMB >= 16, "gateways.memory_mb", "must be at least 16")
	c.need(f.Gateways.Sockets >= 64 && f.Gateways.Sockets <= 1<<20, "gateways.sockets", "must be 64 to 1048576")
}

func (c *checker) checkClients() {
	f := c.file
	c.need(f.Clients.Retries >= 0 && f.Clients.Retries <= 100, "clients.retries", "must be 0 to 100")
	c.need(f.Clients.Backoff == "fixed" || f.Clients.Backoff == "exp", "clients.backoff",
		"%q is none of fixed, exp", f.Clients.Backoff)
	c.need(f.Clients.Honour >= 0 && f.Clients.Honour <= 1, "clients.honour", "must be 0 to 1")
	c.need(f.Clients.TryShare >= 0 && f.Clients.TryShare <= 1, "clients.try_share", "must be 0 to 1")
	c.need(f.Clients.SlowShare >= 0 && f.Clients.SlowShare <= 1, "clients.slow_share", "must be 0 to 1")
	c.need(f.Clients.Connections >= 0 && f.Clients.Silent >= 0 && f.Clients.KeepFor >= 0, "clients",
		"counts must not be negative")
	c.need(f.Clients.Wait.Duration >= 0 && f.Clients.SlowFor.Duration >= 0, "clients", "times must not be negative")
}

func (c *checker) checkClass(i int, k Class) {
	at := func(field string) string { return fmt.Sprintf("class.%d.%s", i, field) }
	c.need(k.Name != "" && !strings.ContainsAny(k.Name, " /,?"), at("name"), "must be one word that fits in a path")
	c.need(!slices.Contains(c.classes, k.Name), at("name"), "%q is there already", k.Name)
	c.need(k.Share > 0, at("share"), "must be positive")
	c.need(k.Worth >= 0, at("worth"), "must not be negative")
	c.need(k.Patience.Duration > 0, at("patience"), "must be positive")
	c.need(k.Aim.Duration > 0 && k.Aim.Duration <= k.Patience.Duration, at("aim"),
		"must be over 0 and at most patience")
	c.need(k.Body >= 0 && k.Body <= 64<<10 && (k.Unsafe || k.Keyed || k.Body == 0), at("body"),
		"must be 0 to 65536, for unsafe and keyed classes only")
	c.need(!k.Unsafe || !k.Keyed, at("keyed"), "does not go with unsafe")
	c.need(k.Window.Duration >= 0 && (k.Keyed || k.Window.Duration == 0), at("window"), "goes with keyed")
	c.need(k.Late >= 0 && k.Late <= 1, at("late_worth"), "must be 0 to 1")
	if err := k.Work.model().Check(); err != nil {
		c.in.AddFault(at("work"), "%v", err)
	}
	c.classes = append(c.classes, k.Name)
}

func (c *checker) checkHosts(i int, h Hosts) {
	at := func(field string) string { return fmt.Sprintf("hosts.%d.%s", i, field) }
	c.need(h.Kind != "" && !strings.ContainsAny(h.Kind, " /,"), at("kind"), "must be one word")
	c.need(!slices.Contains(c.kinds, h.Kind), at("kind"), "%q is there already", h.Kind)
	c.need(h.Count >= 1 && h.Count <= 500, at("count"), "must be 1 to 500")
	c.need(h.Cores >= 1 && h.Slots >= 1 && h.Queue >= 0, at("cores"),
		"cores and slots must be at least 1, queue at least 0")
	c.need(h.Speed > 0, at("speed"), "must be positive")
	c.need(h.Cell >= 0, at("cell"), "must not be negative")
	c.need(h.ColdFrom >= 0 && h.ColdFrom <= 1, at("cold_from"), "must be 0 to 1")
	c.need(h.ColdFrom == 0 || h.ColdFor.Duration > 0, at("cold_from"), "goes with cold_for")
	c.need(!h.Cold || h.ColdFrom > 0, at("cold"), "goes with cold_from")
	c.need(h.WarmBy == "time" || h.WarmBy == "work", at("warm_by"), "%q is none of time, work", h.WarmBy)
	c.need(h.ErrorRate >= 0 && h.ErrorRate <= 1, at("error_rate"), "must be 0 to 1")
	c.need(h.Thrash >= 0 && h.FullTax >= 0 && h.FullTax < 1, at("thrash"), "thrash must be 0 or more, full_tax 0 to 1")
	c.need(h.ReportMin.Duration <= h.ReportMax.Duration, at("report_least"), "must be at most report_most")
	c.need(h.Body >= 0 && h.Body <= 64<<10, at("body"), "must be 0 to 65536")
	c.kinds = append(c.kinds, h.Kind)
	for n := range h.Count {
		c.hosts = append(c.hosts, HostName(h.Kind, n))
	}
}

func (c *checker) checkPhase(i int, p Phase) {
	path := fmt.Sprintf("phase.%d", i)
	c.need(p.Arrive == "" || p.Arrive == "poisson" || p.Arrive == "even", path+".arrivals",
		"%q is none of poisson, even", p.Arrive)
	c.need(p.Rush == "" || slices.Contains(c.classes, p.Rush), path+".rush", "%q is no class, known are %s",
		p.Rush, strings.Join(c.classes, ", "))
	if err := p.model().Check(); err != nil {
		c.in.AddFault(path, "%v", err)
	}
}

// checkEvent notes what is wrong with an event. length is that of the run, known the fields of each event.
func (c *checker) checkEvent(i int, e Event, length time.Duration, known map[string][]string) {
	path := fmt.Sprintf("event.%d", i)
	c.need(e.At.Duration >= 0 && e.At.Duration <= length, path+".at", "must be within the phases, 0s to %v", length)
	fields, ok := known[e.Do]
	if !ok {
		c.unknownEvent(path, e.Do, known)
		return
	}
	for _, field := range optionalEventFields() {
		c.need(!c.in.Has(path+"."+field) || slices.Contains(fields, field), path+"."+field, "does not go with %s", e.Do)
	}
	c.need(e.Host == "" || slices.Contains(c.hosts, e.Host), path+".host", "%q is no host, known are %s",
		e.Host, strings.Join(c.hosts, ", "))
	c.need(e.Kind == "" || slices.Contains(c.kinds, e.Kind), path+".kind", "%q is no kind, known are %s",
		e.Kind, strings.Join(c.kinds, ", "))
	c.need(e.Class == "" || slices.Contains(c.classes, e.Class), path+".class", "%q is no class, known are %s",
		e.Class, strings.Join(c.classes, ", "))
	c.need(e.Part >= 0 && e.Part <= 1, path+".part", "must be 0 to 1")
	c.need(e.Count >= 0, path+".count", "must not be negative")
	c.need(e.Share >= 0 && e.Share <= 1, path+".share", "must be 0 to 1")
	c.need(e.Gateway >= -1 && e.Gateway < c.file.Gateways.Count, path+".gateway", "must be -1 to %d",
		c.file.Gateways.Count-1)
	c.need(e.For.Duration >= 0, path+".for", "must not be negative")
	c.checkEventNeeds(path, e)
}

// checkEventNeeds notes what an event lacks.
func (c *checker) checkEventNeeds(path string, e Event) {
	c.need(e.Do != "host-spoil" || slices.Contains(c.faults, e.Fault), path+".fault", "%q is none of %s",
		e.Fault, strings.Join(c.faults, ", "))
	c.need((e.Do != "host-slow" && e.Do != "heavy") || e.Factor > 0, path+".factor", "must be positive")
	c.need(e.Do != "heavy" || e.Class != "", path+".class", "heavy needs a class")
	c.need(e.Do != "host-pause" && e.Do != "heavy" || e.For.Duration > 0, path+".for", "%s needs a time", e.Do)
}

// unknownEvent notes an event that does not exist, and what may have been meant.
func (c *checker) unknownEvent(path, name string, known map[string][]string) {
	text := fmt.Sprintf("%q is no event", name)
	names := slices.Sorted(keys(known))
	if near := tomlfile.ClosestMatch(name, names); near != "" {
		text += ", did you mean " + near + "?"
	}
	c.in.AddFault(path+".do", "%s; known are %s", text, strings.Join(names, ", "))
}

// check notes everything that cannot be played.
func (f *File) check(in *tomlfile.File) {
	c := &checker{file: f, in: in}
	for _, fault := range emulation.Faults() {
		c.faults = append(c.faults, string(fault))
	}
	c.checkGateways()
	c.checkClients()
	c.need(len(f.Classes) > 0, "class", "at least one is needed")
	c.need(len(f.Hosts) > 0, "hosts", "at least one kind is needed")
	c.need(len(f.Phases) > 0, "phase", "at least one is needed")
	for i, class := range f.Classes {
		c.checkClass(i, class)
	}
	for i, hosts := range f.Hosts {
		c.checkHosts(i, hosts)
	}
	for i, phase := range f.Phases {
		c.checkPhase(i, phase)
	}
	length, known := f.Length(), eventFields()
	for i, event := range f.Events {
		c.checkEvent(i, event, length, known)
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
