package loop

import (
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A line from discovery that arrives behind more ready sockets than epoll reports at once is delivered first in the
// next turn. Between turns there are dispatches: a drain must not wait for as many turns as the other sockets fill.
func TestALineBehindACrowdIsToldInTheNextTurn(t *testing.T) {
	const crowd, watch = 3*maxReady + 10, Conn(1)
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
			} else if _, err := c.Write([]byte{1}); err != nil { // its byte is never read: the socket stays ready
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
				t.Error("events of other sockets came before the line in its turn")
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
		t.Errorf("a line was delivered after %d turns, behind %d ready sockets", worst, crowd)
	}
}

// Data on an urgent connection is delivered whole before the turn ends, even if it is larger than one buffer.
func TestALongListIsToldInOneTurn(t *testing.T) {
	const length = 2*ReadSize + 1000
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	l, err := New(NewClock())
	if err != nil {
		t.Fatal(err)
	}
	came := 0
	err = l.Run(stepper(func(_ time.Duration, e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: netip.MustParseAddrPort(far.Addr().String()), Urgent: true}}
		case Connected:
			c, err := far.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			fd := l.byConn[1].fd
			if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 4*length); err != nil {
				t.Fatal(err)
			}
			go func() { _, _ = c.Write(make([]byte, length)) }() // a short write shows as bytes that never come
			began := l.clock.Now()
			for waits := 0; waits < length; {
				if l.clock.Now()-began > 10*time.Second {
					t.Fatalf("%d of %d bytes fit into the socket", waits, length)
				}
				if waits, err = unix.IoctlGetInt(fd, unix.TIOCINQ); err != nil {
					t.Fatal(err)
				}
				runtime.Gosched()
			}
		case Readable:
			return []Effect{{Op: Read, Conn: e.Conn}}
		case Data:
			came += len(e.Data)
		case Turn:
			if came > 0 {
				return []Effect{{Op: Exit}}
			}
		}
		return nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	if came != length {
		t.Errorf("%d of %d bytes were delivered in the first turn", came, length)
	}
}
