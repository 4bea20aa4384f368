package invariant

import (
	"slices"
	"testing"
	"time"

	"thymebend/internal/balancer"
)

const second = time.Second

// requestWithEndedAttempt returns a request with one attempt that began at 1 s in zone 1, cell 1, and has ended.
func requestWithEndedAttempt(t *testing.T, idempotency balancer.Idempotency, scope balancer.DedupScope,
	neverRan bool) (*Checker, *Request) {
	t.Helper()
	c := &Checker{}
	r := &Request{ID: "a", Idempotency: idempotency, DedupScope: scope, DedupWindow: 2 * second,
		Deadline: 10 * second}
	index, ok := c.AllowAttempt(r, Attempt{Now: second, Until: 5 * second, Endpoint: Endpoint{Zone: 1, Cell: 1}})
	if !ok {
		t.Fatal("a first attempt is suppressed")
	}
	r.AttemptEnded(index, neverRan)
	return c, r
}

// Guards against an attempt that breaks a rule and is written, and against one that breaks none and is
// suppressed.
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
		{name: "keyed, in its window", idempotency: balancer.KeyedIdempotent, ok: true},
		{name: "keyed, after its window", idempotency: balancer.KeyedIdempotent, want: UnsafeRetry,
			change: func(_ *Request, a *Attempt) { a.Now = 3*second + 1 }},
		{name: "keyed, in its cell", idempotency: balancer.KeyedIdempotent, scope: balancer.DedupCell, ok: true},
		{name: "keyed, in another cell", idempotency: balancer.KeyedIdempotent, scope: balancer.DedupCell,
			want:   UnsafeRetry,
			change: func(_ *Request, a *Attempt) { a.Endpoint.Cell = 2 }},
		{name: "keyed, in another zone", idempotency: balancer.KeyedIdempotent, scope: balancer.DedupZone,
			want:   UnsafeRetry,
			change: func(_ *Request, a *Attempt) { a.Endpoint.Zone = 2 }},
		{name: "keyed, never ran, in another zone", idempotency: balancer.KeyedIdempotent,
			scope:    balancer.DedupZone,
			neverRan: true, ok: true, change: func(_ *Request, a *Attempt) { a.Endpoint.Zone = 2 }},
		{name: "while another runs", idempotency: balancer.Idempotent, want: ConcurrentAttempt,
			change: func(r *Request, _ *Attempt) { r.attempts[0].running = true }},
		{name: "after its client left", idempotency: balancer.Idempotent, want: AttemptAfterEnd,
			change: func(r *Request, _ *Attempt) { r.ClientLeft() }},
		{name: "after its answer", idempotency: balancer.Idempotent, want: AttemptAfterEnd,
			change: func(r *Request, _ *Attempt) { (&Checker{}).AllowAnswer(r) }},
		{name: "at a draining endpoint", idempotency: balancer.Idempotent, want: AttemptToLeavingEndpoint,
			change: func(_ *Request, a *Attempt) { a.Endpoint.Leaving = true }},
		{name: "after the deadline", idempotency: balancer.Idempotent, want: AttemptAfterDeadline,
			change: func(_ *Request, a *Attempt) { a.Now = 10 * second }},
		{name: "stating too much time", idempotency: balancer.Idempotent, want: AttemptAfterDeadline,
			change: func(_ *Request, a *Attempt) { a.Until = 10*second + 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker, r := requestWithEndedAttempt(t, c.idempotency, c.scope, c.neverRan)
			a := Attempt{Now: 2 * second, Until: 10 * second, Endpoint: Endpoint{Zone: 1, Cell: 1}}
			if c.change != nil {
				c.change(r, &a)
			}
			_, ok := checker.AllowAttempt(r, a)
			if ok != c.ok || !ok && (checker.Total() != 1 || checker.Counts()[c.want.String()] != 1) {
				t.Errorf("%v, %v", ok, checker.Counts())
			}
		})
	}
}

// Guards against a rejection, which promises that work never ran, of work that may have.
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
		{"keyed everywhere", balancer.KeyedIdempotent, balancer.DedupAll, false, true},
		{"keyed in a zone", balancer.KeyedIdempotent, balancer.DedupZone, false, false},
		{"keyed in a cell, never ran", balancer.KeyedIdempotent, balancer.DedupCell, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker, r := requestWithEndedAttempt(t, c.idempotency, c.scope, c.neverRan)
			if got := checker.AllowReject(r); got != c.ok ||
				(checker.Counts()["refused after run"] == 1) == c.ok {
				t.Errorf("%v, %v", got, checker.Counts())
			}
		})
	}
}

// Guards against a second answer, a close over a request, an endless connection, an exit that owes an answer,
// and against a violation that is not reported.
func TestAnswersClosesAndExit(t *testing.T) {
	var reported []Rule
	checker := &Checker{Report: func(v Violation) { reported = append(reported, v.Rule) }}
	r := &Request{ID: "a"}
	for _, c := range []struct {
		name      string
		got, want bool
	}{
		{"close over a request", checker.AllowClose(r), false},
		{"first answer", checker.AllowAnswer(r), true},
		{"second answer", checker.AllowAnswer(r), false},
		{"close after the answer", checker.AllowClose(r), true},
		{"close without a request", checker.AllowClose(nil), true},
		{"ended by a timer", checker.CheckDeadline(true, false), true},
		{"ended by a request", checker.CheckDeadline(false, true), true},
		{"ended by nothing", checker.CheckDeadline(false, false), false},
		{"exit that owes nothing", checker.AllowExit(0), true},
		{"exit that owes an answer", checker.AllowExit(1), false},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v", c.name, c.got)
		}
	}
	if got := checker.LimitWait(4*second, 2*second, 3*second); got != 4*second {
		t.Errorf("waits until %v", got)
	}
	if got := checker.LimitWait(6*second, 2*second, 3*second); got != 5*second {
		t.Errorf("waits until %v, want no longer than is owed", got)
	}
	want := []Rule{ClosedUnanswered, AnsweredTwice, ConnWithoutDeadline, ExitWithOpenRequests, AnsweredLate}
	if !slices.Equal(reported, want) {
		t.Errorf("reported %v, want %v", reported, want)
	}
}

// Guards against a rule without a name in /ops/stats.
func TestRulesHaveNames(t *testing.T) {
	for rule := range ruleCount {
		if rule.String() == "" || rule.String() == "unknown" {
			t.Errorf("rule %d has no name", rule)
		}
	}
}
