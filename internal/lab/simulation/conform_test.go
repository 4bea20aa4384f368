package simulation

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"thymebend/internal/loop"
)

// The conformance suite runs the same scripted cases on the real epoll loop and on the simulated one. A case
// consists of a reducer and of the steps that the peer, the remote side of its connections, takes. After each
// step, both loops must have delivered exactly the stated events.

// script is a reducer that returns the effects of a case and logs the events that it receives.
type script struct {
	mu    sync.Mutex
	log   []string
	names map[loop.Conn]string
	next  int
	on    func(s *script, now time.Duration, e loop.Event) []loop.Effect
}

func (s *script) name(c loop.Conn) string {
	if name := map[loop.Conn]string{loop.Listener: "listener", loop.Admin: "control",
		loop.HotRestart: "handover"}[c]; name != "" {
		return name
	}
	if s.names[c] == "" {
		s.next++
		s.names[c] = fmt.Sprintf("c%d", s.next)
	}
	return s.names[c]
}

func (s *script) Step(now time.Duration, e loop.Event) []loop.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	kinds := map[loop.Kind]string{loop.Accepted: "accepted", loop.Connected: "connected", loop.Data: "data",
		loop.EOF:    "eof",
		loop.Broken: "broken", loop.Flushed: "flushed", loop.Stale: "stale", loop.TimerDue: "timer",
		loop.FileRead: "file", loop.Stop: "stop",
		loop.Reload: "reload", loop.AcceptFailed: "accept failed", loop.PeerShutdown: "leaving"}
	if k := kinds[e.Kind]; k != "" {
		text := k
		switch e.Kind {
		case loop.TimerDue:
			text = fmt.Sprintf("timer %d", e.Timer.ID)
		case loop.Data: // how the kernel splits the bytes is not fixed, only their total
			text = fmt.Sprintf("data %s", s.name(e.Conn))
			if n := len(s.log); n > 0 && strings.HasPrefix(s.log[n-1], text+" ") {
				var sum int
				_, _ = fmt.Sscanf(s.log[n-1], text+" %d", &sum)
				s.log[n-1] = fmt.Sprintf("%s %d", text, sum+len(e.Data))
				text = ""
			} else {
				text = fmt.Sprintf("%s %d", text, len(e.Data))
			}
		case loop.FileRead:
			text = fmt.Sprintf("file %v", e.Err != nil)
		case loop.Stop, loop.Reload:
		case loop.Broken:
			text = fmt.Sprintf("broken %s %v", s.name(e.Conn), errors.Is(e.Err, unix.ECONNREFUSED))
		default:
			text += " " + s.name(e.Conn)
		}
		if text != "" {
			s.log = append(s.log, text)
		}
	}
	return s.on(s, now, e)
}

func (s *script) events() []string { s.mu.Lock(); defer s.mu.Unlock(); return slices.Clone(s.log) }

// peer is the remote side of a case, on either network.
type peer interface {
	connect()           // to the loop's listener
	send(n int)         // sends n bytes on the last connection
	shut()              // shuts down the sending side
	close()             // closes the connection, with nothing unread
	reset()             // resets the last connection
	drain()             // reads everything that arrives from now on
	end() string        // how the loop ended the connection: "eof", "reset" or, while it is open, ""
	addr() netip.Addr   // of the peer's own listener, see port
	port() uint16       // of a listener that accepts
	closedPort() uint16 // of an address that refuses
	signal(loop.Kind)   // sends Stop or Reload to the process
}

type step struct {
	do   func(p peer)
	want []string // events delivered by the end of the step
}

type testCase struct {
	name  string
	on    func(p peer) func(s *script, now time.Duration, e loop.Event) []loop.Effect
	steps []step
	end   string // how the connection's end appears to the peer; "" if it does not matter
}

