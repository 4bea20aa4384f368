package gateway

import (
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"thymebend/internal/loop"
)

// Guards against a request, rejection or close that cannot be followed by its id, its connection and a
// reason.
func TestReasonsAreLoggedAndCounted(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	r.g.log = zerolog.New(&r.log).Level(zerolog.DebugLevel)
	r.request(0, 0)
	r.turn()
	host := r.connecting(endpointAddr(1))
	r.connected(host)
	r.answer(host, "500 Bad")
	r.turn()
	r.step(loop.Event{Kind: loop.Accepted, Conn: r.clients + 1, Via: loop.Listener})
	r.step(loop.Event{Kind: loop.Data, Conn: r.clients + 1, Data: []byte("GET /vi")})
	r.step(loop.Event{Kind: loop.EOF, Conn: r.clients + 1})
	for _, want := range []string{`"message":"downstream connection accepted"`,
		`"message":"request begins to come"`,
		`"id":"0000000000000001","class":"view"`, `"attempt":0`, `"end":"faulty"`,
		`"end":"client gone","requests":0,"partly_read":true`} {
		if !strings.Contains(r.log.String(), want) {
			t.Errorf("no %s in the log:\n%s", want, r.log.String())
		}
	}
	f := r.g.admin.statsReport()
	if f.Ends["faulty"] != 1 || f.Ends["client gone"] != 1 {
		t.Errorf("ends %v", f.Ends)
	}
}

// Guards against a rejection by the gateway itself that is missing in the figures.
func TestRejectionsAreCountedByReason(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	r.g.cfg.Settings.Gateway.MaxOpenRequests = 1
	r.request(0, 0)
	r.request(0, 0)
	if f := r.g.admin.statsReport(); f.Rejections["too many open"] != 1 {
		t.Errorf("rejections %v", f.Rejections)
	}
}
