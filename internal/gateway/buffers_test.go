package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"thymebend/internal/buffermemory"
	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

// sendPart sends the head of a bid with a body of the given length and the first part of the body, in reads as the
// gateway requests them, and returns the connection.
func (r *rig) sendPart(length, part int) loop.Conn {
	r.t.Helper()
	r.lastClient++
	r.sentRequests++
	text := fmt.Sprintf("POST /bid HTTP/1.1\r\nHost: h\r\nX-Trace-Id: %016x\r\nX-Qos: bid\r\nX-Expires-In: 2000m\r\n"+
		"Content-Length: %d\r\n\r\n", r.sentRequests, length) + strings.Repeat("x", part)
	r.step(loop.Event{Kind: loop.Accepted, Conn: r.lastClient, AcceptedBy: loop.Listener})
	r.deliver(r.lastClient, []byte(text))
	return r.lastClient
}

// deliver delivers data in reads of the sizes that the gateway requests, until it stops reading. It returns the number of
// bytes delivered.
func (r *rig) deliver(conn loop.Conn, data []byte) (delivered int) {
	for len(data) > 0 {
		limit := 0
		for _, effect := range r.stepEffects(loop.Event{Kind: loop.Readable, Conn: conn}) {
			if effect.Op == loop.Read && effect.Conn == conn {
				limit = int(effect.Bytes)
			}
		}
		if limit == 0 {
			break
		}
		n := min(limit, len(data))
		r.step(loop.Event{Kind: loop.Data, Conn: conn, Data: data[:n]})
		data = data[n:]
		delivered += n
	}
	return delivered
}

// Guards against a budget that incomplete requests exceed: those that get no memory must be told so, and small requests
// must still be read.
func TestIncompleteRequestsAreRejectedOnceMemoryIsUsedUp(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	const clients = 400
	for range clients {
		r.sendPart(60<<10, 59<<10)
	}
	budget := &r.g.buffers
	if most := budget.Limit() + clients*buffermemory.MinAllowance; budget.Peak() > most {
		t.Errorf("%d bytes were used, want %d at most", budget.Peak(), most)
	}
	rejected := 0
	for _, data := range r.written {
		rejected += bytes.Count(data, []byte("HTTP/1.1 503"))
	}
	if rejected == 0 || int(r.g.stats.rejections[rejectedNoMemory]) != rejected {
		t.Errorf("%d clients got a rejection, %d are counted", rejected, r.g.stats.rejections[rejectedNoMemory])
	}
	small := r.sendPart(100, 100)
	if conn := r.g.downstream.conns.ByConn[small]; conn == nil || !conn.Busy || conn.RequestID == 0 {
		t.Error("a small request was not admitted")
	}
}

// Guards against clients that stop half way and keep the memory from those that go on.
func TestStalledClientsGiveUpTheirMemoryFirst(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	for !r.g.buffers.Exhausted() {
		r.sendPart(60<<10, 59<<10)
	}
	r.now += downstream.StalledRequestGrace
	whole := r.sendPart(60<<10, 60<<10)
	if conn := r.g.downstream.conns.ByConn[whole]; conn == nil || !conn.Busy || conn.RequestID == 0 {
		t.Errorf("a whole request was not admitted: %s", r.written[whole])
	}
}

// Guards against memory that stays charged when connections end, whatever they were doing.
func TestEndedConnectionsFreeTheirMemory(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	first := r.lastClient + 1
	for i := range 40 {
		r.sendPart(100<<10, i*2<<10)
		r.endTurn()
	}
	r.advance(100 * time.Millisecond)
	for conn := first; conn <= r.lastClient; conn++ {
		r.step(loop.Event{Kind: loop.EOF, Conn: conn})
	}
	r.advance(10 * time.Second)
	if used := r.g.buffers.Used(); used != 0 {
		t.Errorf("%d bytes are still charged", used)
	}
}

// Guards against buffered responses that exceed the budget, and against holding back a response because memory is short.
func TestResponsesArePassedOnAtOnceWhileMemoryIsShort(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	r.sendRequest(0, 0)
	client := r.lastClient
	r.endTurn()
	conn := r.pendingConn(endpointAddr(1))
	r.establish(conn)
	r.step(loop.Event{Kind: loop.Flushed, Conn: conn})
	for !r.g.buffers.Exhausted() {
		r.sendPart(60<<10, 59<<10)
	}
	const body = 50 << 10
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", body)
	delivered := r.deliver(conn, []byte(head+strings.Repeat("y", 12<<10))) - len(head)
	if !strings.HasPrefix(string(r.written[client]), "HTTP/1.1 200") {
		t.Fatalf("the client got %q, want the begin of the response", r.written[client])
	}
	for remaining := body - delivered; remaining > 0; {
		n := min(remaining, 4<<10)
		r.step(loop.Event{Kind: loop.Flushed, Conn: client})
		r.step(loop.Event{Kind: loop.Data, Conn: conn, Data: []byte(strings.Repeat("y", n))})
		remaining -= n
	}
	r.step(loop.Event{Kind: loop.Flushed, Conn: client})
	if got := strings.Count(string(r.written[client]), "y"); got != body {
		t.Errorf("the client got %d bytes of the body, want %d", got, body)
	}
}