func cases() []testCase {
	accept := func(e loop.Event) []loop.Effect {
		if e.Kind == loop.Readable && e.Conn == loop.Listener {
			return []loop.Effect{{Op: loop.Accept, Conn: loop.Listener}}
		}
		if e.Kind == loop.Readable && e.Conn != loop.Admin && e.Conn != loop.HotRestart {
			return []loop.Effect{{Op: loop.Read, Conn: e.Conn}}
		}
		return nil
	}
	plain := func(more func(s *script, now time.Duration, e loop.Event) []loop.Effect) func(peer) func(*script,
		time.Duration, loop.Event) []loop.Effect {
		return func(peer) func(*script, time.Duration, loop.Event) []loop.Effect {
			return func(s *script, now time.Duration, e loop.Event) []loop.Effect {
				return append(accept(e), more(s, now, e)...)
			}
		}
	}
	// A listener and a client's connection are passed over a Unix socket whose two ends belong to the same loop,
	// as between two processes. The receiver adopts the listener under another number. The client's first bytes
	// arrive before the connection is passed and are read afterwards.
	path := filepath.Join(os.TempDir(), fmt.Sprintf("conform-%d", os.Getpid()))
	passListener := func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
		switch {
		case e.Kind == loop.Start:
			return []loop.Effect{{Op: loop.Dial, Conn: 7, Path: path + "-none"},
				{Op: loop.Listen, Conn: loop.HotRestart, Path: path}}
		case e.Kind == loop.Listening && e.Conn == loop.HotRestart:
			return []loop.Effect{{Op: loop.Dial, Conn: 8, Path: path}}
		case e.Kind == loop.Readable && (e.Conn == loop.HotRestart || e.Conn == loop.Admin):
			return []loop.Effect{{Op: loop.Accept, Conn: e.Conn, MaxAccepts: 1}}
		case e.Kind == loop.Accepted && e.AcceptedBy == loop.HotRestart:
			return []loop.Effect{{Op: loop.PassSockets, Conn: e.Conn, Data: []byte("go"),
				PassConns: []loop.Conn{loop.Listener}}, {Op: loop.Close, Conn: loop.Listener}}
		case e.Kind == loop.Data && len(e.PassedConns) == 1:
			return []loop.Effect{{Op: loop.AdoptListener, Conn: e.PassedConns[0], AdoptAs: loop.Admin},
				{Op: loop.SetMemoryLimit, Bytes: 1 << 30}}
		}
		return nil
	}
	var predecessor loop.Conn
	passConnection := func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
		switch {
		case e.Kind == loop.Start:
			return []loop.Effect{{Op: loop.Listen, Conn: loop.HotRestart, Path: path + "c"}}
		case e.Kind == loop.Listening && e.Conn == loop.HotRestart:
			return []loop.Effect{{Op: loop.Dial, Conn: 8, Path: path + "c"}}
		case e.Kind == loop.Readable && e.Conn == loop.HotRestart:
			return []loop.Effect{{Op: loop.Accept, Conn: e.Conn}}
		case e.Kind == loop.Accepted && e.AcceptedBy == loop.HotRestart:
			predecessor = e.Conn
		case e.Kind == loop.Accepted:
			return []loop.Effect{{Op: loop.PassSockets, Conn: predecessor, Data: []byte("!"),
				PassConns: []loop.Conn{e.Conn}}}
		case e.Kind == loop.Data && len(e.PassedConns) == 1:
			return []loop.Effect{{Op: loop.ResumeReading, Conn: e.PassedConns[0]}}
		}
		return nil
	}
	closeAtEnd := func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
		if e.Kind == loop.EOF {
			return []loop.Effect{{Op: loop.Close, Conn: e.Conn}}
		}
		return nil
	}
	connect := step{func(p peer) { p.connect() }, []string{"accepted c1"}}
	dialTo := func(port func(p peer) uint16, more func(e loop.Event) []loop.Effect) func(peer) func(*script,
		time.Duration, loop.Event) []loop.Effect {
		return func(p peer) func(*script, time.Duration, loop.Event) []loop.Effect {
			return func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
				if e.Kind == loop.Start {
					return []loop.Effect{{Op: loop.Dial, Conn: 7, Addr: netip.AddrPortFrom(p.addr(), port(p))}}
				}
				return append(accept(e), more(e)...)
			}
		}
	}
	nothing := func(loop.Event) []loop.Effect { return nil }
	var paused loop.Conn
	return []testCase{
		{name: "data, then the peer's shutdown", on: plain(closeAtEnd), steps: []step{connect,
			{func(p peer) { p.send(5) }, []string{"data c1 5"}},
			{func(p peer) { p.shut() }, []string{"eof c1"}}}, end: "eof"},
		{name: "more data than one read returns", on: plain(closeAtEnd), steps: []step{connect,
			{func(p peer) { p.send(150 << 10); p.shut() }, []string{"data c1 153600", "eof c1"}}}, end: "eof"},
		{name: "the peer resets", on: plain(closeAtEnd),
			steps: []step{connect, {func(p peer) { p.reset() }, []string{"broken c1 false"}}}},
		{name: "close with unread bytes", on: func(peer) func(*script, time.Duration, loop.Event) []loop.Effect {
			return func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
				if e.Kind == loop.Readable && e.Conn != loop.Listener {
					return []loop.Effect{{Op: loop.Close, Conn: e.Conn}}
				}
				return accept(e)
			}
		}, steps: []step{{func(p peer) { p.connect() }, []string{"accepted c1"}},
			{func(p peer) { p.send(70 << 10) }, []string{}}}, end: "reset"},
		{name: "the loop shuts down first", on: plain(func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
			switch e.Kind {
			case loop.Data:
				return []loop.Effect{{Op: loop.Write, Conn: e.Conn, Data: []byte("bye")},
					{Op: loop.Shutdown, Conn: e.Conn}}
			case loop.EOF:
				return []loop.Effect{{Op: loop.Close, Conn: e.Conn}}
			}
			return nil
		}), steps: []step{connect, {func(p peer) { p.drain(); p.send(3) }, []string{"data c1 3", "flushed c1"}},
			{func(p peer) { p.close() }, []string{"eof c1"}}}, end: "eof"},
		{name: "a peer that does not read", on: plain(func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
			if e.Kind == loop.Data {
				return []loop.Effect{{Op: loop.Write, Conn: e.Conn, Data: make([]byte, 24<<20)}}
			}
			return nil
		}), steps: []step{connect, {func(p peer) { p.send(1) }, []string{"data c1 1"}},
			{func(p peer) { p.drain() }, []string{"flushed c1"}}}},
		{name: "reading paused, then resumed", on: plain(func(_ *script, now time.Duration, e loop.Event) []loop.Effect {
			switch e.Kind {
			case loop.Accepted:
				paused = e.Conn
				return []loop.Effect{{Op: loop.PauseReading, Conn: e.Conn},
					{Op: loop.SetTimer, Timer: loop.Timer{ID: 1}, At: now + 200*time.Millisecond}}
			case loop.TimerDue:
				return []loop.Effect{{Op: loop.ResumeReading, Conn: paused}}
			}
			return nil
		}), steps: []step{{func(p peer) { p.connect(); p.send(4) }, []string{"accepted c1", "timer 1", "data c1 4"}}}},
		{name: "reading paused, the peer's shutdown behind unread bytes is reported",
			on: plain(func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
				switch e.Kind {
				case loop.Accepted:
					return []loop.Effect{{Op: loop.PauseReading, Conn: e.Conn, ReportShutdown: true}}
				case loop.PeerShutdown:
					return []loop.Effect{{Op: loop.ResumeReading, Conn: e.Conn}}
				case loop.EOF:
					return []loop.Effect{{Op: loop.Close, Conn: e.Conn}}
				}
				return nil
			}), steps: []step{{func(p peer) { p.connect(); p.send(4) }, []string{"accepted c1"}},
				{func(p peer) { p.shut() }, []string{"leaving c1", "data c1 4", "eof c1"}}}, end: "eof"},
		{name: "reading paused, the peer's shutdown is not to be reported",
			on: plain(func(_ *script, now time.Duration, e loop.Event) []loop.Effect {
				switch e.Kind {
				case loop.Accepted:
					paused = e.Conn
					return []loop.Effect{{Op: loop.PauseReading, Conn: e.Conn},
						{Op: loop.SetTimer, Timer: loop.Timer{ID: 1}, At: now + 200*time.Millisecond}}
				case loop.TimerDue:
					return []loop.Effect{{Op: loop.ResumeReading, Conn: paused}}
				case loop.EOF:
					return []loop.Effect{{Op: loop.Close, Conn: e.Conn}}
				}
				return nil
			}), steps: []step{{func(p peer) { p.connect(); p.send(4); p.shut() }, []string{"accepted c1", "timer 1",
				"data c1 4", "eof c1"}}}, end: "eof"},
		{name: "a shutdown behind data is delivered in the same round",
			on: plain(func(s *script, now time.Duration, e loop.Event) []loop.Effect {
				switch e.Kind {
				case loop.Accepted:
					paused = e.Conn
					return []loop.Effect{{Op: loop.PauseReading, Conn: e.Conn},
						{Op: loop.SetTimer, Timer: loop.Timer{ID: 1}, At: now + 200*time.Millisecond}}
				case loop.TimerDue:
					return []loop.Effect{{Op: loop.ResumeReading, Conn: paused}}
				case loop.TurnEnd:
					if n := len(s.log); n > 0 && strings.HasPrefix(s.log[n-1], "data") {
						s.log = append(s.log, "turn")
					}
				case loop.EOF:
					return []loop.Effect{{Op: loop.Close, Conn: e.Conn}}
				}
				return nil
			}), steps: []step{{func(p peer) { p.connect(); p.send(4); p.shut() }, []string{"accepted c1", "timer 1",
				"data c1 4", "eof c1"}}}, end: "eof"},
		{name: "WriteIfIdle to a peer that has shut down",
			on: plain(func(_ *script, now time.Duration, e loop.Event) []loop.Effect {
				switch e.Kind {
				case loop.Accepted:
					paused = e.Conn
					return []loop.Effect{{Op: loop.PauseReading, Conn: e.Conn},
						{Op: loop.SetTimer, Timer: loop.Timer{ID: 1}, At: now + 200*time.Millisecond}}
				case loop.TimerDue:
					return []loop.Effect{{Op: loop.WriteIfIdle, Conn: paused, Data: []byte("x")}}
				}
				return nil
			}), steps: []step{{func(p peer) { p.connect(); p.shut() }, []string{"accepted c1", "timer 1",
				"stale c1"}}}},
		{name: "a refused connection", on: dialTo(peer.closedPort, nothing),
			steps: []step{{func(peer) {}, []string{"broken c1 true"}}}},
		{name: "an established connection", on: dialTo(peer.port, func(e loop.Event) []loop.Effect {
			if e.Kind == loop.Connected {
				return []loop.Effect{{Op: loop.Write, Conn: e.Conn, Data: []byte("ask")}}
			}
			return nil
		}), steps: []step{{func(peer) {}, []string{"connected c1", "flushed c1"}},
			{func(p peer) { p.send(9) }, []string{"data c1 9"}}}},
		{name: "timers in order, moved and stopped",
			on: plain(func(_ *script, now time.Duration, e loop.Event) []loop.Effect {
				if e.Kind != loop.Start {
					return nil
				}
				set := func(id uint64, ms int) loop.Effect {
					return loop.Effect{Op: loop.SetTimer, Timer: loop.Timer{ID: id},
						At: now + time.Duration(ms)*time.Millisecond}
				}
				return []loop.Effect{set(1, 60), set(2, 20), set(3, 40), set(4, 5), set(2, 80),
					{Op: loop.StopTimer, Timer: loop.Timer{ID: 4}}}
			}), steps: []step{{func(peer) {}, []string{"timer 3", "timer 1", "timer 2"}}}},
		{name: "datagrams: one without receiver, one too long, and two sockets",
			on: func(p peer) func(*script, time.Duration, loop.Event) []loop.Effect {
				at := func(n uint16) netip.AddrPort { return netip.AddrPortFrom(p.addr(), p.closedPort()+n) }
				return func(s *script, now time.Duration, e loop.Event) []loop.Effect {
					switch {
					case e.Kind == loop.Start:
						return []loop.Effect{{Op: loop.Bind, Conn: 7, Addr: at(0)},
							{Op: loop.Bind, Conn: 8, Addr: at(1)}}
					case e.Kind == loop.Listening && e.Conn == 8:
						return []loop.Effect{{Op: loop.PauseReading, Conn: 8}, {Op: loop.SendTo, Conn: 7, Addr: at(2),
							Data: []byte("nobody")},
							{Op: loop.SendTo, Conn: 7, Addr: at(1), Data: make([]byte, 3000)},
							{Op: loop.SendTo, Conn: 7, Addr: at(1), Data: []byte("hello")},
							{Op: loop.SetTimer, Timer: loop.Timer{ID: 1}, At: now + 50*time.Millisecond}}
					case e.Kind == loop.TimerDue && e.Timer.ID == 1:
						return []loop.Effect{{Op: loop.ResumeReading, Conn: 8}}
					case e.Kind == loop.Readable && (e.Conn == 7 || e.Conn == 8):
						return []loop.Effect{{Op: loop.Read, Conn: e.Conn}}
					case e.Kind == loop.Data && e.Conn == 8 && e.From == at(0):
						return []loop.Effect{{Op: loop.SendTo, Conn: 8, Addr: e.From,
							Data: append([]byte("answer to "), e.Data...)}}
					case e.Kind == loop.Data && e.Conn == 7 && e.From == at(1):
						return []loop.Effect{{Op: loop.Close, Conn: 8}, {Op: loop.SendTo, Conn: 7, Addr: at(1),
							Data: []byte("gone")},
							{Op: loop.SetTimer, Timer: loop.Timer{ID: 2}, At: now + 50*time.Millisecond}}
					}
					return nil
				}
			}, steps: []step{{func(peer) {}, []string{"timer 1", "data c1 5", "data c2 15", "timer 2"}}}},
		{name: "a listener passed and adopted", on: plain(passListener), steps: []step{
			{func(peer) {}, []string{"broken c1 false", "connected c2", "accepted c3", "flushed c3", "data c2 2"}},
			{func(p peer) { p.connect(); p.send(3) }, []string{"accepted c4", "data c4 3"}}}},
		{name: "a connection passed and then read", on: plain(passConnection), steps: []step{
			{func(peer) {}, []string{"connected c1", "accepted c2"}},
			{func(p peer) { p.connect() }, []string{"accepted c3", "flushed c2", "data c1 1"}},
			{func(p peer) { p.send(5) }, []string{"data c4 5"}}}},
		{name: "abort", on: plain(func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
			if e.Kind == loop.Data {
				return []loop.Effect{{Op: loop.Write, Conn: e.Conn, Data: []byte("x")}, {Op: loop.Abort, Conn: e.Conn}}
			}
			return nil
		}), steps: []step{connect, {func(p peer) { p.drain(); p.send(1) },
			[]string{"data c1 1", "flushed c1"}}}, end: "reset"},
		{name: "a missing file", on: plain(func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
			if e.Kind == loop.Start {
				return []loop.Effect{{Op: loop.ReadFile, Path: "/no/such/file"}}
			}
			return nil
		}), steps: []step{{func(peer) {}, []string{"file true"}}}},
		{name: "signals, one after another", on: plain(closeAtEnd), steps: []step{
			{func(p peer) { p.signal(loop.Reload) }, []string{"reload"}}, {func(p peer) { p.signal(loop.Stop) },
				[]string{"stop"}},
			{func(p peer) { p.connect(); p.send(2) }, []string{"accepted c1", "data c1 2"}}}},
		{name: "effects on a socket closed in the same round",
			on: plain(func(_ *script, _ time.Duration, e loop.Event) []loop.Effect {
				if e.Kind == loop.Data {
					return []loop.Effect{{Op: loop.Write, Conn: e.Conn, Data: []byte("x")},
						{Op: loop.Close, Conn: e.Conn}, {Op: loop.Read, Conn: e.Conn}}
				}
				return nil
			}), steps: []step{connect, {func(p peer) { p.drain(); p.send(1) },
				[]string{"data c1 1", "flushed c1"}}}, end: "eof"},
	}
}

