package balancer

import (
	"testing"
	"time"
)

// An endpoint that rejects every request as full must not attract most of the attempts: its cooldown doubles with each
// rejection, up to eight service times.
func TestCooldownDoublesWithEachRejection(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	setKnownServiceTimes(r)
	ep := r.b.endpoints.all[0]
	for i, want := range []int{1, 2, 4, 8, 8} { // in service times of 100 ms
		id := RequestID(i)
		r.sendRequest(id, 0)
		r.endAttempt(id, 0, 1, OutcomeRejected, millisecond)
		r.b.RequestAbandoned(r.now, id)
		if duration := ep.cooldown.until - r.now; duration != time.Duration(want)*100*millisecond || ep.health.Ejected {
			t.Errorf("cooldown %d is %v, ejected %v; want %d service times and no ejection",
				i, duration, ep.health.Ejected, want)
		}
		r.now = ep.cooldown.until
	}
	r.sendRequest(9, 0)
	r.endAttempt(9, 0, 1, OutcomeOK, 100*millisecond)
	r.sendRequest(10, 0)
	r.endAttempt(10, 0, 1, OutcomeRejected, millisecond)
	if duration := ep.cooldown.until - r.now; duration != 100*millisecond {
		t.Errorf("the cooldown after an answer is %v, want one service time", duration)
	}
}

// Before any service time is known, the cooldown is a share of the latency objective. Otherwise a request could use up
// all its attempts within 2 ms on an endpoint that is starting.
func TestRejectionCooldownBeforeServiceTimesAreKnown(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	ep := r.b.endpoints.all[0]
	for i, want := range []int{1, 2, 4} {
		id := RequestID(i)
		r.sendRequest(id, 0)
		r.endAttempt(id, 0, 1, OutcomeRejected, millisecond)
		r.b.RequestAbandoned(r.now, id)
		duration := ep.cooldown.until - r.now
		if duration < time.Duration(want)*15*millisecond || duration > time.Duration(want)*16*millisecond {
			t.Errorf("cooldown %d is %v, want %d times 1/64 of the objective of 1 s", i, duration, want)
		}
		r.now = ep.cooldown.until
	}
}

// After an attempt that timed out, an overloaded endpoint with a limit below one must not get the next request at
// once: it may still be working on the attempt.
func TestTimeoutStartsACooldownWithALimitBelowOne(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 10
	r := newRig(t, cfg, ready(1, 0, 0))
	setKnownServiceTimes(r)
	r.sendRequest(1, 0)
	r.now += 1200 * millisecond
	r.b.endpoints.byID[1].limit.Value = 0.4
	r.b.AttemptEnded(r.now, AttemptEnd{Request: 1, Endpoint: 1, Outcome: OutcomeTimeout, Latency: 1200 * millisecond})
	if duration := r.b.endpoints.byID[1].cooldown.until - r.now; duration != 1800*millisecond {
		t.Errorf("cooldown of %v after a timeout of 1.2 s with a limit of 0.4, want 1.8 s", duration)
	}
}

func TestCooldown(t *testing.T) {
	const now, objective = time.Minute, 640 * millisecond // a 64th is 10 ms
	for _, c := range []struct {
		name  string
		apply func(*cooldown)
		want  time.Duration
	}{
		{"failure, service time known", func(c *cooldown) { c.afterFailure(now, 40, objective) }, 40 * millisecond},
		{"failure, service time unknown", func(c *cooldown) { c.afterFailure(now, 0, objective) }, 10 * millisecond},
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
			if c.apply(&got); got.until != now+c.want || !got.active(now+c.want-1) || got.active(now+c.want) {
				t.Errorf("the cooldown lasts %v, want %v", got.until-now, c.want)
			}
		})
	}
}
