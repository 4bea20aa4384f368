package loop

import (
	"bytes"
	"io"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// failing returns the errors of a list one after another, then none.
func failing(errors ...unix.Errno) func() error {
	return func() error {
		if len(errors) == 0 {
			return nil
		}
		next := errors[0]
		errors = errors[1:]
		return next
	}
}

// played is the record of a loop whose system calls fail as planted: the events that it delivered, and their data.
type played struct {
	events []Event
	data   []byte
}

func (p *played) kinds(conn Conn) (list []Kind) {
	for _, e := range p.events {
		if e.Conn == conn {
			list = append(list, e.Kind)
		}
	}
	return list
}

// run runs a loop until step returns Exit, for some seconds at most.
func run(t *testing.T, plant func(c *syscalls), step func(e Event) []Effect) *played {
	t.Helper()
	l, err := New(NewClock())
	if err != nil {
		t.Fatal(err)
	}
	plant(&l.syscalls)
	p := &played{}
	end := time.Now().Add(5 * time.Second)
	err = l.Run(stepper(func(_ time.Duration, e Event) []Effect {
		p.events = append(p.events, e)
		if e.Kind == Data {
			p.data = append(p.data, e.Data...)
		}
		effects := step(e)
		if e.Kind == Start {
			effects = append(effects, Effect{Op: SetTimer, At: l.clock.Now() + 5*time.Second})
		}
		if time.Now().After(end) {
			t.Error("the loop never came to its end")
			effects = append(effects, Effect{Op: Exit})
		}
		return effects
	}))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// peer listens and returns its address and a channel of the accepted connections.
func peer(t *testing.T) (netip.AddrPort, chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	came := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			came <- c
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), came
}

// acceptOne runs a loop with a listener to which one client connects, until over reports that an event is the last.
func acceptOne(t *testing.T, plant func(c *syscalls), over func(e Event) bool) *played {
	t.Helper()
	at := netip.MustParseAddrPort("127.0.0.1:0")
	free, err := net.Listen("tcp4", at.String())
	if err != nil {
		t.Fatal(err)
	}
	at = netip.MustParseAddrPort(free.Addr().String())
	free.Close()
	return run(t, plant, func(e Event) []Effect {
		switch {
		case e.Kind == Start:
			return []Effect{{Op: Listen, Conn: Listener, Addr: at}}
		case e.Kind == Listening:
			c, err := net.Dial("tcp4", at.String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		case e.Kind == Readable && e.Conn == Listener:
			return []Effect{{Op: Accept, Conn: Listener}}
		case over(e):
			return []Effect{{Op: Exit}}
		}
		return nil
	})
}

// An error that waits at one new connection, or an interruption, is no failure of the listener.
func TestAcceptPassesOverOneConnection(t *testing.T) {
	fail := failing(unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.EPERM,
		unix.ETIMEDOUT)
	p := acceptOne(t, func(c *syscalls) {
		accept := c.accept
		c.accept = func(fd int) (int, error) {
			if err := fail(); err != nil {
				return -1, err
			}
			return accept(fd)
		}
	}, func(e Event) bool { return e.Kind == Accepted })
	if slices.Contains(p.kinds(Listener), AcceptFailed) {
		t.Errorf("events %v", p.kinds(Listener))
	}
}

// Out of descriptors the listener reports it, and goes on once there are some again.
func TestAcceptGoesOnAfterENFILE(t *testing.T) {
	fail := failing(unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM)
	p := acceptOne(t, func(c *syscalls) {
		accept := c.accept
		c.accept = func(fd int) (int, error) {
			if err := fail(); err != nil {
				return -1, err
			}
			return accept(fd)
		}
	}, func(e Event) bool { return e.Kind == Accepted })
	failed := 0
	for _, kind := range p.kinds(Listener) {
		if kind == AcceptFailed {
			failed++
		}
	}
	if failed != 4 {
		t.Errorf("%d failures reported, want 4: %v", failed, p.kinds(Listener))
	}
}

// A connection that epoll cannot watch is reported as accepted before it is reported as broken: else the reducer
// would wait for it for ever.
func TestAnAcceptedConnectionThatCannotBeWatched(t *testing.T) {
	added := 0
	p := acceptOne(t, func(c *syscalls) {
		register := c.register
		c.register = func(epoll, op, fd int, event *unix.EpollEvent) error {
			if op == unix.EPOLL_CTL_ADD {
				if added++; added == 2 { // the listener is the first
					return unix.ENOMEM
				}
			}
			return register(epoll, op, fd, event)
		}
	}, func(e Event) bool { return e.Kind == Broken })
	if got := p.kinds(firstAccepted + 1); !slices.Equal(got, []Kind{Accepted, Broken}) {
		t.Errorf("events %v, want Accepted and then Broken", got)
	}
}

// dialOne runs a loop with a connection to a peer, which writes four bytes and reads all that it is sent.
func dialOne(t *testing.T, plant func(c *syscalls), write []byte) (*played, []byte) {
	t.Helper()
	at, came := peer(t)
	got := make(chan []byte, 1)
	go func() {
		c, ok := <-came
		if !ok {
			return
		}
		_, _ = io.WriteString(c, "word")
		raw, _ := io.ReadAll(c)
		got <- raw
		_ = c.Close()
	}()
	p := run(t, plant, func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: at}}
		case Connected:
			return []Effect{{Op: Write, Conn: 1, Data: write}}
		case Flushed:
			return []Effect{{Op: Shutdown, Conn: 1}}
		case Readable:
			return []Effect{{Op: Read, Conn: 1}}
		case Broken, EOF:
			return []Effect{{Op: Close, Conn: 1}, {Op: Exit}}
		}
		return nil
	})
	select {
	case raw := <-got:
		return p, raw
	case <-time.After(100 * time.Millisecond):
		return p, nil
	}
}