func TestSimulatedLoopConformsToRealLoop(t *testing.T) {
	for i, c := range cases() {
		t.Run(c.name+"/real", func(t *testing.T) { onReal(t, cases()[i]) })
		t.Run(c.name+"/virtual", func(t *testing.T) { onVirtual(t, c) })
	}
}

func compare(t *testing.T, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("events %v, want %v", got, want)
	}
}

// reservePort returns a local port that is bound by a socket for the duration of the test. The socket does not
// listen, so connections to the port are refused. No other process gets the port, unless it is shared; then only
// sockets with SO_REUSEPORT, such as the loop's, do.
func reservePort(t *testing.T, shared bool) uint16 {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if shared {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			t.Fatal(err)
		}
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return uint16(at.(*unix.SockaddrInet4).Port)
}

// realPeer is a peer on the loopback interface.
type realPeer struct {
	t     *testing.T
	at    string
	ln    net.Listener
	dead  uint16
	conns chan net.Conn
	last  net.Conn
	mu    sync.Mutex
	ended string
}

func (p *realPeer) conn() net.Conn {
	if p.last == nil {
		p.last = <-p.conns
	}
	return p.last
}
func (p *realPeer) connect() {
	c, err := net.Dial("tcp", p.at)
	if err != nil {
		p.t.Fatal(err)
	}
	p.last = c
}
func (p *realPeer) send(n int) {
	go func(c net.Conn) { _, _ = c.Write(make([]byte, n)) }(p.conn())
	p.waitForKernel(n)
}

