package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"thymebend/internal/loop"
)

// A request that SIGKILL would interrupt must be rejected, and a request that can be answered before must be
// accepted. SIGKILL is sent no earlier after SIGTERM than the longest deadline, limited to 3 s, plus 0.7 s.
func TestRequestsThatMayOutlastSIGKILLAreRejected(t *testing.T) {
	for _, c := range []struct {
		name                            string
		longestDeadline, timeout, after time.Duration // after: time since SIGTERM
		accepted                        bool
	}{
		{"arrives soon after SIGTERM", 2000 * time.Millisecond, 2000 * time.Millisecond, 300 * time.Millisecond, true},
		{"timeout ends before SIGKILL", 2000 * time.Millisecond, 1700 * time.Millisecond, 800 * time.Millisecond, true},
		{"timeout ends after SIGKILL at 2.7 s", 2000 * time.Millisecond, 2000 * time.Millisecond,
			800 * time.Millisecond, false},
		{"long timeout, arrives soon after SIGTERM", 6000 * time.Millisecond, 6000 * time.Millisecond,
			300 * time.Millisecond, true},
		{"long timeout, ends before SIGKILL", 6000 * time.Millisecond, 2700 * time.Millisecond,
			800 * time.Millisecond, true},
		{"long timeout, ends after SIGKILL at 3.7 s", 6000 * time.Millisecond, 4000 * time.Millisecond,
			800 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
			for i := range r.g.cfg.Settings.Config.Classes {
				r.g.cfg.Settings.Config.Classes[i].Deadline = c.longestDeadline
			}
			client := loop.Conn(1<<63 + 50)
			text := fmt.Sprintf("GET /view HTTP/1.1\r\nHost: h\r\n"+
				"X-Trace-Id: a\r\nX-Qos: view\r\nX-Expires-In: %dm\r\n\r\n", c.timeout.Milliseconds())
			r.step(loop.Event{Kind: loop.Accepted, Conn: client, AcceptedBy: loop.Listener})
			r.step(loop.Event{Kind: loop.Data, Conn: client, Data: []byte(text[:30])})
			r.step(loop.Event{Kind: loop.Stop})
			r.advance(c.after)
			r.step(loop.Event{Kind: loop.Data, Conn: client, Data: []byte(text[30:])})
			rejected := bytes.HasPrefix(r.written[client], []byte("HTTP/1.1 503"))
			if accepted := len(r.g.requests.byID) == 1; accepted != c.accepted || rejected == c.accepted {
				t.Errorf("accepted %v, rejected %v, want accepted %v", accepted, rejected, c.accepted)
			}
		})
	}
}
