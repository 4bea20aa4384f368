package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thymebend/internal/balancer/retrybudget"
)

// What may follow the end of an attempt, by class and outcome: another attempt, a rejection or a failure.
func TestRetriesNeverRepeatAnEffect(t *testing.T) {
	outcomes := []Outcome{
		OutcomeError, OutcomeRejected, OutcomeTimeout, OutcomeConnectFailed, OutcomeReset, OutcomeCancelled,
		OutcomeNotStarted,
	}
	for class, idempotency := range []Idempotency{Idempotent, KeyedIdempotent, NonIdempotent} {
		for _, o := range outcomes {
			t.Run(fmt.Sprintf("idempotency %d outcome %d", idempotency, o), func(t *testing.T) {
				cfg := testConfig()
				r := newRig(t, cfg, ready(1, 0, 0), ready(2, 0, 1)) // two cells
				r.b.endpoints.all[1].limit.Value = 3
				r.sendRequest(1, class)
				first := r.takeActions("start")[0]
				if first.endpoint != 2 {
					t.Fatal("the endpoint with room was not chosen")
				}
				r.now += 10 * millisecond
				r.b.endpoints.all[1].State = EndpointDraining // only the other cell is left
				r.endAttempt(1, 0, 2, o, 10*millisecond)
				r.advance(50 * millisecond)
				sent := slices.ContainsFunc(r.rec.actions, func(a recordedAction) bool { return a.kind == "start" && a.id == 1 })
				rejected, failed := r.finalAnswers(1)
				switch {
				case idempotency == Idempotent || o.NeverRan():
					if !sent {
						t.Error("was not retried though it may be")
					}
				case sent:
					t.Error("was sent again though it may have run outside its scope")
				case rejected > 0:
					t.Error("was rejected though it may have run")
				case failed != 1:
					t.Errorf("failed %d times, want once", failed)
				}
			})
		}
	}
}

func TestKeyedRetriesStayInScopeAndWindow(t *testing.T) {
	for _, c := range []struct {
		name  string
		scope DedupScope
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
			t.Run(fmt.Sprintf("%s, late %v", c.name, late), func(t *testing.T) {
				cfg := testConfig()
				cfg.Classes[1].DedupScope = c.scope
				cfg.Classes[1].LatencyObjective, cfg.Classes[1].DedupWindow = 1900*millisecond, 500*millisecond
				r := newRig(t, cfg, ready(1, 0, 0))
				r.sendRequest(1, 1)
				r.b.UpdateEndpoints(r.now, Delta, []Endpoint{c.other, {ID: 1, State: EndpointRemoved}})
				if r.now += 300 * millisecond; late {
					r.now += 195 * millisecond // within two dispatch intervals of the window's end
				}
				r.rec.actions = nil
				r.endAttempt(1, 0, 1, OutcomeTimeout, 300*millisecond)
				if retried := len(r.takeActions("start")) == 1; retried != (c.want && !late) {
					t.Errorf("retried = %v", retried)
				}
			})
		}
	}
}

// Guards against an attempt whose connection comes up after the window of the one before it is over.
func TestDedupWindowIsCheckedAgainWhenAnAttemptStarts(t *testing.T) {
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
		{"idempotent", 0, OutcomeReset, 900 * millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Classes[1].LatencyObjective, cfg.Classes[1].DedupWindow = 1900*millisecond, 500*millisecond
			r := newRig(t, cfg, ready(1, 0, 0), ready(2, 0, 0))
			r.sendRequest(1, c.class)
			first := r.takeActions("start")[0].endpoint
			r.now += 300 * millisecond
			r.endAttempt(1, 0, first, c.outcome, 300*millisecond)
			if len(r.takeActions("start")) != 1 {
				t.Fatal("not retried")
			}
			if r.now += c.after; r.b.MayStartAttempt(r.now, 1, 1) != c.want {
				t.Errorf("may start = %v", !c.want)
			}
		})
	}
	if r := newRig(t, testConfig()); r.b.MayStartAttempt(r.now, 9, 0) {
		t.Error("an attempt of no request may begin")
	}
}

// Guards against retries of timed-out work that feed a collapse where a cancel stops nothing.
func TestRetryBudget(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.endpoints.all[0].limit.Value = 1000
	retries := 0
	for id := range RequestID(400) {
		r.sendRequest(id, 0)
		for range 3 {
			starts := r.takeActions("start")
			if len(starts) == 0 {
				break
			}
			r.b.endpoints.all[0].health.LastHeard = r.now + time.Hour // not silent, only slow
			n := len(r.b.requests.byID[id].attempts)
			if n > 1 {
				retries++
			}
			r.endAttempt(id, n-1, 1, OutcomeTimeout, millisecond)
		}
	}
	if limit := int(retrybudget.MaxSaved + 400*retrybudget.PerRequest + 1); retries == 0 || retries > limit {
		t.Errorf("%d retries, want some and at most %d", retries, limit)
	}
}

// Guards against retries that go to any endpoint of a lost zone, and overload it when it returns.
func TestRetriesStayInTheSubset(t *testing.T) {
	r := newCluster(t, 300, endpointsInTwoZones(40))[0]
	setKnownServiceTimes(r)
	for class, retried := range []bool{false, true, false} { // a keyed retry may have to go where the subset has nothing
		r.takeActions("start")
		id := RequestID(900 + class)
		r.sendRequest(id, class)
		starts := r.takeActions("start")
		if len(starts) != 1 {
			t.Fatalf("class %d: %d starts", class, len(starts))
		}
		for _, ep := range r.b.endpoints.subset {
			ep.cooldown.until = r.now + 300*millisecond
		}
		r.endAttempt(id, 0, starts[0].endpoint, OutcomeConnectFailed, 250*millisecond)
		if starts := r.takeActions("start"); (len(starts) > 0) != retried {
			t.Errorf("class %d: sent %+v while all the subset rests", class, starts)
		}
		r.now += time.Second
	}
}