// waitForKernel waits until the kernel has taken what was sent, or the other side has ended.
func (p *realPeer) waitForKernel(int)  { time.Sleep(5 * time.Millisecond) }
func (p *realPeer) shut()              { p.waitForKernel(0); _ = p.conn().(*net.TCPConn).CloseWrite() }
func (p *realPeer) close()             { _ = p.conn().Close() }
func (p *realPeer) reset()             { _ = p.conn().(*net.TCPConn).SetLinger(0); _ = p.conn().Close() }
func (p *realPeer) addr() netip.Addr   { return netip.MustParseAddr("127.0.0.1") }
func (p *realPeer) port() uint16       { return uint16(p.ln.Addr().(*net.TCPAddr).Port) }
func (p *realPeer) closedPort() uint16 { return p.dead }
func (p *realPeer) drain() {
	go func(c net.Conn) {
		_, err := io.Copy(io.Discard, c)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.ended = "eof"; errors.Is(err, syscall.ECONNRESET) {
			p.ended = "reset"
		}
	}(p.conn())
}
func (p *realPeer) signal(k loop.Kind) {
	s := map[loop.Kind]syscall.Signal{loop.Reload: syscall.SIGUSR1, loop.Stop: syscall.SIGUSR2}[k]
	_ = syscall.Kill(syscall.Getpid(), s)
}
func (p *realPeer) end() string { p.mu.Lock(); defer p.mu.Unlock(); return p.ended }

