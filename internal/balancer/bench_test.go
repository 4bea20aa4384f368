package balancer

import (
	"strconv"
	"testing"
	"time"
)

// silent implements Actions and remembers only where the last request went.
type silent struct {
	id   RequestID
	to   EndpointID
	sent bool
}

func (s *silent) StartAttempt(id RequestID, to EndpointID, _ time.Duration) {
	s.id, s.to, s.sent = id, to, true
}
func (s *silent) Reject(RequestID, time.Duration) {}
func (s *silent) Fail(RequestID)                  {}
func (s *silent) CancelAttempt(RequestID, int)    {}
func (s *silent) SetTimer(time.Duration, uint32)  {}
func (s *silent) CloseIdle(EndpointID)            {}
func (s *silent) WatchEndpoints()                 {}
func (s *silent) Log(string)                      {}

// steadyRequest returns a function that plays one request from arrival to answer over so many
// endpoints, with a sample now and then.
func steadyRequest(tb testing.TB, endpoints int) func() {
	out := &silent{}
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
		out.sent = false
		b.RequestArrived(now, Request{ID: id, Class: int(id % 3), ClientTimeout: time.Second})
		if b.Dispatch(now); !out.sent {
			tb.Fatal("the request was not sent at once")
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

// One deployment grants a gateway 15 ms of CPU a second: in steady state a request allocates nothing.
func TestSteadyStateAllocatesNothing(t *testing.T) {
	play := steadyRequest(t, 16)
	for range 1000 {
		play()
	}
	if n := testing.AllocsPerRun(2000, play); n > 0 {
		t.Errorf("%v allocations a request, want none", n)
	}
}

// Nor does it with as many endpoints as lists are sized for.
func TestSteadyStateOfManyEndpointsAllocatesNothing(t *testing.T) {
	for _, endpoints := range []int{1024, 8000} {
		play := steadyRequest(t, endpoints)
		for range 50 {
			play()
		}
		if n := testing.AllocsPerRun(100, play); n > 0 {
			t.Errorf("%d endpoints: %v allocations a request, want none", endpoints, n)
		}
	}
}

// BenchmarkRequestOverEndpoints shows what a decision costs where one gateway uses all endpoints, a
// fifth of a sample included.
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
