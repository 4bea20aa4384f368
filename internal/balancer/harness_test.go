package balancer

import (
	"math"
	"testing"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// recordedAction is one call of a method of Actions.
type recordedAction struct {
	kind     string // start, reject, fail, cancel, timer, watch, close, log
	id       RequestID
	endpoint EndpointID
	timeout  time.Duration
	attempt  int
	token    uint32
	text     string
}

// recorder implements Actions and records the calls.
type recorder struct{ actions []recordedAction }

func (r *recorder) StartAttempt(id RequestID, to EndpointID, timeout time.Duration) {
	r.actions = append(r.actions, recordedAction{kind: "start", id: id, endpoint: to, timeout: timeout})
}

func (r *recorder) Reject(id RequestID, after time.Duration) {
	r.actions = append(r.actions, recordedAction{kind: "reject", id: id, timeout: after})
}

func (r *recorder) Fail(id RequestID) {
	r.actions = append(r.actions, recordedAction{kind: "fail", id: id})
}

func (r *recorder) CancelAttempt(id RequestID, attempt int) {
	r.actions = append(r.actions, recordedAction{kind: "cancel", id: id, attempt: attempt})
}

func (r *recorder) SetTimer(after time.Duration, token uint32) {
	r.actions = append(r.actions, recordedAction{kind: "timer", timeout: after, token: token})
}

func (r *recorder) WatchEndpoints() { r.actions = append(r.actions, recordedAction{kind: "watch"}) }

func (r *recorder) CloseIdle(to EndpointID) {
	r.actions = append(r.actions, recordedAction{kind: "close", endpoint: to})
}

func (r *recorder) Log(line string) {
	r.actions = append(r.actions, recordedAction{kind: "log", text: line})
}

// rig is a test rig: a balancer, its recorded actions and a clock.
type rig struct {
	t   *testing.T
	b   *Balancer
	rec recorder
	now time.Duration
}

const millisecond = time.Millisecond

// testConfig returns settings with an idempotent, a keyed and a non-idempotent class, in this order.
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

// newRig returns a rig at the time 100 s whose balancer has the given endpoints.
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

// takeActions returns the recorded actions of one kind and clears the whole record.
func (r *rig) takeActions(kind string) []recordedAction {
	var out []recordedAction
	for _, a := range r.rec.actions {
		if a.kind == kind {
			out = append(out, a)
		}
	}
	r.rec.actions = nil
	return out
}

// finalAnswers counts the recorded final answers to request id.
func (r *rig) finalAnswers(id RequestID) (rejected, failed int) {
	for _, a := range r.rec.actions {
		if a.id == id && a.kind == "reject" {
			rejected++
		}
		if a.id == id && a.kind == "fail" {
			failed++
		}
	}
	return rejected, failed
}

func (r *rig) sendRequest(id RequestID, class int) {
	r.b.RequestArrived(r.now, Request{ID: id, Class: class, ClientTimeout: 2000 * millisecond})
	r.b.Dispatch(r.now)
}

func (r *rig) endAttempt(id RequestID, attempt int, endpoint EndpointID, outcome Outcome, latency time.Duration) {
	r.b.AttemptEnded(r.now, AttemptEnd{Request: id, Attempt: attempt, Endpoint: endpoint, Outcome: outcome,
		Latency: latency, RequestDone: outcome == OutcomeOK})
	r.b.Dispatch(r.now)
}

// advance moves the clock forward by d and fires the recurring timers of the balancer as a gateway would.
func (r *rig) advance(d time.Duration) {
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

func checkNear(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*math.Max(1, math.Abs(want)) {
		t.Errorf("%s = %v, want %v", name, got, want)
	}
}

// setKnownServiceTimes sets the mean service time of all classes to 100 ms, as if 1000 answers had been measured.
func setKnownServiceTimes(r *rig) {
	for i := range r.b.classes.entries {
		r.b.classes.entries[i].serviceMS = stats.Mean{N: 1000, Value: 100}
	}
	r.b.classes.referenceMS = 100
	r.b.updateQueueTimes()
}

// newCluster returns one gateway for each rank, all with the same list. Zones 0 and 1 alternate.
func newCluster(t *testing.T, gateways int, list []Endpoint) []*rig {
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

func endpointsInTwoZones(endpoints int) []Endpoint {
	var list []Endpoint
	for i := range endpoints {
		list = append(list, ready(EndpointID(i+1), i%2, i/8))
	}
	return list
}

// countUsers returns the number of gateways that use each endpoint.
func countUsers(rigs []*rig) map[EndpointID]int {
	count := make(map[EndpointID]int)
	for _, r := range rigs {
		for _, ep := range r.b.endpoints.subset {
			count[ep.ID]++
		}
	}
	return count
}

// warmEndpoints returns n endpoints of zone 0 that are not in slow start.
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

// playRequests sends n requests one after another, ends each attempt with the outcome that the function outcome
// returns for its endpoint, and returns the number of attempts by endpoint.
func (r *rig) playRequests(firstID RequestID, n int, outcome func(EndpointID) Outcome) map[EndpointID]int {
	attempts := make(map[EndpointID]int)
	for i := range n {
		id := firstID + RequestID(i)
		r.rec.actions = nil
		r.sendRequest(id, 0)
		r.advance(30 * millisecond)
		for attempt := 0; ; attempt++ {
			starts := r.takeActions("start")
			if len(starts) == 0 {
				break
			}
			to := starts[0].endpoint
			attempts[to]++
			r.endAttempt(id, attempt, to, outcome(to), 30*millisecond)
			r.advance(5 * millisecond)
		}
	}
	return attempts
}

func alwaysOK(EndpointID) Outcome { return OutcomeOK }

// startingEndpoint returns an endpoint that starts now.
func startingEndpoint(r *rig, id EndpointID) Endpoint {
	return Endpoint{ID: id, State: EndpointReady, StartedAt: r.now}
}

// checkRoughly is checkNear with a tolerance of 0.003 for the small change of the baseline service time, and so of
// the setpoint, in one sample.
func checkRoughly(t *testing.T, name string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 3e-3 {
		t.Errorf("%s = %v, want %v", name, got, want)
	}
}
