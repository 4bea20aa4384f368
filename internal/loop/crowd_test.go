package loop

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// A line of discovery's that comes behind a crowd of ready sockets, more than epoll tells of at once, is told first in the next
// turn. Between turns there are dispatches: a drain must not go unheard for as many turns as the crowd fills.
func TestALineBehindACrowdIsToldInTheNextTurn(t *testing.T) {
	const crowd, watch = 3*mostReady + 10, Conn(1)
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	l, err := New(NewClock())
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(far.Addr().String())
	var line net.Conn
	up, turns, worst, lines, first := 0, 0, 0, 0, true
	err = l.Run(stepper(func(_ time.Duration, e Event) []Effect {
		switch {
		case e.Kind == Start:
			return []Effect{{Op: Dial, Conn: watch, Addr: at, Urgent: true}}
		case e.Kind == Connected:
			c, err := far.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			if e.Conn == watch {
				line = c
			} else if _, err := c.Write([]byte{1}); err != nil { // its byte is never read: it stays ready
				t.Fatal(err)
			}
			if up++; up <= crowd {
				return []Effect{{Op: Dial, Conn: watch + Conn(up), Addr: at}}
			}
			if _, err := line.Write([]byte{1}); err != nil {
				t.Fatal(err)
			}
			turns = 0
		case e.Kind == Readable && e.Conn == watch:
			if !first {
				t.Error("others were told before the line in its turn")
			}
			return []Effect{{Op: Read, Conn: watch}}
		case e.Kind == Data && e.Conn == watch:
			worst = max(worst, turns)
			if lines++; lines == 50 {
				return []Effect{{Op: Exit}}
			}
			if _, err := line.Write([]byte{1}); err != nil {
				t.Fatal(err)
			}
			turns = 0
		case e.Kind == Readable:
			first = false
		case e.Kind == Turn:
			turns++
			first = true
		}
		return nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	if worst > 1 {
		t.Errorf("a line was told after %d turns, behind %d ready sockets", worst, crowd)
	}
}
