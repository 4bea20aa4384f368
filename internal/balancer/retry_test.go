package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thymebend/internal/balancer/retrybudget"
)

// For each kind of class and each outcome of the first attempt, verifies what follows: another attempt, a rejection
// or a failure. A request that may have run must not run again outside its dedup scope.
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
					t.Fatal("the endpoint with free capacity was not chosen")
				}
				r.now += 10 * millisecond
				r.b.endpoints.all[1].State = EndpointDraining // only the endpoint in the other cell remains
				r.endAttempt(1, 0, 2, o, 10*millisecond)
				r.advance(50 * millisecond)
				retried := slices.ContainsFunc(r.rec.actions, func(a recordedAction) bool {
					return a.kind == "start" && a.id == 1
				})
				rejected, failed := r.finalAnswers(1)
				switch {
				case idempotency == Idempotent || o.NeverRan():
					if !retried {
						t.Error("not retried although that is allowed")
					}
				case retried:
					t.Error("retried outside its dedup scope although it may have run")
				case rejected > 0:
					t.Error("rejected although it may have run")
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
					r.now += 195 * millisecond // less than two dispatch intervals before the end of the window
				}
				r.rec.actions = nil
				r.endAttempt(1, 0, 1, OutcomeTimeout, 300*millisecond)
				if retried := len(r.takeActions("start")) == 1; retried != (c.want && !late) {
					t.Errorf("retried = %v, want %v", retried, c.want && !late)
				}
			})
		}
	}
}

// An attempt must not be written if its connection is established only after the dedup window has ended.
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
				t.Fatal("the request was not retried")
			}
			if r.now += c.after; r.b.MayStartAttempt(r.now, 1, 1) != c.want {
				t.Errorf("MayStartAttempt = %v, want %v", !c.want, c.want)
			}
		})
	}
	if r := newRig(t, testConfig()); r.b.MayStartAttempt(r.now, 9, 0) {
		t.Error("MayStartAttempt allows an attempt of an unknown request")
	}
}

// Retries of requests that timed out must stay within the retry budget. Where a cancel does not stop the work, more
// retries would add load until the endpoints collapse.
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
			r.b.endpoints.all[0].health.LastResponseAt = r.now + time.Hour // not silent, only slow
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

// Retries must stay in the subset. Otherwise they would go to any endpoint of a zone that was lost, and overload it
// when it returns.
func TestRetriesStayInTheSubset(t *testing.T) {
	r := newCluster(t, 300, endpointsInTwoZones(40))[0]
	setKnownServiceTimes(r)
	for class, retried := range []bool{false, true, false} { // a keyed retry may leave the subset
		r.takeActions("start")
		id := RequestID(900 + class)
		r.sendRequest(id, class)
		starts := r.takeActions("start")
		if len(starts) != 1 {
			t.Fatalf("class %d: %d attempts started, want 1", class, len(starts))
		}
		for _, ep := range r.b.endpoints.subset {
			ep.cooldown.until = r.now + 300*millisecond
		}
		r.endAttempt(id, 0, starts[0].endpoint, OutcomeConnectFailed, 250*millisecond)
		if starts := r.takeActions("start"); (len(starts) > 0) != retried {
			t.Errorf("class %d: attempts %+v while the whole subset is in cooldown, want any = %v",
				class, starts, retried)
		}
		r.now += time.Second
	}
}
