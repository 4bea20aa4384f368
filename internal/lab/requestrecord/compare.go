package requestrecord

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Compare compares the clients' record with the hosts' records and returns a Finding for each broken rule, sorted
// by time, rule and id. excused reports whether an unanswered attempt was lost for a reason that no rule forbids,
// such as the kill of its gateway; excused may be nil. crashed is the number of excused attempts. The hosts' records
// must not change during the call.
func Compare(attempts []Attempt, hosts []*EndpointRecord, excused func(Attempt) bool) (found []Finding, crashed int) {
	known := make(map[string]bool, len(attempts))
	for _, a := range attempts {
		known[a.ID] = true
		c := comparison{attempt: a, executions: executionsOf(a.ID, hosts)}
		if a.FullyWritten && a.Answers == 0 && excused != nil && excused(a) {
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

// executions summarizes the hosts' records of one attempt.
type executions struct {
	begun  int          // number of executions started
	cells  map[int]bool // cells in which an execution started
	bodies []uint64     // hashes of the bodies that hosts returned
	hosts  []string     // name of each host, with the number of executions started there
}

// executionsOf collects the hosts' records of an attempt.
func executionsOf(id string, hosts []*EndpointRecord) executions {
	r := executions{cells: make(map[int]bool)}
	for _, h := range hosts {
		e := h.entries[id]
		if e == nil {
			continue
		}
		r.begun += e.Started
		if e.Started > 0 {
			r.cells[h.Cell] = true
		}
		r.bodies = append(r.bodies, e.Returned...)
		r.hosts = append(r.hosts, fmt.Sprintf("%s %d", h.Name, e.Started))
	}
	return r
}

// comparison checks one attempt against the hosts' records of the attempt.
type comparison struct {
	attempt    Attempt
	executions executions
	excused    bool
	found      []Finding
}

// addFinding adds a finding for the attempt.
func (c *comparison) addFinding(rule, format string, args ...any) {
	c.found = append(c.found, Finding{Rule: rule, ID: c.attempt.ID, At: c.attempt.Ended,
		Detail: fmt.Sprintf(format, args...)})
}

// checkRules adds a finding for each rule that the attempt broke.
func (c *comparison) checkRules() {
	t, r := c.attempt, c.executions
	refused := t.Status == 429 || t.Status == 503
	if t.FullyWritten && t.Answers == 0 && !c.excused {
		c.addFinding(Unanswered, "%s sent to %s at %v: %s", t.Class, t.Target, t.Sent, t.Cause)
	}
	if t.Answers > 1 {
		c.addFinding(AnsweredTwice, "%s got %d answers from %s", t.Class, t.Answers, t.Target)
	}
	if t.Keyed && len(r.cells) > 1 {
		c.addFinding(RanTwice, "%s begun in %d cells (%v)", t.Class, len(r.cells), r.hosts)
	}
	if t.Keyed && r.begun > 0 && refused {
		c.addFinding(RefusedAfterRun, "%s answered %d though begun (%v)", t.Class, t.Status, r.hosts)
	}
	if t.Unsafe && r.begun > 1 {
		c.addFinding(RanTwice, "%s begun %d times (%v)", t.Class, r.begun, r.hosts)
	}
	if t.Answers > 0 && t.Status == 200 && !slices.Contains(r.bodies, t.Hash) {
		c.addFinding(ForeignBody, "%s served by %s, hosts made %d bodies for it", t.Class, t.Target, len(r.bodies))
	}
	if t.Unsafe && r.begun > 0 && refused {
		c.addFinding(RefusedAfterRun, "%s answered %d though begun (%v)", t.Class, t.Status, r.hosts)
	}
}

// Finding is a broken rule with the id that it concerns.
type Finding struct {
	Rule   string        `json:"rule"`
	ID     string        `json:"id"`    // the attempt's id, or the name of the host or gateway
	At     time.Duration `json:"at_ns"` // time of the run
	Detail string        `json:"detail"`
}

// Excused reports whether the attempt was lost for a reason that no rule forbids: its gateway was killed while it
// held the attempt, or the attempt was sent on a new connection between stopGrace and 10 s after the gateway's SIGTERM.
// What comes on an open connection is owed an answer until the gateway's end. kills and stops are the times of its
// gateway's kills and SIGTERMs. tolerance is the time by which a kill may be noticed late or early in the record.
func (a Attempt) Excused(kills, stops []time.Duration, tolerance time.Duration) bool {
	return slices.ContainsFunc(kills, func(k time.Duration) bool {
		return a.Sent <= k+tolerance &&
			a.Ended >= k-tolerance
	}) ||
		slices.ContainsFunc(stops, func(s time.Duration) bool {
			return !a.OpenConnection && a.Sent >= s+stopGrace &&
				a.Sent <= s+10*time.Second
		})
}

// stopGrace is the time after SIGTERM during which a gateway must still answer new requests.
const stopGrace = 700 * time.Millisecond
