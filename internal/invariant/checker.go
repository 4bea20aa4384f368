package invariant

import (
	"fmt"
	"time"
)

// Violation describes an effect that was suppressed because it would have violated a rule.
type Violation struct {
	Rule    Rule
	Request string // the request's id as given by the client; empty if the violation concerns no request
	Detail  string // circumstances, for the log
}

// Checker decides whether effects are allowed and counts violations. If Report is set, it is called for each
// violation.
type Checker struct {
	Report func(Violation)
	counts [ruleCount]uint64 // violations by Rule
	total  uint64
}

// Total returns the number of violations.
func (c *Checker) Total() uint64 { return c.total }

// Counts returns the number of violations by the rule's name. It contains only rules that were violated.
func (c *Checker) Counts() map[string]uint64 {
	counts := make(map[string]uint64)
	for rule, n := range c.counts {
		if n > 0 {
			counts[Rule(rule).String()] = n
		}
	}
	return counts
}

// recordViolation counts and reports a violation. It always returns false, so that callers can return its result as
// their decision.
func (c *Checker) recordViolation(rule Rule, request, format string, args ...any) bool {
	c.counts[rule]++
	c.total++
	if c.Report != nil {
		c.Report(Violation{Rule: rule, Request: request, Detail: fmt.Sprintf(format, args...)})
	}
	return false
}

// AllowAttempt decides whether an attempt may be written now, and if so records it as running. The caller passes index
// to Request.AttemptEnded when the attempt ends.
func (c *Checker) AllowAttempt(r *Request, a Attempt) (index int, ok bool) {
	switch {
	case r.done:
		return 0, c.recordViolation(AttemptAfterEnd, r.ID, "after %d attempts", len(r.attempts))
	case a.Endpoint.Leaving:
		return 0, c.recordViolation(AttemptToLeavingEndpoint, r.ID, "after %d attempts", len(r.attempts))
	case a.Now >= r.Deadline || a.AnnouncedDeadline > r.Deadline:
		return 0, c.recordViolation(AttemptAfterDeadline, r.ID,
			"%v until the client's deadline, %v announced to the endpoint", r.Deadline-a.Now, a.AnnouncedDeadline-a.Now)
	}
	for i := range r.attempts {
		previous := &r.attempts[i]
		if previous.running {
			return 0, c.recordViolation(ConcurrentAttempt, r.ID, "attempt %d is still running", i)
		}
		if !r.mayFollow(previous, a) {
			return 0, c.recordViolation(UnsafeRetry, r.ID, "attempt %d, started %v ago, may have run", i,
				a.Now-previous.startedAt)
		}
	}
	r.attempts = append(r.attempts, attempt{endpoint: a.Endpoint, startedAt: a.Now, running: true})
	return len(r.attempts) - 1, true
}

// AllowReject decides whether the client may receive a rejection, which states that its request never ran or that a
// retry is safe.
func (c *Checker) AllowReject(r *Request) bool {
	if !r.MayReject() {
		return c.recordViolation(RejectedAfterRun, r.ID, "one of %d attempts may have run", len(r.attempts))
	}
	return true
}

// AllowAnswer decides whether the final answer of a request may be sent to the client, and if so records that it was.
func (c *Checker) AllowAnswer(r *Request) bool {
	if r.done {
		return c.recordViolation(AnsweredTwice, r.ID, "after %d attempts", len(r.attempts))
	}
	r.done = true
	return true
}

// AllowClose decides whether the gateway may close a downstream connection that the client has not closed. waiting is
// the request that waits for its answer on the connection, or nil.
func (c *Checker) AllowClose(waiting *Request) bool {
	if waiting != nil && !waiting.done {
		return c.recordViolation(ClosedUnanswered, waiting.ID, "after %d attempts", len(waiting.attempts))
	}
	return true
}

// LimitWait limits until, the time until which the gateway waits for the remainder of an incomplete request,
// and returns the result. The client must receive an error or a close at most maxWait after its last byte,
// which was received at lastByteAt.
func (c *Checker) LimitWait(until, lastByteAt, maxWait time.Duration) time.Duration {
	latest := lastByteAt + maxWait
	if until > latest {
		c.recordViolation(AnsweredLate, "", "timeout of %v after the client's last byte, limited to %v",
			until-lastByteAt, maxWait)
		return latest
	}
	return until
}

// CheckDeadline reports whether a downstream connection, as an event has left it, is certain to progress or
// be closed: it has a timer, or a request whose answer is pending or being written.
func (c *Checker) CheckDeadline(timer, request bool) bool {
	if !timer && !request {
		return c.recordViolation(ConnWithoutDeadline, "", "the connection has neither a timer nor a request")
	}
	return true
}

// AllowExit decides whether the process may exit. requests is the number of requests that wait for their answers.
func (c *Checker) AllowExit(requests int) bool {
	if requests > 0 {
		return c.recordViolation(ExitWithOpenRequests, "", "%d requests wait for their answers", requests)
	}
	return true
}
