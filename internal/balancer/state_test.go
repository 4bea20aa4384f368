package balancer

import (
	"testing"
	"time"
)

// Both processes of a hot restart together send a starting endpoint no more than one gateway may: the
// successor begins with the budget that the predecessor has spent, and the predecessor sends nothing more.
func TestRestoreKeepsTheSlowStartBudget(t *testing.T) {
	fresh := ready(1, 0, 0)
	fresh.StartedAt = 100 * time.Second
	id := RequestID(0)
	flood := func(r *rig, after time.Duration) int { // asks for all that may be sent then, and answers it
		r.now += after
		r.b.slowStart.warmRate = 20
		for _, s := range r.b.endpoints.all {
			s.limit.Value = 100
		}
		for range 40 {
			id++
			r.request(id, 0)
		}
		sent := r.take("start")
		for _, a := range sent {
			r.end(a.id, 0, 1, OutcomeOK, 10*millisecond)
		}
		return len(sent)
	}
	predecessor := newRig(t, testConfig(), fresh)
	spent := flood(predecessor, 2*time.Second)
	if spent == 0 {
		t.Fatal("the predecessor sent nothing")
	}
	learned := predecessor.b.State(predecessor.now)
	predecessor.b.YieldSlowStart(predecessor.now, true)
	next := newRig(t, testConfig(), fresh)
	next.now = predecessor.now
	next.b.Restore(next.now, learned)
	if n := flood(next, 0); n > 0 {
		t.Errorf("%d more went to a starting endpoint whose budget %d had spent", n, spent)
	}
	if n := flood(predecessor, time.Second); n > 0 {
		t.Errorf("the predecessor sent %d after it had yielded", n)
	}
	// 2.5 times at most 61% of this gateway's half of 20 a second.
	if n := flood(next, time.Second); n == 0 || n > 15 {
		t.Errorf("the successor sent %d within a second, want 1 to 15", n)
	}
	predecessor.b.YieldSlowStart(predecessor.now, false)
	if n := flood(predecessor, 0); n > 0 {
		t.Errorf("%d went out at once of a budget that the successor may have spent", n)
	}
	if n := flood(predecessor, time.Second); n == 0 {
		t.Error("the predecessor starts nothing though the successor has died")
	}
}

// What a successor gets is used, and what no run of the balancer gives is not.
func TestRestoreTakesWhatIsPlausible(t *testing.T) {
	a := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	for _, s := range a.b.endpoints.all {
		s.limit.Value, s.limit.GainMS, s.limit.BaselineMS = 7.5, 3, 40
	}
	a.b.endpoints.all[1].health.Ejected, a.b.endpoints.all[1].health.ProbeAt = true, a.now+time.Second
	b := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	learned := a.b.State(a.now)
	b.b.Restore(b.now, learned)
	if s := b.b.endpoints.all[0]; s.limit.Value != 7.5 || s.limit.GainMS != 3 || b.b.UnavailableCount() != 1 {
		t.Errorf("limit %v, gain %v, avoided %d", s.limit.Value, s.limit.GainMS, b.b.UnavailableCount())
	}
	learned.Endpoints[0].Limit, learned.QueueThreshold = -1, -1
	c := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	if c.b.Restore(c.now, learned); c.b.endpoints.all[0].limit.Value == -1 || c.b.queueThreshold.Value < 0 {
		t.Error("a figure that cannot be was taken")
	}
}
