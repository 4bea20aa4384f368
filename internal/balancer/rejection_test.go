package balancer

import (
	"testing"
	"time"
)

// A keyed request that may have run may be rejected if all endpoints drop duplicates, but not with a smaller dedup
// scope.
func TestRejectionsOfKeyedRequests(t *testing.T) {
	for _, c := range []struct {
		scope     DedupScope
		mayReject bool
	}{{DedupAll, true}, {DedupZone, false}, {DedupCell, false}} {
		cfg := testConfig()
		cfg.Classes[1].DedupScope = c.scope
		r := newRig(t, cfg, ready(1, 0, 0))
		r.sendRequest(1, 1)
		r.now += 1990 * millisecond
		r.endAttempt(1, 0, 1, OutcomeTimeout, 1990*millisecond)
		if rejected, failed := r.finalAnswers(1); (rejected == 1) != c.mayReject || rejected+failed != 1 {
			t.Errorf("scope %d: rejected %d times, failed %d times", c.scope, rejected, failed)
		}
	}
}

func TestEveryRequestIsAnsweredWithoutEndpoints(t *testing.T) {
	r := newRig(t, testConfig())
	for class := range 3 {
		r.sendRequest(RequestID(class), class)
	}
	r.advance(900 * millisecond)
	if rejected := len(r.takeActions("reject")); rejected != 3 {
		t.Errorf("%d of 3 requests rejected within their latency objective, want 3", rejected)
	}
	if len(r.b.requests.byID) != 0 || len(r.b.queue) != 0 {
		t.Errorf("%d requests kept and %d queued, want 0", len(r.b.requests.byID), len(r.b.queue))
	}
}

func TestRetryAfter(t *testing.T) {
	cfg := testConfig()
	cfg.MaxRetryAfter = 200 * millisecond
	r := newRig(t, cfg)
	if got := r.b.retryAfter(); got != 200*millisecond {
		t.Errorf("Retry-After %v, want the maximum of 200 ms", got)
	}
	r.b.cfg.RetryAfter = false
	if got := r.b.retryAfter(); got != 0 {
		t.Errorf("Retry-After %v although the settings allow none", got)
	}
}

// Guards against a request that is held beyond its client's timeout because its connection had waited to be accepted, and
// against shedding it for that wait alone.
func TestAcceptWaitCountsAgainstTheClientTimeoutAlone(t *testing.T) {
	for _, c := range []struct {
		name       string
		acceptWait time.Duration
		after      time.Duration // when a free endpoint appears
		rejected   bool
	}{
		{"time left", 900 * millisecond, 300 * millisecond, false},
		{"over", 1900 * millisecond, 300 * millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, testConfig())
			r.b.RequestArrived(r.now, Request{ID: 1, Class: 0, ClientTimeout: 2000 * millisecond, AcceptWait: c.acceptWait})
			r.b.Dispatch(r.now)
			r.advance(c.after)
			if rejected := len(r.takeActions("reject")) == 1; rejected != c.rejected {
				t.Errorf("rejected %v after %v, want %v", rejected, c.after, c.rejected)
			}
		})
	}
}
