package gateway

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"thymebend/internal/loop"
)

// SIGKILL comes no sooner after SIGTERM than the longest deadline, 3 s at most, and 0.7 s. What comes more than 0.7 s after
// SIGTERM and might be in work then is refused at once; what comes before is the client's chance.
func TestRequestsThatCrossSIGKILL(t *testing.T) {
	for _, c := range []struct {
		longest, patience, after time.Duration
		taken                    bool
	}{
		{2000 * time.Millisecond, 2000 * time.Millisecond, 300 * time.Millisecond, true},
		{2000 * time.Millisecond, 1700 * time.Millisecond, 800 * time.Millisecond, true},
		{2000 * time.Millisecond, 2000 * time.Millisecond, 800 * time.Millisecond, false}, // SIGKILL may come after 2.7 s
		{6000 * time.Millisecond, 6000 * time.Millisecond, 300 * time.Millisecond, true},
		{6000 * time.Millisecond, 2700 * time.Millisecond, 800 * time.Millisecond, true},
		{6000 * time.Millisecond, 4000 * time.Millisecond, 800 * time.Millisecond, false}, // after 3.7 s, however long deadlines are
	} {
		r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
		for i := range r.g.cfg.Settings.Config.Classes {
			r.g.cfg.Settings.Config.Classes[i].Deadline = c.longest
		}
		client := loop.Conn(1<<63 + 50)
		text := fmt.Sprintf("GET /view HTTP/1.1\r\nHost: h\r\nX-Trace-Id: a\r\nX-Qos: view\r\nX-Expires-In: %dm\r\n\r\n", c.patience.Milliseconds())
		r.step(loop.Event{Kind: loop.Accepted, Conn: client, Via: loop.Listener})
		r.step(loop.Event{Kind: loop.Data, Conn: client, Data: []byte(text[:30])})
		r.step(loop.Event{Kind: loop.Stop})
		r.pass(c.after)
		r.step(loop.Event{Kind: loop.Data, Conn: client, Data: []byte(text[30:])})
		refused := bytes.HasPrefix(r.written[client], []byte("HTTP/1.1 503"))
		if taken := len(r.g.requests.byID) == 1; taken != c.taken || refused == c.taken {
			t.Errorf("longest deadline %v, patience %v, %v after SIGTERM: taken %v, refused %v", c.longest, c.patience, c.after, taken, refused)
		}
	}
}
