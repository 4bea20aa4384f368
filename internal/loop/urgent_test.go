package loop

import (
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Data of an urgent socket is delivered in the next turn, before that of other sockets, even if more sockets are ready
// than epoll reports at once. Requests are dispatched at the end of each turn, so a drain that discovery announces must
// not wait until the other sockets have been served.
func TestUrgentDataIsDeliveredNextTurnBehindManyReadySockets(t *testing.T) {
	const otherSockets, urgentConn = 3*maxReadyEvents + 10, Conn(1)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l, err := New(NewClock())
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(peer.Addr().String())
	var urgentPeer net.Conn
	connected, turns, maxTurns, deliveries, noOtherEvent := 0, 0, 0, 0, true
	err = l.Run(stepper(func(_ time.Duration, e Event) []Effect {
		switch {
		case e.Kind == Start:
			return []Effect{{Op: Dial, Conn: urgentConn, Addr: addr, Urgent: true}}
		case e.Kind == Connected:
			c, err := peer.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			if e.Conn == urgentConn {
				urgentPeer = c
			} else if _, err := c.Write([]byte{1}); err != nil { // never read: the socket remains ready
				t.Fatal(err)
			}
			if connected++; connected <= otherSockets {
				return []Effect{{Op: Dial, Conn: urgentConn + Conn(connected), Addr: addr}}
			}
			if _, err := urgentPeer.Write([]byte{1}); err != nil {
				t.Fatal(err)
			}
			turns = 0
		case e.Kind == Readable && e.Conn == urgentConn:
			if !noOtherEvent {
				t.Error("events of other sockets were delivered before the urgent data of the same turn")
			}
			return []Effect{{Op: Read, Conn: urgentConn}}
		case e.Kind == Data && e.Conn == urgentConn:
			maxTurns = max(maxTurns, turns)
			if deliveries++; deliveries == 50 {
				return []Effect{{Op: Exit}}
			}
			if _, err := urgentPeer.Write([]byte{1}); err != nil {
				t.Fatal(err)
			}
			turns = 0
		case e.Kind == Readable:
			noOtherEvent = false
		case e.Kind == TurnEnd:
			turns++
			noOtherEvent = true
		}
		return nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	if maxTurns > 1 {
		t.Errorf("urgent data was delivered after %d turns, with %d other sockets ready", maxTurns, otherSockets)
	}
}

// Data of an urgent socket that is larger than one read buffer is delivered completely before the turn ends.
func TestLargeUrgentDataIsDeliveredInOneTurn(t *testing.T) {
	const length = 2*ReadSize + 1000
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l, err := New(NewClock())
	if err != nil {
		t.Fatal(err)
	}
	received := 0
	err = l.Run(stepper(func(_ time.Duration, e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: netip.MustParseAddrPort(peer.Addr().String()), Urgent: true}}
		case Connected:
			c, err := peer.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			fd := l.byConn[1].fd
			if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, 4*length); err != nil {
				t.Fatal(err)
			}
			go func() { _, _ = c.Write(make([]byte, length)) }() // if the write is short, the wait below fails
			start := l.clock.Now()
			for buffered := 0; buffered < length; {
				if l.clock.Now()-start > 10*time.Second {
					t.Fatalf("only %d of %d bytes have reached the receive buffer", buffered, length)
				}
				if buffered, err = unix.IoctlGetInt(fd, unix.TIOCINQ); err != nil {
					t.Fatal(err)
				}
				runtime.Gosched()
			}
		case Readable:
			return []Effect{{Op: Read, Conn: e.Conn}}
		case Data:
			received += len(e.Data)
		case TurnEnd:
			if received > 0 {
				return []Effect{{Op: Exit}}
			}
		}
		return nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	if received != length {
		t.Errorf("%d of %d bytes were delivered in the first turn", received, length)
	}
}
