package balancer

import (
	"testing"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// Guards against shedding of light requests that looks like slower endpoints.
func TestClassReferenceIgnoresMix(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	s := r.b.endpoints.all[0]
	for i := range r.b.classes.entries {
		r.b.classes.entries[i].serviceMS = stats.Mean{N: 1000, Value: 50 * float64(i+1)}
	}
	r.b.classes.updateReference()
	near(t, "reference", r.b.classes.referenceMS, 100)
	for range 500 { // only the heaviest class is served any more
		s.limit.Sample.ServiceSumMS, s.limit.Sample.Answers = 0, 0
		r.b.recordAnswer(&requestState{Request: Request{Class: 2}}, s, 150*millisecond)
		r.b.classes.updateReference()
	}
	near(t, "normalised service time", s.limit.Sample.ServiceSumMS, 100)
}

func TestHeavyRequestsAreClipped(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	s := r.b.endpoints.all[0]
	r.b.classes.entries[0].serviceMS = stats.Mean{N: 1000, Value: 100}
	r.b.classes.referenceMS = 100
	r.b.recordAnswer(&requestState{}, s, 2700*millisecond)
	if ms := s.limit.Sample.ServiceSumMS; ms > maxServiceFactor*100*1.01 || ms < maxServiceFactor*90 {
		t.Errorf("a request of 27 times the work counts %v ms", ms)
	}
}

// Guards against serving client retries whose objective is half spent: they show in a timeout that first
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
		if rejected, _ := r.finals(c.id); (rejected == 0) != c.queued {
			t.Errorf("request %d: queued is not %v", c.id, c.queued)
		}
	}
	if q := r.b.requests.byID[20]; q == nil || q.firstTriedAt != r.now-500*millisecond {
		t.Errorf("request 20 does not count from its client's first try: %+v", q)
	}
}

func TestTimeoutVotesFindTheCommonTimeout(t *testing.T) {
	const deadline = 2 * time.Second
	var v timeoutVotes
	for range 100 {
		if since := v.observe(1900*millisecond, deadline); since != 0 {
			t.Fatalf("a first try began %v ago", since)
		}
	}
	for _, c := range []struct {
		name          string
		timeout, want time.Duration
	}{
		{"the same but for network delay", 1850 * millisecond, 0},
		{"a retry", 1200 * millisecond, 800 * millisecond},
		{"longer than the deadline", 3 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			if since := v.observe(c.timeout, deadline); since != c.want {
				t.Errorf("began %v ago, want %v", since, c.want)
			}
		})
	}
	for range maxTimeoutVotes + 1 {
		v.observe(1000*millisecond, deadline)
	}
	if since := v.observe(1000*millisecond, deadline); since != 0 || v.common != 1000*millisecond {
		t.Errorf("a changed timeout is not seen after %d requests: %+v", maxTimeoutVotes, v)
	}
}

func TestClassExpectsItsMeanServiceTime(t *testing.T) {
	c := classState{Class: Class{LatencyObjective: time.Second}}
	c.refresh()
	if c.expectedService != 100*millisecond {
		t.Errorf("without answers %v is expected, want the service share of the objective", c.expectedService)
	}
	for range concurrency.MinAnswers {
		c.recordServiceTime(40 * millisecond)
	}
	if c.refresh(); c.expectedService != 40*millisecond {
		t.Errorf("%v is expected after answers of 40 ms", c.expectedService)
	}
}
