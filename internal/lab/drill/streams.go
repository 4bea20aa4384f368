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

// streamRelay accepts connections from one node and relays them to an address of another node.
type streamRelay struct {
	network    *network
	toTarget   *link
	fromTarget *link
	target     string // address to which connections are relayed
	listenAddr string // address at which the relay accepts connections
	ln         net.Listener
}

func (s *streamRelay) serve(ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond)
			continue
		}
		server, err := net.DialTimeout("tcp4", s.target, time.Second)
		if err != nil { // the target is not listening: refuse connections until it listens again
			s.network.onRefused(s.toTarget.from, s.toTarget.to)
			reset(client)
			_ = ln.Close()
			if ln = s.reopen(); ln == nil {
				return
			}
			continue
		}
		s.network.tasks.Go(func() { s.relay(client.(*net.TCPConn), server.(*net.TCPConn)) })
	}
}

// reopen waits until the target is listening and listens again. It returns nil if the network is closed.
func (s *streamRelay) reopen() net.Listener {
	for {
		time.Sleep(redialInterval)
		s.network.mu.Lock()
		closed := s.network.closed
		s.network.mu.Unlock()
		if closed {
			return nil
		}
		c, err := net.DialTimeout("tcp4", s.target, time.Second)
		if err != nil {
			continue
		}
		_ = c.Close()
		ln, err := net.Listen("tcp4", s.listenAddr)
		if err != nil {
			continue
		}
		s.network.mu.Lock()
		if s.network.closed {
			s.network.mu.Unlock()
			_ = ln.Close()
			return nil
		}
		s.ln = ln
		s.network.mu.Unlock()
		return ln
	}
}

// relay copies data between two connections until both directions have ended or one connection is reset.
func (s *streamRelay) relay(client, server *net.TCPConn) {
	pair := &connectionPair{relay: s, client: client, server: server, stop: make(chan bool),
		clientReadDone: make(chan bool)}
	s.network.mu.Lock()
	closing := s.network.closed
	s.network.mu.Unlock()
	if closing {
		pair.reset()
		return
	}
	var both sync.WaitGroup
	both.Go(func() { pair.pipe(client, server, s.toTarget); close(pair.clientReadDone) })
	both.Go(func() { pair.pipe(server, client, s.fromTarget) })
	both.Wait()
	_ = client.Close()
	_ = server.Close()
}

// awaitPath waits while the path is blocked, then for the path's delay. It returns false if stop is closed first.
func (s *streamRelay) awaitPath(l *link, stop chan bool) bool {
	for {
		changed := s.network.changeSignal(l)
		c := l.current.Load()
		if c.cut || c.stall {
			select {
			case <-changed:
			case <-stop:
				return false
			}
			continue
		}
		pause := s.network.drawDelay(c.Path)
		if s.network.drawChance(c.Loss) {
			pause += retransmitDelay
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

// streamAddress returns the address at which a node reaches the listening address of another node. It creates the
// relay on first use.
func (n *network) streamAddress(from, to, addr string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [3]string{from, to, addr}
	if relay := n.streamRelays[key]; relay != nil {
		return relay.listenAddr, nil
	}
	ln, err := net.Listen("tcp4", netip.AddrPortFrom(n.ip, 0).String())
	if err != nil {
		return "", fmt.Errorf("drill: relay from %s to %s: %w", from, to, err)
	}
	relay := &streamRelay{network: n, toTarget: n.link(from, to), fromTarget: n.link(to, from), target: addr,
		listenAddr: ln.Addr().String(), ln: ln}
	n.streamRelays[key] = relay
	n.tasks.Go(func() { relay.serve(ln) })
	return relay.listenAddr, nil
}

// reset closes a connection so that the peer sees a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// connectionPair is a client connection and the server connection to which it is relayed.
type connectionPair struct {
	relay          *streamRelay
	client, server *net.TCPConn
	stop           chan bool // closed when the pair is reset
	once           sync.Once
	serverEnded    atomic.Bool // the server has closed: no more data is accepted from the client
	dataCrossed    atomic.Bool // client data was in transit when the server closed
	clientReadDone chan bool   // closed when the relay has stopped reading from the client
}

func (p *connectionPair) reset() {
	p.once.Do(func() { close(p.stop); reset(p.client); reset(p.server) })
}

// endByServer closes the client connection as the server would have without the relay: with a reset if client data
// was in transit when the server closed. A client determines by that reset whether its request was read.
func (p *connectionPair) endByServer() {
	p.serverEnded.Store(true)
	_ = p.client.SetReadDeadline(time.Now())
	<-p.clientReadDone
	if p.dataCrossed.Load() || wasReset(p.server) {
		p.reset()
		return
	}
	_ = p.client.Close() // unread bytes turn the close into a reset
}

func (p *connectionPair) pipe(in, out *net.TCPConn, l *link) {
	buf := make([]byte, readSize)
	fromClient := in == p.client
	for !fromClient || !p.serverEnded.Load() {
		_ = in.SetReadDeadline(time.Now().Add(readTimeout))
		size, err := in.Read(buf)
		if size > 0 && fromClient && p.serverEnded.Load() {
			p.dataCrossed.Store(true)
			return
		}
		if size > 0 || err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			if !p.relay.awaitPath(l, p.stop) {
				p.reset()
				return
			}
		}
		if size > 0 {
			if _, err := out.Write(buf[:size]); err != nil {
				p.reset()
				return
			}
			l.carried.Add(1)
		}
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			p.relay.network.mu.Lock()
			closed := p.relay.network.closed
			p.relay.network.mu.Unlock()
			select {
			case <-p.stop:
				return
			default:
			}
			if closed {
				p.reset()
				return
			}
		case errors.Is(err, io.EOF) && fromClient:
			_ = out.CloseWrite()
			return
		case errors.Is(err, io.EOF):
			p.endByServer()
			return
		default:
			p.reset()
			return
		}
	}
}

// wasReset reports whether a connection was reset. A read that returns EOF does not show a reset that follows.
func wasReset(c *net.TCPConn) bool {
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