func onReal(t *testing.T, c testCase) {
	dead := reservePort(t, false)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), reservePort(t, true))
	p := &realPeer{t: t, at: at.String(), ln: ln, dead: dead, conns: make(chan net.Conn, 4)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.conns <- conn
		}
	}()
	l, err := loop.New(loop.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	l.Notify(syscall.SIGUSR1, syscall.SIGUSR2)
	quit, listening := make(chan bool), make(chan error, 1)
	s := &script{names: make(map[loop.Conn]string)}
	inner := c.on(p)
	s.on = func(s *script, now time.Duration, e loop.Event) []loop.Effect {
		var list []loop.Effect
		if e.Conn == loop.Listener && (e.Kind == loop.Listening || e.Kind == loop.Broken) {
			listening <- e.Err
		}
		if e.Timer.Kind != 9 {
			list = inner(s, now, e)
		}
		if e.Kind == loop.Start {
			list = append([]loop.Effect{{Op: loop.Listen, Conn: loop.Listener, Addr: at}}, list...)
		}
		select {
		case <-quit:
			list = append(list, loop.Effect{Op: loop.Exit})
		default:
		}
		// A timer every 10 ms lets the loop notice that the test is over.
		if e.Kind == loop.Start || e.Kind == loop.TimerDue && e.Timer.Kind == 9 {
			list = append(list, loop.Effect{Op: loop.SetTimer, Timer: loop.Timer{Kind: 9, ID: 99},
				At: now + 10*time.Millisecond})
		}
		return list
	}
	done := make(chan error, 1)
	go func() { done <- l.Run(s) }()
	if err := <-listening; err != nil {
		t.Fatal(err)
	}
	var want []string
	events := func() []string {
		return slices.DeleteFunc(s.events(), func(x string) bool { return x == "timer 99" })
	}
	for _, st := range c.steps {
		st.do(p)
		want = append(want, st.want...)
		for end := time.Now().Add(5 * time.Second); !slices.Equal(events(), want) && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
	}
	if c.end != "" {
		if p.end() == "" {
			p.drain()
		}
		for end := time.Now().Add(5 * time.Second); p.end() == "" && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		if p.end() != c.end {
			t.Errorf("the peer saw %q, want %q", p.end(), c.end)
		}
	}
	compare(t, events(), want)
	close(quit)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// virtualPeer is a peer on the simulated network.
type virtualPeer struct {
	loop    *Loop
	sim     *Sim
	net     *Net
	at      netip.AddrPort
	last    *End
	pending []byte
	reading bool
	ended   string
}

func (p *virtualPeer) connect() {
	p.last = p.net.Dial(p.at, nil, func(error) {})
	p.sim.Run(p.sim.Now() + 20*time.Millisecond)
	p.setReady()
}
func (p *virtualPeer) setReady() { p.last.ready = p.onReady }
func (p *virtualPeer) onReady() {
	if p.reading {
		p.last.Read(1 << 30)
	}
	if n, err := p.last.Write(p.pending); err == nil {
		p.pending = p.pending[n:]
	}
	switch {
	case p.ended != "":
	case p.last.reset:
		p.ended = "reset"
	case p.last.fin && p.reading:
		p.ended = "eof"
	}
}
func (p *virtualPeer) send(n int)         { p.pending = append(p.pending, make([]byte, n)...); p.onReady() }
func (p *virtualPeer) shut()              { p.sim.Run(p.sim.Now() + 20*time.Millisecond); p.last.CloseWrite() }
func (p *virtualPeer) close()             { p.last.Close() }
func (p *virtualPeer) reset()             { p.last.Reset() }
func (p *virtualPeer) drain()             { p.reading = true; p.onReady() }
func (p *virtualPeer) signal(k loop.Kind) { p.loop.Signal(k) }
func (p *virtualPeer) end() string {
	return p.ended
}
func (p *virtualPeer) addr() netip.Addr   { return netip.MustParseAddr("10.0.0.1") }
func (p *virtualPeer) port() uint16       { return 80 }
func (p *virtualPeer) closedPort() uint16 { return 81 }

func onVirtual(t *testing.T, c testCase) {
	sim := NewSim(1, nil)
	n := NewNet(sim)
	at := netip.MustParseAddrPort("10.0.0.2:8443")
	p := &virtualPeer{sim: sim, net: n, at: at}
	var ln *Listener
	ln = n.Listen(netip.AddrPortFrom(p.addr(), p.port()), 16, nil, func() { p.last = ln.Accept(); p.setReady() })
	l := NewLoop(sim, n, nil, func(error) {})
	inner := c.on(p)
	s := &script{names: make(map[loop.Conn]string), on: func(s *script, now time.Duration, e loop.Event) []loop.Effect {
		if e.Kind == loop.Start {
			return append([]loop.Effect{{Op: loop.Listen, Conn: loop.Listener, Addr: at}}, inner(s, now, e)...)
		}
		return inner(s, now, e)
	}}
	p.loop = l
	l.Run(s)
	var want []string
	for _, st := range c.steps {
		st.do(p)
		want = append(want, st.want...)
		sim.Run(sim.Now() + time.Second)
	}
	if c.end != "" {
		p.drain()
		sim.Run(sim.Now() + time.Second)
		if p.end() != c.end {
			t.Errorf("the peer saw %q, want %q", p.end(), c.end)
		}
	}
	compare(t, s.events(), want)
}
