package balancer

import (
	"testing"
	"time"
)

// Guards against endpoints that reject everything as full and draw most of all attempts.
func TestRejectingEndpointCoolsDownLongerEachTime(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	warmUp(r)
	s := r.b.endpoints.all[0]
	for i, want := range []int{1, 2, 4, 8, 8} { // in service times of 100 ms
		id := RequestID(i)
		r.request(id, 0)
		r.end(id, 0, 1, OutcomeRejected, millisecond)
		r.b.RequestAbandoned(r.now, id)
		if rest := s.cooldown.until - r.now; rest != time.Duration(want)*100*millisecond || s.health.Ejected {
			t.Errorf("rest %d is %v, ejected %v; want %d service times", i, rest, s.health.Ejected, want)
		}
		r.now = s.cooldown.until
	}
	r.request(9, 0)
	r.end(9, 0, 1, OutcomeOK, 100*millisecond)
	r.request(10, 0)
	r.end(10, 0, 1, OutcomeRejected, millisecond)
	if rest := s.cooldown.until - r.now; rest != 100*millisecond {
		t.Errorf("rest after an answer is %v, want one service time", rest)
	}
}

// Guards against a request that spends all its attempts in 2 ms on a starting endpoint, before any service
// time is known. The cooldown then is a share of the objective.
func TestRejectingEndpointCoolsDownBeforeAnythingIsLearnt(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	s := r.b.endpoints.all[0]
	for i, want := range []int{1, 2, 4} {
		id := RequestID(i)
		r.request(id, 0)
		r.end(id, 0, 1, OutcomeRejected, millisecond)
		r.b.RequestAbandoned(r.now, id)
		rest := s.cooldown.until - r.now
		if rest < time.Duration(want)*15*millisecond || rest > time.Duration(want)*16*millisecond {
			t.Errorf("rest %d is %v, want %d times a 64th of the objective of 1 s", i, rest, want)
		}
		r.now = s.cooldown.until
	}
}

// Guards against attempts that time out on an overloaded endpoint, go on loading it, and are followed by
// the next request at once.
func TestTimeoutRestsAnEndpointBelowOne(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 10
	r := newRig(t, cfg, ready(1, 0, 0))
	warmUp(r)
	r.request(1, 0)
	r.now += 1200 * millisecond
	r.b.endpoints.byID[1].limit.Value = 0.4
	r.b.AttemptEnded(r.now, AttemptEnd{Request: 1, Endpoint: 1, Outcome: OutcomeTimeout, Latency: 1200 * millisecond})
	if rest := r.b.endpoints.byID[1].cooldown.until - r.now; rest != 1800*millisecond {
		t.Errorf("rests %v after a time-out of 1.2 s with u = 0.4, want 1.8 s", rest)
	}
}

func TestCooldown(t *testing.T) {
	const now, objective = time.Minute, 640 * millisecond // a 64th is 10 ms
	for _, c := range []struct {
		name string
		act  func(*cooldown)
		want time.Duration
	}{
		{"failure, service time known", func(c *cooldown) { c.afterFailure(now, 40, objective) }, 40 * millisecond},
		{"failure, nothing known", func(c *cooldown) { c.afterFailure(now, 0, objective) }, 10 * millisecond},
		{"rejection", func(c *cooldown) { c.afterRejection(now, 40, objective) }, 40 * millisecond},
		{"third rejection in a row", func(c *cooldown) {
			for range 3 {
				c.afterRejection(now, 40, objective)
			}
		}, 160 * millisecond},
		{"rejection after an answer", func(c *cooldown) {
			c.afterRejection(now, 40, objective)
			c.answered()
			c.afterRejection(now, 40, objective)
		}, 40 * millisecond},
		{"extended, never shortened", func(c *cooldown) {
			c.extend(now + time.Second)
			c.extend(now + millisecond)
		}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var got cooldown
			if c.act(&got); got.until != now+c.want || !got.active(now+c.want-1) || got.active(now+c.want) {
				t.Errorf("lasts %v, want %v", got.until-now, c.want)
			}
		})
	}
}
