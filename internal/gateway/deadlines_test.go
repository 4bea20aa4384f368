package gateway

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// halfRequest is what a client sends before it stops.
const halfRequest = "GET /view HTTP/1.1\r\nHost: h\r\nX-Tra"

// heardWithin lets time pass until a client has an error or a close, and reports how long that took.
func (r *rig) heardWithin(c loop.Conn, most time.Duration) (time.Duration, bool) {
	r.t.Helper()
	for from := r.now; r.now < from+most; r.pass(10 * time.Millisecond) {
		if bytes.HasPrefix(r.written[c], []byte("HTTP/1.1 4")) || r.closed[c] {
			return r.now - from, true
		}
	}
	return most, false
}

// Guards against half a request that comes with the final read of a new connection, whose timer will not come
// again.
func TestHalfRequestAtTheFinalRead(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	c := loop.Conn(1<<63 + 50)
	r.step(loop.Event{Kind: loop.Accepted, Conn: c, Via: loop.Listener})
	key := loop.Timer{Kind: timerDownstream, ID: uint64(c)}
	r.now = r.timers[key]
	delete(r.timers, key)
	r.step(loop.Event{Kind: loop.TimerDue, Timer: key}) // the final read begins
	r.step(loop.Event{Kind: loop.Data, Conn: c, Data: []byte(halfRequest)})
	if took, heard := r.heardWithin(c, 2*downstream.ErrorDeadline); !heard || took > downstream.ErrorDeadline {
		t.Errorf("an error or a close after %v (%v)", took, heard)
	}
}

// Guards against the close of the listener starting a client's time anew.
func TestShutdownGivesHalfRequestsNoMoreTime(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	c := loop.Conn(1<<63 + 50)
	r.step(loop.Event{Kind: loop.Accepted, Conn: c, Via: loop.Listener})
	r.step(loop.Event{Kind: loop.Data, Conn: c, Data: []byte(halfRequest)})
	r.pass(1900 * time.Millisecond)
	r.step(loop.Event{Kind: loop.Stop}) // the listener closes 0.55 s later, 50 ms before the client's time is over
	if took, heard := r.heardWithin(c, 2*downstream.ErrorDeadline); !heard ||
		took > downstream.ErrorDeadline-1900*time.Millisecond {
		t.Errorf("an error or a close %v after the stop (%v)", took, heard)
	}
}

// Guards against half a request that keeps the process from exiting before SIGKILL.
func TestHalfRequestsAreAnsweredBeforeSIGKILL(t *testing.T) {
	const body = "POST /bid HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nX-Qos: bid\r\nX-Expires-In: 700m\r\n" +
		"Content-Length: 100000\r\n\r\n"
	for _, c := range []struct {
		name, text string
		handedOver bool
	}{
		{name: "a head", text: halfRequest},
		{name: "a head, with a successor", text: halfRequest, handedOver: true},
		{name: "a streamed body", text: body + strings.Repeat("x", 70_000)},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
			for i := range r.g.cfg.Settings.Config.Classes {
				r.g.cfg.Settings.Config.Classes[i].Deadline = 900 * time.Millisecond
			}
			client := loop.Conn(1<<63 + 50)
			r.step(loop.Event{Kind: loop.Accepted, Conn: client, Via: loop.Listener})
			r.step(loop.Event{Kind: loop.Data, Conn: client, Data: []byte(c.text)})
			if c.handedOver {
				r.g.restart.successor, r.g.restart.handover = &hotrestart.Conn{ID: 1<<63 + 90}, successorServes
			}
			r.step(loop.Event{Kind: loop.Stop})
			const kill = 1600 * time.Millisecond // the longest deadline and 0.7 s
			took, heard := r.answeredWithin(client, 2*downstream.ErrorDeadline)
			if !heard || took > kill-50*time.Millisecond {
				t.Errorf("an answer %v after SIGTERM (%v), SIGKILL may come after %v", took, heard, kill)
			}
		})
	}
}

