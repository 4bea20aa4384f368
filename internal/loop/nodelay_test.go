package loop

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// stepper adapts a function to a Reducer.
type stepper func(now time.Duration, e Event) []Effect

func (s stepper) Step(now time.Duration, e Event) []Effect { return s(now, e) }

// Every accepted and dialled TCP socket must send small writes at once: bytes that the kernel delays are lost if the
// socket is closed while it has unread data.
func TestAllTCPSocketsDisableNagle(t *testing.T) {
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	l, err := New(NewClock())
	if err != nil {
		t.Fatal(err)
	}
	noDelayOf := make(map[Conn]int)
	checkNoDelay := func(c Conn) []Effect {
		noDelay, err := unix.GetsockoptInt(l.byConn[c].fd, unix.IPPROTO_TCP, unix.TCP_NODELAY)
		if err != nil {
			t.Error(err)
		}
		noDelayOf[c] = noDelay
		if len(noDelayOf) == 3 {
			return []Effect{{Op: Exit}}
		}
		return nil
	}
	addr := netip.MustParseAddrPort("127.0.0.1:0")
	err = l.Run(stepper(func(_ time.Duration, e Event) []Effect {
		switch {
		case e.Kind == Start:
			return []Effect{{Op: Listen, Conn: Listener, Addr: addr},
				{Op: Listen, Conn: Admin, Addr: addr, Urgent: true},
				{Op: Dial, Conn: 7, Addr: netip.MustParseAddrPort(peer.Addr().String())}}
		case e.Kind == Listening:
			sa, err := unix.Getsockname(l.byConn[e.Conn].fd)
			if err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("tcp", netip.AddrPortFrom(addr.Addr(), uint16(sa.(*unix.SockaddrInet4).Port)).String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		case e.Kind == Readable && (e.Conn == Listener || e.Conn == Admin):
			return []Effect{{Op: Accept, Conn: e.Conn}}
		case e.Kind == Accepted || e.Kind == Connected:
			return checkNoDelay(e.Conn)
		}
		return nil
	}))
	if err != nil {
		t.Fatal(err)
	}
	for c, noDelay := range noDelayOf {
		if noDelay == 0 {
			t.Errorf("TCP_NODELAY is not set on socket %d", c)
		}
	}
}
