package balancer

import (
	"testing"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// Verifies that the reference service time does not follow the mix of answered classes. If only light requests were
// shed, endpoints would otherwise seem to get slower.
func TestReferenceServiceTimeIgnoresTheClassMix(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	ep := r.b.endpoints.all[0]
	for i := range r.b.classes.entries {
		r.b.classes.entries[i].serviceMS = stats.Mean{N: 1000, Value: 50 * float64(i+1)}
	}
	r.b.classes.updateReference()
	checkNear(t, "reference", r.b.classes.referenceMS, 100)
	for range 500 { // from now on only the heaviest class is served
		ep.limit.Sample.ServiceSumMS, ep.limit.Sample.Answers = 0, 0
		r.b.recordAnswer(&requestState{Request: Request{Class: 2}}, ep, 150*millisecond)
		r.b.classes.updateReference()
	}
	checkNear(t, "normalised service time", ep.limit.Sample.ServiceSumMS, 100)
}

func TestServiceTimesOfHeavyRequestsAreCapped(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	ep := r.b.endpoints.all[0]
	r.b.classes.entries[0].serviceMS = stats.Mean{N: 1000, Value: 100}
	r.b.classes.referenceMS = 100
	r.b.recordAnswer(&requestState{}, ep, 2700*millisecond)
	if ms := ep.limit.Sample.ServiceSumMS; ms > maxServiceFactor*100*1.01 || ms < maxServiceFactor*90 {
		t.Errorf("a request with 27 times the mean service time counts %v ms, want about %v ms",
			ms, maxServiceFactor*100.0)
	}
}

// The latency objective of a client's retry counts from the first try. Otherwise the gateway would serve
// retries although half of their objective has passed. A retry is recognised by a client timeout that first
// tries do not have.
func TestClientRetriesCountFromTheFirstTry(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.classes.entries[0].serviceMS = stats.Mean{N: concurrency.MinAnswers, Value: 100}
	r.b.updateQueueTimes()
	for id := RequestID(1); id <= 10; id++ {
		r.b.RequestArrived(r.now, Request{ID: id, ClientTimeout: (1990 - time.Duration(id)) * millisecond})
	}
	r.b.RequestArrived(r.now, Request{ID: 20, ClientTimeout: 1500 * millisecond})
	r.b.RequestArrived(r.now, Request{ID: 21, ClientTimeout: 1050 * millisecond})
	r.b.Dispatch(r.now)
	for _, c := range []struct {
		id     RequestID
		queued bool
	}{{10, true}, {20, true}, {21, false}} {
		if rejected, _ := r.finalAnswers(c.id); (rejected == 0) != c.queued {
			t.Errorf("request %d: want queued = %v", c.id, c.queued)
		}
	}
	if q := r.b.requests.byID[20]; q == nil || q.firstTriedAt != r.now-500*millisecond {
		t.Errorf("request 20: want its client's first try 500 ms ago: %+v", q)
	}
}

func TestTimeoutVotesFindTheCommonTimeout(t *testing.T) {
	const deadline = 2 * time.Second
	var v timeoutVotes
	for range 100 {
		if since := v.observe(1900*millisecond, deadline); since != 0 {
			t.Fatalf("a first try counts as first tried %v ago, want 0", since)
		}
	}
	for _, c := range []struct {
		name          string
		timeout, want time.Duration
	}{
		{"common timeout minus network delay", 1850 * millisecond, 0},
		{"retry", 1200 * millisecond, 800 * millisecond},
		{"longer than the deadline", 3 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if since := v.observe(c.timeout, deadline); since != c.want {
				t.Errorf("first try %v ago, want %v", since, c.want)
			}
		})
	}
	for range maxTimeoutVotes + 1 {
		v.observe(1000*millisecond, deadline)
	}
	if since := v.observe(1000*millisecond, deadline); since != 0 || v.common != 1000*millisecond {
		t.Errorf("a changed common timeout is not adopted after %d requests: %+v", maxTimeoutVotes, v)
	}
}

func TestExpectedServiceTimeIsTheMeanOfTheClass(t *testing.T) {
	c := classState{Class: Class{LatencyObjective: time.Second}}
	c.refresh()
	if c.expectedService != 100*millisecond {
		t.Errorf("expected service time %v without answers, want the service share of the objective", c.expectedService)
	}
	for range concurrency.MinAnswers {
		c.recordServiceTime(40 * millisecond)
	}
	if c.refresh(); c.expectedService != 40*millisecond {
		t.Errorf("expected service time %v after answers of 40 ms", c.expectedService)
	}
}
