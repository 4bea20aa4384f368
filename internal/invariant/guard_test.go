package invariant

import (
	"testing"
	"time"

	"thymebend/internal/balancer"
)

const second = time.Second

// tried returns a request with one attempt that began at 1 s in zone 1, cell 1, and is over.
func tried(t *testing.T, effect balancer.Effect, group balancer.Group, unrun bool) (*Guard, *Request) {
	t.Helper()
	g := &Guard{}
	r := &Request{ID: "a", Effect: effect, Group: group, Window: 2 * second, Deadline: 10 * second}
	index, ok := g.Attempt(r, Attempt{Now: second, Until: 5 * second, Host: Host{Zone: 1, Cell: 1}})
	if !ok {
		t.Fatal("a first attempt is held back")
	}
	r.Ended(index, unrun)
	return g, r
}

// Whatever an attempt would break is held back and counted under its rule; what breaks nothing goes out.
func TestAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		effect balancer.Effect
		group  balancer.Group
		unrun  bool
		spoil  func(r *Request, a *Attempt)
		want   Rule
		ok     bool
	}{
		"safe work again":               {effect: balancer.Safe, ok: true},
		"unsafe work that never ran":    {effect: balancer.Unsafe, unrun: true, ok: true},
		"unsafe work that may have run": {effect: balancer.Unsafe, want: RanTwice},
		"keyed work in its window":      {effect: balancer.Keyed, ok: true},
		"keyed work after its window":   {effect: balancer.Keyed, spoil: func(_ *Request, a *Attempt) { a.Now = 3*second + 1 }, want: RanTwice},
		"keyed work in its cell":        {effect: balancer.Keyed, group: balancer.GroupCell, ok: true},
		"keyed work in another cell":    {effect: balancer.Keyed, group: balancer.GroupCell, spoil: func(_ *Request, a *Attempt) { a.Host.Cell = 2 }, want: RanTwice},
		"keyed work in another zone":    {effect: balancer.Keyed, group: balancer.GroupZone, spoil: func(_ *Request, a *Attempt) { a.Host.Zone = 2 }, want: RanTwice},
		"keyed, never ran, elsewhere":   {effect: balancer.Keyed, group: balancer.GroupZone, unrun: true, spoil: func(_ *Request, a *Attempt) { a.Host.Zone = 2 }, ok: true},
		"a second copy":                 {effect: balancer.Safe, spoil: func(r *Request, _ *Attempt) { r.attempts[0].out = true }, want: SecondCopy},
		"its client has left":           {effect: balancer.Safe, spoil: func(r *Request, _ *Attempt) { r.Left() }, want: AttemptAfterEnd},
		"it has its answer":             {effect: balancer.Safe, spoil: func(r *Request, _ *Attempt) { (&Guard{}).Answer(r) }, want: AttemptAfterEnd},
		"the host drains":               {effect: balancer.Safe, spoil: func(_ *Request, a *Attempt) { a.Host.Leaving = true }, want: AttemptToLeaving},
		"its time is over":              {effect: balancer.Safe, spoil: func(_ *Request, a *Attempt) { a.Now = 10 * second }, want: AttemptTooLate},
		"too much is told":              {effect: balancer.Safe, spoil: func(_ *Request, a *Attempt) { a.Until = 10*second + 1 }, want: AttemptTooLate},
	} {
		g, r := tried(t, c.effect, c.group, c.unrun)
		a := Attempt{Now: 2 * second, Until: 10 * second, Host: Host{Zone: 1, Cell: 1}}
		if c.spoil != nil {
			c.spoil(r, &a)
		}
		_, ok := g.Attempt(r, a)
		if ok != c.ok || !ok && (g.Total() != 1 || g.Counts()[c.want.String()] != 1) {
			t.Errorf("%s: %v, %v", name, ok, g.Counts())
		}
	}
}

// A refusal promises that the work never ran.
func TestPromises(t *testing.T) {
	for _, c := range []struct {
		effect    balancer.Effect
		group     balancer.Group
		unrun, ok bool
	}{
		{balancer.Safe, balancer.GroupAll, false, true},
		{balancer.Unsafe, balancer.GroupAll, true, true},
		{balancer.Unsafe, balancer.GroupAll, false, false},
		{balancer.Keyed, balancer.GroupAll, false, true},
		{balancer.Keyed, balancer.GroupZone, false, false},
		{balancer.Keyed, balancer.GroupCell, true, true},
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
	g := &Guard{Report: func(v Violation) { told = append(told, v.Rule) }}
	r := &Request{ID: "a"}
	for i, c := range []struct{ got, want bool }{
		{g.Close(r), false},
		{g.Answer(r), true},
		{g.Answer(r), false},
		{g.Close(r), true},
		{g.Close(nil), true},
		{g.Timed(true, false), true},
		{g.Timed(false, true), true},
		{g.Timed(false, false), false},
		{g.End(0), true},
		{g.End(1), false},
	} {
		if c.got != c.want {
			t.Errorf("%d: %v", i, c.got)
		}
	}
	if got := g.Wait(4*second, 2*second, 3*second); got != 4*second {
		t.Errorf("waits until %v", got)
	}
	if got := g.Wait(6*second, 2*second, 3*second); got != 5*second {
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
