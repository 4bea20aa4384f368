package gateway

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"thymebend/internal/loop"
)

// Guards against an incomplete answer of unknown length that is looked at only once: whenever enough of it has come while
// its attempt lasts, it is passed on; one of which little comes is answered with 502.
func TestIncompleteAnswerIsLookedAtAgain(t *testing.T) {
	type arrival struct{ atMS, bytes int }
	for _, c := range []struct {
		name     string
		arrivals []arrival
		passedOn int // ms after the request; 0: never
	}{
		{"enough at the first look", []arrival{{10, 4 << 10}, {500, 4 << 10}}, 1010},
		{"enough after the first look", []arrival{{10, 4 << 10}, {1300, 2 << 10}, {1400, 4 << 10}}, 1400},
		{"few bytes, and no more", []arrival{{10, minPassOnAtEnd}}, 1900},
		{"few bytes, late", []arrival{{1500, 1}, {1950, minPassOnAtEnd}}, 1950},
		{"too few bytes", []arrival{{10, 500}, {1500, minPassOnAtEnd - 501}}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
			r.sendRequest(10, 10)
			r.endTurn()
			began, client, endpoint := r.now, r.lastClient, r.pendingConn(endpointAddr(1))
			r.establish(endpoint)
			r.step(loop.Event{Kind: loop.Flushed, Conn: endpoint})
			head := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			passedOn := 0
			for at := 5; at <= 2500 && len(r.written[client]) == 0; at += 5 {
				r.advance(began + time.Duration(at)*time.Millisecond - r.now)
				for _, a := range c.arrivals {
					if a.atMS == at {
						piece := fmt.Sprintf("%s%x\r\n%s\r\n", head, a.bytes, strings.Repeat("x", a.bytes))
						r.step(loop.Event{Kind: loop.Data, Conn: endpoint, Data: []byte(piece)})
						head = ""
					}
				}
				if bytes.HasPrefix(r.written[client], []byte("HTTP/1.1 200")) {
					passedOn = at
				}
			}
			if passedOn != c.passedOn {
				t.Errorf("passed on after %d ms, want %d", passedOn, c.passedOn)
			}
			if c.passedOn == 0 && !bytes.HasPrefix(r.written[client], []byte("HTTP/1.1 502")) {
				t.Errorf("answered with %q, want 502", r.written[client])
			}
		})
	}
}
