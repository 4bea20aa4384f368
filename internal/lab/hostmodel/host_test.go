package hostmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"thymebend/internal/lab/requestrecord"
)

const ms = time.Millisecond

func spec(edit func(*Spec)) Spec {
	s := Spec{Name: "h", Cores: 1, Speed: 1, Slots: 1, Queue: 2, Body: 40,
		Work: map[string]Work{"view": {Dist: "fixed", Mean: 10 * ms}}}
	if edit != nil {
		edit(&s)
	}
	return s
}

func host(t *testing.T, cold bool, edit func(*Spec)) (*Host, *requestrecord.EndpointRecord) {
	t.Helper()
	l := requestrecord.NewEndpointRecord("h")
	h, err := New(spec(edit), 7, 0, cold, l)
	if err != nil {
		t.Fatal(err)
	}
	return h, l
}

// ends runs a host until it rests and returns when each reply came, by id.
func ends(h *Host) (at map[string]time.Duration, kinds map[string]Kind) {
	at, kinds = make(map[string]time.Duration), make(map[string]Kind)
	for next, ok := h.Next(); ok; next, ok = h.Next() {
		for _, r := range h.Advance(next) {
			at[r.ID], kinds[r.ID] = next, r.Kind
		}
	}
	return at, kinds
}

func near(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if d := (got - want).Abs(); d > 50*time.Microsecond {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

func TestWaitsInTurnAndTurnsAwayBeyondTheQueue(t *testing.T) {
	h, l := host(t, false, nil)
	for i := range 5 {
		h.Arrive(0, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	at, kinds := ends(h)
	near(t, "first", at["0"], 10*ms)
	near(t, "third", at["2"], 30*ms)
	for _, id := range []string{"3", "4"} {
		if kinds[id] != TurnedAway || l.EntryOf(id).TurnedAway != 1 || l.EntryOf(id).Begun != 0 {
			t.Errorf("%s: %v, %+v", id, kinds[id], *l.EntryOf(id))
		}
	}
	if e := l.EntryOf("2"); e.Arrivals != 1 || e.Begun != 1 || e.Ended != 1 || len(e.Returned) != 1 ||
		e.Returned[0] != requestrecord.Hash(Body("2", "h", 3, 40)) {
		t.Errorf("ledger of a served one: %+v", *e)
	}
}

// Slots beyond the cores share them; a crowd makes all of it slower.
func TestSharesCoresAndThrashes(t *testing.T) {
	h, _ := host(t, false, func(s *Spec) { s.Cores, s.Slots = 2, 4 })
	for i := range 4 {
		h.Arrive(0, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	at, _ := ends(h)
	near(t, "four on two cores", at["3"], 20*ms)
	h, _ = host(t, false, func(s *Spec) { s.Slots, s.ThrashAt, s.Thrash = 4, 2, 0.5 })
	for i := range 4 {
		h.Arrive(0, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	at, _ = ends(h)
	near(t, "four on one core, two too many", at["3"], 80*ms) // 40 ms of work at half the rate
}

func TestPausesNeighboursAndHolds(t *testing.T) {
	h, _ := host(t, false, nil)
	h.Arrive(0, Request{ID: "a", Class: "view"})
	h.PauseFor(5*ms, 100*ms)
	at, _ := ends(h)
	near(t, "over a pause", at["a"], 110*ms)

	h, _ = host(t, false, nil)
	h.SetNeighbour(0, Neighbour{Share: 0.5})
	h.Arrive(0, Request{ID: "a", Class: "view"})
	at, _ = ends(h)
	near(t, "beside a neighbour", at["a"], 20*ms)

	h, _ = host(t, false, nil)
	h.Arrive(0, Request{ID: "a", Class: "view"})
	h.Hold(4*ms, true)
	if _, ok := h.Next(); ok {
		t.Error("a stopped host has something to do")
	}
	h.Hold(time.Second, false)
	at, _ = ends(h)
	near(t, "stopped and let go", at["a"], time.Second+6*ms)
}

// A cold host does what its share allows, warms, and falls over for good when it is sent too much.
func TestColdHostWarmsOrFalls(t *testing.T) {
	cold := func(s *Spec) {
		s.Cold = Cold{From: 0.2, For: 10 * time.Second, FallMultiple: 3, FallFor: time.Second}
		s.Queue = 1000
	}
	h, _ := host(t, true, cold)
	h.Arrive(0, Request{ID: "a", Class: "view"})
	at, _ := ends(h)
	if at["a"] < 45*ms || at["a"] > 51*ms {
		t.Errorf("a fifth of the capacity took %v for 10 ms of work", at["a"])
	}
	h.Advance(5 * time.Second)
	if c := h.Capacity(); math.Abs(c-0.6) > 0.01 {
		t.Errorf("half way it can do %.3f", c)
	}
	h.Advance(20 * time.Second)
	if c := h.Capacity(); c != 1 {
		t.Errorf("warm, it can do %.3f", c)
	}

	// Three times a fifth, for a second, is 600 ms of work: 60 requests are borne and the
	// one that crosses the line; the 62nd is not.
	h, _ = host(t, true, cold)
	for i := range 61 {
		h.Arrive(ms, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	if h.Down() || h.ColdPeak() > 1.001 {
		t.Fatalf("fell over at %.3f of the budget", h.ColdPeak())
	}
	h.Arrive(2*ms, Request{ID: "last", Class: "view"})
	if !h.Down() || h.Capacity() != 0 {
		t.Fatal("bore more than three times what it can do")
	}
	_, kinds := ends(h)
	if kinds["5"] != Lost || kinds["last"] != Lost {
		t.Errorf("what a fallen host held: %v, %v", kinds["5"], kinds["last"])
	}

	// The same work spread over time is borne.
	h, _ = host(t, true, cold)
	for i := range 100 {
		h.Arrive(time.Duration(i)*20*ms, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	if h.Down() {
		t.Errorf("fell over at two and a half times what it can do, peak %.2f", h.ColdPeak())
	}
}

func TestDrainsAndRejectsUnknownClasses(t *testing.T) {
	h, _ := host(t, false, nil)
	h.Arrive(0, Request{ID: "a", Class: "view"})
	h.Drain(ms, true)
	h.Arrive(2*ms, Request{ID: "b", Class: "view"})
	at, kinds := ends(h)
	if kinds["a"] != Served || kinds["b"] != TurnedAway {
		t.Errorf("draining: %v %v", kinds["a"], kinds["b"])
	}
	near(t, "what a draining host holds", at["a"], 10*ms)
	h.Drain(20*ms, false)
	h.Arrive(20*ms, Request{ID: "c", Class: "nonsense"})
	if _, kinds = ends(h); kinds["c"] != TurnedAway {
		t.Errorf("an unknown class: %v", kinds["c"])
	}
}

// Reports show late, as of the time at which they were taken.
func TestReportsAreLate(t *testing.T) {
	h, _ := host(t, false, func(s *Spec) {
		s.Report = Report{Least: 100 * ms, Most: 100 * ms,
			Delay: 30 * ms}
		s.Queue = 5
	})
	if _, ok := h.Report(10 * ms); ok {
		t.Error("a report before its delay")
	}
	for i := range 4 {
		h.Arrive(90*ms, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	if r, _ := h.Report(120 * ms); r.Queue != 0 {
		t.Errorf("at 120 ms the report of 0 ms shows, with nothing waiting; got %+v", r)
	}
	if r, _ := h.Report(135 * ms); r.Queue != 2 || r.InFlight != 3 {
		t.Errorf("at 135 ms the report of 100 ms shows, when one had ended; got %+v", r)
	}
}

func TestWorkHasItsMeanAndSpread(t *testing.T) {
	for _, w := range []Work{{"fixed", 35 * ms, 0}, {"lognormal", 70 * ms, 0.8}, {"pareto", 35 * ms, 0.4}} {
		r := rand.New(rand.NewPCG(1, 2))
		const n = 400000
		var sum, squares float64
		for range n {
			v := w.Draw(r)
			sum += v
			squares += v * v
		}
		mean := sum / n
		cv := math.Sqrt(max(0, squares/n-mean*mean)) / mean
		if math.Abs(mean/w.Mean.Seconds()-1) > 0.02 || math.Abs(cv-w.CV) > 0.06 {
			t.Errorf("%+v: mean %.4f s, cv %.3f", w, mean, cv)
		}
	}
	if (Work{Dist: "normal", Mean: ms}).Check() == nil || (Work{Dist: "pareto", Mean: ms}).Check() == nil {
		t.Error("impossible work passes")
	}
}

// The same seed and calls give the same replies, whatever the steps in which time is passed in.
func TestSameSeedSameReplies(t *testing.T) {
	play := func(step time.Duration) (out []string) {
		h, _ := host(t, true, func(s *Spec) {
			s.Cores, s.Slots, s.Queue, s.ErrorRate = 2, 3, 8, 0.1
			s.Work["view"] = Work{Dist: "pareto", Mean: 8 * ms, CV: 1.5}
			s.Cold = Cold{From: 0.5, For: time.Second, ByWork: true}
			s.Pause = Pause{Every: 300 * ms, For: 20 * ms, Grow: 0.2}
			s.Neighbour = Neighbour{Share: 0.4, On: 100 * ms, Off: 100 * ms}
			s.Report = Report{Least: 20 * ms, Most: 60 * ms, Noise: 0.1}
		})
		id := 0
		for at := time.Duration(0); at < 3*time.Second; at += step {
			if at%(6*ms) == 0 {
				id++
				h.Arrive(at, Request{ID: fmt.Sprint(id), Class: "view"})
			}
			for _, r := range h.Advance(at) {
				out = append(out, r.ID+r.Kind.String())
			}
		}
		for _, r := range h.Advance(3 * time.Second) {
			out = append(out, r.ID+r.Kind.String())
		}
		return out
	}
	a, b, c := play(6*ms), play(6*ms), play(ms)
	if len(a) < 400 || !reflect.DeepEqual(a, b) || !reflect.DeepEqual(a, c) {
		t.Errorf("%d replies; alike in one step size: %v, in another: %v", len(a), reflect.DeepEqual(a, b),
			reflect.DeepEqual(a, c))
	}
}

// BenchmarkHost is a host's share of a simulation: one request, arrival to reply.
func BenchmarkHost(b *testing.B) {
	l := requestrecord.NewEndpointRecord("h")
	h, err := New(spec(func(s *Spec) { s.Cores, s.Slots, s.Queue = 4, 8, 50 }), 1, 0, false, l)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * 3 * ms
		h.Arrive(now, Request{ID: fmt.Sprint(i), Class: "view"})
		h.Advance(now)
	}
}
