package simulation

import (
	"fmt"

	"thymebend/internal/loop"
)

// carryOut executes an effect that the reducer has returned.
func (l *Loop) carryOut(f loop.Effect) {
	switch f.Op {
	case loop.Dial:
		l.dial(f)
	case loop.Listen:
		l.listen(f)
	case loop.Bind:
		l.bind(f)
	case loop.SetTimer:
		l.setTimer(f.Timer, f.At-l.ClockError)
	case loop.StopTimer:
		l.stopTimer(f.Timer)
	case loop.ReadFile:
		data, err := l.Files(f.Path)
		l.queueEvent(loop.Event{Kind: loop.FileRead, Data: data, Err: err})
	case loop.RequestTurn:
		l.turnRequested = true
	case loop.SetMemoryLimit: // memory is not simulated
	case loop.Exit:
		l.exited, l.exitErr = true, f.ExitError
	default:
		l.carryOutOnConn(f)
	}
}

// carryOutOnConn executes an effect on a socket of any kind. An effect on a socket that has been closed is
// ignored.
func (l *Loop) carryOutOnConn(f loop.Effect) {
	if p := l.listenSockets[f.Conn]; p != nil {
		l.carryOutOnListenSocket(p, f)
	} else if s := l.datagrams[f.Conn]; s != nil {
		l.carryOutOnDatagrams(s, f)
	} else if ln := l.offered[f.Conn]; ln != nil {
		delete(l.offered, f.Conn)
		if f.Op == loop.AdoptListener {
			l.addListenSocket(&listenSocket{conn: f.AdoptAs, Listener: ln})
		}
		ln.endTransit()
	} else if s := l.socks[f.Conn]; s != nil {
		l.carryOutOnSocket(s, f)
	}
}

// carryOutOnSocket executes an effect on a connection.
func (l *Loop) carryOutOnSocket(s *socket, f loop.Effect) {
	switch f.Op {
	case loop.PassSockets:
		l.pass(s, f)
	case loop.SendTo: // not a datagram socket: nothing is sent
	case loop.Read:
		l.read(s, int(f.Bytes))
	case loop.Write:
		l.write(s, f.Data)
	case loop.WriteIfIdle:
		if e := s.end; len(e.inbox) > 0 || e.fin || e.reset {
			l.queueEvent(loop.Event{Kind: loop.Stale, Conn: s.conn})
			return
		}
		l.write(s, f.Data)
	case loop.ReportQueues:
		unread, full := s.end.unread()
		l.queueEvent(loop.Event{Kind: loop.Queues, Conn: s.conn, Queues: loop.QueueSizes{
			Unread: unread, ReceiveFull: full,
			LastReceivedAgo: l.sim.Now() - s.end.lastArrivalAt,
			Undelivered:     len(s.pending) + s.end.unacknowledged(),
		}})
	case loop.Shutdown:
		s.end.CloseWrite()
		l.markMaybeReady(s)
	case loop.Abort:
		s.end.ready = nil
		delete(l.socks, s.conn)
		s.end.Reset()
	case loop.Close:
		l.remove(s)
	case loop.PauseReading, loop.ResumeReading:
		s.paused, s.reportShutdown = f.Op == loop.PauseReading, f.Op == loop.PauseReading && f.ReportShutdown
		l.markMaybeReady(s)
	default:
		panic(fmt.Sprintf("effect %d is not known", f.Op))
	}
}

func (l *Loop) carryOutOnListenSocket(p *listenSocket, f loop.Effect) {
	switch f.Op {
	case loop.Accept:
		l.accept(p, f.MaxAccepts)
	case loop.Close:
		l.closeListenSocket(p)
	case loop.PauseReading, loop.ResumeReading:
		p.paused = f.Op == loop.PauseReading
		l.wake(l.sim.Now())
	}
}
