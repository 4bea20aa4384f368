package invariant

import (
	"slices"
	"testing"
	"time"

	"thymebend/internal/balancer"
)

const second = time.Second

// requestWithEndedAttempt returns a request with one ended attempt, which started at 1 s in zone 1, cell 1, and the
// checker that recorded it.
func requestWithEndedAttempt(t *testing.T, idempotency balancer.Idempotency, scope balancer.DedupScope,
	neverRan bool) (*Checker, *Request) {
	t.Helper()
	c := &Checker{}
	r := &Request{ID: "a", Idempotency: idempotency, DedupScope: scope, DedupWindow: 2 * second,
		Deadline: 10 * second}
	index, ok := c.AllowAttempt(r, Attempt{Now: second, AnnouncedDeadline: 5 * second, Endpoint: Endpoint{Zone: 1, Cell: 1}})
	if !ok {
		t.Fatal("the first attempt was not allowed")
	}
	r.AttemptEnded(index, neverRan)
	return c, r
}

// Guards against writing an attempt that violates a rule, and against suppressing an attempt that violates none.
func TestAllowAttempt(t *testing.T) {
	for _, c := range []struct {
		name        string
		idempotency balancer.Idempotency
		scope       balancer.DedupScope
		neverRan    bool
		change      func(r *Request, a *Attempt)
		want        Rule
		ok          bool
	}{
		{name: "idempotent", idempotency: balancer.Idempotent, ok: true},
		{name: "not idempotent, never ran", idempotency: balancer.NonIdempotent, neverRan: true, ok: true},
		{name: "not idempotent, may have run", idempotency: balancer.NonIdempotent, want: UnsafeRetry},
		{name: "keyed, within its window", idempotency: balancer.KeyedIdempotent, ok: true},
		{name: "keyed, after its window", idempotency: balancer.KeyedIdempotent, want: UnsafeRetry,
			change: func(_ *Request, a *Attempt) { a.Now = 3*second + 1 }},
		{name: "keyed, in the same cell", idempotency: balancer.KeyedIdempotent, scope: balancer.DedupCell, ok: true},
		{name: "keyed, in another cell", idempotency: balancer.KeyedIdempotent, scope: balancer.DedupCell,
			want:   UnsafeRetry,
			change: func(_ *Request, a *Attempt) { a.Endpoint.Cell = 2 }},
		{name: "keyed, in another zone", idempotency: balancer.KeyedIdempotent, scope: balancer.DedupZone,
			want:   UnsafeRetry,
			change: func(_ *Request, a *Attempt) { a.Endpoint.Zone = 2 }},
		{name: "keyed, never ran, in another zone", idempotency: balancer.KeyedIdempotent,
			scope:    balancer.DedupZone,
			neverRan: true, ok: true, change: func(_ *Request, a *Attempt) { a.Endpoint.Zone = 2 }},
		{name: "while another attempt runs", idempotency: balancer.Idempotent, want: ConcurrentAttempt,
			change: func(r *Request, _ *Attempt) { r.attempts[0].running = true }},
		{name: "after its client left", idempotency: balancer.Idempotent, want: AttemptAfterEnd,
			change: func(r *Request, _ *Attempt) { r.ClientLeft() }},
		{name: "after its answer", idempotency: balancer.Idempotent, want: AttemptAfterEnd,
			change: func(r *Request, _ *Attempt) { (&Checker{}).AllowAnswer(r) }},
		{name: "at a draining endpoint", idempotency: balancer.Idempotent, want: AttemptToLeavingEndpoint,
			change: func(_ *Request, a *Attempt) { a.Endpoint.Leaving = true }},
		{name: "after the deadline", idempotency: balancer.Idempotent, want: AttemptAfterDeadline,
			change: func(_ *Request, a *Attempt) { a.Now = 10 * second }},
		{name: "announcing too late a deadline", idempotency: balancer.Idempotent, want: AttemptAfterDeadline,
			change: func(_ *Request, a *Attempt) { a.AnnouncedDeadline = 10*second + 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker, r := requestWithEndedAttempt(t, c.idempotency, c.scope, c.neverRan)
			a := Attempt{Now: 2 * second, AnnouncedDeadline: 10 * second, Endpoint: Endpoint{Zone: 1, Cell: 1}}
			if c.change != nil {
				c.change(r, &a)
			}
			_, ok := checker.AllowAttempt(r, a)
			if ok != c.ok || !ok && (checker.Total() != 1 || checker.Counts()[c.want.String()] != 1) {
				t.Errorf("allowed %v, want %v; violations %v", ok, c.ok, checker.Counts())
			}
		})
	}
}

