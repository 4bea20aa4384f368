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
	for _, t := range attempts {
		known[t.ID] = true
		c := comparison{attempt: t, runs: runsOf(t.ID, hosts)}
		if t.Whole && t.Answers == 0 && excused != nil && excused(t) {
			crashed++
			c.excused = true
		}
		c.compare()
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

// runs is what the hosts have of one attempt.
type runs struct {
	begun  int
	cells  map[int]bool // where it began
	bodies []uint64     // hashes of the answers made
	at     []string     // hosts, with how often it began there
}

// runsOf collects what the hosts have of an attempt.
func runsOf(id string, hosts []*EndpointRecord) runs {
	r := runs{cells: make(map[int]bool)}
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
		r.at = append(r.at, fmt.Sprintf("%s %d", h.Name, e.Begun))
	}
	return r
}

// comparison holds one attempt against what the hosts have of it.
type comparison struct {
	attempt Attempt
	runs    runs
	excused bool
	found   []Finding
}

func (c *comparison) broken(rule, format string, args ...any) {
	c.found = append(c.found, Finding{Rule: rule, ID: c.attempt.ID, At: c.attempt.Ended,
		Detail: fmt.Sprintf(format, args...)})
}

// compare notes the rules that were broken.
func (c *comparison) compare() {
	t, r := c.attempt, c.runs
	refused := t.Status == 429 || t.Status == 503
	if t.Whole && t.Answers == 0 && !c.excused {
		c.broken(Unanswered, "%s sent to %s at %v: %s", t.Class, t.Target, t.Sent, t.Cause)
	}
	if t.Answers > 1 {
		c.broken(AnsweredTwice, "%s got %d answers from %s", t.Class, t.Answers, t.Target)
	}
	if t.Keyed && len(r.cells) > 1 {
		c.broken(RanTwice, "%s begun in %d cells (%v)", t.Class, len(r.cells), r.at)
	}
	if t.Keyed && r.begun > 0 && refused {
		c.broken(RefusedRan, "%s answered %d though begun (%v)", t.Class, t.Status, r.at)
	}
	if t.Unsafe && r.begun > 1 {
		c.broken(RanTwice, "%s begun %d times (%v)", t.Class, r.begun, r.at)
	}
	if t.Answers > 0 && t.Status == 200 && !slices.Contains(r.bodies, t.Hash) {
		c.broken(ForeignBody, "%s served by %s, hosts made %d bodies for it", t.Class, t.Target, len(r.bodies))
	}
	if t.Unsafe && r.begun > 0 && refused {
		c.broken(RefusedRan, "%s answered %d though begun (%v)", t.Class, t.Status, r.at)
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
func (t Attempt) Excuses(kills, stops []time.Duration, spread time.Duration) bool {
	return slices.ContainsFunc(kills, func(k time.Duration) bool {
		return t.Sent <= k+spread &&
			t.Ended >= k-spread
	}) ||
		slices.ContainsFunc(stops, func(s time.Duration) bool {
			return t.Sent >= s+lateTaken &&
				t.Sent <= s+10*time.Second
		})
}

// lateTaken is how long after SIGTERM a gateway still has to answer what comes.
const lateTaken = 700 * time.Millisecond