// Interrupted and short calls lose nothing: neither the connection, nor received data, nor the rest of written data.
func TestInterruptedAndShortCalls(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789"), 20_000)
	for name, plant := range map[string]func(c *syscalls){
		"connect is interrupted": func(c *syscalls) {
			connect := c.connect
			c.connect = func(fd int, to unix.Sockaddr) error {
				if err := connect(fd, to); err != nil && err != unix.EINPROGRESS {
					return err
				}
				return unix.EINTR
			}
		},
		"read is interrupted": func(c *syscalls) {
			read, fail := c.read, failing(unix.EINTR, unix.EINTR, unix.EINTR)
			c.read = func(fd int, buf []byte) (int, error) {
				if err := fail(); err != nil {
					return -1, err
				}
				return read(fd, buf)
			}
		},
		"reads are short": func(c *syscalls) {
			read := c.read
			c.read = func(fd int, buf []byte) (int, error) { return read(fd, buf[:1]) }
		},
		"sends are short and interrupted": func(c *syscalls) {
			send, n := c.send, 0
			c.send = func(fd int, data []byte) (int, error) {
				if n++; n%3 == 0 {
					return 0, unix.EINTR
				}
				return send(fd, data[:min(len(data), 997)])
			}
		},
		"waits are interrupted": func(c *syscalls) {
			wait, n := c.wait, 0
			c.wait = func(epoll int, ready []unix.EpollEvent, ms int) (int, error) {
				if n++; n%2 == 0 {
					return -1, unix.EINTR
				}
				return wait(epoll, ready, ms)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, got := dialOne(t, plant, large)
			if !bytes.Equal(got, large) || string(p.data) != "word" {
				t.Errorf("%d of %d bytes arrived, %q came; events %v", len(got), len(large), p.data, p.kinds(1))
			}
		})
	}
}

// A connection that fails because this machine has run out of a resource is distinguished from one whose peer
// cannot be reached.
func TestFailuresOfThisMachineAreToldApart(t *testing.T) {
	for _, c := range []struct {
		err   unix.Errno
		local bool
	}{
		{unix.EMFILE, true}, {unix.ENFILE, true}, {unix.ENOBUFS, true}, {unix.EADDRNOTAVAIL, true},
		{unix.ENETUNREACH, false}, {unix.ECONNREFUSED, false}, {unix.EHOSTUNREACH, false}, {unix.ETIMEDOUT, false},
	} {
		for name, plant := range map[string]func(*syscalls){
			"socket":  func(s *syscalls) { s.socket = func(int, int) (int, error) { return -1, c.err } },
			"connect": func(s *syscalls) { s.connect = func(int, unix.Sockaddr) error { return c.err } },
		} {
			p, _ := dialOne(t, plant, []byte("x"))
			last := p.events[len(p.events)-1]
			if last.Kind != Broken || last.Local != c.local {
				t.Errorf("%s fails with %v: event %v, local %v", name, c.err, last.Kind, last.Local)
			}
		}
	}
}

// A peer that has sent nothing is quiet though the peek at its socket is interrupted: its connection is used, not
// closed.
func TestAnInterruptedLookIsNoWord(t *testing.T) {
	at, _ := peer(t)
	p := run(t, func(c *syscalls) {
		peek, fail := c.peek, failing(unix.EINTR, unix.EINTR)
		c.peek = func(fd int, buf []byte) error {
			if err := fail(); err != nil {
				return err
			}
			return peek(fd, buf)
		}
	}, func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: at}}
		case Connected:
			return []Effect{{Op: WriteQuiet, Conn: 1, Data: []byte("x")}}
		case Flushed, Stale:
			return []Effect{{Op: Exit}}
		}
		return nil
	})
	if slices.Contains(p.kinds(1), Stale) {
		t.Errorf("events %v", p.kinds(1))
	}
}

// BenchmarkRead compares the kernel's call with the replaceable one: one jump more, and no allocation.
func BenchmarkRead(b *testing.B) {
	fd, err := unix.Open("/dev/zero", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer unix.Close(fd)
	l := &Loop{syscalls: kernelCalls()}
	buf := make([]byte, 64)
	for name, read := range map[string]func() (int, error){
		"kernel": func() (int, error) { return unix.Read(fd, buf) },
		"calls": func() (int, error) {
			return retryInterrupted(func() (int, error) { return l.syscalls.read(fd, buf) })
		},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if _, err := read(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
