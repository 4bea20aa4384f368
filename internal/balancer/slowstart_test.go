package balancer

import (
	"math/rand/v2"
	"testing"
	"time"

	"thymebend/internal/balancer/slowstart"
)

// Many gateways may start to use an endpoint in slow start at the same time. They must not have tokens saved up from
// before, and their first requests must be distributed over an interval.
func TestSlowStartTokensAreNotSavedUpBeforeUse(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 40
	listWith := func(state EndpointState, startedAt time.Duration) []Endpoint {
		return []Endpoint{{ID: 1, State: state, StartedAt: startedAt}}
	}
	withinHalfSecond, withinFiveSeconds := 0, 0
	for seed := range uint64(100) {
		r := newRig(t, cfg)
		r.b.rng = rand.New(rand.NewPCG(seed, 1))
		startedAt := r.now
		r.b.UpdateEndpoints(r.now, Delta, listWith(EndpointReady, startedAt))
		r.b.Dispatch(r.now)
		r.b.UpdateEndpoints(r.now, Delta, listWith(EndpointDraining, startedAt))
		r.advance(4 * time.Second)
		r.b.UpdateEndpoints(r.now, Delta, listWith(EndpointReady, startedAt))
		for step := range 100 {
			r.rec.actions = nil
			r.sendRequest(RequestID(step+1), 0)
			r.advance(50 * millisecond)
			if len(r.takeActions("start")) > 0 {
				if step < 10 {
					withinHalfSecond++
				}
				withinFiveSeconds++
				break
			}
		}
	}
	if withinHalfSecond > 30 || withinFiveSeconds < 60 {
		t.Errorf("of 100 gateways %d send within half a second, want at most 30, and %d within five, want at least 60",
			withinHalfSecond, withinFiveSeconds)
	}
}

// All gateways together must not overload an endpoint in slow start. Its capacity is estimated from the rate of warm
// endpoints.
func TestEndpointInSlowStartIsNotOverloaded(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg, ready(1, 0, 0))
	setKnownServiceTimes(r)
	r.b.slowStart.warmRate = 20 // requests per second of both gateways on a warm endpoint
	starting := ready(2, 0, 0)
	starting.StartedAt = r.now
	r.b.UpdateEndpoints(r.now, Delta, []Endpoint{starting})
	ep := r.b.endpoints.byID[2]
	ep.limit.Value = 50
	id := RequestID(0)
	sent := 0
	for end := r.now + cfg.OverloadWindow; r.now < end; r.now += 5 * millisecond {
		for range 5 {
			id++
			r.sendRequest(id, 0)
		}
		for _, a := range r.takeActions("start") {
			if a.endpoint == 2 {
				sent++
				// It rejects at once. A rejected attempt counts too and must not free budget for more.
				r.b.AttemptEnded(r.now, AttemptEnd{
					Request: a.id, Endpoint: 2, Outcome: OutcomeRejected, Latency: millisecond,
				})
			}
		}
	}
	// 2.5 times 30 to 46% of ten requests per second for 2 s is at most 23 requests of this gateway.
	if sent == 0 || sent > 23 {
		t.Errorf("the starting endpoint got %d requests, want 1 to 23", sent)
	}
	r.b.now = starting.StartedAt + cfg.SlowStartDuration
	checkNear(t, "warm-up fraction when warm", r.b.warmUpFraction(ep), 1)
}

