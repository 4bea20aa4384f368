package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// act is one recorded action.
type act struct {
	what    string // send, refuse, fail, cancel, wake, watch, log
	id      RequestID
	server  EndpointID
	timeout time.Duration
	attempt int
	token   uint32
	text    string
}

// recorder implements Actions.
type recorder struct{ acts []act }

func (r *recorder) StartAttempt(id RequestID, to EndpointID, timeout time.Duration) {
	r.acts = append(r.acts, act{what: "send", id: id, server: to, timeout: timeout})
}
func (r *recorder) Reject(id RequestID, after time.Duration) {
	r.acts = append(r.acts, act{what: "refuse", id: id, timeout: after})
}
func (r *recorder) Fail(id RequestID) { r.acts = append(r.acts, act{what: "fail", id: id}) }
func (r *recorder) CancelAttempt(id RequestID, attempt int) {
	r.acts = append(r.acts, act{what: "cancel", id: id, attempt: attempt})
}
func (r *recorder) SetTimer(after time.Duration, token uint32) {
	r.acts = append(r.acts, act{what: "wake", timeout: after, token: token})
}
func (r *recorder) WatchEndpoints()         { r.acts = append(r.acts, act{what: "watch"}) }
func (r *recorder) CloseIdle(to EndpointID) { r.acts = append(r.acts, act{what: "close", server: to}) }
func (r *recorder) Log(line string)         { r.acts = append(r.acts, act{what: "log", text: line}) }

// rig is a balancer with its recorded actions and a clock.
type rig struct {
	t   *testing.T
	b   *Balancer
	rec recorder
	now time.Duration
}

const millisecond = time.Millisecond

// safe, keyed and unsafe classes of one site, in this order.
func testConfig() Config {
	class := Class{LatencyObjective: 1000 * millisecond, Deadline: 2000 * millisecond, Weight: 1, DedupWindow: 1500 * millisecond}
	keyed, unsafe := class, class
	keyed.Idempotency, keyed.DedupScope = KeyedIdempotent, DedupCell
	unsafe.Idempotency = NonIdempotent
	return Config{
		Gateways: 2, Classes: []Class{class, keyed, unsafe}, OverQuotaWeight: 0.1,
		SlowStartFraction: 0.3, SlowStartDuration: 9 * time.Second, OverloadMultiple: 2.5,
		OverloadWindow: 2 * time.Second, MaxAttempts: 4, DispatchInterval: 5 * millisecond, RetryAfter: true,
		MaxRetryAfter: time.Second, CancelAllowed: true, PollInterval: 10 * time.Second,
	}
}

func newRig(t *testing.T, cfg Config, servers ...Endpoint) *rig {
	t.Helper()
	r := &rig{t: t, now: 100 * time.Second}
	b, err := New(cfg, 7, r.now, &r.rec)
	if err != nil {
		t.Fatal(err)
	}
	r.b = b
	b.UpdateEndpoints(r.now, CachedSnapshot, servers)
	b.Dispatch(r.now)
	return r
}

func ready(id EndpointID, zone, cell int) Endpoint {
	return Endpoint{ID: id, Zone: zone, Cell: cell, State: EndpointReady}
}

// take clears the record and returns the actions of one kind.
func (r *rig) take(what string) []act {
	var out []act
	for _, a := range r.rec.acts {
		if a.what == what {
			out = append(out, a)
		}
	}
	r.rec.acts = nil
	return out
}

// finals counts the final answers to id in the record.
func (r *rig) finals(id RequestID) (refused, failed int) {
	for _, a := range r.rec.acts {
		if a.id == id && a.what == "refuse" {
			refused++
		}
		if a.id == id && a.what == "fail" {
			failed++
		}
	}
	return refused, failed
}

func (r *rig) request(id RequestID, class int) {
	r.b.RequestArrived(r.now, Request{ID: id, Class: class, ClientTimeout: 2000 * millisecond})
	r.b.Dispatch(r.now)
}

func (r *rig) end(id RequestID, attempt int, s EndpointID, o Outcome, latency time.Duration) {
	r.b.AttemptEnded(r.now, AttemptEnd{Request: id, Attempt: attempt, Endpoint: s, Outcome: o, Latency: latency,
		RequestDone: o == OutcomeOK})
	r.b.Dispatch(r.now)
}

