package thymebend

import (
	"testing"
	"time"
)

// silent implements Actions and remembers only where the last request went.
type silent struct {
	id   RequestID
	to   ServerID
	sent bool
}

func (s *silent) Send(id RequestID, to ServerID, _ time.Duration) { s.id, s.to, s.sent = id, to, true }
func (s *silent) Refuse(RequestID, time.Duration)                 {}
func (s *silent) Fail(RequestID)                                  {}
func (s *silent) Cancel(RequestID, int)                           {}
func (s *silent) Wake(time.Duration, uint32)                      {}
func (s *silent) Close(ServerID)                                  {}
func (s *silent) Watch()                                          {}
func (s *silent) Log(string)                                      {}

// steadyRequest returns a function that plays one request from arrival to answer, with a sample now and then.
func steadyRequest(tb testing.TB) func() {
	out := &silent{}
	now := time.Second
	b, err := New(testConfig(), 1, now, out)
	if err != nil {
		tb.Fatal(err)
	}
	var list []Server
	for id := range ServerID(16) {
		list = append(list, ready(id+1, int(id%2), 0))
	}
	b.List(now, ListFull, list)
	id := RequestID(0)
	return func() {
		id++
		now += time.Millisecond
		out.sent = false
		b.Request(now, Request{ID: id, Class: int(id % 3), Patience: time.Second})
		if b.Dispatch(now); !out.sent {
			tb.Fatal("the request was not sent at once")
		}
		now += 20 * time.Millisecond
		b.AttemptEnd(now, AttemptEnd{Request: out.id, Server: out.to, Outcome: OK, Closed: true,
			Latency: 20 * time.Millisecond})
		if id%5 == 0 {
			b.Timer(now, tokenSample)
		}
		b.Dispatch(now)
	}
}

// One deployment grants a gateway 15 ms of CPU a second: in steady state a request allocates nothing.
func TestSteadyStateAllocatesNothing(t *testing.T) {
	play := steadyRequest(t)
	for range 1000 {
		play()
	}
	if n := testing.AllocsPerRun(2000, play); n > 0 {
		t.Errorf("%v allocations a request, want none", n)
	}
}

func BenchmarkRequest(b *testing.B) {
	play := steadyRequest(b)
	b.ReportAllocs()
	for b.Loop() {
		play()
	}
}
