// Package invariant is the last check before an effect that a rule of the platform bounds: an attempt is written to a host, a
// client is answered, a client connection is waited on or closed, the process ends. It keeps its own record of each
// request, so that a fault in the decision module or in the bookkeeping of connections shows here instead of at a client.
// What would break a rule is counted, reported and not done.
//
// The package is pure: the caller passes the time and does what the verdicts say.
package invariant

import (
	"fmt"
	"time"

	"thymebend/internal/balancer"
)

// Rule names what an effect would have broken.
type Rule uint8

// The rules. Every one of them counts 0 in a gateway that works.
const (
	// AttemptAfterEnd is an attempt for a request that has its answer or whose client has left.
	AttemptAfterEnd Rule = iota
	// AttemptToLeaving is an attempt at a host that drains or is gone.
	AttemptToLeaving
	// AttemptTooLate is an attempt when the client's time is over, or one that states more than is left of it.
	AttemptTooLate
	// SecondCopy is a further attempt while an earlier one is out.
	SecondCopy
	// RanTwice is a further attempt of work that may have run, where its class does not allow it.
	RanTwice
	// RefusedAfterRun is the promise that work never ran, of work that may have.
	RefusedAfterRun
	// AnsweredTwice is a second final answer.
	AnsweredTwice
	// ClosedUnanswered is the close of a client connection on which a request waits for its answer.
	ClosedUnanswered
	// HeardLate is a client that stopped in the middle of a request and would be told later than it is owed.
	HeardLate
	// Untimed is a client connection that nothing would ever end.
	Untimed
	// EndedOwing is the end of the process while requests wait for their answers.
	EndedOwing
	ruleCount
)

// String is the rule's name in figures and log lines.
func (r Rule) String() string {
	names := [ruleCount]string{"attempt after end", "attempt to leaving host", "attempt too late", "second copy", "ran twice",
		"refused after run", "answered twice", "closed unanswered", "heard late", "untimed connection", "ended owing"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Violation is an effect that would have broken a rule.
type Violation struct {
	Rule    Rule
	Request string // the client's id, where a request is concerned
	Detail  string
}

// Checker counts violations. Report, if set, is told of each.
type Checker struct {
	Report func(Violation)
	counts [ruleCount]uint64
	total  uint64
}

// Total is how many violations there were.
func (g *Checker) Total() uint64 { return g.total }

// Counts are the violations by the rule's name, of those rules that were violated.
func (g *Checker) Counts() map[string]uint64 {
	counts := make(map[string]uint64)
	for rule, n := range g.counts {
		if n > 0 {
			counts[Rule(rule).String()] = n
		}
	}
	return counts
}

// violated notes a violation. It returns false, which is every verdict on one.
func (g *Checker) violated(rule Rule, request, format string, args ...any) bool {
	g.counts[rule]++
	g.total++
	if g.Report != nil {
		g.Report(Violation{Rule: rule, Request: request, Detail: fmt.Sprintf(format, args...)})
	}
	return false
}

// Request is the guard's record of one request.
type Request struct {
	ID          string
	Idempotency balancer.Idempotency
	DedupScope  balancer.DedupScope
	DedupWindow time.Duration
	Deadline    time.Duration // when its client gives up
	ended       bool          // it has its final answer, or its client has left
	attempts    []attempt
}

// attempt is one whose first byte was written.
type attempt struct {
	host  Endpoint
	at    time.Duration
	out   bool
	unrun bool // it is proven that it did not run
}

// Endpoint is where an attempt goes.
type Endpoint struct {
	Zone, Cell int
	Leaving    bool // it drains or is gone
}

// Attempt is one that is about to be written.
type Attempt struct {
	Now      time.Duration
	Until    time.Duration // how long the host is told that it is waited for
	Endpoint Endpoint
}

// AllowAttempt decides whether an attempt may be written now, and records it where it may. The index names it to Ended.
func (g *Checker) AllowAttempt(r *Request, a Attempt) (index int, ok bool) {
	switch {
	case r.ended:
		return 0, g.violated(AttemptAfterEnd, r.ID, "%d attempts before", len(r.attempts))
	case a.Endpoint.Leaving:
		return 0, g.violated(AttemptToLeaving, r.ID, "%d attempts before", len(r.attempts))
	case a.Now >= r.Deadline || a.Until > r.Deadline:
		return 0, g.violated(AttemptTooLate, r.ID, "%v are left, %v are told", r.Deadline-a.Now, a.Until-a.Now)
	}
	for i := range r.attempts {
		earlier := &r.attempts[i]
		if earlier.out {
			return 0, g.violated(SecondCopy, r.ID, "attempt %d is out", i)
		}
		if !r.mayFollow(earlier, a) {
			return 0, g.violated(RanTwice, r.ID, "attempt %d may have run, %v ago", i, a.Now-earlier.at)
		}
	}
	r.attempts = append(r.attempts, attempt{host: a.Endpoint, at: a.Now, out: true})
	return len(r.attempts) - 1, true
}

// mayFollow reports whether an attempt may follow an earlier one that is over.
func (r *Request) mayFollow(earlier *attempt, a Attempt) bool {
	if earlier.unrun || r.Idempotency == balancer.Idempotent {
		return true
	}
	if r.Idempotency == balancer.NonIdempotent || a.Now > earlier.at+r.DedupWindow {
		return false
	}
	switch r.DedupScope {
	case balancer.DedupZone:
		return earlier.host.Zone == a.Endpoint.Zone
	case balancer.DedupCell:
		return earlier.host.Zone == a.Endpoint.Zone && earlier.host.Cell == a.Endpoint.Cell
	}
	return true
}

// Ended records the end of an attempt, and whether that proves that it did not run.
func (r *Request) Ended(index int, unrun bool) {
	if index < len(r.attempts) {
		r.attempts[index].out = false
		r.attempts[index].unrun = unrun
	}
}

// MayPromise decides whether a client may be told that its request never ran, or that trying again is harmless.
func (g *Checker) MayPromise(r *Request) bool {
	if r.Idempotency == balancer.Idempotent || r.Idempotency == balancer.KeyedIdempotent && r.DedupScope == balancer.DedupAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].unrun {
			return g.violated(RefusedAfterRun, r.ID, "attempt %d of %d may have run", i, len(r.attempts))
		}
	}
	return true
}

