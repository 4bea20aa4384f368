package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Both processes of an upgrade together send a cold server no more than one gateway may: the newcomer begins with the
// budget that the elder has spent, and the elder sends it nothing more.
func TestHandOverKeepsTheColdBudget(t *testing.T) {
	cold := ready(1, 0, 0)
	cold.StartedAt = 100 * time.Second
	id := RequestID(0)
	flood := func(r *rig, after time.Duration) int { // asks for all that may be sent then, and answers it
		r.now += after
		r.b.warmRate = 20
		for _, s := range r.b.servers {
			s.u = 100
		}
		for range 40 {
			id++
			r.request(id, 0)
		}
		sent := r.take("send")
		for _, a := range sent {
			r.end(a.id, 0, 1, OutcomeOK, 10*millisecond)
		}
		return len(sent)
	}
	elder := newRig(t, testConfig(), cold)
	spent := flood(elder, 2*time.Second)
	if spent == 0 {
		t.Fatal("the elder sent nothing")
	}
	learned := elder.b.State(elder.now)
	elder.b.YieldSlowStart(elder.now, true)
	next := newRig(t, testConfig(), cold)
	next.now = elder.now
	next.b.Restore(next.now, learned)
	if n := flood(next, 0); n > 0 {
		t.Errorf("%d more went to a cold server whose budget %d had spent", n, spent)
	}
	if n := flood(elder, time.Second); n > 0 {
		t.Errorf("the elder sent %d after it had yielded", n)
	}
	// 2.5 times at most 61% of this gateway's half of 20 a second.
	if n := flood(next, time.Second); n == 0 || n > 15 {
		t.Errorf("the newcomer sent %d within a second, want 1 to 15", n)
	}
	elder.b.YieldSlowStart(elder.now, false)
	if n := flood(elder, 0); n > 0 {
		t.Errorf("%d went out at once of a budget that the newcomer may have spent", n)
	}
	if n := flood(elder, time.Second); n == 0 {
		t.Error("the elder sends nothing though the newcomer has died")
	}
}

// What a newcomer is told is used, and what no run of the module gives is not.
func TestLearnedGoesOver(t *testing.T) {
	a := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	for _, s := range a.b.servers {
		s.u, s.gain, s.base = 7.5, 3, 40
	}
	a.b.servers[1].ejected, a.b.servers[1].trialAt = true, a.now+time.Second
	b := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	learned := a.b.State(a.now)
	b.b.Restore(b.now, learned)
	if s := b.b.servers[0]; s.u != 7.5 || s.gain != 3 || b.b.UnavailableCount() != 1 {
		t.Errorf("limit %v, gain %v, avoided %d", s.u, s.gain, b.b.UnavailableCount())
	}
	learned.Endpoints[0].Limit, learned.QueueThreshold = -1, -1
	c := newRig(t, testConfig(), ready(1, 0, 0), ready(2, 0, 0))
	if c.b.Restore(c.now, learned); c.b.servers[0].u == -1 || c.b.psi < 0 {
		t.Error("a figure that cannot be was taken")
	}
}

// A hundred reloads leave no more places than classes were in use, and a request keeps its class through them.
func TestReloadsLeaveNoPlaces(t *testing.T) {
	cfg := testConfig()
	for i := range cfg.Classes {
		cfg.Classes[i].Name = fmt.Sprint("c", i)
	}
	r := newRig(t, cfg, ready(1, 0, 0))
	r.request(1, 0)
	r.take("send")
	fresh := cfg
	for n := range 100 {
		r.now += placeFree
		fresh.Classes = append([]Class{{Name: fmt.Sprint("new", n), LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: NonIdempotent}}, cfg.Classes...)
		fresh.Classes[1].Idempotency = NonIdempotent
		places, err := r.b.Reload(r.now, fresh)
		if err != nil || len(places) != 4 {
			t.Fatal(places, err)
		}
	}
	if n := len(r.b.classes); n > 7 || len(r.b.servers[0].kinds) != n {
		t.Errorf("%d places and %d kinds for 4 classes", n, len(r.b.servers[0].kinds))
	}
	if c := r.b.classes[r.b.requests[1].Class]; c.Name != "c0" || c.Idempotency != Idempotent {
		t.Errorf("the request's class is now %q, effect %d", c.Name, c.Idempotency)
	}
	fresh.Classes = nil
	if _, err := r.b.Reload(r.now, fresh); err == nil || len(r.b.cfg.Classes) != 4 {
		t.Errorf("a faulty configuration: %v", err)
	}
}