// Guards against a client's time that starts when its request is read behind another.
func TestClientTimeoutRunsFromTheLastByte(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	c := loop.Conn(1<<63 + 50)
	ask := func(id string) []byte {
		return []byte("GET /view HTTP/1.1\r\nHost: h\r\nX-Trace-Id: " + id + "\r\nX-Qos: view\r\nX-Expires-In: 2000m\r\n\r\n")
	}
	r.step(loop.Event{Kind: loop.Accepted, Conn: c, Via: loop.Listener})
	r.step(loop.Event{Kind: loop.Data, Conn: c, Data: append(ask("a"), ask("b")...)})
	r.turn()
	host := r.connecting(endpointAddr(1))
	r.connected(host)
	r.pass(300 * time.Millisecond)
	r.answer(host, "200 OK")
	r.step(loop.Event{Kind: loop.Flushed, Conn: c})
	r.turn()
	if !bytes.Contains(r.written[host], []byte("X-Expires-In: 1700m")) {
		t.Errorf("the second request says %q to its endpoint; its client got %q", r.written[host], r.written[c])
	}
}

// Guards against a large request whose time starts when it reaches an endpoint.
func TestClientTimeoutRunsWhileALargeRequestWaits(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true))
	r.request(100_000, 70_000)
	c := r.clients
	r.step(loop.Event{Kind: loop.Readable, Conn: c}) // more of it lies there, and is not read
	w := r.watch()
	r.pass(600 * time.Millisecond)
	r.line(w, object(2, false, entry(1, "up", 0)))
	r.pass(50 * time.Millisecond)
	host := r.connecting(endpointAddr(1))
	r.connected(host)
	r.step(loop.Event{Kind: loop.Flushed, Conn: host})
	r.step(loop.Event{Kind: loop.Data, Conn: c, Data: make([]byte, 30_000)})
	r.step(loop.Event{Kind: loop.Flushed, Conn: host})
	r.step(loop.Event{Kind: loop.Flushed, Conn: host})
	if took, answered := r.answeredWithin(c, 3*time.Second); !answered || took > 1400*time.Millisecond {
		t.Errorf("answered %v after its last byte reached the host (%v), 1.35 s of 2 s are left", took, answered)
	}
}

// answeredWithin lets time pass until a client has an answer, and reports how long that took.
func (r *rig) answeredWithin(c loop.Conn, most time.Duration) (time.Duration, bool) {
	r.t.Helper()
	for from := r.now; r.now < from+most; r.pass(10 * time.Millisecond) {
		if bytes.Contains(r.written[c], []byte("HTTP/1.1 ")) {
			return r.now - from, true
		}
	}
	return most, false
}

// Guards against ejecting an endpoint for what this machine has run out of.
func TestLocalFailureIsNotTheEndpoints(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	r.watch()
	for range 12 {
		r.request(0, 0)
		r.turn()
		if c := r.to(endpointAddr(1)); c != 0 && len(r.written[c]) == 0 {
			r.step(loop.Event{Kind: loop.Broken, Conn: c, Err: errors.New("cannot assign requested address"),
				Local: true})
			r.closed[c] = true
			r.turn()
		}
		r.pass(20 * time.Millisecond)
	}
	if f := r.g.admin.statsReport(); f.Ends["local"] == 0 || f.Unavailable != 0 {
		t.Errorf("ends %v, %d endpoints out of rotation", f.Ends, f.Unavailable)
	}
}

// Guards against an attempt on a connection that comes up in the round in which its client's time ends.
func TestNothingIsWrittenAfterTheClientTimeout(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	r.request(0, 0)
	r.turn()
	host := r.connecting(endpointAddr(1))
	r.now += 2100 * time.Millisecond // of 2 s; sockets are told before timers
	r.connected(host)
	if len(r.written[host]) > 0 || len(r.g.Violations()) > 0 {
		t.Errorf("written %q, violations %v", r.written[host], r.g.Violations())
	}
}