// wait moves the clock and fires the module's recurring timers as a gateway would.
func (r *rig) wait(d time.Duration) {
	end := r.now + d
	for r.now < end {
		r.now += r.b.cfg.DispatchInterval
		if r.now%period == 0 {
			r.b.TimerFired(r.now, tokenSample)
		}
		r.b.TimerFired(r.now, tokenQueue)
		r.b.Dispatch(r.now)
	}
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*math.Max(1, math.Abs(want)) {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

// The setpoint in these cases is 150 ms, from the floor, as (1-0.9) x 1 x 1000 ms = 100 ms is less.
const uncrowded = 150 / crowding

// about is near, but for the little by which one sample moves the uncrowded time and with it the setpoint.
func about(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 3e-3 {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

func TestServiceLoop(t *testing.T) {
	cases := []struct {
		name              string
		u, gain           float64
		answers, failures int
		sum               float64
		bound             bool
		wantU, wantGain   float64
	}{
		// K = 0.5x50 + 0.5x120/3 = 45; step = 0.16/45 x (150-120)
		{"grows", 3, 50, 4, 0, 480, true, 3 + 4.8/45, 45},
		// the same sample with an empty queue: K learns, u stays
		{"empty queue", 3, 50, 4, 0, 480, false, 3, 45},
		{"no completions", 3, 50, 0, 0, 0, true, 3, 50},
		// mean 200, limit ceil(2.5) = 3: K = 25 + 0.5x200/3 = 175/3; step = 0.16/K x (150-200) = -24/175
		{"shrinks though the queue is empty", 2.5, 50, 2, 0, 400, false, 2.5 - 24.0/175, 175.0 / 3},
		// failures alone: service = 2x150 = 300; step = 0.16/50 x (150-300) = -0.48; K stays
		{"failures only", 3, 50, 0, 2, 0, true, 2.52, 50},
		// service = (200+300)/3 = 500/3; answers of mean 100: K = 25 + 0.5x100/3 = 125/3;
		// step = 0.16/K x (450-500)/3 = -0.064
		{"one failure among answers", 3, 50, 2, 1, 200, true, 3 - 0.064, 125.0 / 3},
		// step = -0.48 would lead to 0.62
		{"never under one", 1.1, 50, 0, 1, 0, true, 1, 50},
		// first sample: K starts at 90/1; step = 0.16/90 x 60 = 9.6/90
		{"first sample", 1, 0, 1, 0, 90, true, 1 + 9.6/90, 90},
		// failures before anything is known about the server
		{"failure first", 1, 0, 0, 1, 0, true, 1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig(), ready(1, 0, 0))
			s := r.b.servers[0]
			s.u, s.gain, s.base = c.u, c.gain, uncrowded
			s.smooth = average{n: 1 << 60, mean: uncrowded}
			s.answers, s.failures, s.sum, s.bound = c.answers, c.failures, c.sum, c.bound
			r.b.sampleServer(s)
			about(t, "u", s.u, c.wantU)
			near(t, "K", s.gain, c.wantGain)
		})
	}
}

// After a pause K may be far too high; each sample with answers halves the excess.
func TestServiceLoopRecoversAfterPause(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	s := r.b.servers[0]
	s.u, s.gain, s.base, s.smooth = 1, 400, uncrowded, average{n: 1 << 60, mean: uncrowded}
	// K = 200+50, 125+25 (the limit is two from here on), 75+25; steps 0.16/K x 50 = 0.032, 8/150, 0.08
	for _, want := range []struct{ gain, u float64 }{{250, 1.032}, {150, 1.032 + 8.0/150}, {100, 1.112 + 8.0/150}} {
		s.answers, s.sum, s.bound = 1, 100, true
		s.base, s.smooth.mean = uncrowded, uncrowded
		r.b.sampleServer(s)
		near(t, "K", s.gain, want.gain)
		about(t, "u", s.u, want.u)
	}
}

// Until something is known of a server the setpoint is a share of the aim, here 40 ms, less than any answer
// takes. The running mean must serve as the uncrowded time at once, or each start loses a second.
func TestLimitGrowsFromTheSecondSample(t *testing.T) {
	cfg := testConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective = 400 * millisecond
	}
	r := newRig(t, cfg, ready(1, 0, 0))
	s := r.b.servers[0]
	for range 2 {
		s.answers, s.sum, s.bound = 1, 100, true
		r.b.sampleServer(s)
	}
	if s.u <= 1 {
		t.Errorf("u = %v after two uncrowded samples with requests held", s.u)
	}
}

func TestWaitLoop(t *testing.T) {
	cases := []struct {
		name           string
		psi, wait      float64
		n              int
		response, want float64
	}{
		{"rises", 0.9, 0.5, 3, 1, 0.9 + 0.07*0.4},
		{"falls", 0.9, 1.5, 3, 1, 0.9 - 0.07*0.6},
		{"nothing released", 0.9, 0, 0, 1, 0.9},
		{"at most twice the setpoint", 1.79, 0, 1, 1, 1.8},
		{"at least zero", 0.1, 5, 1, 1, 0},
		{"setpoint follows the top loop", 0.9, 0.45, 1, 0.5, 0.9}, // clamped to 2 x 0.9 x 0.5
	}
	for _, c := range cases {
		r := newRig(t, testConfig())
		r.b.psi, r.b.response = c.psi, c.response
		r.b.waits = average{n: c.n, mean: c.wait}
		r.b.sampleWait()
		near(t, c.name, r.b.psi, c.want)
	}
}

func TestTopLoop(t *testing.T) {
	for _, c := range []struct {
		name                 string
		response, stat, want float64
		full                 bool
	}{
		{"over the aim", 1, 1.5, 0.995, true},
		{"under the aim gives back", 0.9, 0.5, 0.905, true},
		{"never over the aim", 1, 0.2, 1, true},
		{"never under half", 0.5, 4, 0.5, true},
		{"too few answers", 0.8, 4, 0.8, false},
	} {
		r := newRig(t, testConfig())
		r.b.response = c.response
		for i := range r.b.responses {
			r.b.responses[i] = c.stat
		}
		if c.full {
			r.b.responded = len(r.b.responses)
		}
		r.b.sampleResponse()
		near(t, c.name, r.b.response, c.want)
	}
}

// Incidents with eleven gateways and more: one request each crowds a server, so u goes on below one, as the share
// of the time in which one request may be out.
func TestLimitBelowOneIsAShareOfTime(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 10
	r := newRig(t, cfg, ready(1, 0, 0))
	s := r.b.servers[0]
	near(t, "u at the start", s.u, 0.5)
	s.u, s.gain, s.base, s.smooth.n, s.smooth.mean = 0.8, 100, 100, 1000, 200
	r.b.mean = 100
	s.answers, s.sum = 1, 280 // K = 50+140; step = 0.16/190 x (140-280), times u
	r.b.sampleServer(s)
	about(t, "u after a step", s.u, 0.8+0.8*0.16/190*(crowding*100-280))
	for range 60 {
		s.answers, s.sum = 1, 280
		r.b.sampleServer(s)
	}
	near(t, "u at its floor", s.u, fleetFloor/10)
	r.request(1, 0)
	r.end(1, 0, 1, OutcomeOK, 100*millisecond)
	if want := r.now + 100*millisecond; s.restUntil != want {
		t.Errorf("rests until %v, want %v", s.restUntil, want)
	}
	r.rec.acts = nil
	r.request(2, 0)
	if n := len(r.take("send")); n != 0 {
		t.Errorf("sent %d requests to a resting server", n)
	}
	r.wait(105 * millisecond)
	if n := len(r.take("send")); n != 1 {
		t.Errorf("sent %d requests after the rest, want 1", n)
	}
}

// Incidents icc2c16 and if441fd: gateways grew their limits together and tipped every server. A reported queue stops
// growth and lowers limits gently.
func TestReportedQueueLowersLimits(t *testing.T) {
	for _, c := range []struct {
		waiting float64
		grows   bool
	}{{2.5, false}, {1.2, true}} {
		r := newRig(t, testConfig(), ready(1, 0, 0))
		s := r.b.servers[0]
		s.backlog = c.waiting
		r.request(1, 0)
		r.b.AttemptEnded(r.now, AttemptEnd{Request: 1, Endpoint: 1, Outcome: OutcomeOK, Latency: 50 * millisecond,
			RequestDone: true, Reported: true, QueueLength: c.waiting})
		s.u, s.gain, s.base, s.bound = 3, 50, uncrowded, true
		r.b.sampleServer(s)
		if grew := s.u > 3; grew != c.grows || s.u < 3-queueStep || s.u == 3 {
			t.Errorf("%v waiting: u = %v, want growth %v", c.waiting, s.u, c.grows)
		}
	}
}

// wasla incident: shedding light work must not look like slower servers.
func TestClassReferenceIgnoresMix(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	s := r.b.servers[0]
	for i := range r.b.classes {
		r.b.classes[i].service = average{n: 1000, mean: 50 * float64(i+1)}
	}
	r.b.mean = r.b.averageClass()
	near(t, "reference", r.b.mean, 100)
	for range 500 { // only the heaviest class is served any more
		s.sum, s.answers = 0, 0
		r.b.learn(&request{Request: Request{Class: 2}}, s, 150*millisecond)
		r.b.mean = r.b.averageClass()
	}
	near(t, "normalised service time", s.sum, 100)
}

func TestHeavyRequestsAreClipped(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	s := r.b.servers[0]
	r.b.classes[0].service = average{n: 1000, mean: 100}
	r.b.mean = 100
	r.b.learn(&request{}, s, 2700*millisecond)
	if s.sum > heavyClip*100*1.01 || s.sum < heavyClip*90 {
		t.Errorf("a request of 27 times the work counts %v ms", s.sum)
	}
}

func TestLimitsStartAtOneAndHold(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	for id := range RequestID(5) {
		r.request(id, 0)
	}
	sends := r.take("send")
	if len(sends) != 2 || sends[0].server == sends[1].server || sends[0].id != 0 || sends[1].id != 1 {
		t.Fatalf("sends = %+v, want the first two requests, one to each server", sends)
	}
	r.end(0, 0, sends[0].server, OutcomeOK, 50*millisecond)
	next := r.take("send")
	if len(next) != 1 || next[0].id != 2 || next[0].server != sends[0].server {
		t.Fatalf("after an answer sends = %+v, want request 2 on the same server", next)
	}
}

func TestMostRoomIsChosen(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0), ready(3, 0, 0))
	r.b.servers[0].u, r.b.servers[1].u, r.b.servers[2].u = 2, 4.2, 3
	for id := range RequestID(3) {
		r.request(id, 0)
	}
	var got []EndpointID
	for _, s := range r.take("send") {
		got = append(got, s.server)
	}
	if want := []EndpointID{2, 2, 2}; got[0] != want[0] || got[1] != want[1] {
		t.Errorf("sent to %v, want server 2 first: it has room for five", got)
	}
}

func TestOwnZoneGoesFirst(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost = 0.05 // 0.05 x 1000 ms = 50 ms
	r := newRig(t, cfg, ready(1, 0, 0), ready(2, 1, 1))
	r.b.byID[2].u = 5 // more room does not outweigh the crossing
	r.request(1, 0)
	r.request(2, 0)
	if sends := r.take("send"); len(sends) != 1 || sends[0].server != 1 {
		t.Fatalf("sends = %+v, want one to the own zone", sends)
	}
	r.wait(45 * millisecond)
	if sends := r.take("send"); len(sends) != 0 {
		t.Fatalf("crossed after 45 ms: %+v", sends)
	}
	r.wait(10 * millisecond)
	if sends := r.take("send"); len(sends) != 1 || sends[0].server != 2 {
		t.Fatalf("sends = %+v, want one to the other zone", sends)
	}
}

