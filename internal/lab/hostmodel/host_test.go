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

func testSpec(edit func(*Spec)) Spec {
	s := Spec{Name: "h", Cores: 1, Speed: 1, Slots: 1, Queue: 2, Body: 40,
		Work: map[string]Work{"view": {Distribution: "fixed", Mean: 10 * ms}}}
	if edit != nil {
		edit(&s)
	}
	return s
}

func newTestHost(t *testing.T, slowStart bool, edit func(*Spec)) (*Host, *requestrecord.EndpointRecord) {
	t.Helper()
	l := requestrecord.NewEndpointRecord("h")
	h, err := New(testSpec(edit), 7, 0, slowStart, l)
	if err != nil {
		t.Fatal(err)
	}
	return h, l
}

// runUntilIdle runs a host until nothing is left to do, and returns the time and kind of each reply by request
// id.
func runUntilIdle(h *Host) (at map[string]time.Duration, kinds map[string]Kind) {
	at, kinds = make(map[string]time.Duration), make(map[string]Kind)
	for next, ok := h.Next(); ok; next, ok = h.Next() {
		for _, r := range h.Advance(next) {
			at[r.ID], kinds[r.ID] = next, r.Kind
		}
	}
	return at, kinds
}

func checkNear(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	if d := (got - want).Abs(); d > 50*time.Microsecond {
		t.Errorf("%s: %v, want %v", what, got, want)
	}
}

