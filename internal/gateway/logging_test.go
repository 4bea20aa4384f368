package gateway

import (
	"strings"
	"testing"

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