// Held work may cross before it is shed, however short aims make the hold: servers of other zones idled while work was
// refused that could have gone there.
func TestWorkCrossesBeforeItIsShed(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost = 0.1 // 0.1 x 400 ms = 40 ms
	for i := range cfg.Classes {
		cfg.Classes[i].LatencyObjective, cfg.Classes[i].Weight = 400*millisecond, []float64{1, 16, 16}[i]
	}
	r := newRig(t, cfg, ready(1, 0, 0), ready(2, 1, 1))
	for i := range r.b.classes {
		c := &r.b.classes[i]
		c.service, c.spread = average{100, 90}, average{100, 100} // by these nothing is left of the aim for waiting
	}
	r.b.mean = 90
	r.b.setHolds()
	if hold := r.b.classes[0].hold[0]; hold >= 40*millisecond {
		t.Fatalf("held for %v: the case shows nothing", hold)
	}
	r.request(1, 0)
	r.request(2, 0)
	r.wait(100 * millisecond)
	if sends := r.take("send"); len(sends) != 2 || sends[1].server != 2 {
		t.Errorf("sends = %+v, want the second to cross before it is shed", sends)
	}
}

// The margin of held work before its aim shrinks by what a late answer earns.
func TestMarginFollowsWhatIsAtRisk(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg)
	c := &r.b.classes[0]
	c.service, c.spread = average{100, 90}, average{100, 60}
	for late, want := range map[float64]time.Duration{0: 1000 - 90 - 240, 0.5: 1000 - 90 - 120, 1: 1000 - 90} {
		c.LateWeight = late
		r.b.setHolds()
		if got := r.b.lateLimit(c); got != want*millisecond {
			t.Errorf("late answers earn %v: held for %v, want %v", late, got, want*millisecond)
		}
	}
}

// What a server may be crowded by is a multiple of its bare time, but with short aims only a part of these: requests
// wait at the gateway then.
func TestShortAimsLeaveLittleRoomForCrowds(t *testing.T) {
	for aim, want := range map[time.Duration]float64{
		3000 * millisecond: 300,               // the design's own part is more
		1000 * millisecond: 100 * crowding,    // 0.6 x 100 ms is more than the multiple allows
		300 * millisecond:  100 + 0.6*0.1*300, // and here it is less
	} {
		cfg := testConfig()
		for i := range cfg.Classes {
			cfg.Classes[i].LatencyObjective = aim
		}
		r := newRig(t, cfg, ready(1, 0, 0))
		s := r.b.byID[1]
		s.base = 100
		near(t, fmt.Sprint("setpoint at an aim of ", aim), r.b.setpoint(s), want)
	}
}

func TestDrainsAreKept(t *testing.T) {
	drain := func(s Endpoint) Endpoint { s.State = EndpointDraining; return s }
	gone := func(s Endpoint) Endpoint { s.State = EndpointRemoved; return s }
	one, two := ready(1, 0, 0), ready(2, 0, 0)
	for _, c := range []struct {
		name string
		kind EndpointUpdate
		list []Endpoint
	}{
		{"delta draining", Delta, []Endpoint{drain(one)}},
		{"delta gone", Delta, []Endpoint{gone(one)}},
		{"full list omits it", Snapshot, []Endpoint{two}},
		{"cached list omits it", CachedSnapshot, []Endpoint{two}},
		{"full list draining", Snapshot, []Endpoint{drain(one), two}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig(), one, two)
			r.b.UpdateEndpoints(r.now, c.kind, c.list)
			for id := range RequestID(20) {
				r.request(id, 0)
				for _, s := range r.take("send") {
					if s.server == 1 {
						t.Fatalf("request %d went to a server that leaves", s.id)
					}
					r.end(s.id, 0, s.server, OutcomeOK, 20*millisecond)
				}
			}
		})
	}
}

// A server that starts again under its id is a new one, and ends of the old one's attempts do not count on it.
func TestRestartUnderTheSameID(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.servers[0].u = 5
	r.request(1, 0)
	again := ready(1, 0, 0)
	again.StartedAt = r.now
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{again})
	if len(r.b.servers) != 1 || r.b.servers[0].inflight != 0 {
		t.Fatalf("servers = %+v, want one fresh server", r.b.servers)
	}
	r.end(1, 0, 1, OutcomeReset, 10*millisecond)
	r.wait(500 * millisecond)                 // it is cold
	if n := r.b.servers[0].inflight; n != 1 { // the retry of request 1
		t.Errorf("in flight on the fresh server = %d, want the retry alone", n)
	}
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{{ID: 1, State: EndpointRemoved, StartedAt: r.now}})
	if len(r.b.servers) != 0 || r.b.byID[1] != nil {
		t.Errorf("a server that is gone is still known")
	}
}

func TestFailedListCallsBackOff(t *testing.T) {
	cfg := testConfig()
	cfg.PollDiscovery = true
	r := newRig(t, cfg, ready(1, 0, 0))
	if n := len(r.take("watch")); n != 1 {
		t.Fatalf("watched %d times at the start, want once", n)
	}
	var last time.Duration
	for i := range 3 {
		r.b.UpdateEndpoints(r.now, WatchFailed, nil)
		wakes := r.take("wake")
		if len(wakes) != 1 || wakes[0].token != tokenWatch || wakes[0].timeout <= last/3 {
			t.Fatalf("call %d: wakes = %+v after %v", i, wakes, last)
		}
		last = wakes[0].timeout
		if len(r.b.servers) != 1 {
			t.Fatal("a failed call took servers off the list")
		}
		r.b.TimerFired(r.now, tokenWatch)
		if n := len(r.take("watch")); n != 1 {
			t.Fatalf("call %d: watched %d times, want once", i, n)
		}
	}
	r.b.UpdateEndpoints(r.now, Delta, nil)
	r.b.TimerFired(r.now, tokenWatch)
	if n := len(r.take("watch")); n != 0 {
		t.Error("watched again though subscribed")
	}
	r.b.UpdateEndpoints(r.now, WatchFailed, nil) // the subscription broke
	r.b.TimerFired(r.now, tokenWatch)
	if n := len(r.take("watch")); n != 1 {
		t.Error("a broken subscription was not renewed")
	}
}

// What may follow an attempt's end, by class and outcome: another send, a refusal or a failure.
func TestNoEffectTwice(t *testing.T) {
	outcomes := []Outcome{OutcomeError, OutcomeRejected, OutcomeTimeout, OutcomeConnectFailed, OutcomeReset, OutcomeCancelled, OutcomeNotStarted}
	for class, effect := range []Idempotency{Idempotent, KeyedIdempotent, NonIdempotent} {
		for _, o := range outcomes {
			t.Run(fmt.Sprintf("effect %d outcome %d", effect, o), func(t *testing.T) {
				cfg := testConfig()
				r := newRig(t, cfg, ready(1, 0, 0), ready(2, 0, 1)) // two cells
				r.b.servers[1].u = 3
				r.request(1, class)
				first := r.take("send")[0]
				if first.server != 2 {
					t.Fatal("the server with room was not chosen")
				}
				r.now += 10 * millisecond
				r.b.servers[1].State = EndpointDraining // only the other cell is left
				r.end(1, 0, 2, o, 10*millisecond)
				r.wait(50 * millisecond)
				sent := slices.ContainsFunc(r.rec.acts, func(a act) bool { return a.what == "send" && a.id == 1 })
				refused, failed := r.finals(1)
				switch {
				case effect == Idempotent || o.NeverRan():
					if !sent {
						t.Error("was not tried again though it may be")
					}
				case sent:
					t.Error("was sent again though it may have run outside its group")
				case refused > 0:
					t.Error("was refused though it may have run")
				case failed != 1:
					t.Errorf("failed %d times, want once", failed)
				}
			})
		}
	}
}

