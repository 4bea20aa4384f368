package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"thymebend/internal/loop"
)

// The log must allow an operator to follow a request, a rejection or a close by its id, its connection and its
// reason.
func TestTerminationReasonsAreLoggedAndCounted(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	r.g.log = zerolog.New(&r.log).Level(zerolog.DebugLevel)
	r.sendRequest(0, 0)
	r.endTurn()
	endpoint := r.pendingConn(endpointAddr(1))
	r.establish(endpoint)
	r.respond(endpoint, "500 Bad")
	r.endTurn()
	r.step(loop.Event{Kind: loop.Accepted, Conn: r.lastClient + 1, AcceptedBy: loop.Listener})
	r.step(loop.Event{Kind: loop.Data, Conn: r.lastClient + 1, Data: []byte("GET /vi")})
	r.step(loop.Event{Kind: loop.EOF, Conn: r.lastClient + 1})
	for _, want := range []string{`"message":"downstream connection accepted"`,
		`"message":"request begins to come"`,
		`"id":"0000000000000001","class":"view"`, `"attempt":0`, `"end":"faulty"`,
		`"end":"client gone","requests":0,"partly_read":true`} {
		if !strings.Contains(r.log.String(), want) {
			t.Errorf("no %s in the log:\n%s", want, r.log.String())
		}
	}
	stats := r.g.admin.statsReport()
	if stats.Ends["faulty"] != 1 || stats.Ends["client gone"] != 1 {
		t.Errorf("ends %v, want 1 \"faulty\" and 1 \"client gone\"", stats.Ends)
	}
}

// Guards against responses that reach another request without a trace: the log must tell which connection carried an
// attempt and what it carried before, and bytes that belong to no request must be counted, and warned of once a second.
func TestUseOfUpstreamConnectionsIsLoggedAndCounted(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	r.g.log = zerolog.New(&r.log).Level(zerolog.DebugLevel)
	r.sendRequest(0, 0)
	r.endTurn()
	conn := r.pendingConn(endpointAddr(1))
	r.establish(conn)
	r.respond(conn, "200 OK")
	r.endTurn()
	r.now += 7 * time.Millisecond
	r.step(loop.Event{Kind: loop.Data, Conn: conn, Data: []byte("HTTP/1.1 200 OK\r\n")})
	for _, want := range []string{
		`"requests_before":0,"message":"attempt is written"`, `"end":"served"`,
		`"level":"warn","upstream_conn":`, `"requests_before":1,"after":7,"bytes":17,"begin":"HTTP/1.1 200 OK\r\n","count":1`,
	} {
		if !strings.Contains(r.log.String(), want) {
			t.Errorf("no %s in the log:\n%s", want, r.log.String())
		}
	}
	stats := r.g.admin.statsReport()
	if stats.Ends["unsolicited"] != 1 || stats.Upstream.Opened != 1 || stats.Upstream.UnsolicitedMaxMS != 7 {
		t.Errorf("ends %v, upstream %+v: want 1 \"unsolicited\", 1 connection opened, 7 ms", stats.Ends, stats.Upstream)
	}
}

// Rejections by the gateway itself must be counted in /ops/stats.
func TestRejectionsAreCountedByReason(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	r.g.cfg.Settings.Gateway.MaxOpenRequests = 1
	r.sendRequest(0, 0)
	r.sendRequest(0, 0)
	if stats := r.g.admin.statsReport(); stats.Rejections["too many open"] != 1 {
		t.Errorf("rejections %v, want 1 \"too many open\"", stats.Rejections)
	}
}
