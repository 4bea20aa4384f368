package loop

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// stepper is a reducer of one function.
type stepper func(now time.Duration, e Event) []Effect

func (s stepper) Step(now time.Duration, e Event) []Effect { return s(now, e) }

// Small writes must leave at once on every socket, those that are accepted and those that are dialed:
// bytes that the kernel holds back are lost when the socket is closed with unread data.
func TestNoSocketHoldsSmallWritesBack(t *testing.T) {
	far, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	l, err := New(NewClock())
	if err != nil {
		t.Fatal(err)
	}
	looked := make(map[Conn]int)
	look := func(c Conn) []Effect {
		on, err := unix.GetsockoptInt(l.byConn[c].fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
		if err != nil {
			t.Error(err)
		}
		looked[c] = on
		if len(looked) == 3 {
			return []Effect{{Op: Exit}}
		}
		return nil
	}
	at := netip.MustParseAddrPort("127.0.0.1:0")
	err = l.Run(stepper(func(_ time.Duration, e Event) []Effect {
		switch {
		case e.Kind == Start:
			return []Effect{{Op: Listen, Conn: Listener, Addr: at}, {Op: Listen, Conn: Admin, Addr: at, Urgent: true},
				{Op: Dial, Conn: 7, Addr: netip.MustParseAddrPort(far.Addr().String())}}
		case e.Kind == Listening:
			sa, err := unix.Getsockname(l.byConn[e.Conn].fd)
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("tcp", netip.AddrPortFrom(at.Addr(), uint16(sa.(*unix.SockaddrInet4).Port)).String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		case e.Kind == Readable && (e.Conn == Listener || e.Conn == Admin):
			return []Effect{{Op: Accept, Conn: e.Conn}}
		case e.Kind == Accepted || e.Kind == Connected:
			return look(e.Conn)
		}
		return nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	for c, on := range looked {
		if on == 0 {
			t.Errorf("socket %d holds small writes back", c)
		}
	}
}
