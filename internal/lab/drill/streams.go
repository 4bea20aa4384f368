package drill

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// door is where a name connects to for another one's address.
type door struct {
	n     *network
	there *way
	back  *way
	addr  string // behind it
	at    string // its own
	ln    net.Listener
}

func (d *door) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond)
			continue
		}
		out, err := net.DialTimeout("tcp4", d.addr, time.Second)
		if err != nil { // nobody is there: the door is shut until somebody is
			d.n.shut(d.there.from, d.there.to)
			reset(c)
			_ = ln.Close()
			if ln = d.reopen(); ln == nil {
				return
			}
			continue
		}
		d.n.served.Go(func() { d.join(c.(*net.TCPConn), out.(*net.TCPConn)) })
	}
}

// reopen waits until the other side is there again, and returns nil when the network ends.
func (d *door) reopen() net.Listener {
	for {
		time.Sleep(lookAgain)
		d.n.mu.Lock()
		closed := d.n.closed
		d.n.mu.Unlock()
		if closed {
			return nil
		}
		c, err := net.DialTimeout("tcp4", d.addr, time.Second)
		if err != nil {
			continue
		}
		_ = c.Close()
		ln, err := net.Listen("tcp4", d.at)
		if err != nil {
			continue
		}
		d.n.mu.Lock()
		if d.n.closed {
			d.n.mu.Unlock()
			_ = ln.Close()
			return nil
		}
		d.ln = ln
		d.n.mu.Unlock()
		return ln
	}
}

// join carries two connections into one another until both directions have ended, or one is reset.
func (d *door) join(c, out *net.TCPConn) {
	j := &joint{d: d, c: c, out: out, stop: make(chan bool), read: make(chan bool)}
	d.n.mu.Lock()
	closing := d.n.closed
	d.n.mu.Unlock()
	if closing {
		j.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { j.pipe(c, out, d.there); close(j.read) })
	both.Go(func() { j.pipe(out, c, d.back) })
	both.Wait()
	_ = c.Close()
	_ = out.Close()
}

// wait suppresses what a path does not carry now, and reports whether it may go on.
func (d *door) wait(w *way, stop chan bool) bool {
	for {
		over := d.n.changed(w)
		c := w.now.Load()
		if c.cut || c.stall {
			select {
			case <-over:
			case <-stop:
				return false
			}
			continue
		}
		pause := d.n.delay(c.Path)
		if d.n.chance(c.Loss) {
			pause += repeat
		}
		if pause > 0 {
			select {
			case <-time.After(pause):
			case <-stop:
				return false
			}
		}
		return true
	}
}

// stream returns the address by which a name reaches another one's listening address.
func (n *network) stream(from, to, addr string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [3]string{from, to, addr}
	if d := n.doors[key]; d != nil {
		return d.at, nil
	}
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(n.ip, 0).String())
	if err != nil {
		return "", fmt.Errorf("drill: relay from %s to %s: %w", from, to, err)
	}
	d := &door{n: n, there: n.way(from, to), back: n.way(to, from), addr: addr, at: ln.Addr().String(), ln: ln}
	n.doors[key] = d
	n.served.Go(func() { d.serve(ln) })
	return d.at, nil
}

// reset ends a connection so that its other side sees it.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// joint is two connections that are carried into one another.
type joint struct {
	d       *door
	c, out  *net.TCPConn
	stop    chan bool // closed at a reset
	once    sync.Once
	ending  atomic.Bool // the server has ended: nothing more is taken from the client
	crossed atomic.Bool // and something was in hand for it
	read    chan bool   // closed once nothing is taken from the client any more
}

func (j *joint) reset() { j.once.Do(func() { close(j.stop); reset(j.c); reset(j.out) }) }

// serverEnds ends the client's connection as the server's end would have without the relay: with a
// reset if something that the client sent crossed it. A client tells by that whether its request was
// read.
func (j *joint) serverEnds() {
	j.ending.Store(true)
	_ = j.c.SetReadDeadline(time.Now())
	<-j.read
	if j.crossed.Load() || broken(j.out) {
		j.reset()
		return
	}
	_ = j.c.Close() // bytes that lie unread make a reset of it
}

func (j *joint) pipe(in, out *net.TCPConn, w *way) {
	buf := make([]byte, chunk)
	fromClient := in == j.c
	for !fromClient || !j.ending.Load() {
		_ = in.SetReadDeadline(time.Now().Add(readFor))
		size, err := in.Read(buf)
		if size > 0 && fromClient && j.ending.Load() {
			j.crossed.Store(true)
			return
		}
		if size > 0 || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			if !j.d.wait(w, j.stop) {
				j.reset()
				return
			}
		}
		if size > 0 {
			if _, err := out.Write(buf[:size]); err != nil {
				j.reset()
				return
			}
			w.carried.Add(1)
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			j.d.n.mu.Lock()
			closed := j.d.n.closed
			j.d.n.mu.Unlock()
			select {
			case <-j.stop:
				return
			default:
			}
			if closed {
				j.reset()
				return
			}
		case errors.Is(err, io.EOF) && fromClient:
			_ = out.CloseWrite()
			return
		case errors.Is(err, io.EOF):
			j.serverEnds()
			return
		default:
			j.reset()
			return
		}
	}
}

// broken tells whether a connection was reset, which a read that ends regularly does not show.
func broken(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	pending := 0
	if err := raw.Control(func(fd uintptr) {
		pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET,
			syscall.SO_ERROR)
	}); err != nil {
		return true
	}
	return pending != 0
}
