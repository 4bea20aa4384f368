package gateway

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// waitingForQuiet returns a rig in which a request waits for the quiet time of the only connection to the only endpoint.
func waitingForQuiet(t *testing.T) (r *rig, conn loop.Conn) {
	t.Helper()
	r = newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	r.sendRequest(0, 0)
	r.endTurn()
	conn = r.pendingConn(endpointAddr(1))
	r.establish(conn)
	r.respond(conn, "200 OK")
	r.endTurn()
	r.sendRequest(0, 0)
	r.endTurn()
	if n := r.requestsWritten(endpointAddr(1)); n != 1 {
		t.Fatalf("%d requests written, want 1: the second has to wait", n)
	}
	if phase := r.g.attempts.pool.Find(conn).Phase; phase != upstream.Quiet {
		t.Fatalf("the connection is in phase %d, want Quiet", phase)
	}
	return r, conn
}

// Guards against a request that waits for a quiet connection for ever, or is not counted from the write.
func TestRequestIsWrittenAfterTheQuietTime(t *testing.T) {
	r, conn := waitingForQuiet(t)
	r.advance(upstream.MinQuietTime)
	if n := bytes.Count(r.written[conn], []byte(" HTTP/1.1\r\n")); n != 2 {
		t.Fatalf("%d requests on the connection, want 2", n)
	}
	r.respond(conn, "200 OK")
	if got := r.written[r.lastClient]; !bytes.HasPrefix(got, []byte("HTTP/1.1 200")) {
		t.Errorf("the client received %q", got)
	}
	if up := r.g.stats.upstream; up.waited != 1 || up.reused != 1 || up.opened != 1 {
		t.Errorf("upstream counts %+v, want 1 waited, 1 reused, 1 opened", up)
	}
}

// Guards against writing on a connection that turns out to be unusable while an attempt waits for it.
func TestUnusableQuietConnectionIsReplaced(t *testing.T) {
	for name, e := range map[string]loop.Event{
		"bytes": {Kind: loop.Data, Data: []byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")},
		"end":   {Kind: loop.EOF},
		"reset": {Kind: loop.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			r, conn := waitingForQuiet(t)
			e.Conn = conn
			r.step(e)
			if !r.closed[conn] {
				t.Error("the connection stays open")
			}
			replacement := r.pendingConn(endpointAddr(1))
			r.establish(replacement)
			r.advance(upstream.MinQuietTime)
			if n := bytes.Count(r.written[replacement], []byte(" HTTP/1.1\r\n")); n != 1 {
				t.Errorf("%d requests on the new connection, want 1", n)
			}
			if got := r.written[r.lastClient]; len(got) > 0 {
				t.Errorf("the client received %q before its request was answered", got)
			}
			distrusted := name == "bytes"
			if got := r.g.stats.ends[ReasonUnsolicitedData] == 1; got != distrusted {
				t.Errorf("unsolicited bytes counted: %v, want %v", got, distrusted)
			}
		})
	}
}

// Guards against a request on a new connection that has already received bytes, which would be taken for its response, and
// against opening connections without end to an endpoint that sends them.
func TestNewConnectionWithBytesGetsNoRequest(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	var written []loop.Op
	r.sendRequest(0, 0)
	r.endTurn()
	conn := r.pendingConn(endpointAddr(1))
	for _, effect := range r.g.Step(r.now, loop.Event{Kind: loop.Connected, Conn: conn}) {
		if effect.Conn == conn && len(effect.Data) > 0 {
			written = append(written, effect.Op)
		}
	}
	if !slices.Equal(written, []loop.Op{loop.WriteIfIdle}) {
		t.Errorf("the request is written by %v, want WriteIfIdle", written)
	}
	r.step(loop.Event{Kind: loop.Stale, Conn: conn})
	if !r.closed[conn] || r.g.stats.ends[ReasonConnectFailed] != 1 {
		t.Errorf("connection closed: %v, ends %v; want true, 1 of ReasonConnectFailed", r.closed[conn], r.g.stats.ends)
	}
	if r.g.stats.upstream.opened != 1 {
		t.Errorf("%d connections opened in the same step, want 1", r.g.stats.upstream.opened)
	}
}

