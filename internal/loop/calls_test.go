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

// failuresInOrder returns a function that returns one error of the list at each call, and nil after the last.
func failuresInOrder(errnos ...unix.Errno) func() error {
	return func() error {
		if len(errnos) == 0 {
			return nil
		}
		next := errnos[0]
		errnos = errnos[1:]
		return next
	}
}

// recording holds the events that a loop has delivered, and the data of its Data events.
type recording struct {
	events   []Event
	received []byte
}

// kinds returns the kinds of the events of a socket, in order.
func (r *recording) kinds(conn Conn) (list []Kind) {
	for _, e := range r.events {
		if e.Conn == conn {
			list = append(list, e.Kind)
		}
	}
	return list
}

// runLoop runs a loop with injected system-call failures until step returns Exit, and returns the recorded events. The
// test fails if that takes longer than 5 s.
func runLoop(t *testing.T, inject func(c *syscalls), step func(e Event) []Effect) *recording {
	t.Helper()
	l, err := New(NewClock())
	if err != nil {
		t.Fatal(err)
	}
	inject(&l.syscalls)
	r := &recording{}
	end := time.Now().Add(5 * time.Second)
	err = l.Run(stepper(func(_ time.Duration, e Event) []Effect {
		r.events = append(r.events, e)
		if e.Kind == Data {
			r.received = append(r.received, e.Data...)
		}
		effects := step(e)
		if e.Kind == Start {
			effects = append(effects, Effect{Op: SetTimer, At: l.clock.Now() + 5*time.Second})
		}
		if time.Now().After(end) {
			t.Error("the loop did not exit within 5 s")
			effects = append(effects, Effect{Op: Exit})
		}
		return effects
	}))
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// listenPeer opens a listener and returns its address and a channel of the connections that it accepts.
func listenPeer(t *testing.T) (netip.AddrPort, chan net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String()), accepted
}

// acceptOneClient runs a loop with a listener to which one client connects. The loop exits at the first event for
// which isLast returns true, apart from the events with which it listens and accepts.
func acceptOneClient(t *testing.T, inject func(c *syscalls), isLast func(e Event) bool) *recording {
	t.Helper()
	addr := netip.MustParseAddrPort("127.0.0.1:0")
	reserved, err := net.Listen("tcp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	addr = netip.MustParseAddrPort(reserved.Addr().String())
	reserved.Close()
	return runLoop(t, inject, func(e Event) []Effect {
		switch {
		case e.Kind == Start:
			return []Effect{{Op: Listen, Conn: Listener, Addr: addr}}
		case e.Kind == Listening:
			c, err := net.Dial("tcp4", addr.String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
		case e.Kind == Readable && e.Conn == Listener:
			return []Effect{{Op: Accept, Conn: Listener}}
		case isLast(e):
			return []Effect{{Op: Exit}}
		}
		return nil
	})
}

// Guards against reporting a listener as failed because accept was interrupted or failed for a single new connection.
func TestAcceptSkipsFailedConnections(t *testing.T) {
	fail := failuresInOrder(unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.EPERM,
		unix.ETIMEDOUT)
	recorded := acceptOneClient(t, func(c *syscalls) {
		accept := c.accept
		c.accept = func(fd int) (int, error) {
			if err := fail(); err != nil {
				return -1, err
			}
			return accept(fd)
		}
	}, func(e Event) bool { return e.Kind == Accepted })
	if slices.Contains(recorded.kinds(Listener), AcceptFailed) {
		t.Errorf("the listener reported AcceptFailed: events %v", recorded.kinds(Listener))
	}
}

// A listener that cannot accept because descriptors or memory have run out reports each failure, and accepts again
// once the resource is available.
func TestAcceptResumesAfterResourceErrors(t *testing.T) {
	fail := failuresInOrder(unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM)
	recorded := acceptOneClient(t, func(c *syscalls) {
		accept := c.accept
		c.accept = func(fd int) (int, error) {
			if err := fail(); err != nil {
				return -1, err
			}
			return accept(fd)
		}
	}, func(e Event) bool { return e.Kind == Accepted })
	failed := 0
	for _, kind := range recorded.kinds(Listener) {
		if kind == AcceptFailed {
			failed++
		}
	}
	if failed != 4 {
		t.Errorf("AcceptFailed was reported %d times, want 4: events %v", failed, recorded.kinds(Listener))
	}
}

// A connection that cannot be registered with epoll must be reported as accepted before it is reported as broken. In
// the other order, the reducer would wait for events of that connection for ever.
func TestAcceptedIsReportedBeforeRegistrationFailure(t *testing.T) {
	added := 0
	recorded := acceptOneClient(t, func(c *syscalls) {
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
	if got := recorded.kinds(firstAccepted + 1); !slices.Equal(got, []Kind{Accepted, Broken}) {
		t.Errorf("events %v, want Accepted and then Broken", got)
	}
}

// dialAndExchange runs a loop that connects to a peer and writes data to it. The peer writes the four bytes "word" and
// reads until the connection ends. The function returns the recorded events and the data that the peer has read, or
// nil if the peer did not read to the end.
func dialAndExchange(t *testing.T, inject func(c *syscalls), write []byte) (*recording, []byte) {
	t.Helper()
	addr, accepted := listenPeer(t)
	got := make(chan []byte, 1)
	go func() {
		c, ok := <-accepted
		if !ok {
			return
		}
		_, _ = io.WriteString(c, "word")
		raw, _ := io.ReadAll(c)
		got <- raw
		_ = c.Close()
	}()
	recorded := runLoop(t, inject, func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: addr}}
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
		return recorded, raw
	case <-time.After(100 * time.Millisecond):
		return recorded, nil
	}
}

// An interrupted system call, or one that transfers fewer bytes than requested, loses neither the connection nor data
// in either direction.
func TestInterruptedAndShortCallsLoseNoData(t *testing.T) {
	large := bytes.Repeat([]byte("0123456789"), 20_000)
	for name, inject := range map[string]func(c *syscalls){
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
			read, fail := c.read, failuresInOrder(unix.EINTR, unix.EINTR, unix.EINTR)
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
			recorded, got := dialAndExchange(t, inject, large)
			if !bytes.Equal(got, large) || string(recorded.received) != "word" {
				t.Errorf("the peer received %d of %d bytes, the loop received %q; events %v", len(got), len(large),
					recorded.received, recorded.kinds(1))
			}
		})
	}
}

