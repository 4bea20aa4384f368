package requestrecord

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Compare sets the clients' record against the hosts'. excused tells which unanswered attempts were
// lost for a reason that no rule forbids, as with a gateway that was killed; the number of those is
// returned. The hosts' records must be at rest.
func Compare(attempts []Attempt, hosts []*EndpointRecord, excused func(Attempt) bool) (found []Finding, crashed int) {
	known := make(map[string]bool, len(attempts))
	for _, a := range attempts {
		known[a.ID] = true
		c := comparison{attempt: a, executions: executionsOf(a.ID, hosts)}
		if a.Whole && a.Answers == 0 && excused != nil && excused(a) {
			crashed++
			c.excused = true
		}
		c.checkRules()
		found = append(found, c.found...)
	}
	for _, h := range hosts {
		for id := range h.entries {
			if !known[id] {
				found = append(found, Finding{Rule: InventedID, ID: id, Detail: "at host " + h.Name})
			}
		}
	}
	slices.SortStableFunc(found, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.ID, b.ID))
	})
	return found, crashed
}

// executions is what the hosts have of one attempt.
type executions struct {
	begun  int
	cells  map[int]bool // where it began
	bodies []uint64     // hashes of the answers made
	hosts  []string     // hosts, with how often it began there
}

// executionsOf collects what the hosts have of an attempt.
func executionsOf(id string, hosts []*EndpointRecord) executions {
	r := executions{cells: make(map[int]bool)}
	for _, h := range hosts {
		e := h.entries[id]
		if e == nil {
			continue
		}
		r.begun += e.Begun
		if e.Begun > 0 {
			r.cells[h.Cell] = true
		}
		r.bodies = append(r.bodies, e.Returned...)
		r.hosts = append(r.hosts, fmt.Sprintf("%s %d", h.Name, e.Begun))
	}
	return r
}

// comparison holds one attempt against what the hosts have of it.
type comparison struct {
	attempt    Attempt
	executions executions
	excused    bool
	found      []Finding
}

func (c *comparison) addFinding(rule, format string, args ...any) {
	c.found = append(c.found, Finding{Rule: rule, ID: c.attempt.ID, At: c.attempt.Ended,
		Detail: fmt.Sprintf(format, args...)})
}

// checkRules notes the rules that were broken.
func (c *comparison) checkRules() {
	t, r := c.attempt, c.executions
	refused := t.Status == 429 || t.Status == 503
	if t.Whole && t.Answers == 0 && !c.excused {
		c.addFinding(Unanswered, "%s sent to %s at %v: %s", t.Class, t.Target, t.Sent, t.Cause)
	}
	if t.Answers > 1 {
		c.addFinding(AnsweredTwice, "%s got %d answers from %s", t.Class, t.Answers, t.Target)
	}
	if t.Keyed && len(r.cells) > 1 {
		c.addFinding(RanTwice, "%s begun in %d cells (%v)", t.Class, len(r.cells), r.hosts)
	}
	if t.Keyed && r.begun > 0 && refused {
		c.addFinding(RefusedRan, "%s answered %d though begun (%v)", t.Class, t.Status, r.hosts)
	}
	if t.Unsafe && r.begun > 1 {
		c.addFinding(RanTwice, "%s begun %d times (%v)", t.Class, r.begun, r.hosts)
	}
	if t.Answers > 0 && t.Status == 200 && !slices.Contains(r.bodies, t.Hash) {
		c.addFinding(ForeignBody, "%s served by %s, hosts made %d bodies for it", t.Class, t.Target, len(r.bodies))
	}
	if t.Unsafe && r.begun > 0 && refused {
		c.addFinding(RefusedRan, "%s answered %d though begun (%v)", t.Class, t.Status, r.hosts)
	}
}

// Finding is a broken rule, by the id it concerns.
type Finding struct {
	Rule   string        `json:"rule"`
	ID     string        `json:"id"` // the request's, or the host's or gateway's name
	At     time.Duration `json:"at_ns"`
	Detail string        `json:"detail"`
}

// Excuses tells whether a try was lost for a reason that no rule forbids: its gateway was killed while
// it held the try, or the try came long after SIGTERM. News of a kill may take the spread to be seen.
func (a Attempt) Excuses(kills, stops []time.Duration, tolerance time.Duration) bool {
	return slices.ContainsFunc(kills, func(k time.Duration) bool {
		return a.Sent <= k+tolerance &&
			a.Ended >= k-tolerance
	}) ||
		slices.ContainsFunc(stops, func(s time.Duration) bool {
			return a.Sent >= s+stopGrace &&
				a.Sent <= s+10*time.Second
		})
}

// stopGrace is how long after SIGTERM a gateway still has to answer what comes.
const stopGrace = 700 * time.Millisecond