// Guards against writing a request that must not start any more when the quiet time ends, and against closing the
// connection for it.
func TestRequestThatEndsInTheQuietTimeIsNotWritten(t *testing.T) {
	r, conn := waitingForQuiet(t)
	r.step(loop.Event{Kind: loop.EOF, Conn: r.lastClient})
	r.advance(2 * upstream.MinQuietTime)
	if n := r.requestsWritten(endpointAddr(1)); n != 1 || r.closed[conn] {
		t.Errorf("after the client left: %d requests written, want 1; connection closed: %v", n, r.closed[conn])
	}
	if phase := r.g.attempts.pool.Find(conn).Phase; phase != upstream.Idle {
		t.Errorf("the connection is in phase %d, want Idle", phase)
	}
}

// Guards against sending to an endpoint that leaves while an attempt waits for a quiet connection to it.
func TestEndpointThatLeavesInTheQuietTimeGetsNothing(t *testing.T) {
	r, conn := waitingForQuiet(t)
	w := r.connectWatch()
	r.sendLine(w, listLine(2, false, listEntry(1, "draining", 0)))
	r.advance(2 * upstream.MinQuietTime)
	if n := r.requestsWritten(endpointAddr(1)); n != 1 || !r.closed[conn] {
		t.Errorf("%d requests written, want 1; connection closed: %v, want true", n, r.closed[conn])
	}
}

// Guards against a request with less time left than the quiet time: it must be answered, and never sent late.
func TestRequestThatExpiresInTheQuietTimeIsAnswered(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	r.sendRequest(0, 0)
	r.endTurn()
	conn := r.pendingConn(endpointAddr(1))
	r.establish(conn)
	r.respond(conn, "200 OK")
	r.endTurn()
	r.lastClient++
	r.step(loop.Event{Kind: loop.Accepted, Conn: r.lastClient, AcceptedBy: loop.Listener})
	r.step(loop.Event{Kind: loop.Data, Conn: r.lastClient, Data: []byte("GET /view HTTP/1.1\r\nHost: h\r\n" +
		"X-Trace-Id: short\r\nX-Qos: view\r\nX-Expires-In: 10m\r\n\r\n")})
	r.endTurn()
	r.advance(2 * time.Second)
	if n := r.requestsWritten(endpointAddr(1)); n != 1 {
		t.Errorf("%d requests written, want 1", n)
	}
	if got := r.written[r.lastClient]; !bytes.HasPrefix(got, []byte("HTTP/1.1 50")) {
		t.Errorf("the client received %q, want an error", got)
	}
}

// Guards against attempts that wait for the one connection to a busy endpoint again and again, and against a spare
// connection that is used before it is established, is kept to an endpoint that leaves, or stays half open for ever.
func TestSpareConnectionForABusyEndpoint(t *testing.T) {
	busy := func(t *testing.T) (r *rig, conn, spare loop.Conn) {
		r, conn = waitingForQuiet(t)
		for range 3 { // requests that are queued behind the one that waits
			r.sendRequest(0, 0)
		}
		r.endTurn()
		for range 5 {
			r.advance(upstream.MinQuietTime)
			r.respond(conn, "200 OK")
			r.sendRequest(0, 0)
			r.endTurn()
		}
		spare = r.lastDialled(endpointAddr(1))
		if spare == conn {
			t.Fatal("no spare connection was opened")
		}
		if n := bytes.Count(r.written[spare], []byte(" HTTP/1.1\r\n")); n != 0 {
			t.Fatalf("%d requests on a connection that is not established", n)
		}
		return r, conn, spare
	}
	t.Run("serves a later request", func(t *testing.T) {
		r, conn, spare := busy(t)
		r.establish(spare)
		r.advance(upstream.MinQuietTime)
		r.respond(conn, "200 OK")
		r.sendRequest(0, 0)
		r.endTurn()
		if n := bytes.Count(r.written[spare], []byte(" HTTP/1.1\r\n")); n != 1 {
			t.Errorf("%d requests on the spare connection, want 1 at once", n)
		}
	})
	t.Run("not established in time", func(t *testing.T) {
		r, _, spare := busy(t)
		r.advance(time.Second)
		if !r.closed[spare] {
			t.Error("the connection stays half open")
		}
	})
	t.Run("fails", func(t *testing.T) {
		r, _, spare := busy(t)
		r.step(loop.Event{Kind: loop.Broken, Conn: spare})
		if r.g.attempts.pool.Find(spare) != nil || r.g.stats.ends[ReasonConnectFailed] != 0 {
			t.Error("the connection is kept, or counted as a failed attempt")
		}
	})
	t.Run("the endpoint leaves", func(t *testing.T) {
		r, _, spare := busy(t)
		w := r.connectWatch()
		r.sendLine(w, listLine(2, false, listEntry(1, "draining", 0)))
		if !r.closed[spare] {
			t.Error("the connection stays open")
		}
	})
}
