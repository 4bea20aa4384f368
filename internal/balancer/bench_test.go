package balancer

import (
	"strconv"
	"testing"
	"time"
)

// lastStartRecorder implements Actions and records only the last started attempt.
type lastStartRecorder struct {
	id      RequestID
	to      EndpointID
	started bool
}

func (s *lastStartRecorder) StartAttempt(id RequestID, to EndpointID, _ time.Duration) {
	s.id, s.to, s.started = id, to, true
}
func (s *lastStartRecorder) Reject(RequestID, time.Duration) {}
func (s *lastStartRecorder) Fail(RequestID)                  {}
func (s *lastStartRecorder) CancelAttempt(RequestID, int)    {}
func (s *lastStartRecorder) SetTimer(time.Duration, uint32)  {}
func (s *lastStartRecorder) CloseIdle(EndpointID)            {}
func (s *lastStartRecorder) WatchEndpoints()                 {}
func (s *lastStartRecorder) Log(string)                      {}

// steadyRequest returns a function that plays one request from arrival to answer with the given number of
// endpoints. After every fifth request it ends a sampling period.
func steadyRequest(tb testing.TB, endpoints int) func() {
	out := &lastStartRecorder{}
	now := time.Second
	b, err := New(testConfig(), 1, now, out)
	if err != nil {
		tb.Fatal(err)
	}
	var list []Endpoint
	for id := range EndpointID(endpoints) {
		list = append(list, ready(id+1, int(id%2), 0))
	}
	b.UpdateEndpoints(now, Snapshot, list)
	id := RequestID(0)
	return func() {
		id++
		now += time.Millisecond
		out.started = false
		b.RequestArrived(now, Request{ID: id, Class: int(id % 3), ClientTimeout: time.Second})
		if b.Dispatch(now); !out.started {
			tb.Fatal("the request was not dispatched at once")
		}
		now += 20 * time.Millisecond
		b.AttemptEnded(now, AttemptEnd{Request: out.id, Endpoint: out.to, Outcome: OutcomeOK, RequestDone: true,
			Latency: 20 * time.Millisecond})
		if id%5 == 0 {
			b.TimerFired(now, sampleTimer)
		}
		b.Dispatch(now)
	}
}

// In steady state a request allocates no memory: one deployment grants a gateway only 15 ms of CPU per second.
func TestSteadyStateAllocatesNothing(t *testing.T) {
	play := steadyRequest(t, 16)
	for range 1000 {
		play()
	}
	if n := testing.AllocsPerRun(2000, play); n > 0 {
		t.Errorf("%v allocations per request, want none", n)
	}
}

// A request allocates no memory in steady state with 1024 and 8000 endpoints either, the size that lists are made for.
func TestSteadyStateOfManyEndpointsAllocatesNothing(t *testing.T) {
	for _, endpoints := range []int{1024, 8000} {
		play := steadyRequest(t, endpoints)
		for range 50 {
			play()
		}
		if n := testing.AllocsPerRun(100, play); n > 0 {
			t.Errorf("%d endpoints: %v allocations per request, want none", endpoints, n)
		}
	}
}

// BenchmarkRequestOverEndpoints measures the cost of one request if one gateway uses all endpoints. A fifth of the
// cost of a sampling period is included.
func BenchmarkRequestOverEndpoints(b *testing.B) {
	for _, endpoints := range []int{10, 100, 1000, 7700} {
		b.Run(strconv.Itoa(endpoints), func(b *testing.B) {
			play := steadyRequest(b, endpoints)
			b.ReportAllocs()
			for b.Loop() {
				play()
			}
		})
	}
}

func BenchmarkRequest(b *testing.B) {
	play := steadyRequest(b, 16)
	b.ReportAllocs()
	for b.Loop() {
		play()
	}
}
