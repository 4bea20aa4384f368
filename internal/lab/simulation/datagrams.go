package simulation

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"

	"thymebend/internal/loop"
)

// Limits of the real loop's datagram sockets (bytes of a datagram, datagrams of a read) and of the kernel's receive
// buffer (datagrams).
const (
	maxDatagram        = 2048
	datagramsPerRead   = 32
	maxQueuedDatagrams = 256
)

// datagramSocket is a simulated datagram socket of a process.
type datagramSocket struct {
	loop   *Loop
	conn   loop.Conn
	addr   netip.AddrPort
	urgent bool
	paused bool
	inbox  []datagram
}

type datagram struct {
	from netip.AddrPort
	data []byte
}

func (s *datagramSocket) isReady() bool { return !s.paused && len(s.inbox) > 0 }

// bind opens a datagram socket. Where two processes bind the same address, the later one receives all datagrams;
// the real kernel distributes them.
func (l *Loop) bind(f loop.Effect) {
	if l.descriptorsExhausted() {
		l.queueEvent(loop.Event{Kind: loop.Broken, Conn: f.Conn, Err: unix.EMFILE})
		return
	}
	s := &datagramSocket{loop: l, conn: f.Conn, addr: f.Addr, urgent: f.Urgent}
	l.datagrams[f.Conn], l.net.bound[f.Addr] = s, s
	l.queueEvent(loop.Event{Kind: loop.Listening, Conn: f.Conn})
}

func (l *Loop) unbind(s *datagramSocket) {
	delete(l.datagrams, s.conn)
	if l.net.bound[s.addr] == s {
		delete(l.net.bound, s.addr)
	}
}

func (l *Loop) carryOutOnDatagrams(s *datagramSocket, f loop.Effect) {
	switch f.Op {
	case loop.Read:
		for range datagramsPerRead {
			if len(s.inbox) == 0 {
				l.queueEvent(loop.Event{Kind: loop.WouldBlock, Conn: s.conn})
				return
			}
			d := s.inbox[0]
			s.inbox = s.inbox[1:]
			if len(d.data) > 0 && len(d.data) <= maxDatagram { // a longer datagram arrives truncated and is dropped
				l.queueEvent(loop.Event{Kind: loop.Data, Conn: s.conn, Data: d.data, From: d.from})
			}
		}
	case loop.SendTo:
		l.net.datagram(s, f.Addr, slices.Clone(f.Data))
	case loop.Close:
		l.unbind(s)
	case loop.PauseReading, loop.ResumeReading:
		s.paused = f.Op == loop.PauseReading
		l.wake(l.sim.Now())
	}
}

// orderedDatagramSockets returns the datagram sockets in order of their connection numbers.
func (l *Loop) orderedDatagramSockets() []*datagramSocket {
	return slices.SortedFunc(maps.Values(l.datagrams),
		func(a, b *datagramSocket) int { return cmp.Compare(a.conn, b.conn) })
}

// datagram carries one datagram, or loses, duplicates or delays it. Each has its own delay, so datagrams may
// overtake one another.
func (n *Net) datagram(from *datagramSocket, to netip.AddrPort, data []byte) {
	copies := 1
	if n.sim.Chance(n.DuplicateDatagramChance) {
		copies = 2
	}
	for range copies {
		if n.sim.Chance(n.LoseDatagramChance) || n.CutDatagrams != nil && n.CutDatagrams(from.addr, to) {
			continue
		}
		n.sim.After(n.delay(), func() {
			s := n.bound[to]
			if s == nil || !s.loop.Running() || len(s.inbox) >= maxQueuedDatagrams ||
				s.loop.silent != nil && *s.loop.silent {
				return
			}
			s.inbox = append(s.inbox, datagram{from.addr, data})
			if s.isReady() {
				s.loop.wake(n.sim.Now())
			}
		})
	}
}