func TestKeyedRepeatsStayInGroupAndWindow(t *testing.T) {
	for _, c := range []struct {
		name  string
		group DedupScope
		other Endpoint
		want  bool
	}{
		{"all", DedupAll, ready(2, 1, 5), true},
		{"same zone", DedupZone, ready(2, 0, 5), true},
		{"other zone", DedupZone, ready(2, 1, 0), false},
		{"same cell", DedupCell, ready(2, 0, 0), true},
		{"other cell", DedupCell, ready(2, 0, 1), false},
	} {
		for _, late := range []bool{false, true} {
			cfg := testConfig()
			cfg.Classes[1].DedupScope = c.group
			cfg.Classes[1].LatencyObjective, cfg.Classes[1].DedupWindow = 1900*millisecond, 500*millisecond
			r := newRig(t, cfg, ready(1, 0, 0))
			r.request(1, 1)
			r.b.UpdateEndpoints(r.now, Delta, []Endpoint{c.other, {ID: 1, State: EndpointRemoved}})
			if r.now += 300 * millisecond; late {
				r.now += 195 * millisecond // within two ticks of the window's end
			}
			r.rec.acts = nil
			r.end(1, 0, 1, OutcomeTimeout, 300*millisecond)
			sent := len(r.take("send")) == 1
			if sent != (c.want && !late) {
				t.Errorf("%s, late %v: sent again = %v", c.name, late, sent)
			}
		}
	}
}

// An attempt whose connection comes up late may no longer begin once the window of the one before it is over; a safe
// request's may, and so may a keyed one's whose earlier attempt never ran.
func TestWindowIsLookedAtAgainWhenAnAttemptBegins(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		outcome Outcome
		after   time.Duration
		want    bool
	}{
		{"keyed, in time", 1, OutcomeReset, 100 * millisecond, true},
		{"keyed, after the window", 1, OutcomeReset, 195 * millisecond, false},
		{"keyed, never ran", 1, OutcomeRejected, 900 * millisecond, true},
		{"safe", 0, OutcomeReset, 900 * millisecond, true},
	} {
		cfg := testConfig()
		cfg.Classes[1].LatencyObjective, cfg.Classes[1].DedupWindow = 1900*millisecond, 500*millisecond
		r := newRig(t, cfg, ready(1, 0, 0), ready(2, 0, 0))
		r.request(1, c.class)
		first := r.take("send")[0].server
		r.now += 300 * millisecond
		r.end(1, 0, first, c.outcome, 300*millisecond)
		if len(r.take("send")) != 1 {
			t.Fatalf("%s: not sent again", c.name)
		}
		if r.now += c.after; r.b.MayStartAttempt(r.now, 1, 1) != c.want {
			t.Errorf("%s: may begin = %v", c.name, !c.want)
		}
	}
	if r := newRig(t, testConfig()); r.b.MayStartAttempt(r.now, 9, 0) {
		t.Error("an attempt of no request may begin")
	}
}

// Many gateways come to use a cold server at one moment, as others leave, a while after they were told of it. Their first
// requests must be spread over an interval of their turns: none may have saved one up while it did not use the server.
func TestNothingIsSavedUpForAColdServer(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 40
	at := func(state EndpointState, born time.Duration) []Endpoint {
		return []Endpoint{{ID: 1, State: state, StartedAt: born}}
	}
	soon, later := 0, 0
	for seed := range uint64(100) {
		r := newRig(t, cfg)
		r.b.rng = rand.New(rand.NewPCG(seed, 1))
		born := r.now
		r.b.UpdateEndpoints(r.now, Delta, at(EndpointReady, born))
		r.b.Dispatch(r.now)
		r.b.UpdateEndpoints(r.now, Delta, at(EndpointDraining, born))
		r.wait(4 * time.Second)
		r.b.UpdateEndpoints(r.now, Delta, at(EndpointReady, born))
		for step := range 100 {
			r.rec.acts = nil
			r.request(RequestID(step+1), 0)
			r.wait(50 * millisecond)
			if len(r.take("send")) > 0 {
				if step < 10 {
					soon++
				}
				later++
				break
			}
		}
	}
	if soon > 30 || later < 60 {
		t.Errorf("of 100 gateways %d send within half a second and %d within five", soon, later)
	}
}

// A keyed request of group all may be refused even if it may have run; of a smaller group it may not.
func TestRefusalsOfKeyedRequests(t *testing.T) {
	for _, c := range []struct {
		group  DedupScope
		refuse bool
	}{{DedupAll, true}, {DedupZone, false}, {DedupCell, false}} {
		cfg := testConfig()
		cfg.Classes[1].DedupScope = c.group
		r := newRig(t, cfg, ready(1, 0, 0))
		r.request(1, 1)
		r.now += 1990 * millisecond
		r.end(1, 0, 1, OutcomeTimeout, 1990*millisecond)
		if refused, failed := r.finals(1); (refused == 1) != c.refuse || refused+failed != 1 {
			t.Errorf("group %d: refused %d, failed %d", c.group, refused, failed)
		}
	}
}

func TestEveryRequestIsAnsweredWithoutServers(t *testing.T) {
	r := newRig(t, testConfig())
	for class := range 3 {
		r.request(RequestID(class), class)
	}
	r.wait(900 * millisecond)
	if refused := len(r.take("refuse")); refused != 3 {
		t.Errorf("%d of 3 requests refused before their aim", refused)
	}
	if len(r.b.requests) != 0 || len(r.b.queue) != 0 {
		t.Errorf("%d requests and a queue of %d are left", len(r.b.requests), len(r.b.queue))
	}
}

func TestHarmlessRepeatsAndStrangers(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.request(1, 0)
	r.rec.acts = nil
	r.end(9, 0, 1, OutcomeOK, 0)  // unknown request
	r.end(1, 5, 1, OutcomeOK, 0)  // unknown attempt
	r.end(1, -1, 1, OutcomeOK, 0) // no attempt at all
	r.b.RequestAbandoned(r.now, 77)
	r.b.ResponseStarted(r.now, 77)
	r.b.TimerFired(r.now, 12345)
	r.b.UpdateEndpoints(r.now, Snapshot, []Endpoint{ready(1, 0, 0)})
	r.b.UpdateEndpoints(r.now, Snapshot, []Endpoint{ready(1, 0, 0)})
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{{ID: 99, State: EndpointRemoved}})
	r.request(1, 0) // the same id again
	if len(r.rec.acts) != 0 || r.b.servers[0].inflight != 1 || len(r.b.servers) != 1 {
		t.Errorf("acts = %+v, servers = %+v", r.rec.acts, r.b.servers[0])
	}
	r.end(1, 0, 1, OutcomeOK, 10*millisecond)
	r.end(1, 0, 1, OutcomeOK, 10*millisecond) // the same end again
	if r.b.servers[0].inflight != 0 {
		t.Errorf("in flight = %d after one answer told twice", r.b.servers[0].inflight)
	}
	r.request(2, 99) // no such class
	if _, failed := r.finals(2); failed != 1 {
		t.Error("a request of an unknown class got no answer")
	}
}

func TestLapsedRequestsAreDropped(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.request(1, 0)
	r.request(2, 0) // held
	r.rec.acts = nil
	r.b.RequestAbandoned(r.now, 1)
	r.b.RequestAbandoned(r.now, 2)
	r.end(1, 0, 1, OutcomeError, 10*millisecond)
	r.wait(1500 * millisecond)
	for _, a := range r.rec.acts {
		if a.what != "wake" {
			t.Errorf("acted on a concluded request: %+v", a)
		}
	}
	if len(r.b.requests) != 0 {
		t.Errorf("%d requests are kept", len(r.b.requests))
	}
}

