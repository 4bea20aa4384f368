package gateway

import (
	"errors"
	"testing"
	"time"

	"thymebend/internal/discovery"
	"thymebend/internal/loop"
)

// silentFor lets time pass until a watch has ended or was polled beside, and returns how long that took.
func (r *rig) silentFor(watch loop.Conn, most time.Duration) time.Duration {
	r.t.Helper()
	from := r.now
	for r.now < from+most && !r.closed[watch] && r.g.discovery.unanswered == nil {
		r.pass(5 * time.Millisecond)
	}
	return r.now - from
}

// Guards against bytes that are no complete line and put off the moment at which a watch counts as silent.
func TestPartOfALineIsNoHeartbeat(t *testing.T) {
	for name, c := range map[string]struct {
		started bool
		pieces  []string
		most    time.Duration
	}{
		"of a watch that stands": {true, []string{"40\r\n{\"seq\"", ":2,", "\"whole\""},
			discovery.HeartbeatTimeout},
		"of the first answer": {false, []string{"HTTP/1.1 200 OK\r\n",
			"Transfer-Encoding: chunked\r\n\r\n", "40\r\n{\"seq\""}, discovery.AnswerTimeout},
		"of the first answer, a headful": {false,
			[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}, discovery.AnswerTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
			var w loop.Conn
			if c.started {
				w = r.watch()
				r.line(w, object(1, false))
			} else {
				w = r.to(discoveryAddr)
				r.step(loop.Event{Kind: loop.Connected, Conn: w})
			}
			from := r.now
			for _, piece := range c.pieces {
				r.pass(700 * time.Millisecond)
				r.step(loop.Event{Kind: loop.Data, Conn: w, Data: []byte(piece)})
			}
			r.silentFor(w, 10*time.Second)
			if took := r.now - from; took > c.most+20*time.Millisecond {
				t.Errorf("found silent after %v, want %v", took, c.most)
			}
		})
	}
}

// Guards against giving up a watch on which a long list still comes.
func TestLongLineIsWaitedFor(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	w := r.watch()
	r.line(w, object(1, false))
	r.step(loop.Event{Kind: loop.Data, Conn: w, Data: []byte("100000\r\n{\"seq\":2,\"x\":\"")})
	for range 16 { // 1 MiB in 4.8 s
		r.pass(300 * time.Millisecond)
		r.step(loop.Event{Kind: loop.Data, Conn: w, Data: make([]byte, 60<<10)})
	}
	if r.closed[w] {
		t.Error("given up while the line went on coming")
	}
}

// Guards against a poll beside the current watch whose end puts off the moment at which the watch counts as
// silent.
func TestEndedPollIsNoHeartbeat(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	w := r.watch()
	r.line(w, object(1, false))
	from := r.now
	for _, at := range []string{"10.9.0.2:80", discoveryAddr} {
		r.step(loop.Event{Kind: loop.Reload})
		r.step(loop.Event{Kind: loop.File, Data: rigConfig(t, "subscribe",
			object(1, true, entry(1, "up", 0)), at)})
	}
	beside := r.g.discovery.replacement
	if beside == nil || r.closed[w] {
		t.Fatal("no poll beside the current watch")
	}
	r.pass(2 * time.Second)
	if r.g.discovery.replacement == beside {
		r.step(loop.Event{Kind: loop.Broken, Conn: beside.Conn, Err: errors.New("connection refused")})
	}
	for r.now < from+10*time.Second && !r.closed[w] {
		r.pass(5 * time.Millisecond)
	}
	if took := r.now - from; took > discovery.HeartbeatTimeout+20*time.Millisecond {
		t.Errorf("found silent after %v, want %v", took, discovery.HeartbeatTimeout)
	}
}
