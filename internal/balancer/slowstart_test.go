package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"thymebend/internal/balancer/slowstart"
)

// Guards against many gateways that come to use a starting endpoint at one moment, each with a token saved
// up: their first requests must come spread over an interval.
func TestNothingIsSavedUpForSlowStart(t *testing.T) {
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
			if len(r.take("start")) > 0 {
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

// All gateways together must not send a starting endpoint more than it can bear; warm endpoints tell how
// much that is.
func TestEndpointInSlowStartIsNotOverloaded(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg, ready(1, 0, 0))
	warmUp(r)
	r.b.slowStart.warmRate = 20 // two gateways: requests a second on a warm endpoint
	fresh := ready(2, 0, 0)
	fresh.StartedAt = r.now
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{fresh})
	s := r.b.endpoints.byID[2]
	s.limit.Value = 50
	id := RequestID(0)
	sent := 0
	for end := r.now + cfg.OverloadWindow; r.now < end; r.now += 5 * millisecond {
		for range 5 {
			id++
			r.request(id, 0)
		}
		for _, a := range r.take("start") {
			if a.endpoint == 2 {
				sent++
				// It rejects at once, which counts as well and must not open room for more.
				r.b.AttemptEnded(r.now, AttemptEnd{
					Request: a.id, Endpoint: 2, Outcome: OutcomeRejected, Latency: millisecond,
				})
			}
		}
	}
	// 2.5 times 30 to 46% of ten a second for 2 s is at most 23 requests of this gateway.
	if sent == 0 || sent > 23 {
		t.Errorf("the starting endpoint got %d requests, want 1 to 23", sent)
	}
	r.b.now = fresh.StartedAt + cfg.SlowStartDuration
	near(t, "warm-up fraction when warm", r.b.warmUpFraction(s), 1)
}

// Guards against hundreds of gateways that each allow a starting endpoint one free request, or, just
// started themselves, a hundred a second.
func TestSlowStartBudgetHoldsOverHundredsOfGateways(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		rigs := cluster(t, 300, twoZones(40))
		fresh := ready(1000, 0, 0)
		fresh.StartedAt = rigs[0].now
		gone := ready(1, 0, 0)
		gone.State = EndpointRemoved
		const rate = 4.0 // requests a second of a gateway on a warm endpoint
		sent, users := 0, 0
		for _, r := range rigs {
			if !restarted {
				warmUp(r)
				r.b.slowStart.warmRate = slowstart.WarmRate(rate * r.b.endpoints.subset[0].subset.users)
			}
			r.b.UpdateEndpoints(r.now, Delta, []Endpoint{gone, fresh})
			r.b.Dispatch(r.now)
			s := r.b.endpoints.byID[1000]
			if s.subset.used {
				users++
			}
			end := r.now + r.b.cfg.OverloadWindow
			for id := RequestID(0); r.now < end; r.now += 5 * millisecond {
				r.b.now = r.now
				s.inFlight, s.cooldown.until = 0, 0
				if r.b.usable(s, &requestState{Request: Request{ID: id}}) {
					s.warmUp.Tokens--
					sent++
				}
			}
		}
		// Warm endpoints get 4 a second of each user; 2.5 times 0.3 of that for 2 s overloads the
		// endpoint. Of one that is not known no more is sure than one core: ten a second of 100 ms.
		limit := 2.5 * 0.3 * 2 * rate * float64(users)
		if restarted {
			limit = 2.5 * 0.3 * 2 * 10
		}
		if sent == 0 || float64(sent) > limit {
			t.Errorf("restarted %v: %d gateways sent %d requests in the window, want 1 to %.0f",
				restarted, users, sent, limit)
		}
	}
}

// Guards against gateways that use an endpoint in place of an ejected one and spend a slow-start budget
// that was worked out without them.
func TestExpansionsSendNothingInSlowStart(t *testing.T) {
	rigs := cluster(t, 300, twoZones(40))
	sending, before := make(map[EndpointID]float64), users(rigs)
	for n, r := range rigs {
		for i, s := range r.b.endpoints.subset {
			s.health.Ejected = n%2 == 0 && i%2 == 0 // a quarter of all that is used
		}
		r.b.endpoints.expansion.Size, r.b.endpoints.stale = 2, true
		r.b.Dispatch(r.now)
		for _, s := range r.b.endpoints.subset {
			s.StartedAt = r.now - time.Second
			s.warmUp.Tokens = 1
			if r.b.slowStartAllows(s) {
				sending[s.ID]++
			}
		}
	}
	more := 0
	for id, n := range users(rigs) {
		more += n - before[id]
		if s := rigs[0].b.endpoints.byID[id]; sending[id] > s.subset.users*1.4 {
			t.Errorf("endpoint %d: slow-start budgets at %v gateways, worked out for %.1f",
				id, sending[id], s.subset.users)
		}
	}
	if more < 600 {
		t.Errorf("%d more uses, want two of each gateway at least", more)
	}
}

// In a cluster an endpoint in slow start gets one request for each granted token, in its time, and none
// without.
func TestSlowStartTakesGrantedTokensAlone(t *testing.T) {
	r := newRig(t, testConfig())
	r.b.UpdateEndpoints(r.now, Snapshot, []Endpoint{starting(r, 1)})
	r.assign(AssignedEndpoint{ID: 1, Weight: 1, Share: 1})
	for id := range RequestID(6) {
		r.request(id+1, 0)
	}
	r.wait(400 * millisecond)
	if starts := r.take("start"); len(starts) != 0 {
		t.Errorf("%d starts without a token", len(starts))
	}
	r.b.GrantSlowStartToken(r.now, 1, r.now+100*millisecond)
	r.b.GrantSlowStartToken(r.now, 77, r.now+100*millisecond)
	r.b.Dispatch(r.now)
	r.wait(90 * millisecond)
	starts := r.take("start")
	if len(starts) != 1 {
		t.Fatalf("%d starts for one token", len(starts))
	}
	r.b.GrantSlowStartToken(r.now, 1, r.now+20*millisecond)
	r.now += 20 * millisecond
	r.end(starts[0].id, 0, 1, OutcomeOK, 90*millisecond)
	if starts := r.take("start"); len(starts) != 0 {
		t.Errorf("%d starts for a token whose time is over", len(starts))
	}
	r.b.GrantSlowStartToken(r.now, 1, r.now+100*millisecond)
	r.b.YieldSlowStart(r.now, true) // the next process of this gateway has the tokens
	r.b.GrantSlowStartToken(r.now, 1, r.now+100*millisecond)
	r.b.YieldSlowStart(r.now, false)
	r.b.Dispatch(r.now)
	r.wait(50 * millisecond)
	if starts := r.take("start"); len(starts) != 0 {
		t.Errorf("%d starts for tokens from before another process had them", len(starts))
	}
}