// A server that fails fast has room all the time; it must not draw the queue.
func TestFastFailuresDoNotDrawTheQueue(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	r.b.mean = 100
	bad := 0
	for id := range RequestID(60) {
		r.request(id, 0)
		for sends := r.take("send"); len(sends) > 0; sends = r.take("send") {
			a := sends[0]
			attempt := len(r.b.requests[a.id].attempts) - 1
			if a.server == 1 {
				bad++
				r.now += millisecond
				r.end(a.id, attempt, 1, OutcomeError, millisecond)
			} else {
				r.now += 40 * millisecond
				r.end(a.id, attempt, 2, OutcomeOK, 40*millisecond)
			}
		}
	}
	if bad == 0 || bad > 8 {
		t.Errorf("the failing server got %d requests", bad)
	}
	if s := r.b.byID[1]; !s.ejected {
		t.Error("the failing server was not ejected")
	}
}

func warmUp(r *rig) {
	for i := range r.b.classes {
		r.b.classes[i].service = average{n: 1000, mean: 100}
	}
	r.b.mean = 100
	r.b.setHolds()
}

// A server that answers nothing is ejected by its silence, tried with one repeatable request at a time, and
// taken back at its first answer.
func TestSilentServerIsEjectedTriedAndTakenBack(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0), ready(3, 0, 0))
	warmUp(r)
	r.b.byID[1].u = 3
	r.request(1, 2) // unsafe: no time-out shows the silence
	r.wait(550 * millisecond)
	s := r.b.byID[1]
	if s.ejected {
		t.Fatal("ejected before six service times")
	}
	r.wait(200 * millisecond)
	if !s.ejected || !s.silent {
		t.Fatal("a silent server is not ejected")
	}
	s.trialAt = r.now
	r.take("send")
	r.request(2, 2)
	if sends := r.take("send"); len(sends) != 1 || sends[0].server == 1 {
		t.Fatalf("an unsafe request was used as a trial: %+v", sends)
	}
	r.end(1, 0, 1, OutcomeTimeout, 2*time.Second)
	s.trialAt = r.now
	r.request(3, 0)
	r.request(4, 0)
	trials := 0
	for _, a := range r.take("send") {
		if a.server == 1 {
			trials++
		}
	}
	if trials != 1 {
		t.Fatalf("%d requests on trial, want 1", trials)
	}
	r.end(3, 0, 1, OutcomeOK, 100*millisecond)
	if s.ejected || s.u != 1 {
		t.Errorf("after a good trial ejected = %v, u = %v", s.ejected, s.u)
	}
}

// What is out on a silent server is called off and sent elsewhere if it may be repeated; what may not, waits.
func TestWorkOfASilentServerIsGivenUp(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0), ready(3, 0, 0))
	warmUp(r)
	r.b.byID[1].u = 9
	for class := range 3 {
		r.request(RequestID(class), class)
	}
	if sends := r.take("send"); len(sends) != 3 || sends[2].server != 1 || sends[2].timeout != 0 {
		t.Fatalf("sends = %+v, want three to server 1 without a time-out", sends)
	}
	r.wait(750 * millisecond)
	cancels := r.take("cancel")
	if len(cancels) != 2 || cancels[0].id != 0 || cancels[1].id != 1 {
		t.Fatalf("cancels = %+v, want the safe and the keyed request", cancels)
	}
	r.end(0, 0, 1, OutcomeCancelled, 700*millisecond)
	if sends := r.take("send"); len(sends) != 1 || sends[0].id != 0 || sends[0].server == 1 {
		t.Errorf("sends = %+v, want request 0 on another server", sends)
	}
	if n := r.b.byID[1].inflight; n != 2 || len(r.b.byID[1].out) != 2 {
		t.Errorf("in flight on the silent server = %d, want 2", n)
	}
}

// A false alarm does little harm: the first answer takes the server back.
func TestFalseSilenceEndsWithTheAnswer(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0), ready(3, 0, 0))
	warmUp(r)
	r.b.byID[1].u = 2
	r.request(1, 2)
	r.wait(800 * millisecond)
	if !r.b.byID[1].silent {
		t.Fatal("the silence was not noticed")
	}
	r.end(1, 0, 1, OutcomeOK, 800*millisecond)
	if s := r.b.byID[1]; s.ejected || s.silent {
		t.Error("the server is still ejected")
	}
}

// If most servers look bad the load is suspected and they stay in use.
func TestCapacityStaysInUseWhenAllLookBad(t *testing.T) {
	var list []Endpoint
	for id := range EndpointID(6) {
		list = append(list, ready(id+1, 0, 0))
	}
	r := newRig(t, testConfig(), list...)
	for _, s := range r.b.servers {
		for range 10 {
			r.b.failed(s, true)
		}
	}
	ejected := 0
	for _, s := range r.b.servers {
		if s.ejected {
			ejected++
		}
	}
	if ejected != 3 {
		t.Errorf("%d of 6 servers ejected, want half", ejected)
	}
}

// A heavy request that times out while others are answered says nothing about its server.
func TestTimeoutOfHeavyWorkDoesNotEject(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	s := r.b.byID[1]
	s.u = 9
	for id := range RequestID(8) {
		r.request(id, 0)
	}
	r.now += 300 * millisecond
	r.end(0, 0, 1, OutcomeOK, 300*millisecond)
	for id := RequestID(1); id < 8; id++ {
		r.end(id, 0, 1, OutcomeTimeout, 300*millisecond)
	}
	if s.ejected || s.failShare > 0 {
		t.Errorf("ejected = %v, fail share = %v", s.ejected, s.failShare)
	}
	if s.failures == 0 {
		t.Error("the time-outs do not count for the limit")
	}
}

// Where a cancel stops nothing, repeats of timed-out work feed a collapse; the budget ends them.
func TestRetryBudget(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.servers[0].u = 1000
	retries := 0
	for id := range RequestID(400) {
		r.request(id, 0)
		for range 3 {
			sends := r.take("send")
			if len(sends) == 0 {
				break
			}
			r.b.servers[0].heard = r.now + time.Hour // not silent, only slow
			n := len(r.b.requests[id].attempts)
			if n > 1 {
				retries++
			}
			r.end(id, n-1, 1, OutcomeTimeout, millisecond)
		}
	}
	if limit := int(retryBurst + 400*retryShare + 1); retries == 0 || retries > limit {
		t.Errorf("%d repeats, want some and at most %d", retries, limit)
	}
}

// All gateways together must not send a cold server more than it can bear; warm servers tell how much that is.
func TestColdServerIsNotPushedOver(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg, ready(1, 0, 0))
	warmUp(r)
	r.b.warmRate = 20 // two gateways: requests a second on a warm server
	cold := ready(2, 0, 0)
	cold.StartedAt = r.now
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{cold})
	s := r.b.byID[2]
	s.u = 50
	id := RequestID(0)
	sent := 0
	for end := r.now + cfg.OverloadWindow; r.now < end; r.now += 5 * millisecond {
		for range 5 {
			id++
			r.request(id, 0)
		}
		for _, a := range r.take("send") {
			if a.server == 2 {
				sent++
				// It turns work away at once, which counts as well and must not open room for more.
				r.b.AttemptEnded(r.now, AttemptEnd{Request: a.id, Endpoint: 2, Outcome: OutcomeRejected, Latency: millisecond})
			}
		}
	}
	// 2.5 times 30 to 46% of ten a second for 2 s is at most 23 requests of this gateway.
	if sent == 0 || sent > 23 {
		t.Errorf("the cold server got %d requests, want 1 to 23", sent)
	}
	r.b.now = cold.StartedAt + cfg.SlowStartDuration
	near(t, "coldness when warm", r.b.coldness(s), 1)
}

func TestLowWorthAndOverShareGoFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Weight, cfg.Classes[2].Weight = 10, 2
	r := newRig(t, cfg)
	warmUp(r)
	c := r.b.classes
	if !(c[0].hold[0] > c[2].hold[0] && c[2].hold[0] > c[1].hold[0] && c[0].hold[0] > c[0].hold[1]) {
		t.Errorf("holds = %v %v %v", c[0].hold, c[1].hold, c[2].hold)
	}
}

