package balancer

import (
	"testing"
	"time"
)

// The two processes of a hot restart together send a starting endpoint no more than one gateway may. The successor
// starts with the budget that the predecessor has left, and the predecessor sends nothing more.
func TestRestoreKeepsTheSlowStartBudget(t *testing.T) {
	starting := ready(1, 0, 0)
	starting.StartedAt = 100 * time.Second
	id := RequestID(0)
	// sendFlood waits, sends 40 requests, answers those that were started, and returns their number.
	sendFlood := func(r *rig, wait time.Duration) int {
		r.now += wait
		r.b.slowStart.warmRate = 20
		for _, ep := range r.b.endpoints.all {
			ep.limit.Value = 100
		}
		for range 40 {
			id++
			r.sendRequest(id, 0)
		}
		sent := r.takeActions("start")
		for _, a := range sent {
			r.endAttempt(a.id, 0, 1, OutcomeOK, 10*millisecond)
		}
		return len(sent)
	}
	predecessor := newRig(t, testConfig(), starting)
	spent := sendFlood(predecessor, 2*time.Second)
	if spent == 0 {
		t.Fatal("the predecessor sent nothing")
	}
	state := predecessor.b.State(predecessor.now)
	predecessor.b.YieldSlowStart(predecessor.now, true)
	successor := newRig(t, testConfig(), starting)
	successor.now = predecessor.now
	successor.b.Restore(successor.now, state)
	if n := sendFlood(successor, 0); n > 0 {
		t.Errorf("the successor started %d attempts although %d of the predecessor had spent the budget", n, spent)
	}
	if n := sendFlood(predecessor, time.Second); n > 0 {
		t.Errorf("the predecessor started %d attempts after it had yielded the budgets, want 0", n)
	}
	// The bound is 2.5 times at most 61% of this gateway's half of 20 requests per second.
	if n := sendFlood(successor, time.Second); n == 0 || n > 15 {
		t.Errorf("the successor started %d attempts within a second, want 1 to 15", n)
	}
	predecessor.b.YieldSlowStart(predecessor.now, false)
	if n := sendFlood(predecessor, 0); n > 0 {
		t.Errorf("the predecessor started %d attempts at once, from a budget that the successor may have spent", n)
	}
	if n := sendFlood(predecessor, time.Second); n == 0 {
		t.Error("the predecessor starts no attempt although it has the budgets again")
	}
}

// Restore takes over the state of the predecessor, except for values that no run of the balancer can produce.
func TestRestoreIgnoresImplausibleValues(t *testing.T) {
	predecessor := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	for _, ep := range predecessor.b.endpoints.all {
		ep.limit.Value, ep.limit.GainMS, ep.limit.BaselineMS = 7.5, 3, 40
	}
	predecessor.b.endpoints.all[1].health.Ejected = true
	predecessor.b.endpoints.all[1].health.ProbeAt = predecessor.now + time.Second
	successor := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	state := predecessor.b.State(predecessor.now)
	successor.b.Restore(successor.now, state)
	if ep := successor.b.endpoints.all[0]; ep.limit.Value != 7.5 || ep.limit.GainMS != 3 ||
		successor.b.UnavailableCount() != 1 {
		t.Errorf("limit %v, gain %v, %d endpoints unavailable; want 7.5, 3, 1",
			ep.limit.Value, ep.limit.GainMS, successor.b.UnavailableCount())
	}
	state.Endpoints[0].Limit, state.QueueThreshold = -1, -1
	other := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	other.b.Restore(other.now, state)
	if other.b.endpoints.all[0].limit.Value == -1 || other.b.queueThreshold.Value < 0 {
		t.Error("a negative limit or queue-time threshold was restored")
	}
}
