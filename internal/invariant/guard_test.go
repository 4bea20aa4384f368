package invariant

import (
	"testing"
	"time"

	"thymebend/internal/balancer"
)

const second = time.Second

// tried returns a request with one attempt that began at 1 s in zone 1, cell 1, and is over.
func tried(t *testing.T, effect balancer.Idempotency, group balancer.DedupScope, unrun bool) (*Checker, *Request) {
	t.Helper()
	g := &Checker{}
	r := &Request{ID: "a", Idempotency: effect, DedupScope: group, DedupWindow: 2 * second, Deadline: 10 * second}
	index, ok := g.AllowAttempt(r, Attempt{Now: second, Until: 5 * second, Endpoint: Endpoint{Zone: 1, Cell: 1}})
	if !ok {
		t.Fatal("a first attempt is held back")
	}
	r.Ended(index, unrun)
	return g, r
}

// Whatever an attempt would break is held back and counted under its rule; what breaks nothing goes out.
func TestAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		effect balancer.Idempotency
		group  balancer.DedupScope
		unrun  bool
		spoil  func(r *Request, a *Attempt)
		want   Rule
		ok     bool
	}{
		"safe work again":               {effect: balancer.Idempotent, ok: true},
		"unsafe work that never ran":    {effect: balancer.NonIdempotent, unrun: true, ok: true},
		"unsafe work that may have run": {effect: balancer.NonIdempotent, want: RanTwice},
		"keyed work in its window":      {effect: balancer.KeyedIdempotent, ok: true},
		"keyed work after its window":   {effect: balancer.KeyedIdempotent, spoil: func(_ *Request, a *Attempt) { a.Now = 3*second + 1 }, want: RanTwice},
		"keyed work in its cell":        {effect: balancer.KeyedIdempotent, group: balancer.DedupCell, ok: true},
		"keyed work in another cell":    {effect: balancer.KeyedIdempotent, group: balancer.DedupCell, spoil: func(_ *Request, a *Attempt) { a.Endpoint.Cell = 2 }, want: RanTwice},
		"keyed work in another zone":    {effect: balancer.KeyedIdempotent, group: balancer.DedupZone, spoil: func(_ *Request, a *Attempt) { a.Endpoint.Zone = 2 }, want: RanTwice},
		"keyed, never ran, elsewhere":   {effect: balancer.KeyedIdempotent, group: balancer.DedupZone, unrun: true, spoil: func(_ *Request, a *Attempt) { a.Endpoint.Zone = 2 }, ok: true},
		"a second copy":                 {effect: balancer.Idempotent, spoil: func(r *Request, _ *Attempt) { r.attempts[0].out = true }, want: SecondCopy},
		"its client has left":           {effect: balancer.Idempotent, spoil: func(r *Request, _ *Attempt) { r.ClientLeft() }, want: AttemptAfterEnd},
		"it has its answer":             {effect: balancer.Idempotent, spoil: func(r *Request, _ *Attempt) { (&Checker{}).AllowAnswer(r) }, want: AttemptAfterEnd},
		"the host drains":               {effect: balancer.Idempotent, spoil: func(_ *Request, a *Attempt) { a.Endpoint.Leaving = true }, want: AttemptToLeaving},
		"its time is over":              {effect: balancer.Idempotent, spoil: func(_ *Request, a *Attempt) { a.Now = 10 * second }, want: AttemptTooLate},
		"too much is told":              {effect: balancer.Idempotent, spoil: func(_ *Request, a *Attempt) { a.Until = 10*second + 1 }, want: AttemptTooLate},
	} {
		g, r := tried(t, c.effect, c.group, c.unrun)
		a := Attempt{Now: 2 * second, Until: 10 * second, Endpoint: Endpoint{Zone: 1, Cell: 1}}
		if c.spoil != nil {
			c.spoil(r, &a)
		}
		_, ok := g.AllowAttempt(r, a)
		if ok != c.ok || !ok && (g.Total() != 1 || g.Counts()[c.want.String()] != 1) {
			t.Errorf("%s: %v, %v", name, ok, g.Counts())
		}
	}
}

// A refusal promises that the work never ran.
func TestPromises(t *testing.T) {
	for _, c := range []struct {
		effect    balancer.Idempotency
		group     balancer.DedupScope
		unrun, ok bool
	}{
		{balancer.Idempotent, balancer.DedupAll, false, true},
		{balancer.NonIdempotent, balancer.DedupAll, true, true},
		{balancer.NonIdempotent, balancer.DedupAll, false, false},
		{balancer.KeyedIdempotent, balancer.DedupAll, false, true},
		{balancer.KeyedIdempotent, balancer.DedupZone, false, false},
		{balancer.KeyedIdempotent, balancer.DedupCell, true, true},
	} {
		g, r := tried(t, c.effect, c.group, c.unrun)
		if got := g.MayPromise(r); got != c.ok || (g.Counts()["refused after run"] == 1) == c.ok {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// Answers are given once, connections are not closed over a request, clients are not waited for too long, and the process
// does not end while it owes an answer. Each violation is reported.
func TestEnds(t *testing.T) {
	var told []Rule
	g := &Checker{Report: func(v Violation) { told = append(told, v.Rule) }}
	r := &Request{ID: "a"}
	for i, c := range []struct{ got, want bool }{
		{g.AllowClose(r), false},
		{g.AllowAnswer(r), true},
		{g.AllowAnswer(r), false},
		{g.AllowClose(r), true},
		{g.AllowClose(nil), true},
		{g.Timed(true, false), true},
		{g.Timed(false, true), true},
		{g.Timed(false, false), false},
		{g.AllowExit(0), true},
		{g.AllowExit(1), false},
	} {
		if c.got != c.want {
			t.Errorf("%d: %v", i, c.got)
		}
	}
	if got := g.AllowWait(4*second, 2*second, 3*second); got != 4*second {
		t.Errorf("waits until %v", got)
	}
	if got := g.AllowWait(6*second, 2*second, 3*second); got != 5*second {
		t.Errorf("waits until %v, want no longer than is owed", got)
	}
	want := []Rule{ClosedUnanswered, AnsweredTwice, Untimed, EndedOwing, HeardLate}
	if len(told) != len(want) {
		t.Fatalf("told %v", told)
	}
	for i := range want {
		if told[i] != want[i] {
			t.Errorf("told %v, want %v", told, want)
		}
	}
	for rule := range ruleCount {
		if rule.String() == "" || rule.String() == "unknown" {
			t.Errorf("rule %d has no name", rule)
		}
	}
}