func TestTenantShare(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Quota: 20}, {}}
	r := newRig(t, cfg) // two gateways: ten a second here
	over := 0
	for range 40 {
		r.b.now += 50 * millisecond // twenty a second, for two seconds, with ten saved up
		if r.b.overShare(0) {
			over++
		}
		if r.b.overShare(1) || r.b.overShare(5) || r.b.overShare(-1) {
			t.Fatal("a tenant without a quota is over its share")
		}
	}
	if over < 9 || over > 11 {
		t.Errorf("%d of 40 over share, want about 10", over)
	}
}

func TestRefusalAdvice(t *testing.T) {
	cfg := testConfig()
	cfg.MaxRetryAfter = 200 * millisecond
	r := newRig(t, cfg)
	if got := r.b.retryAfter(); got != 200*millisecond {
		t.Errorf("advice %v, want the longest that clients observe", got)
	}
	r.b.cfg.RetryAfter = false
	if got := r.b.retryAfter(); got != 0 {
		t.Errorf("advice %v where none is allowed", got)
	}
}

func TestConfigErrorsNameTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Config){
		"Gateways":    func(c *Config) { c.Gateways = 0 },
		"Rank":        func(c *Config) { c.Rank = c.Gateways },
		"Classes":     func(c *Config) { c.Classes = nil },
		"Aim":         func(c *Config) { c.Classes[1].LatencyObjective = 0 },
		"Deadline":    func(c *Config) { c.Classes[1].Deadline = -1 },
		"Effect":      func(c *Config) { c.Classes[1].Idempotency = 9 },
		"Worth":       func(c *Config) { c.Classes[1].Weight = -1 },
		"MaxAttempts": func(c *Config) { c.MaxAttempts = 0 },
		"ColdFrom":    func(c *Config) { c.SlowStartFraction = 2 },
		"WarmAfter":   func(c *Config) { c.SlowStartDuration = -1 },
		"AskWithin":   func(c *Config) { c.PollDiscovery, c.PollInterval = true, 0 },
	} {
		cfg := testConfig()
		spoil(&cfg)
		b, err := New(cfg, 1, 0, &recorder{})
		if b != nil || err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: New = %v, %v", field, b, err)
		}
	}
}

// A client's repeat has part of its aim behind it: it shows in a patience that first tries do not have.
func TestRepeatsOfClientsCountFromTheFirstTry(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.classes[0].service = average{n: baseSamples, mean: 100}
	r.b.setHolds()
	for id := RequestID(1); id <= 10; id++ {
		r.b.RequestArrived(r.now, Request{ID: id, ClientTimeout: (1990 - time.Duration(id)) * millisecond})
	}
	r.b.RequestArrived(r.now, Request{ID: 20, ClientTimeout: 1500 * millisecond})
	r.b.RequestArrived(r.now, Request{ID: 21, ClientTimeout: 1050 * millisecond})
	r.b.Dispatch(r.now)
	for _, c := range []struct {
		id   RequestID
		held bool
	}{{10, true}, {20, true}, {21, false}} {
		if refused, _ := r.finals(c.id); (refused == 0) != c.held {
			t.Errorf("request %d: held is not %v", c.id, c.held)
		}
	}
	if q := r.b.requests[20]; q == nil || q.begun != r.now-500*millisecond {
		t.Errorf("request 20 does not count from its client's first try: %+v", q)
	}
}

// People on call search for these words; at most one line a second is written.
func TestLogLines(t *testing.T) {
	r := newRig(t, testConfig(), ready(41, 0, 0), ready(42, 0, 0), ready(43, 0, 0), ready(44, 0, 0))
	lines := func() []string {
		var out []string
		for _, a := range r.take("log") {
			out = append(out, a.text)
		}
		return out
	}
	expect := func(want ...string) {
		t.Helper()
		if got := lines(); !slices.Equal(got, want) {
			t.Errorf("lines %q, want %q", got, want)
		}
	}
	warmUp(r)
	r.b.eject(r.b.byID[41], "is silent")
	r.b.eject(r.b.byID[42], "fails") // within the second
	expect("server 41 is silent, ejected")
	r.now += time.Second
	r.b.now = r.now
	r.b.succeeded(r.b.byID[42])
	expect("server 42 answers again")
	r.now += time.Second
	r.b.now = r.now
	for range 2 {
		r.b.failed(r.b.byID[42], true)
	}
	expect("server 42 fails, ejected")
	r.now += 2 * time.Second
	r.b.now = r.now
	r.b.eject(r.b.byID[43], "fails") // a third of four: the load is suspected
	expect()
}

// Incidents i4c9c46 and i06ab6b: servers that refused everything as full drew most of all attempts.
func TestFullServerRestsLongerEachTime(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	warmUp(r)
	s := r.b.servers[0]
	for i, want := range []int{1, 2, 4, 8, 8} { // in service times of 100 ms
		id := RequestID(i)
		r.request(id, 0)
		r.end(id, 0, 1, OutcomeRejected, millisecond)
		r.b.RequestAbandoned(r.now, id)
		if rest := s.restUntil - r.now; rest != time.Duration(want)*100*millisecond || s.ejected {
			t.Errorf("rest %d is %v, ejected %v; want %d service times", i, rest, s.ejected, want)
		}
		r.now = s.restUntil
	}
	r.request(9, 0)
	r.end(9, 0, 1, OutcomeOK, 100*millisecond)
	r.request(10, 0)
	r.end(10, 0, 1, OutcomeRejected, millisecond)
	if rest := s.restUntil - r.now; rest != 100*millisecond {
		t.Errorf("rest after an answer is %v, want one service time", rest)
	}
}

// Seeded run 650: before any answer no service time is known, and a request spent its four attempts in 2 ms on a
// cold server that turned all away. The rest then is a share of the aim.
func TestFullServerRestsBeforeAnythingIsLearnt(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	s := r.b.servers[0]
	for i, want := range []int{1, 2, 4} {
		id := RequestID(i)
		r.request(id, 0)
		r.end(id, 0, 1, OutcomeRejected, millisecond)
		r.b.RequestAbandoned(r.now, id)
		if rest := s.restUntil - r.now; rest < time.Duration(want)*15*millisecond || rest > time.Duration(want)*16*millisecond {
			t.Errorf("rest %d is %v, want %d times a 64th of the aim of 1 s", i, rest, want)
		}
		r.now = s.restUntil
	}
}

// A copy of a site file with 150 servers: looking at every server for every held request took twice the CPU that
// a gateway has. Each look draws one random number, so the generator tells how many there were.
func TestRequestsHeldAlikeAreLookedAtOnce(t *testing.T) {
	after := func(held int) uint64 {
		r := newRig(t, testConfig(), ready(1, 0, 0))
		warmUp(r)
		for id := range RequestID(held + 1) {
			r.b.RequestArrived(r.now, Request{ID: id, ClientTimeout: 2000 * millisecond})
		}
		r.b.Dispatch(r.now) // sends the first, holds the others
		r.b.rng = rand.New(rand.NewPCG(1, 1))
		r.b.Dispatch(r.now)
		if len(r.b.queue) != held {
			t.Fatalf("%d requests held, want %d", len(r.b.queue), held)
		}
		return r.b.rng.Uint64()
	}
	if after(50) != after(1) {
		t.Error("fifty requests held alike are looked at more often than one")
	}
}

// An unsafe request that finds no room must not hide an ejected server from a request that may be tried there.
func TestHeldRequestsThatDifferAreLookedAt(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	warmUp(r)
	s := r.b.servers[0]
	s.ejected, s.trialAt = true, r.now
	r.b.RequestArrived(r.now, Request{ID: 1, Class: 2, ClientTimeout: 2000 * millisecond})
	r.b.RequestArrived(r.now, Request{ID: 2, Class: 0, ClientTimeout: 2000 * millisecond})
	r.b.Dispatch(r.now)
	if sends := r.take("send"); len(sends) != 1 || sends[0].id != 2 {
		t.Errorf("sends = %+v, want the safe request on trial", sends)
	}
}

