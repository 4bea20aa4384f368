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
		r.b.classes.entries[i].service = stats.Mean{N: 1000, Value: 50 * float64(i+1)}
	}
	r.b.classes.learnReference()
	near(t, "reference", r.b.classes.referenceMS, 100)
	for range 500 { // only the heaviest class is served any more
		s.limit.Sample.ServiceSumMS, s.limit.Sample.Answers = 0, 0
		r.b.recordAnswer(&requestState{Request: Request{Class: 2}}, s, 150*millisecond)
		r.b.classes.learnReference()
	}
	near(t, "normalised service time", s.limit.Sample.ServiceSumMS, 100)
}

func TestHeavyRequestsAreClipped(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	s := r.b.endpoints.all[0]
	r.b.classes.entries[0].service = stats.Mean{N: 1000, Value: 100}
	r.b.classes.referenceMS = 100
	r.b.recordAnswer(&requestState{}, s, 2700*millisecond)
	if s.limit.Sample.ServiceSumMS > maxServiceFactor*100*1.01 || s.limit.Sample.ServiceSumMS < maxServiceFactor*90 {
		t.Errorf("a request of 27 times the work counts %v ms", s.limit.Sample.ServiceSumMS)
	}
}

// Guards against serving client retries whose objective is half spent: they show in a timeout that first
// tries do not have.
func TestClientRetriesCountFromTheFirstTry(t *testing.T) {
	r := newRig(t, testConfig(), ready(1, 0, 0))
	r.b.classes.entries[0].service = stats.Mean{N: concurrency.MinAnswers, Value: 100}
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
	if q := r.b.requests.byID[20]; q == nil || q.begun != r.now-500*millisecond {
		t.Errorf("request 20 does not count from its client's first try: %+v", q)
	}
}
