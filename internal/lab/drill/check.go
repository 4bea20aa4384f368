package drill

import (
	"fmt"
	"path"
	"slices"
	"strings"
	"time"

	"thymebend/internal/assignment"
	"thymebend/internal/tomlfile"
)

// checker notes everything in a drill's file that cannot be played, at its line and column.
type checker struct {
	file  *File
	in    *tomlfile.File
	nodes []string // everybody that a path can lead from or to
}

// need notes a fault at a field unless it is as it must be.
func (c *checker) need(ok bool, at, format string, args ...any) {
	if !ok {
		c.in.AddFault(at, format, args...)
	}
}

// gateways checks a list of gateways' numbers.
func (c *checker) gateways(at string, list []int) {
	n := c.file.Gateways.Count
	for i, g := range list {
		c.need(g >= 0 && g < n, at, "%d is no gateway, there are 0 to %d", g, n-1)
		c.need(!slices.Contains(list[:i], g), at, "%d stands there twice", g)
	}
}

func (c *checker) share(at string, v float64) { c.need(v >= 0 && v <= 1, at, "must be 0 to 1") }

// path checks what happens to what is sent on a path.
func (c *checker) path(at string, p Path) {
	c.share(at+".loss", p.Loss)
	c.share(at+".double", p.Double)
	c.share(at+".reorder", p.Reorder)
	c.need(p.Delay.Duration >= 0 && p.Delay.Duration <= 5*time.Second, at+".delay", "must be 0s to 5s")
	c.need(p.Jitter.Duration >= 0 && p.Jitter.Duration <= 5*time.Second, at+".jitter", "must be 0s to 5s")
}

// names checks patterns of nodes' names.
func (c *checker) names(at string, patterns []string) {
	for _, pattern := range patterns {
		found := slices.ContainsFunc(c.nodes, func(name string) bool {
			ok, err := path.Match(pattern, name)
			return ok && err == nil
		})
		c.need(found, at, "%q is none of %s, nor a pattern of some", pattern, strings.Join(c.nodes, ", "))
	}
}

// fault checks a fault. length is that of the run.
func (c *checker) fault(at string, e Fault, length time.Duration, kinds map[string]kind) {
	c.need(e.At.Duration >= 0 && e.At.Duration <= length, at+".at", "must be within the phases, 0s to %v", length)
	kind, ok := kinds[e.Do]
	if !ok {
		c.unknownFault(at, e.Do)
		return
	}
	for _, field := range optionalFaultFields() {
		c.need(!c.in.Has(at+"."+field) || slices.Contains(kind.fields, field), at+"."+field,
			"does not go with %s", e.Do)
	}
	for _, field := range kind.needs {
		c.need(c.in.Has(at+"."+field), at+".do", "%s needs %s", e.Do, field)
	}
	c.gateways(at+".gateways", e.Gateways)
	c.need(!slices.Contains(kind.needs, "gateways") || len(e.Gateways) > 0, at+".gateways",
		"at least one is needed")
	c.share(at+".share", e.Share)
	c.need(e.For.Duration >= 0 && e.Every.Duration >= 0, at+".for", "times must not be negative")
	c.path(at, e.Path)
	c.names(at+".from", e.From)
	c.names(at+".to", e.To)
	for g, group := range e.Groups {
		c.names(fmt.Sprintf("%s.groups.%d", at, g), group)
	}
	c.need(!slices.Contains(kind.fields, "groups") || len(e.Groups) >= 2, at+".groups",
		"at least two groups are needed")
}

// unknownFault notes a fault that does not exist, and what may have been meant.
func (c *checker) unknownFault(at, name string) {
	text := fmt.Sprintf("%q is no fault", name)
	all := faultNames()
	if near := tomlfile.ClosestMatch(name, all); near != "" {
		text += ", did you mean " + near + "?"
	}
	c.in.AddFault(at+".do", "%s; known are %s", text, strings.Join(all, ", "))
}

// expect checks an expectation. length is that of the run.
func (c *checker) expect(at string, e Expect, length time.Duration) {
	c.need(e.At.Duration >= 0 && e.At.Duration+e.Within.Duration <= length, at+".at",
		"at and within must lie in the phases, 0s to %v", length)
	c.need(e.Within.Duration > 0, at+".within", "must be over 0")
	c.need(len(e.By) > 0, at+".by", "at least one gateway is needed")
	c.gateways(at+".by", e.By)
	c.gateways(at+".of", e.Of)
	c.need(e.State == "" || slices.Contains(states(), e.State), at+".state", "%q is none of %s", e.State,
		strings.Join(states(), ", "))
	c.need((e.State == "") == (len(e.Of) == 0), at+".of", "of and state go together")
	assignment := e.Portion != "" || e.Turns > 0 || e.Crowd > 0
	c.need(e.Portion == "" || slices.Contains(stages(), e.Portion), at+".portion", "%q is none of %s",
		e.Portion, strings.Join(stages(), ", "))
	c.need(!assignment || c.file.Fleet.Shares, at, "portion, turns and crowd need shares in [fleet]")
	expected := assignment || e.State != "" || e.Settled != nil || e.Major != nil || e.Twin != nil || e.Alive > 0
	c.need(expected, at, "nothing is expected")
	c.need(e.Alive >= 0 && e.Alive <= c.file.Gateways.Count, at+".alive", "must be 1 to %d", c.file.Gateways.Count)
}

// check notes everything that cannot be played.
func (f *File) check(in *tomlfile.File) {
	c := &checker{file: f, in: in, nodes: f.nodes()}
	n := f.Gateways.Count
	c.need(n >= 2 && n <= mostGateways, "gateways.count", "must be 2 to %d in a drill", mostGateways)
	f.Stopped.check(in)
	c.gateways("fleet.late", f.Fleet.Late)
	c.need(len(f.Fleet.Late) < n, "fleet.late", "somebody must be there from the start")
	c.need(f.Fleet.WarmRate >= 0 && (f.Fleet.WarmRate == 0 || f.Fleet.Shares), "fleet.warm_rate",
		"must be 0 or more, and goes with shares")
	c.path("network", f.Network)
	length, kinds := f.Length(), faultKinds()
	for i, fault := range f.Faults {
		c.fault(fmt.Sprintf("fault.%d", i), fault, length, kinds)
	}
	for i, expect := range f.Expect {
		c.expect(fmt.Sprintf("expect.%d", i), expect, length)
	}
}

// optionalFaultFields are the fields of which each fault has some.
func optionalFaultFields() []string {
	return []string{"for", "gateways", "every", "share", "from", "to", "both", "groups", "loss", "delay", "jitter",
		"double", "reorder"}
}

func states() []string { return []string{"alive", "suspect", "gone", "left", "unknown"} }

func stages() []string {
	return []string{assignment.Waiting.String(), assignment.Converged.String(), assignment.Retained.String(),
		assignment.Changing.String()}
}