// fleet starts one gateway for each rank on the same list, spread evenly over zones 0 and 1.
func fleet(t *testing.T, gateways int, list []Endpoint) []*rig {
	t.Helper()
	var rigs []*rig
	for rank := range gateways {
		cfg := testConfig()
		cfg.Gateways, cfg.Rank, cfg.Zone = gateways, rank, rank%2
		r := &rig{t: t, now: 100 * time.Second}
		b, err := New(cfg, uint64(rank), r.now, &r.rec)
		if err != nil {
			t.Fatal(err)
		}
		r.b = b
		b.UpdateEndpoints(r.now, Snapshot, list)
		b.Dispatch(r.now)
		rigs = append(rigs, r)
	}
	return rigs
}

func twoZones(servers int) []Endpoint {
	var list []Endpoint
	for i := range servers {
		list = append(list, ready(EndpointID(i+1), i%2, i/8))
	}
	return list
}

// users counts the gateways that use each server.
func users(rigs []*rig) map[EndpointID]int {
	count := make(map[EndpointID]int)
	for _, r := range rigs {
		for _, s := range r.b.members {
			count[s.ID]++
		}
	}
	return count
}

// 300 gateways on 40 servers: connections run out unless each uses few servers, and all of them are used alike.
func TestMembersAreFewAndBalanced(t *testing.T) {
	rigs := fleet(t, 300, twoZones(40))
	check := func(when string) {
		t.Helper()
		count := users(rigs)
		for id := range count {
			if n := count[id]; n < 10 || n > 20 { // 300 x 2 / 40 = 15 on the average
				t.Errorf("%s: server %d has %d gateways", when, id, n)
			}
		}
		for _, r := range rigs {
			own := 0
			for _, s := range r.b.members {
				if s.Zone == r.b.cfg.Zone {
					own++
				}
			}
			if own == 0 || own == len(r.b.members) || len(r.b.members) > 4 {
				t.Fatalf("%s: gateway %d has %d members, %d of its zone", when, r.b.cfg.Rank, len(r.b.members), own)
			}
		}
	}
	check("at the start")
	closed := 0
	for id := EndpointID(1); id <= 20; id += 4 { // five successors, one for one
		gone, fresh := ready(id, int(id-1)%2, int(id-1)/8), ready(id+1000, int(id-1)%2, int(id-1)/8)
		gone.State = EndpointRemoved
		for _, r := range rigs {
			r.take("close")
			r.b.UpdateEndpoints(r.now, Delta, []Endpoint{gone, fresh})
			r.b.Dispatch(r.now)
			closed += len(r.take("close"))
		}
	}
	check("after a deploy")
	if closed > 5*20 {
		t.Errorf("%d members replaced for five servers of at most 20 gateways each", closed)
	}
}

// Where gateways are few each uses every server.
func TestFewGatewaysUseAllServers(t *testing.T) {
	for _, r := range fleet(t, 3, twoZones(12)) {
		if len(r.b.members) != 12 {
			t.Errorf("gateway %d uses %d of 12 servers", r.b.cfg.Rank, len(r.b.members))
		}
	}
}

// An ejected member is replaced, and the replacement is given back when the member answers again.
func TestEjectedMembersAreReplaced(t *testing.T) {
	r := fleet(t, 300, twoZones(40))[0]
	before := slices.Clone(r.b.members)
	r.b.members[0].ejected, r.b.stale = true, true
	r.b.Dispatch(r.now)
	if len(r.b.members) != len(before)+1 {
		t.Fatalf("%d members with one of %d ejected, want one more", len(r.b.members), len(before))
	}
	r.rec.acts = nil
	before[0].ejected, r.b.stale = false, true
	r.b.Dispatch(r.now)
	if n := len(r.take("close")); n != 1 || !slices.Equal(r.b.members, before) {
		t.Errorf("members = %d, closed %d, want the old ones and one close", len(r.b.members), n)
	}
}

// Hundreds of gateways each allowed a cold server one free request: together they pushed it over. Those that had just
// started and knew nothing allowed it a hundred a second.
func TestColdBudgetHoldsOverHundredsOfGateways(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		rigs := fleet(t, 300, twoZones(40))
		cold := ready(1000, 0, 0)
		cold.StartedAt = rigs[0].now
		gone := ready(1, 0, 0)
		gone.State = EndpointRemoved
		const rate = 4.0 // requests a second of a gateway on a warm server
		sent, sharers := 0, 0
		for _, r := range rigs {
			if !restarted {
				warmUp(r)
				r.b.warmRate = rate * r.b.members[0].sharers
			}
			r.b.UpdateEndpoints(r.now, Delta, []Endpoint{gone, cold})
			r.b.Dispatch(r.now)
			s := r.b.byID[1000]
			if s.member {
				sharers++
			}
			end := r.now + r.b.cfg.OverloadWindow
			for id := RequestID(0); r.now < end; r.now += 5 * millisecond {
				r.b.now = r.now
				s.inflight, s.restUntil = 0, 0
				if r.b.usable(s, &request{Request: Request{ID: id}}) {
					s.coldTokens--
					sent++
				}
			}
		}
		// Warm servers get 4 a second of each sharer; 2.5 times 0.3 of that for 2 s pushes the server over. Of one that
		// is not known no more may be taken for sure than one core: ten a second of 100 ms.
		limit := 2.5 * 0.3 * 2 * rate * float64(sharers)
		if restarted {
			limit = 2.5 * 0.3 * 2 * 10
		}
		if sent == 0 || float64(sent) > limit {
			t.Errorf("restarted %v: %d gateways sent %d requests in the window, want 1 to %.0f", restarted, sharers, sent, limit)
		}
	}
}

// Zones without servers, lists that are empty, shrink to nothing or grow tenfold.
func TestOddListsAreHarmless(t *testing.T) {
	for _, list := range [][]Endpoint{nil, {ready(1, 0, 0)}, {ready(1, 1, 0)}, {ready(1, 7, 0), ready(2, 9, 0)}} {
		for _, r := range fleet(t, 40, list) {
			if len(list) > 0 && len(r.b.members) == 0 {
				t.Fatalf("no members of %d servers", len(list))
			}
			r.b.UpdateEndpoints(r.now, Snapshot, twoZones(10*len(list)+10))
			r.request(1, 0)
			r.b.UpdateEndpoints(r.now, Snapshot, nil)
			r.b.Dispatch(r.now)
			if len(r.b.members) != 0 || len(r.take("send")) != 1 {
				t.Fatalf("members = %d of an empty list, or the request was not sent before", len(r.b.members))
			}
		}
	}
}

// Incident i860b1e: attempts on servers that had tipped timed out, went on loading them, and the next request of
// each gateway followed at once.
func TestTimeoutRestsAServerBelowOne(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 10
	r := newRig(t, cfg, ready(1, 0, 0))
	warmUp(r)
	r.request(1, 0)
	r.now += 1200 * millisecond
	r.b.byID[1].u = 0.4
	r.b.AttemptEnded(r.now, AttemptEnd{Request: 1, Endpoint: 1, Outcome: OutcomeTimeout, Latency: 1200 * millisecond})
	if rest := r.b.byID[1].restUntil - r.now; rest != 1800*millisecond {
		t.Errorf("rests %v after a time-out of 1.2 s with u = 0.4, want 1.8 s", rest)
	}
}