// AllowAnswer decides whether a client may be given the final answer of a request, and records it.
func (g *Checker) AllowAnswer(r *Request) bool {
	if r.ended {
		return g.violated(AnsweredTwice, r.ID, "%d attempts", len(r.attempts))
	}
	r.ended = true
	return true
}

// ClientLeft records that the client has left: nothing may begin for it any more.
func (r *Request) ClientLeft() { r.ended = true }

// AllowClose decides whether the gateway may close a client connection of its own accord. waiting is the request that waits on it,
// or nil.
func (g *Checker) AllowClose(waiting *Request) bool {
	if waiting != nil && !waiting.ended {
		return g.violated(ClosedUnanswered, waiting.ID, "%d attempts", len(waiting.attempts))
	}
	return true
}

// AllowWait decides until when a client that has stopped in the middle of a request may be waited for: as long as is wanted, but no
// longer than it is owed an error or a close after its last byte.
func (g *Checker) AllowWait(wanted, lastByte, owedWithin time.Duration) time.Duration {
	latest := lastByte + owedWithin
	if wanted > latest {
		g.violated(HeardLate, "", "it would wait for %v after its last byte", wanted-lastByte)
		return latest
	}
	return wanted
}

// Timed decides whether a client connection may be left as it is after an event: something must end it, a timer, its client's
// request, or the answer that is being written.
func (g *Checker) Timed(timer, request bool) bool {
	if !timer && !request {
		return g.violated(Untimed, "", "neither a timer nor a request")
	}
	return true
}

// AllowExit decides whether the process may end.
func (g *Checker) AllowExit(requests int) bool {
	if requests > 0 {
		return g.violated(EndedOwing, "", "%d requests wait", requests)
	}
	return true
}