// A Broken event distinguishes a dial that failed because this machine has run out of a resource from one whose peer
// cannot be reached.
func TestDialReportsLocalResourceErrors(t *testing.T) {
	for _, c := range []struct {
		err   unix.Errno
		local bool
	}{
		{unix.EMFILE, true}, {unix.ENFILE, true}, {unix.ENOBUFS, true}, {unix.EADDRNOTAVAIL, true},
		{unix.ENETUNREACH, false}, {unix.ECONNREFUSED, false}, {unix.EHOSTUNREACH, false}, {unix.ETIMEDOUT, false},
	} {
		for name, inject := range map[string]func(*syscalls){
			"socket":  func(s *syscalls) { s.socket = func(int, int) (int, error) { return -1, c.err } },
			"connect": func(s *syscalls) { s.connect = func(int, unix.Sockaddr) error { return c.err } },
		} {
			recorded, _ := dialAndExchange(t, inject, []byte("x"))
			last := recorded.events[len(recorded.events)-1]
			if last.Kind != Broken || last.LocalFailure != c.local {
				t.Errorf("%s fails with %v: last event has kind %v, LocalFailure %v", name, c.err, last.Kind,
					last.LocalFailure)
			}
		}
	}
}

// Guards against timers that precede data which has arrived, because the wait was interrupted, as in a process that was
// stopped and continued: an attempt would be written to an endpoint whose removal has already been received.
func TestDataPrecedesTimersAfterAnInterruptedWait(t *testing.T) {
	const stopped = 20 * time.Millisecond
	addr, accepted := listenPeer(t)
	connected, interrupted := false, false
	recorded := runLoop(t, func(c *syscalls) {
		wait := c.wait
		c.wait = func(epoll int, ready []unix.EpollEvent, ms int) (int, error) {
			if connected && !interrupted {
				interrupted = true
				time.Sleep(2 * stopped)
				return -1, unix.EINTR
			}
			return wait(epoll, ready, ms)
		}
	}, func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: addr}}
		case Connected:
			if _, err := io.WriteString(<-accepted, "gone"); err != nil {
				t.Error(err)
			}
			connected = true
			return []Effect{{Op: SetTimer, Timer: Timer{Kind: 1}, At: time.Duration(time.Now().Add(stopped).UnixNano())}}
		case Readable:
			return []Effect{{Op: Read, Conn: 1}}
		case TimerDue:
			return []Effect{{Op: Exit}}
		}
		return nil
	})
	if string(recorded.received) != "gone" {
		t.Errorf("the timer came first; events %v", recorded.kinds(1))
	}
}

// Guards against discarding an idle connection, whose peer has sent nothing, because the peek at its socket was
// interrupted.
func TestInterruptedPeekMeansIdle(t *testing.T) {
	addr, _ := listenPeer(t)
	recorded := runLoop(t, func(c *syscalls) {
		peek, fail := c.peek, failuresInOrder(unix.EINTR, unix.EINTR)
		c.peek = func(fd int, buf []byte) error {
			if err := fail(); err != nil {
				return err
			}
			return peek(fd, buf)
		}
	}, func(e Event) []Effect {
		switch e.Kind {
		case Start:
			return []Effect{{Op: Dial, Conn: 1, Addr: addr}}
		case Connected:
			return []Effect{{Op: WriteIfIdle, Conn: 1, Data: []byte("x")}}
		case Flushed, Stale:
			return []Effect{{Op: Exit}}
		}
		return nil
	})
	if slices.Contains(recorded.kinds(1), Stale) {
		t.Errorf("an idle connection was reported as stale: events %v", recorded.kinds(1))
	}
}

// BenchmarkRead compares a direct call of the kernel with a call through syscalls, which costs one more jump and no
// allocation.
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
