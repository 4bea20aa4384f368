package balancer

import (
	"math"
	"testing"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// act is one recorded action.
type act struct {
	what     string // send, reject, fail, cancel, wake, watch, log
	id       RequestID
	endpoint EndpointID
	timeout  time.Duration
	attempt  int
	token    uint32
	text     string
}

// recorder implements Actions.
type recorder struct{ acts []act }

func (r *recorder) StartAttempt(id RequestID, to EndpointID, timeout time.Duration) {
	r.acts = append(r.acts, act{what: "start", id: id, endpoint: to, timeout: timeout})
}

func (r *recorder) Reject(id RequestID, after time.Duration) {
	r.acts = append(r.acts, act{what: "reject", id: id, timeout: after})
}

func (r *recorder) Fail(id RequestID) { r.acts = append(r.acts, act{what: "fail", id: id}) }

func (r *recorder) CancelAttempt(id RequestID, attempt int) {
	r.acts = append(r.acts, act{what: "cancel", id: id, attempt: attempt})
}

func (r *recorder) SetTimer(after time.Duration, token uint32) {
	r.acts = append(r.acts, act{what: "timer", timeout: after, token: token})
}

func (r *recorder) WatchEndpoints() { r.acts = append(r.acts, act{what: "watch"}) }

func (r *recorder) CloseIdle(to EndpointID) {
	r.acts = append(r.acts, act{what: "close", endpoint: to})
}

func (r *recorder) Log(line string) { r.acts = append(r.acts, act{what: "log", text: line}) }

// rig is a balancer with its recorded actions and a clock.
type rig struct {
	t   *testing.T
	b   *Balancer
	rec recorder
	now time.Duration
}

const millisecond = time.Millisecond

// testConfig has an idempotent, a keyed and a non-idempotent class of one site, in this order.
func testConfig() Config {
	class := Class{
		LatencyObjective: 1000 * millisecond, Deadline: 2000 * millisecond, Weight: 1,
		DedupWindow: 1500 * millisecond,
	}
	keyed, nonIdempotent := class, class
	keyed.Idempotency, keyed.DedupScope = KeyedIdempotent, DedupCell
	nonIdempotent.Idempotency = NonIdempotent
	return Config{
		Gateways: 2, Classes: []Class{class, keyed, nonIdempotent}, OverQuotaWeight: 0.1,
		SlowStartFraction: 0.3, SlowStartDuration: 9 * time.Second, OverloadMultiple: 2.5,
		OverloadWindow: 2 * time.Second, MaxAttempts: 4, DispatchInterval: 5 * millisecond, RetryAfter: true,
		MaxRetryAfter: time.Second, CancelAllowed: true, PollInterval: 10 * time.Second,
	}
}

func newRig(t *testing.T, cfg Config, endpoints ...Endpoint) *rig {
	t.Helper()
	r := &rig{t: t, now: 100 * time.Second}
	b, err := New(cfg, 7, r.now, &r.rec)
	if err != nil {
		t.Fatal(err)
	}
	r.b = b
	b.UpdateEndpoints(r.now, CachedSnapshot, endpoints)
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
func (r *rig) finals(id RequestID) (rejected, failed int) {
	for _, a := range r.rec.acts {
		if a.id == id && a.what == "reject" {
			rejected++
		}
		if a.id == id && a.what == "fail" {
			failed++
		}
	}
	return rejected, failed
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

// wait moves the clock and fires the balancer's recurring timers as a gateway would.
func (r *rig) wait(d time.Duration) {
	end := r.now + d
	for r.now < end {
		r.now += r.b.cfg.DispatchInterval
		if r.now%concurrency.SamplePeriod == 0 {
			r.b.TimerFired(r.now, sampleTimer)
		}
		r.b.TimerFired(r.now, queueTimer)
		r.b.Dispatch(r.now)
	}
}

func near(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*math.Max(1, math.Abs(want)) {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

func warmUp(r *rig) {
	for i := range r.b.classes.entries {
		r.b.classes.entries[i].serviceMS = stats.Mean{N: 1000, Value: 100}
	}
	r.b.classes.referenceMS = 100
	r.b.updateQueueTimes()
}

// cluster starts one gateway for each rank on the same list, spread evenly over zones 0 and 1.
func cluster(t *testing.T, gateways int, list []Endpoint) []*rig {
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

func twoZones(endpoints int) []Endpoint {
	var list []Endpoint
	for i := range endpoints {
		list = append(list, ready(EndpointID(i+1), i%2, i/8))
	}
	return list
}

// users counts the gateways that use each endpoint.
func users(rigs []*rig) map[EndpointID]int {
	count := make(map[EndpointID]int)
	for _, r := range rigs {
		for _, s := range r.b.endpoints.subset {
			count[s.ID]++
		}
	}
	return count
}

// warmEndpoints returns n endpoints of zone 0 that are warm.
func warmEndpoints(n int) (out []Endpoint) {
	for i := range n {
		out = append(out, ready(EndpointID(i+1), 0, 0))
	}
	return out
}

func (r *rig) assign(endpoints ...AssignedEndpoint) {
	r.b.AssignEndpoints(r.now, endpoints)
	r.b.Dispatch(r.now)
}

// play starts so many requests one after another, each answered as the endpoints' outcomes say, and
// returns who got them.
func (r *rig) play(from RequestID, n int, outcome func(EndpointID) Outcome) map[EndpointID]int {
	got := make(map[EndpointID]int)
	for i := range n {
		id := from + RequestID(i)
		r.rec.acts = nil
		r.request(id, 0)
		r.wait(30 * millisecond)
		for attempt := 0; ; attempt++ {
			starts := r.take("start")
			if len(starts) == 0 {
				break
			}
			to := starts[0].endpoint
			got[to]++
			r.end(id, attempt, to, outcome(to), 30*millisecond)
			r.wait(5 * millisecond)
		}
	}
	return got
}

func fine(EndpointID) Outcome { return OutcomeOK }

func starting(r *rig, id EndpointID) Endpoint {
	return Endpoint{ID: id, State: EndpointReady, StartedAt: r.now}
}

// about is near, but for the little by which one sample moves the uncrowded time and with it the setpoint.
func about(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 3e-3 {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}
