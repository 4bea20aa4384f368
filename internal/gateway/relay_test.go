package gateway

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"thymebend/internal/loop"
)

// largeResponse plays a large response whose client reads nothing, until the gateway reads no further. It
// returns the two connections and how many bytes are unread.
func (r *rig) largeResponse(head string, size int) (client, host loop.Conn, unread int) {
	r.t.Helper()
	r.request(0, 0)
	r.turn()
	client, host = r.clients, r.connecting(endpointAddr(1))
	r.connected(host)
	r.step(loop.Event{Kind: loop.Flushed, Conn: host})
	data := []byte("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n" + strings.Repeat("x", size))
	for len(data) > 0 && r.reads(host) {
		n := min(len(data), loop.ReadSize)
		r.step(loop.Event{Kind: loop.Data, Conn: host, Data: data[:n]})
		data = data[n:]
	}
	return client, host, len(data)
}

// reads reports whether the gateway reads a connection that has something.
func (r *rig) reads(c loop.Conn) bool {
	for _, f := range r.g.Step(r.now, loop.Event{Kind: loop.Readable, Conn: c}) {
		if f.Op == loop.Read && f.Conn == c {
			return true
		}
	}
	return false
}

// takes has a client take all that is written to it, and returns the bytes of its answer's body.
func (r *rig) takes(client loop.Conn) int {
	r.t.Helper()
	for before := -1; before != len(r.written[client]); {
		before = len(r.written[client])
		r.step(loop.Event{Kind: loop.Flushed, Conn: client})
	}
	_, body, _ := bytes.Cut(r.written[client], []byte("\r\n\r\n"))
	return bytes.Count(body, []byte("x"))
}

// Guards against losing the end of a complete response whose endpoint resets, and against passing a cut one
// for complete.
func TestResponseWhoseEndpointResetsSoonAfter(t *testing.T) {
	const size = 190_598
	reset := loop.Event{Kind: loop.Broken, Err: errors.New("connection reset by peer")}
	end := loop.Event{Kind: loop.EOF}
	stated := fmt.Sprintf("Content-Length: %d", size)
	for name, c := range map[string]struct {
		head  string
		event loop.Event
		whole bool
	}{
		"of a stated length, reset":       {stated, reset, true},
		"of a stated length, ended":       {stated, end, true},
		"shorter than it states, reset":   {fmt.Sprintf("Content-Length: %d", size+1), reset, false},
		"shorter than it states, ended":   {fmt.Sprintf("Content-Length: %d", size+1), end, false},
		"with no length, ended":           {"Connection: close", end, true},
		"with no length, reset is no end": {"Connection: close", reset, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
			client, host, unread := r.largeResponse(c.head, size)
			if unread > 0 {
				t.Fatalf("%d bytes are left with the endpoint", unread)
			}
			c.event.Conn = host
			r.step(c.event)
			got := r.takes(client)
			if whole := got == size && r.g.downstream.conns.ByConn[client] != nil; whole != c.whole {
				t.Errorf("%d of %d bytes, whole %v, want %v", got, size, whole, c.whole)
			}
			if r.g.relays.buffered != 0 || len(r.g.relays.byConn) != 0 {
				t.Errorf("%d bytes still count as read ahead, %d relays", r.g.relays.buffered,
					len(r.g.relays.byConn))
			}
		})
	}
}

// Guards against memory that grows with clients that do not read: read-ahead is bounded for each response and
// in all.
func TestReadAheadIsBounded(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	for range 30 {
		_, _, unread := r.largeResponse("Content-Length: 4000000", 4_000_000)
		if read := 4_000_000 - unread; read > maxRelayBuffer+3*loop.ReadSize {
			t.Fatalf("%d bytes of one response were read", read)
		}
		if r.g.relays.buffered > maxTotalRelayBuffer+loop.ReadSize {
			t.Fatalf("%d bytes are read ahead", r.g.relays.buffered)
		}
	}
}
