package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"thymebend/internal/loop"
)

// Guards against taking a request that SIGKILL would lose, and against rejecting one that still has its
// chance: SIGKILL comes no sooner after SIGTERM than the longest deadline, 3 s at most, and 0.7 s.
func TestRequestsThatCrossSIGKILL(t *testing.T) {
	for _, c := range []struct {
		name                    string
		longest, timeout, after time.Duration // longest deadline, client's timeout, time since SIGTERM
		taken                   bool
	}{
		{"soon after SIGTERM", 2000 * time.Millisecond, 2000 * time.Millisecond, 300 * time.Millisecond, true},
		{"over before SIGKILL", 2000 * time.Millisecond, 1700 * time.Millisecond, 800 * time.Millisecond, true},
		{"SIGKILL after 2.7 s", 2000 * time.Millisecond, 2000 * time.Millisecond, 800 * time.Millisecond, false},
		{"long, soon after", 6000 * time.Millisecond, 6000 * time.Millisecond, 300 * time.Millisecond, true},
		{"long, over before SIGKILL", 6000 * time.Millisecond, 2700 * time.Millisecond,
			800 * time.Millisecond, true},
		{"long, SIGKILL after 3.7 s", 6000 * time.Millisecond, 4000 * time.Millisecond,
			800 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
			for i := range r.g.cfg.Settings.Config.Classes {
				r.g.cfg.Settings.Config.Classes[i].Deadline = c.longest
			}
			client := loop.Conn(1<<63 + 50)
			text := fmt.Sprintf("GET /view HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nX-Qos: view\r\nX-Expires-In: %dm\r\n\r\n",
				c.timeout.Milliseconds())
			r.step(loop.Event{Kind: loop.Accepted, Conn: client, Via: loop.Listener})
			r.step(loop.Event{Kind: loop.Data, Conn: client, Data: []byte(text[:30])})
			r.step(loop.Event{Kind: loop.Stop})
			r.pass(c.after)
			r.step(loop.Event{Kind: loop.Data, Conn: client, Data: []byte(text[30:])})
			rejected := bytes.HasPrefix(r.written[client], []byte("HTTP/1.1 503"))
			if taken := len(r.g.requests.byID) == 1; taken != c.taken || rejected == c.taken {
				t.Errorf("taken %v, rejected %v", taken, rejected)
			}
		})
	}
}