// A zone with few servers, or one with much traffic, has gateways whose own servers do not suffice while others idle.
func TestAGatewayShortOfRoomReachesOtherZones(t *testing.T) {
	r := fleet(t, 300, twoZones(40))[0]
	warmUp(r)
	before, refused := slices.Clone(r.b.members), 0
	var out []act
	for id := RequestID(1000); id < 1800; id++ { // 100 a second; each answer takes 100 ms
		r.request(id, 0)
		r.wait(10 * millisecond)
		for _, a := range r.rec.acts {
			refused += index(a.what == "refuse" && id > 1600)
		}
		out = append(out, r.take("send")...)
		for len(out) > 10 {
			r.end(out[0].id, 0, out[0].server, OutcomeOK, 100*millisecond)
			out = out[1:]
		}
	}
	if refused > 0 || len(r.b.members) < len(before)+8 {
		t.Errorf("%d of 200 refused after 6 s; %d members, %d before", refused, len(r.b.members), len(before))
	}
	for _, s := range r.b.members {
		if s.reached && s.Zone == r.b.cfg.Zone {
			t.Errorf("server %d is of the own zone, others lack its part", s.ID)
		}
		if s.StartedAt = r.now; s.reached && r.b.coldRoom(s) { // parts of a cold server leave out those that reach it
			t.Errorf("server %d is cold and beyond the even part, yet has room", s.ID)
		}
		s.StartedAt = 0
	}
	// A full one tells that the fleet is short too: hundreds of gateways would take each other's connections.
	reach := r.b.reach.Size
	at := slices.IndexFunc(out, func(a act) bool { return r.b.byID[a.server].reached })
	r.end(out[at].id, 0, out[at].server, OutcomeRejected, 5*millisecond)
	out = slices.Delete(out, at, at+1)
	r.wait(period)
	r.b.signs.Short = true
	r.wait(period)
	if r.b.reach.Size > reach/2 {
		t.Errorf("reach is %.1f half a second after a full server, %.1f before", r.b.reach.Size, reach)
	}
	for sent := append(out, r.take("send")...); len(sent) > 0; sent = r.take("send") { // one left open is a server's silence
		for _, a := range sent { // the one that was turned away is in its second attempt
			r.end(a.id, len(r.b.requests[a.id].attempts)-1, a.server, OutcomeOK, 100*millisecond)
		}
	}
	r.take("close")
	r.wait(2 * time.Minute)
	if n := len(r.take("close")); n < 4 || len(r.b.members) != len(before) {
		t.Errorf("%d members two minutes later, %d closed; want %d and at least 4", len(r.b.members), n, len(before))
	}
}

// A lost zone: repeats of what could not be sent went to any server of the list, dead ones among them, and all were
// there when it returned cold.
func TestRepeatsStayWithMembers(t *testing.T) {
	r := fleet(t, 300, twoZones(40))[0]
	warmUp(r)
	for class, wide := range []bool{false, true, false} { // a keyed repeat may have to go where no member is
		r.take("send")
		id := RequestID(900 + class)
		r.request(id, class)
		sends := r.take("send")
		if len(sends) != 1 {
			t.Fatalf("class %d: %d sends", class, len(sends))
		}
		for _, s := range r.b.members {
			s.restUntil = r.now + 300*millisecond
		}
		r.end(id, 0, sends[0].server, OutcomeConnectFailed, 250*millisecond)
		if sends := r.take("send"); (len(sends) > 0) != wide {
			t.Errorf("class %d: sent %+v while all members rest", class, sends)
		}
		r.now += time.Second
	}
}

// The same day: a gateway with half of its part lost ejected none of the dead servers that it reached, and tried each
// over and over, 250 ms of its requests' time a try.
func TestAnUnreachableServerBeyondTheEvenPartIsLeft(t *testing.T) {
	r := fleet(t, 300, twoZones(40))[0]
	warmUp(r)
	for _, s := range r.b.members {
		s.ejected, s.trialAt = true, r.now+time.Hour
	}
	r.b.reach.Size, r.b.stale = 4, true
	r.b.Dispatch(r.now)
	var reached *server
	for _, s := range r.b.members {
		if s.reached {
			reached = s
		}
	}
	a := &attempt{server: reached}
	for range 2 {
		r.b.judge(&request{}, a, AttemptEnd{Outcome: OutcomeConnectFailed, Latency: 250 * millisecond})
	}
	if !reached.ejected {
		t.Error("not ejected after two connects that failed")
	}
	r.wait(period)
	if r.b.reach.Size > 2 {
		t.Errorf("reach is %v, want half of 4", r.b.reach.Size)
	}
}

// Servers that a gateway uses beside its own zone's are of several zones, or one lost zone takes them all.
func TestServersOfOtherZonesAreMixed(t *testing.T) {
	var list []Endpoint
	for i := range 200 {
		list = append(list, ready(EndpointID(1+i*7919%100003), i/50, i/10)) // ids tell nothing of zones
	}
	alone := 0
	for _, r := range fleet(t, 300, list) {
		r.b.reach.Size, r.b.stale = 6, true
		r.b.Dispatch(r.now)
		zones := make(map[int]bool)
		for _, s := range r.b.members {
			if s.Zone != r.b.cfg.Zone {
				zones[s.Zone] = true
			}
		}
		alone += index(len(zones) < 2)
	}
	if alone > 0 {
		t.Errorf("%d of 300 gateways use servers of one other zone only", alone)
	}
}

// Gateways that take a server in place of an ejected one are not counted among those that share its cold budget: seeded
// runs had 23 gateways send to a cold server whose budget was worked out for 12.
func TestColdServersGetNothingFromReplacements(t *testing.T) {
	rigs := fleet(t, 300, twoZones(40))
	sharers, members := make(map[EndpointID]float64), users(rigs)
	for n, r := range rigs {
		for i, s := range r.b.members {
			s.ejected = n%2 == 0 && i%2 == 0 // a quarter of all that is used
		}
		r.b.reach.Size, r.b.stale = 2, true
		r.b.Dispatch(r.now)
		for _, s := range r.b.members {
			s.StartedAt = r.now - time.Second
			s.coldTokens = 1
			if r.b.coldRoom(s) {
				sharers[s.ID]++
			}
		}
	}
	more := 0
	for id, n := range users(rigs) {
		more += n - members[id]
		if s := rigs[0].b.byID[id]; sharers[id] > s.sharers*1.4 {
			t.Errorf("server %d: cold budgets at %v gateways, worked out for %.1f", id, sharers[id], s.sharers)
		}
	}
	if more < 600 {
		t.Errorf("%d more uses, want two of each gateway at least", more)
	}
}

// A server that failed while it was reached must come back into use by a trial: it was left for good.
func TestAServerThatWasReachedInVainIsTriedAgain(t *testing.T) {
	r := fleet(t, 300, twoZones(40))[0]
	warmUp(r)
	r.b.reach.Size, r.b.stale = 30, true
	r.b.Dispatch(r.now)
	s := r.b.members[len(r.b.members)-1]
	if !s.reached {
		t.Fatal("nothing reached")
	}
	for !s.ejected {
		r.b.judge(&request{}, &attempt{server: s}, AttemptEnd{Outcome: OutcomeConnectFailed})
	}
	r.b.Dispatch(r.now)
	if s.member {
		t.Error("still used while its trial is not due")
	}
	r.now = s.trialAt
	r.b.stale = true
	r.b.Dispatch(r.now)
	if r.b.now = r.now; !s.member || !r.b.usable(s, &request{}) {
		t.Errorf("member %v and not usable when its trial is due", s.member)
	}
}

// While the list may be about to change nothing new is sent; what is held goes out, or is refused in time, all the same.
func TestHoldStopsNewAttempts(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.PauseAttempts(true)
	r.request(1, 0)
	if n := len(r.take("send")); n != 0 {
		t.Fatalf("sent %d times while held", n)
	}
	r.b.PauseAttempts(false)
	r.b.Dispatch(r.now)
	if n := len(r.take("send")); n != 1 {
		t.Fatalf("sent %d times after the hold, want once", n)
	}
	r.b.PauseAttempts(true)
	r.request(2, 0)
	r.wait(testConfig().Classes[0].Deadline)
	if refused, failed := r.finals(2); refused+failed != 1 || len(r.take("send")) != 0 {
		t.Errorf("while held: refused %d times, failed %d times, want one answer and nothing sent", refused, failed)
	}
}