func TestServesInOrderAndRejectsBeyondQueue(t *testing.T) {
	h, l := newTestHost(t, false, nil)
	for i := range 5 {
		h.Arrive(0, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	at, kinds := runUntilIdle(h)
	checkNear(t, "first", at["0"], 10*ms)
	checkNear(t, "third", at["2"], 30*ms)
	for _, id := range []string{"3", "4"} {
		if kinds[id] != Rejected || l.EntryOf(id).Rejected != 1 || l.EntryOf(id).Started != 0 {
			t.Errorf("%s: %v, %+v", id, kinds[id], *l.EntryOf(id))
		}
	}
	if e := l.EntryOf("2"); e.Arrivals != 1 || e.Started != 1 || e.Ended != 1 || len(e.Returned) != 1 ||
		e.Returned[0] != requestrecord.Hash(Body("2", "h", 3, 40)) {
		t.Errorf("record of a served request: %+v", *e)
	}
}

// More running requests than cores share the cores, and requests above the thrashing threshold slow all of them
// down.
func TestSharesCoresAndThrashes(t *testing.T) {
	h, _ := newTestHost(t, false, func(s *Spec) { s.Cores, s.Slots = 2, 4 })
	for i := range 4 {
		h.Arrive(0, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	at, _ := runUntilIdle(h)
	checkNear(t, "four requests on two cores", at["3"], 20*ms)
	h, _ = newTestHost(t, false, func(s *Spec) { s.Slots, s.ThrashThreshold, s.ThrashFactor = 4, 2, 0.5 })
	for i := range 4 {
		h.Arrive(0, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	at, _ = runUntilIdle(h)
	// 40 ms of work in total, done at half the rate: requests above the threshold slow all of them down.
	checkNear(t, "four requests on one core, two above the thrashing threshold", at["3"], 80*ms)
}

func TestPauseNeighbourAndSuspensionDelayRequests(t *testing.T) {
	h, _ := newTestHost(t, false, nil)
	h.Arrive(0, Request{ID: "a", Class: "view"})
	h.PauseFor(5*ms, 100*ms)
	at, _ := runUntilIdle(h)
	checkNear(t, "request during a pause", at["a"], 110*ms)

	h, _ = newTestHost(t, false, nil)
	h.SetNeighbour(0, Neighbour{Share: 0.5})
	h.Arrive(0, Request{ID: "a", Class: "view"})
	at, _ = runUntilIdle(h)
	checkNear(t, "request beside a neighbour with half of the machine", at["a"], 20*ms)

	h, _ = newTestHost(t, false, nil)
	h.Arrive(0, Request{ID: "a", Class: "view"})
	h.SetSuspended(4*ms, true)
	if _, ok := h.Next(); ok {
		t.Error("a suspended host has a next change, want none")
	}
	h.SetSuspended(time.Second, false)
	at, _ = runUntilIdle(h)
	checkNear(t, "request on a host that was suspended and resumed", at["a"], time.Second+6*ms)
}

// A host in slow start has the share of its capacity that its age allows, reaches the full capacity, and crashes
// permanently if it is sent too much.
func TestSlowStartEndsOrHostCrashes(t *testing.T) {
	slowStart := func(s *Spec) {
		s.SlowStart = SlowStart{InitialShare: 0.2, Duration: 10 * time.Second, CrashMultiple: 3, CrashWindow: time.Second}
		s.Queue = 1000
	}
	h, _ := newTestHost(t, true, slowStart)
	h.Arrive(0, Request{ID: "a", Class: "view"})
	at, _ := runUntilIdle(h)
	if at["a"] < 45*ms || at["a"] > 51*ms {
		t.Errorf("10 ms of work took %v at a fifth of the capacity, want 45 to 51 ms", at["a"])
	}
	h.Advance(5 * time.Second)
	if c := h.Capacity(); math.Abs(c-0.6) > 0.01 {
		t.Errorf("capacity %.3f half-way through slow start, want 0.6", c)
	}
	h.Advance(20 * time.Second)
	if c := h.Capacity(); c != 1 {
		t.Errorf("capacity %.3f after slow start, want 1", c)
	}

	// The budget is three times a fifth of the capacity for a second, 600 ms of work. The host survives 60 requests
	// and the 61st, which exceeds the budget; the 62nd crashes the host.
	h, _ = newTestHost(t, true, slowStart)
	for i := range 61 {
		h.Arrive(ms, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	if h.Down() || h.PeakBudgetShare() > 1.001 {
		t.Fatalf("down or over budget after 61 requests, peak %.3f of the budget", h.PeakBudgetShare())
	}
	h.Arrive(2*ms, Request{ID: "last", Class: "view"})
	if !h.Down() || h.Capacity() != 0 {
		t.Fatal("survived more than three times its capacity")
	}
	_, kinds := runUntilIdle(h)
	if kinds["5"] != Lost || kinds["last"] != Lost {
		t.Errorf("requests held by a crashed host ended as %v and %v, want lost", kinds["5"], kinds["last"])
	}

	// The host survives the same work if it is distributed over time.
	h, _ = newTestHost(t, true, slowStart)
	for i := range 100 {
		h.Arrive(time.Duration(i)*20*ms, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	if h.Down() {
		t.Errorf("crashed at two and a half times its capacity, peak %.2f of the budget", h.PeakBudgetShare())
	}
}

func TestDrainsAndRejectsUnknownClasses(t *testing.T) {
	h, _ := newTestHost(t, false, nil)
	h.Arrive(0, Request{ID: "a", Class: "view"})
	h.SetDraining(ms, true)
	h.Arrive(2*ms, Request{ID: "b", Class: "view"})
	at, kinds := runUntilIdle(h)
	if kinds["a"] != Served || kinds["b"] != Rejected {
		t.Errorf("a draining host: the held request ended as %v, the new one as %v", kinds["a"], kinds["b"])
	}
	checkNear(t, "request held by a draining host", at["a"], 10*ms)
	h.SetDraining(20*ms, false)
	h.Arrive(20*ms, Request{ID: "c", Class: "nonsense"})
	if _, kinds = runUntilIdle(h); kinds["c"] != Rejected {
		t.Errorf("a request of an unknown class ended as %v, want turned away", kinds["c"])
	}
}

// A report becomes visible after its delay, with the values of the time at which it was made.
func TestReportsAreDelayed(t *testing.T) {
	h, _ := newTestHost(t, false, func(s *Spec) {
		s.Report = Report{MinInterval: 100 * ms, MaxInterval: 100 * ms,
			Delay: 30 * ms}
		s.Queue = 5
	})
	if _, ok := h.Report(10 * ms); ok {
		t.Error("a report is visible before its delay")
	}
	for i := range 4 {
		h.Arrive(90*ms, Request{ID: fmt.Sprint(i), Class: "view"})
	}
	if r, _ := h.Report(120 * ms); r.Queue != 0 {
		t.Errorf("at 120 ms: %+v, want the report of 0 ms with an empty queue", r)
	}
	if r, _ := h.Report(135 * ms); r.Queue != 2 || r.InFlight != 3 {
		t.Errorf("at 135 ms: %+v, want the report of 100 ms, after one request had ended", r)
	}
}

func TestWorkHasMeanAndVariation(t *testing.T) {
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
			t.Errorf("%+v: measured mean %.4f s, cv %.3f", w, mean, cv)
		}
	}
	if (Work{Distribution: "normal", Mean: ms}).Check() == nil || (Work{Distribution: "pareto", Mean: ms}).Check() == nil {
		t.Error("Check accepts an unknown distribution or a missing cv")
	}
}

// The same seed and arrivals give the same replies, independent of the time steps at which Advance is called.
func TestSameSeedSameReplies(t *testing.T) {
	simulate := func(step time.Duration) (out []string) {
		h, _ := newTestHost(t, true, func(s *Spec) {
			s.Cores, s.Slots, s.Queue, s.ErrorRate = 2, 3, 8, 0.1
			s.Work["view"] = Work{Distribution: "pareto", Mean: 8 * ms, CV: 1.5}
			s.SlowStart = SlowStart{InitialShare: 0.5, Duration: time.Second, ByWork: true}
			s.Pause = Pause{MeanInterval: 300 * ms, MeanDuration: 20 * ms, GrowthPerRequest: 0.2}
			s.Neighbour = Neighbour{Share: 0.4, MeanActive: 100 * ms, MeanIdle: 100 * ms}
			s.Report = Report{MinInterval: 20 * ms, MaxInterval: 60 * ms, Noise: 0.1}
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
	a, b, c := simulate(6*ms), simulate(6*ms), simulate(ms)
	if len(a) < 400 || !reflect.DeepEqual(a, b) || !reflect.DeepEqual(a, c) {
		t.Errorf("%d replies, want at least 400; equal with the same steps: %v, with other steps: %v",
			len(a), reflect.DeepEqual(a, b),
			reflect.DeepEqual(a, c))
	}
}

// BenchmarkHost measures the cost of one request in a simulation, from arrival to reply.
func BenchmarkHost(b *testing.B) {
	l := requestrecord.NewEndpointRecord("h")
	h, err := New(testSpec(func(s *Spec) { s.Cores, s.Slots, s.Queue = 4, 8, 50 }), 1, 0, false, l)
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
