package balancer

import "testing"

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