// Guards against a rejection, which states that a request never ran, of a request that may have run.
func TestAllowReject(t *testing.T) {
	for _, c := range []struct {
		name         string
		idempotency  balancer.Idempotency
		scope        balancer.DedupScope
		neverRan, ok bool
	}{
		{"idempotent", balancer.Idempotent, balancer.DedupAll, false, true},
		{"not idempotent, never ran", balancer.NonIdempotent, balancer.DedupAll, true, true},
		{"not idempotent, may have run", balancer.NonIdempotent, balancer.DedupAll, false, false},
		{"keyed, deduplicated everywhere", balancer.KeyedIdempotent, balancer.DedupAll, false, true},
		{"keyed, deduplicated in a zone", balancer.KeyedIdempotent, balancer.DedupZone, false, false},
		{"keyed, deduplicated in a cell, never ran", balancer.KeyedIdempotent, balancer.DedupCell, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker, r := requestWithEndedAttempt(t, c.idempotency, c.scope, c.neverRan)
			if got := checker.AllowReject(r); got != c.ok ||
				(checker.Counts()["refused after run"] == 1) == c.ok {
				t.Errorf("allowed %v, want %v; violations %v", got, c.ok, checker.Counts())
			}
		})
	}
}

// Guards against a second answer, the close of a connection on which a request waits, a connection that nothing ends,
// an exit while requests wait for answers, and a violation that is not reported.
func TestAnswersClosesAndExit(t *testing.T) {
	var reported []Rule
	checker := &Checker{Report: func(v Violation) { reported = append(reported, v.Rule) }}
	r := &Request{ID: "a"}
	for _, c := range []struct {
		name      string
		got, want bool
	}{
		{"close while a request waits", checker.AllowClose(r), false},
		{"first answer", checker.AllowAnswer(r), true},
		{"second answer", checker.AllowAnswer(r), false},
		{"close after the answer", checker.AllowClose(r), true},
		{"close without a request", checker.AllowClose(nil), true},
		{"ended by a timer", checker.CheckDeadline(true, false), true},
		{"ended by a request", checker.CheckDeadline(false, true), true},
		{"ended by neither", checker.CheckDeadline(false, false), false},
		{"exit without requests", checker.AllowExit(0), true},
		{"exit while a request waits", checker.AllowExit(1), false},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", c.name, c.got, c.want)
		}
	}
	if got := checker.LimitWait(4*second, 2*second, 3*second); got != 4*second {
		t.Errorf("waits until %v, want 4 s", got)
	}
	if got := checker.LimitWait(6*second, 2*second, 3*second); got != 5*second {
		t.Errorf("waits until %v, want 5 s, the limit", got)
	}
	want := []Rule{ClosedUnanswered, AnsweredTwice, ConnWithoutDeadline, ExitWithOpenRequests, AnsweredLate}
	if !slices.Equal(reported, want) {
		t.Errorf("reported %v, want %v", reported, want)
	}
}

// Guards against a rule without a name, which /ops/stats and log lines would show as "unknown".
func TestRulesHaveNames(t *testing.T) {
	for rule := range ruleCount {
		if rule.String() == "" || rule.String() == "unknown" {
			t.Errorf("rule %d has no name", rule)
		}
	}
}
