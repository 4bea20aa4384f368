package loop

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against taking a peer that reads slowly for one that reads nothing: while its send buffer is more than two thirds
// full the kernel does not report a socket as writable, but the size of its send queue shows each byte that is taken.
func TestQueuesShowWhatAPeerTakes(t *testing.T) {
	addr, conns := listenPeer(t)
	const queued, piece, pieces = 32 << 20, 256 << 10, 4 // queued exceeds what the buffers of both ends hold
	sizes := make([]int, 0, pieces+1)
	var peer net.Conn
	runLoop(t, func(*syscalls) {}, func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: addr}}
		case Connected:
			peer = <-conns
			return []Effect{{Op: Write, Conn: 1, Data: make([]byte, queued)}}
		case TurnEnd: // looks once in each turn: an acknowledgement may take a moment
			return []Effect{{Op: ReportQueues, Conn: 1}, {Op: RequestTurn}}
		case Flushed:
			t.Error("the kernel has taken all data although the peer has read little")
		case Queues:
			if n := len(sizes); peer != nil && (n == 0 || e.Queues.Undelivered < sizes[n-1]) {
				sizes = append(sizes, e.Queues.Undelivered)
				if len(sizes) > pieces {
					return []Effect{{Op: Exit}}
				}
				if _, err := io.ReadFull(peer, make([]byte, piece)); err != nil {
					t.Fatal(err)
				}
			}
		}
		return nil
	})
	if len(sizes) <= pieces {
		t.Fatalf("sizes of the send queue: %v, want one after each of %d reads", sizes, pieces)
	}
}

// Guards against an error of a system call that is taken for an empty queue.
func TestUnknownQueueSizesAreReportedAsUnknown(t *testing.T) {
	addr, _ := listenPeer(t)
	fail := func(int) (int, error) { return 0, unix.ENOTTY }
	r := runLoop(t, func(c *syscalls) {
		c.unread, c.undelivered = fail, fail
		c.lastReceivedAgo = func(int) (time.Duration, error) { return 0, unix.ENOTTY }
	}, reportOnce(addr))
	for _, e := range r.events {
		if unknown := (QueueSizes{Unread: -1, Undelivered: -1, LastReceivedAgo: -1}); e.Kind == Queues && e.Queues != unknown {
			t.Errorf("sizes %+v, want both unknown", e.Queues)
		}
	}
}

// Guards against a time of arrival that is taken to be unknown, or to be that of the read.
func TestQueuesShowWhenBytesArrived(t *testing.T) {
	addr, conns := listenPeer(t)
	r := runLoop(t, func(*syscalls) {}, func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: addr}}
		case Connected:
			if _, err := (<-conns).Write([]byte("bytes")); err != nil {
				t.Fatal(err)
			}
		case Readable:
			return []Effect{{Op: PauseReading, Conn: 1}, {Op: SetTimer, Timer: Timer{ID: 1}, At: NewClock().Now() + 60*time.Millisecond}}
		case TimerDue:
			return []Effect{{Op: ReportQueues, Conn: 1}}
		case Queues:
			return []Effect{{Op: Exit}}
		}
		return nil
	})
	last := r.events[len(r.events)-1]
	for _, e := range r.events {
		if e.Kind == Queues {
			last = e
		}
	}
	if ago := last.Queues.LastReceivedAgo; last.Queues.Unread != 5 || ago < 40*time.Millisecond || ago > 10*time.Second {
		t.Errorf("%d bytes unread, arrived %v ago, want 5 bytes and 60 ms", last.Queues.Unread, ago)
	}
}

// Guards against taking a receive buffer for nearly empty because few bytes are unread: the kernel charges it for whole
// segments, and keeps the peer from sending by that charge.
func TestReceiveBufferIsFullByItsMemory(t *testing.T) {
	for _, c := range []struct {
		name                string
		unread, used, limit int
		full                bool
	}{
		{"a segment that is read in part", 15_360, 147_264, 147_883, true},
		{"room for several segments", 15_360, 16_000, 147_883, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, _ := listenPeer(t)
			r := runLoop(t, func(calls *syscalls) {
				calls.unread = func(int) (int, error) { return c.unread, nil }
				calls.receiveMemory = func(int) (int, int, error) { return c.used, c.limit, nil }
			}, reportOnce(addr))
			for _, e := range r.events {
				if e.Kind == Queues && e.Queues.ReceiveFull != c.full {
					t.Errorf("queues %+v, want full %v", e.Queues, c.full)
				}
			}
		})
	}
}

// reportOnce connects to addr, looks at the queues once and ends.
func reportOnce(addr netip.AddrPort) func(Event) []Effect {
	return func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: addr}}
		case Connected:
			return []Effect{{Op: ReportQueues, Conn: 1}}
		case Queues:
			return []Effect{{Op: Exit}}
		}
		return nil
	}
}

// Guards against a figure of the kernel that is read from the wrong place: unread bytes use at least as much memory as
// their number, and no more than the buffer's limit with one segment beyond it.
func TestReceiveMemoryCountsUnreadBytes(t *testing.T) {
	addr, conns := listenPeer(t)
	const sent = 32 << 10
	r := runLoop(t, func(*syscalls) {}, func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: addr}}
		case Connected:
			if _, err := (<-conns).Write(make([]byte, sent)); err != nil {
				t.Fatal(err)
			}
		case TurnEnd:
			return []Effect{{Op: ReportQueues, Conn: 1}, {Op: RequestTurn}}
		case Queues:
			if e.Queues.Unread == sent {
				return []Effect{{Op: Exit}}
			}
		}
		return nil
	})
	for _, e := range r.events {
		if q := e.Queues; e.Kind == Queues && q.Unread == sent && (q.ReceiveMemory < sent || q.ReceiveLimit < q.ReceiveMemory) {
			t.Errorf("%d bytes of memory in use of %d, want %d at least", q.ReceiveMemory, q.ReceiveLimit, sent)
		}
	}
}
