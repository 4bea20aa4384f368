package gateway

import (
	"errors"
	"testing"
	"time"

	"thymebend/internal/discovery"
	"thymebend/internal/loop"
)

// waitUntilSilent advances the time until a watch has ended or is kept as unanswered beside another poll, at
// most by limit, and returns how long that took.
func (r *rig) waitUntilSilent(watch loop.Conn, limit time.Duration) time.Duration {
	r.t.Helper()
	from := r.now
	for r.now < from+limit && !r.closed[watch] && r.g.discovery.unanswered == nil {
		r.advance(5 * time.Millisecond)
	}
	return r.now - from
}

// Bytes that do not complete a line must not postpone the time at which a watch counts as silent.
func TestPartialLineIsNotAHeartbeat(t *testing.T) {
	for name, c := range map[string]struct {
		started    bool
		pieces     []string
		maxSilence time.Duration
	}{
		"of an answered watch": {true, []string{"40\r\n{\"seq\"", ":2,", "\"whole\""},
			discovery.HeartbeatTimeout},
		"of the first answer": {false, []string{"HTTP/1.1 200 OK\r\n",
			"Transfer-Encoding: chunked\r\n\r\n", "40\r\n{\"seq\""}, discovery.AnswerTimeout},
		"of the first answer, its whole head": {false,
			[]string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"}, discovery.AnswerTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
			var w loop.Conn
			if c.started {
				w = r.connectWatch()
				r.sendLine(w, listLine(1, false))
			} else {
				w = r.lastDialled(discoveryAddr)
				r.step(loop.Event{Kind: loop.Connected, Conn: w})
			}
			from := r.now
			for _, piece := range c.pieces {
				r.advance(700 * time.Millisecond)
				r.step(loop.Event{Kind: loop.Data, Conn: w, Data: []byte(piece)})
			}
			r.waitUntilSilent(w, 10*time.Second)
			if took := r.now - from; took > c.maxSilence+20*time.Millisecond {
				t.Errorf("watch found silent after %v, want %v", took, c.maxSilence)
			}
		})
	}
}

// A watch must not be closed while a long list is still being received on it.
func TestWatchStaysOpenWhileLongLineArrives(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	w := r.connectWatch()
	r.sendLine(w, listLine(1, false))
	r.step(loop.Event{Kind: loop.Data, Conn: w, Data: []byte("100000\r\n{\"seq\":2,\"x\":\"")})
	for range 16 { // 1 MiB in 4.8 s
		r.advance(300 * time.Millisecond)
		r.step(loop.Event{Kind: loop.Data, Conn: w, Data: make([]byte, 60<<10)})
	}
	if r.closed[w] {
		t.Error("the watch was closed while a line was still being received")
	}
}

// The end of a poll beside the current watch must not postpone the time at which that watch counts as silent.
func TestEndedPollDoesNotDelayWatchTimeout(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	w := r.connectWatch()
	r.sendLine(w, listLine(1, false))
	from := r.now
	for _, at := range []string{"10.9.0.2:80", discoveryAddr} {
		r.step(loop.Event{Kind: loop.Reload})
		r.step(loop.Event{Kind: loop.FileRead, Data: rigConfig(t, "subscribe",
			listLine(1, true, listEntry(1, "up", 0)), at)})
	}
	poll := r.g.discovery.replacement
	if poll == nil || r.closed[w] {
		t.Fatal("no second poll beside the current watch, or the watch is closed")
	}
	r.advance(2 * time.Second)
	if r.g.discovery.replacement == poll {
		r.step(loop.Event{Kind: loop.Broken, Conn: poll.Conn, Err: errors.New("connection refused")})
	}
	for r.now < from+10*time.Second && !r.closed[w] {
		r.advance(5 * time.Millisecond)
	}
	if took := r.now - from; took > discovery.HeartbeatTimeout+20*time.Millisecond {
		t.Errorf("watch found silent after %v, want %v", took, discovery.HeartbeatTimeout)
	}
}
