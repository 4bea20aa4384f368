package loop

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against reading all that a client sent far ahead before its reset is seen: the reset of a paused connection whose
// shutdown is reported ends it at once.
func TestResetOfAPausedConnectionIsReportedAtOnce(t *testing.T) {
	addr, conns := listenPeer(t)
	r := runLoop(t, func(*syscalls) {}, func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: addr}}
		case Connected:
			return []Effect{{Op: PauseReading, Conn: 1, ReportShutdown: true}, {Op: SetTimer, Timer: Timer{ID: 1}}}
		case TimerDue:
			peer := (<-conns).(*net.TCPConn)
			if _, err := peer.Write(make([]byte, 32<<10)); err != nil {
				t.Fatal(err)
			}
			_ = peer.SetLinger(0)
			_ = peer.Close()
		case Data, EOF, PeerShutdown:
			t.Errorf("event %v before the reset", e.Kind)
		case Broken:
			return []Effect{{Op: Exit}}
		}
		return nil
	})
	if last := r.events[len(r.events)-1]; last.Kind != Broken && last.Kind != TurnEnd {
		t.Errorf("last event %v, want Broken", last.Kind)
	}
	for _, e := range r.events {
		if e.Kind == Broken && e.Err != unix.ECONNRESET {
			t.Errorf("broken with %v, want a reset", e.Err)
		}
	}
}
