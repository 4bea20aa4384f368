package gateway

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"thymebend/internal/http1"
	"thymebend/internal/loop"
)

// sentFarAhead sends a bid with more behind it than is read ahead, and returns the client and the connection that is dialled
// for the bid.
func (r *rig) sentFarAhead(version string) (client, endpoint loop.Conn) {
	r.t.Helper()
	client = r.lastClient + 1
	r.lastClient = client
	bid := "POST /bid HTTP/" + version + "\r\nHost: h\r\nX-Trace-Id: first\r\nX-Qos: bid\r\nX-Expires-In: 2000m\r\nContent-Length: 1\r\n\r\nx"
	ahead := "POST /bid HTTP/1.1\r\nHost: h\r\nX-Trace-Id: ahead\r\nX-Qos: bid\r\nX-Expires-In: 2000m\r\nContent-Length: 65536\r\n\r\n"
	r.step(loop.Event{Kind: loop.Accepted, Conn: client, AcceptedBy: loop.Listener})
	data := []byte(bid + ahead + strings.Repeat("y", http1.MaxBufferedBody) + ahead + strings.Repeat("y", http1.MaxBufferedBody))
	for len(data) > 0 {
		n := min(len(data), loop.ReadSize)
		r.step(loop.Event{Kind: loop.Data, Conn: client, Data: data[:n]})
		data = data[n:]
	}
	r.endTurn()
	return client, r.pendingConn(endpointAddr(1))
}

// Guards against an attempt for a client that has left, whose close waits in its own kernel behind bytes that are not read:
// the attempt waits until the client's machine had the time to answer a byte of the response with a reset. With room in the
// receive buffer the close would have been seen, and nothing is sent or waited for.
func TestAttemptWaitsForClientWithHiddenEnd(t *testing.T) {
	for _, c := range []struct {
		name    string
		version string
		full    bool
		resets  bool
		early   string        // what the client gets before the attempt is written
		after   time.Duration // when the attempt is written; 0: never
	}{
		{"present", "1.1", true, false, "H", presenceTimeout},
		{"left", "1.1", true, true, "H", 0},
		{"room in the receive buffer", "1.1", false, false, "", time.Nanosecond},
		{"HTTP/1.0", "1.0", true, false, "H", presenceTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
			r.queues = func(loop.Conn) loop.QueueSizes {
				return loop.QueueSizes{Unread: 60_000, ReceiveFull: c.full}
			}
			client, endpoint := r.sentFarAhead(c.version)
			r.establish(endpoint)
			if got := string(r.written[client]); got != c.early {
				t.Errorf("the client got %q, want %q", got, c.early)
			}
			if atOnce := len(r.written[endpoint]) > 0; atOnce != (c.after == time.Nanosecond) {
				t.Errorf("written at once: %v", atOnce)
			}
			if c.resets {
				r.step(loop.Event{Kind: loop.Broken, Conn: client, Err: errors.New("connection reset by peer")})
			}
			r.advance(presenceTimeout + 5*time.Millisecond)
			if written := bytes.Contains(r.written[endpoint], []byte("first")); written != (c.after > 0) {
				t.Errorf("the endpoint got %q, want the bid: %v", r.written[endpoint], c.after > 0)
			}
			if c.after == 0 {
				return
			}
			r.respond(endpoint, "200 OK")
			if got := string(r.written[client]); !strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") {
				t.Errorf("the client got %q, want a whole response", got)
			}
		})
	}
}
