package invariant

import (
	"fmt"
	"time"

	"thymebend/internal/balancer"
)

// Violation is an effect that would have broken a rule.
type Violation struct {
	Rule    Rule
	Request string // the client's id, where a request is concerned
	Detail  string
}

// Checker decides on effects and counts violations. Report, if set, is called for each.
type Checker struct {
	Report func(Violation)
	counts [ruleCount]uint64
	total  uint64
}

// Total is how many violations there were.
func (c *Checker) Total() uint64 { return c.total }

// Counts are the violations by the rule's name, of those rules that were violated.
func (c *Checker) Counts() map[string]uint64 {
	counts := make(map[string]uint64)
	for rule, n := range c.counts {
		if n > 0 {
			counts[Rule(rule).String()] = n
		}
	}
	return counts
}

// violated counts and reports a violation. It returns false, the verdict on it.
func (c *Checker) violated(rule Rule, request, format string, args ...any) bool {
	c.counts[rule]++
	c.total++
	if c.Report != nil {
		c.Report(Violation{Rule: rule, Request: request, Detail: fmt.Sprintf(format, args...)})
	}
	return false
}

// AllowAttempt decides whether an attempt may be written now, and records it if so. The index names it to
// AttemptEnded.
func (c *Checker) AllowAttempt(r *Request, a Attempt) (index int, ok bool) {
	switch {
	case r.done:
		return 0, c.violated(AttemptAfterEnd, r.ID, "%d attempts before", len(r.attempts))
	case a.Endpoint.Leaving:
		return 0, c.violated(AttemptToLeavingEndpoint, r.ID, "%d attempts before", len(r.attempts))
	case a.Now >= r.Deadline || a.Until > r.Deadline:
		return 0, c.violated(AttemptAfterDeadline, r.ID, "%v are left, %v are stated", r.Deadline-a.Now,
			a.Until-a.Now)
	}
	for i := range r.attempts {
		previous := &r.attempts[i]
		if previous.running {
			return 0, c.violated(ConcurrentAttempt, r.ID, "attempt %d is running", i)
		}
		if !r.mayFollow(previous, a) {
			return 0, c.violated(UnsafeRetry, r.ID, "attempt %d may have run, %v ago", i,
				a.Now-previous.startedAt)
		}
	}
	r.attempts = append(r.attempts, attempt{endpoint: a.Endpoint, startedAt: a.Now, running: true})
	return len(r.attempts) - 1, true
}

// AllowReject decides whether a client may be told that its request never ran, or that trying again is
// harmless.
func (c *Checker) AllowReject(r *Request) bool {
	if r.Idempotency == balancer.Idempotent || r.Idempotency == balancer.KeyedIdempotent &&
		r.DedupScope == balancer.DedupAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return c.violated(RejectedAfterRun, r.ID, "attempt %d of %d may have run", i, len(r.attempts))
		}
	}
	return true
}

// AllowAnswer decides whether a client may be given the final answer of a request, and records it.
func (c *Checker) AllowAnswer(r *Request) bool {
	if r.done {
		return c.violated(AnsweredTwice, r.ID, "%d attempts", len(r.attempts))
	}
	r.done = true
	return true
}

// AllowClose decides whether the gateway may close a downstream connection of its own accord. waiting is the
// request that waits on it, or nil.
func (c *Checker) AllowClose(waiting *Request) bool {
	if waiting != nil && !waiting.done {
		return c.violated(ClosedUnanswered, waiting.ID, "%d attempts", len(waiting.attempts))
	}
	return true
}

// LimitWait limits the time until which a client that has stopped in the middle of a request is waited for:
// it is owed an error or a close within owedWithin of its last byte.
func (c *Checker) LimitWait(wanted, lastByte, owedWithin time.Duration) time.Duration {
	latest := lastByte + owedWithin
	if wanted > latest {
		c.violated(AnsweredLate, "", "it would wait for %v after its last byte", wanted-lastByte)
		return latest
	}
	return wanted
}

// CheckDeadline decides whether a downstream connection may be left as it is after an event: a timer, its
// request or the answer that is being written must end it.
func (c *Checker) CheckDeadline(timer, request bool) bool {
	if !timer && !request {
		return c.violated(ConnWithoutDeadline, "", "neither a timer nor a request")
	}
	return true
}

// AllowExit decides whether the process may exit. requests is how many wait for their answers.
func (c *Checker) AllowExit(requests int) bool {
	if requests > 0 {
		return c.violated(ExitWithOpenRequests, "", "%d requests wait", requests)
	}
	return true
}
