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

// checker validates a drill file. It adds each error in the file, with its line and column, to in.
type checker struct {
	file  *File
	in    *tomlfile.File
	nodes []string // names of all nodes between which a path may lead
}

// require adds an error at the field named at, unless ok is true.
func (c *checker) require(ok bool, at, format string, args ...any) {
	if !ok {
		c.in.AddFault(at, format, args...)
	}
}

// gateways validates a list of gateway numbers: each exists and is listed once.
func (c *checker) gateways(at string, list []int) {
	n := c.file.Gateways.Count
	for i, g := range list {
		c.require(g >= 0 && g < n, at, "gateway %d does not exist, the gateways are 0 to %d", g, n-1)
		c.require(!slices.Contains(list[:i], g), at, "gateway %d is listed twice", g)
	}
}

func (c *checker) share(at string, v float64) { c.require(v >= 0 && v <= 1, at, "must be 0 to 1") }

// path validates the loss, delay, jitter, duplication and reordering of a path.
func (c *checker) path(at string, p Path) {
	c.share(at+".loss", p.Loss)
	c.share(at+".double", p.Duplicate)
	c.share(at+".reorder", p.Reorder)
	c.require(p.Delay.Duration >= 0 && p.Delay.Duration <= 5*time.Second, at+".delay", "must be 0s to 5s")
	c.require(p.Jitter.Duration >= 0 && p.Jitter.Duration <= 5*time.Second, at+".jitter", "must be 0s to 5s")
}

// nodePatterns verifies that each pattern matches the name of at least one node.
func (c *checker) nodePatterns(at string, patterns []string) {
	for _, pattern := range patterns {
		found := slices.ContainsFunc(c.nodes, func(name string) bool {
			ok, err := path.Match(pattern, name)
			return ok && err == nil
		})
		c.require(found, at, "%q matches none of the nodes %s", pattern, strings.Join(c.nodes, ", "))
	}
}

// fault validates a fault. length is the duration of the run.
func (c *checker) fault(at string, e Fault, length time.Duration, kinds map[string]faultKind) {
	c.require(e.At.Duration >= 0 && e.At.Duration <= length, at+".at", "must be within the phases, 0s to %v", length)
	kind, ok := kinds[e.Kind]
	if !ok {
		c.unknownFault(at, e.Kind)
		return
	}
	for _, field := range optionalFaultFields() {
		c.require(!c.in.Has(at+"."+field) || slices.Contains(kind.allowed, field), at+"."+field,
			"is not a field of %s", e.Kind)
	}
	for _, field := range kind.required {
		c.require(c.in.Has(at+"."+field), at+".do", "%s needs %s", e.Kind, field)
	}
	c.gateways(at+".gateways", e.Gateways)
	c.require(!slices.Contains(kind.required, "gateways") || len(e.Gateways) > 0, at+".gateways",
		"at least one is needed")
	c.share(at+".share", e.Share)
	c.require(e.For.Duration >= 0 && e.Every.Duration >= 0, at+".for", "times must not be negative")
	c.path(at, e.Path)
	c.nodePatterns(at+".from", e.From)
	c.nodePatterns(at+".to", e.To)
	for g, group := range e.Groups {
		c.nodePatterns(fmt.Sprintf("%s.groups.%d", at, g), group)
	}
	c.require(!slices.Contains(kind.allowed, "groups") || len(e.Groups) >= 2, at+".groups",
		"at least two groups are needed")
}

// unknownFault adds an error for an unknown fault name and suggests the most similar known name.
func (c *checker) unknownFault(at, name string) {
	text := fmt.Sprintf("unknown fault %q", name)
	all := faultNames()
	if suggestion := tomlfile.ClosestMatch(name, all); suggestion != "" {
		text += ", did you mean " + suggestion + "?"
	}
	c.in.AddFault(at+".do", "%s; the faults are %s", text, strings.Join(all, ", "))
}

// expect validates an expectation. length is the duration of the run.
func (c *checker) expect(at string, e Expectation, length time.Duration) {
	c.require(e.At.Duration >= 0 && e.At.Duration+e.Within.Duration <= length, at+".at",
		"at and within must lie in the phases, 0s to %v", length)
	c.require(e.Within.Duration > 0, at+".within", "must be greater than 0")
	c.require(len(e.By) > 0, at+".by", "at least one gateway is needed")
	c.gateways(at+".by", e.By)
	c.gateways(at+".of", e.Of)
	c.require(e.State == "" || slices.Contains(memberStates(), e.State), at+".state", "%q is none of %s", e.State,
		strings.Join(memberStates(), ", "))
	c.require((e.State == "") == (len(e.Of) == 0), at+".of", "of and state must be set together")
	assignment := e.AssignmentStage != "" || e.MinTokens > 0 || e.MaxRelativeLoad > 0
	c.require(e.AssignmentStage == "" || slices.Contains(assignmentStages(), e.AssignmentStage), at+".portion",
		"%q is none of %s", e.AssignmentStage, strings.Join(assignmentStages(), ", "))
	c.require(!assignment || c.file.Cluster.DivideHosts, at, "portion, turns and crowd need shares in [fleet]")
	expected := assignment || e.State != "" || e.Converged != nil || e.Majority != nil ||
		e.DuplicateName != nil || e.Alive > 0
	c.require(expected, at, "the expectation states no condition")
	c.require(e.Alive >= 0 && e.Alive <= c.file.Gateways.Count, at+".alive", "must be 1 to %d", c.file.Gateways.Count)
}

// check adds an error to in for each setting with which the drill cannot run.
func (f *File) check(in *tomlfile.File) {
	c := &checker{file: f, in: in, nodes: f.nodes()}
	n := f.Gateways.Count
	c.require(n >= 2 && n <= maxGateways, "gateways.count", "must be 2 to %d in a drill", maxGateways)
	f.StoppedClients.check(in)
	f.Hoarders.check(in, f.Gateways.Count)
	c.gateways("fleet.late", f.Cluster.StartedLater)
	c.require(len(f.Cluster.StartedLater) < n, "fleet.late", "at least one gateway must run from the start")
	c.require(f.Cluster.SlowStartRate >= 0 && (f.Cluster.SlowStartRate == 0 || f.Cluster.DivideHosts), "fleet.warm_rate",
		"must be 0 or more, and needs shares in [fleet]")
	c.path("network", f.Network)
	length, kinds := f.Length(), faultKinds()
	for i, fault := range f.Faults {
		c.fault(fmt.Sprintf("fault.%d", i), fault, length, kinds)
	}
	for i, expect := range f.Expectations {
		c.expect(fmt.Sprintf("expect.%d", i), expect, length)
	}
}

// optionalFaultFields returns the fields that only some faults accept.
func optionalFaultFields() []string {
	return []string{"for", "gateways", "every", "share", "from", "to", "both", "groups", "loss", "delay", "jitter",
		"double", "reorder"}
}

func memberStates() []string { return []string{"alive", "suspect", "gone", "left", "unknown"} }

func assignmentStages() []string {
	return []string{assignment.Waiting.String(), assignment.Converged.String(), assignment.Retained.String(),
		assignment.Changing.String()}
}
