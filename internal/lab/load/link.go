package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pool holds a target's idle connections. It returns the connection that has been idle longest, so that all of them
// stay in use.
type pool struct {
	mu   sync.Mutex
	idle []*clientConn
}

// get removes and returns the connection that has been idle longest, or returns nil. It drops closed connections.
func (p *pool) get() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		conn := p.idle[0]
		p.idle = p.idle[1:]
		if !conn.isClosed() {
			return conn
		}
	}
	return nil
}

// hasOpen reports whether an idle connection is open.
func (p *pool) hasOpen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle, func(c *clientConn) bool { return !c.isClosed() })
}

// put adds an idle connection.
func (p *pool) put(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, conn)
}

// drain removes and returns all idle connections.
func (p *pool) drain() (all []*clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, p.idle = p.idle, nil
	return all
}

// response is the response to a request, or the error in place of one.
type response struct {
	status     int
	body       []byte
	retryAfter time.Duration // from the Retry-After field; 0 if there was none
	close      bool          // the server closes the connection after this response
	err        error
	unread     bool          // the peer closed the connection before it read the request, see closedUnread
	receivedAt time.Duration // time of the run
}

// clientConn is a client's connection. A goroutine reads from it all the time, so that the end of an idle
// connection and bytes that no request expects are noticed at once.
type clientConn struct {
	net.Conn
	raw           net.Conn // the socket itself, not wrapped in a countedConn
	now           func() time.Duration
	onUnsolicited func(id, text string) // called with lastID and the start of bytes that no request expects
	mu            sync.Mutex            // guards waiter, written, lastID and closed
	waiter        chan response         // receives the expected response; nil if none is expected
	written       chan struct{}         // closed once the expected request is written; nil before the write begins
	lastID        string                // the id of the last request
	closed        bool
	served        int // requests that got a response on this connection
}

// dial opens a TCP connection without keep-alive probes.
func dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// newClientConn starts reading from conn. onClose is called once, when the connection is closed; onUnsolicited is
// called when bytes arrive that no request expects.
func newClientConn(conn net.Conn, onClose func(), now func() time.Duration,
	onUnsolicited func(id, text string)) *clientConn {
	c := &clientConn{Conn: &countedConn{Conn: conn, onClose: onClose}, raw: conn, now: now,
		onUnsolicited: onUnsolicited}
	go c.read()
	return c
}

// countedConn calls onClose on the first Close only, so that a connection's end is counted once.
type countedConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (c *countedConn) Close() error { c.once.Do(c.onClose); return c.Conn.Close() }

// isClosed reports whether the connection has ended or must not be used for further requests.
func (c *clientConn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// expectResponse returns the channel that receives the response to the request id, or the connection's error. It
// returns nil if the connection has already ended.
func (c *clientConn) expectResponse(id string) chan response {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.waiter, c.written, c.lastID = make(chan response, 1), nil, id
	return c.waiter
}

// beginWrite records that the write of the expected request begins. The caller calls the function that it returns when the
// write has ended.
func (c *clientConn) beginWrite() (ended func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	written := make(chan struct{})
	c.written = written
	return func() { close(written) }
}

// maxResponseBody is the number of bytes read of a response's body.
const maxResponseBody = 1 << 20

// read reads responses until the connection ends, passes each to its waiter, and closes the connection on bytes
// that no request expects.
func (c *clientConn) read() {
	in := bufio.NewReader(c.Conn)
	for {
		_, err := in.Peek(1)
		var resp response
		if err == nil {
			c.mu.Lock()
			expected, id := c.waiter != nil, c.lastID
			c.mu.Unlock()
			if !expected {
				head, _ := in.Peek(min(in.Buffered(), 40))
				c.onUnsolicited(id, string(head))
				err = errors.New("bytes that nobody asked for")
			} else {
				resp, err = c.readResponse(in)
			}
		} else {
			resp.unread = c.closedBeforeWrite() || c.closedUnread(err)
		}
		resp.err, resp.receivedAt = err, c.now()
		c.mu.Lock()
		waiter := c.waiter
		c.waiter = nil
		c.closed = c.closed || err != nil || resp.close
		c.mu.Unlock()
		if waiter != nil {
			waiter <- resp
		}
		if err != nil || resp.close {
			_ = c.Close()
			return
		}
	}
}

// closedBeforeWrite reports whether the connection, whose end has just been read, ended before the write of the expected
// request began. If it did not, closedBeforeWrite waits for the end of the write, which the kernel answers with a reset if
// the peer has closed.
func (c *clientConn) closedBeforeWrite() bool {
	c.mu.Lock()
	written := c.written
	if c.waiter == nil {
		c.closed = true // no request may be written any more
	}
	c.mu.Unlock()
	if written == nil {
		return true
	}
	<-written
	return false
}

// closedUnread reports whether a connection that ended before any byte of a response was closed before its peer
// read the request. On loopback a reset indicates this: the kernel sends one when the socket is closed with
// unread bytes, or when bytes arrive after the close. A clean end without a reset may come from a process that
// read the request and died.
func (c *clientConn) closedUnread(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	sock, ok := c.raw.(*net.TCPConn)
	if !ok || !errors.Is(err, io.EOF) {
		return false
	}
	raw, rawErr := sock.SyscallConn()
	if rawErr != nil {
		return false
	}
	pending := 0
	_ = raw.Control(func(fd uintptr) {
		pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return pending != 0
}

// readResponse reads one whole response and skips interim (1xx) responses.
func (c *clientConn) readResponse(in *bufio.Reader) (response, error) {
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return response{}, fmt.Errorf("unreadable answer: %w", err)
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBody))
		if err != nil {
			return response{}, fmt.Errorf("answer cut: %w", err)
		}
		return response{status: resp.StatusCode, body: body, retryAfter: retryAfter(resp.Header.Get("Retry-After")),
			close: resp.Close}, nil
	}
}

// retryAfter parses a Retry-After value in whole or decimal seconds. It returns 0 if the value is missing,
// malformed or not between 0 and 3600.
func retryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(s > 0 && s < 3600) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