// Hundreds of gateways must not each send a starting endpoint one request beyond the budget or, if they have just
// started themselves, a hundred requests per second.
func TestSlowStartBudgetHoldsForHundredsOfGateways(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		rigs := newCluster(t, 300, endpointsInTwoZones(40))
		starting := ready(1000, 0, 0)
		starting.StartedAt = rigs[0].now
		removed := ready(1, 0, 0)
		removed.State = EndpointRemoved
		const rate = 4.0 // requests per second of one gateway on a warm endpoint
		sent, users := 0, 0
		for _, r := range rigs {
			if !restarted {
				setKnownServiceTimes(r)
				r.b.slowStart.warmRate = slowstart.WarmRate(rate * r.b.endpoints.subset[0].subset.users)
			}
			r.b.UpdateEndpoints(r.now, Delta, []Endpoint{removed, starting})
			r.b.Dispatch(r.now)
			ep := r.b.endpoints.byID[1000]
			if ep.subset.used {
				users++
			}
			end := r.now + r.b.cfg.OverloadWindow
			for id := RequestID(0); r.now < end; r.now += 5 * millisecond {
				r.b.now = r.now
				ep.inFlight, ep.cooldown.until = 0, 0
				if r.b.usable(ep, &requestState{Request: Request{ID: id}}) {
					ep.warmUp.Tokens--
					sent++
				}
			}
		}
		// A warm endpoint gets 4 requests per second from each user; 2.5 times 0.3 of that for 2 s overloads a
		// starting one. If nothing has been measured, only one core is certain: ten requests of 100 ms per second.
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

// Gateways that use an endpoint as an expansion, or in place of an ejected one, must not send it requests in slow
// start: the budget is divided without counting them.
func TestExpansionsSendNothingInSlowStart(t *testing.T) {
	rigs := newCluster(t, 300, endpointsInTwoZones(40))
	sendingGateways, before := make(map[EndpointID]float64), countUsers(rigs)
	for n, r := range rigs {
		for i, ep := range r.b.endpoints.subset {
			ep.health.Ejected = n%2 == 0 && i%2 == 0 // a quarter of the endpoints in use
		}
		r.b.endpoints.expansion.Size, r.b.endpoints.stale = 2, true
		r.b.Dispatch(r.now)
		for _, ep := range r.b.endpoints.subset {
			ep.StartedAt = r.now - time.Second
			ep.warmUp.Tokens = 1
			if r.b.slowStartAllows(ep) {
				sendingGateways[ep.ID]++
			}
		}
	}
	addedUses := 0
	for id, n := range countUsers(rigs) {
		addedUses += n - before[id]
		if ep := rigs[0].b.endpoints.byID[id]; sendingGateways[id] > ep.subset.users*1.4 {
			t.Errorf("endpoint %d: %v gateways spend a slow-start budget that is divided by %.1f",
				id, sendingGateways[id], ep.subset.users)
		}
	}
	if addedUses < 600 {
		t.Errorf("%d more endpoints in use over all gateways, want at least two per gateway", addedUses)
	}
}

// In a cluster an endpoint in slow start gets one request for each granted token, while the token is valid, and none
// without a token.
func TestSlowStartRequiresGrantedTokens(t *testing.T) {
	r := newRig(t, testConfig())
	r.b.UpdateEndpoints(r.now, Snapshot, []Endpoint{startingEndpoint(r, 1)})
	r.assign(AssignedEndpoint{ID: 1, Weight: 1, Share: 1})
	for id := range RequestID(6) {
		r.sendRequest(id+1, 0)
	}
	r.advance(400 * millisecond)
	if starts := r.takeActions("start"); len(starts) != 0 {
		t.Errorf("%d attempts started without a token, want 0", len(starts))
	}
	r.b.GrantSlowStartToken(r.now, 1, r.now+100*millisecond)
	r.b.GrantSlowStartToken(r.now, 77, r.now+100*millisecond)
	r.b.Dispatch(r.now)
	r.advance(90 * millisecond)
	starts := r.takeActions("start")
	if len(starts) != 1 {
		t.Fatalf("%d attempts started for one token, want 1", len(starts))
	}
	r.b.GrantSlowStartToken(r.now, 1, r.now+20*millisecond)
	r.now += 20 * millisecond
	r.endAttempt(starts[0].id, 0, 1, OutcomeOK, 90*millisecond)
	if starts := r.takeActions("start"); len(starts) != 0 {
		t.Errorf("%d attempts started for an expired token, want 0", len(starts))
	}
	r.b.GrantSlowStartToken(r.now, 1, r.now+100*millisecond)
	r.b.YieldSlowStart(r.now, true) // the next process of this gateway uses the tokens
	r.b.GrantSlowStartToken(r.now, 1, r.now+100*millisecond)
	r.b.YieldSlowStart(r.now, false)
	r.b.Dispatch(r.now)
	r.advance(50 * millisecond)
	if starts := r.takeActions("start"); len(starts) != 0 {
		t.Errorf("%d attempts started for tokens from before another process used them, want 0", len(starts))
	}
}
