package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"thymebend/internal/loop"
)

// largeResponse sends a large response to a client that reads nothing, until the gateway stops reading from the
// endpoint. It returns the two connections and the number of bytes that the gateway has not read.
func (r *rig) largeResponse(head string, size int) (client, endpoint loop.Conn, unread int) {
	r.t.Helper()
	r.sendRequest(0, 0)
	r.endTurn()
	client, endpoint = r.lastClient, r.pendingConn(endpointAddr(1))
	r.establish(endpoint)
	r.step(loop.Event{Kind: loop.Flushed, Conn: endpoint})
	data := []byte("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n" + strings.Repeat("x", size))
	for len(data) > 0 && r.readsFrom(endpoint) {
		n := min(len(data), loop.ReadSize)
		r.step(loop.Event{Kind: loop.Data, Conn: endpoint, Data: data[:n]})
		data = data[n:]
	}
	return client, endpoint, len(data)
}

// readsFrom reports whether the gateway reads from a connection that is readable.
func (r *rig) readsFrom(c loop.Conn) bool {
	for _, effect := range r.g.Step(r.now, loop.Event{Kind: loop.Readable, Conn: c}) {
		if effect.Op == loop.Read && effect.Conn == c {
			return true
		}
	}
	return false
}

// readAll makes a client read all that is written to it, and returns the number of body bytes in its answer.
func (r *rig) readAll(client loop.Conn) int {
	r.t.Helper()
	for before := -1; before != len(r.written[client]); {
		before = len(r.written[client])
		r.step(loop.Event{Kind: loop.Flushed, Conn: client})
	}
	_, body, _ := bytes.Cut(r.written[client], []byte("\r\n\r\n"))
	return bytes.Count(body, []byte("x"))
}

// The end of a complete response must not be lost if the endpoint resets the connection soon after it, and a
// truncated response must not be passed to the client as complete.
func TestLargeResponseFollowedByResetOrClose(t *testing.T) {
	const size = 190_598
	reset := loop.Event{Kind: loop.Broken, Err: errors.New("connection reset by peer")}
	closed := loop.Event{Kind: loop.EOF}
	stated := fmt.Sprintf("Content-Length: %d", size)
	for name, c := range map[string]struct {
		head     string
		event    loop.Event
		complete bool
	}{
		"stated length, reset":                   {stated, reset, true},
		"stated length, closed":                  {stated, closed, true},
		"shorter than the stated length, reset":  {fmt.Sprintf("Content-Length: %d", size+1), reset, false},
		"shorter than the stated length, closed": {fmt.Sprintf("Content-Length: %d", size+1), closed, false},
		"no stated length, closed":               {"Connection: close", closed, true},
		"no stated length, reset":                {"Connection: close", reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
			client, endpoint, unread := r.largeResponse(c.head, size)
			if unread > 0 {
				t.Fatalf("%d bytes of the response were not read from the endpoint", unread)
			}
			c.event.Conn = endpoint
			r.step(c.event)
			got := r.readAll(client)
			if complete := got == size && r.g.downstream.conns.ByConn[client] != nil; complete != c.complete {
				t.Errorf("%d of %d bytes, complete %v, want %v", got, size, complete, c.complete)
			}
			if r.g.relays.buffered != 0 || len(r.g.relays.byConn) != 0 {
				t.Errorf("%d bytes still counted as read ahead, %d relays remain", r.g.relays.buffered,
					len(r.g.relays.byConn))
			}
		})
	}
}

// Memory must not grow with clients that do not read: read-ahead is limited for each response and in total.
func TestReadAheadIsBounded(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	for range 30 {
		_, _, unread := r.largeResponse("Content-Length: 4000000", 4_000_000)
		if read := 4_000_000 - unread; read > maxRelayBuffer+3*loop.ReadSize {
			t.Fatalf("%d bytes of one response were read ahead", read)
		}
		if r.g.relays.buffered > maxTotalRelayBuffer+loop.ReadSize {
			t.Fatalf("%d bytes are read ahead in total", r.g.relays.buffered)
		}
	}
}
