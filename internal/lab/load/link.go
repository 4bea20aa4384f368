package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// pool holds a target's idle links. The longest idle one goes first, so that all stay in use.
type pool struct {
	mu   sync.Mutex
	idle []*link
}

func (p *pool) take() *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		l := p.idle[0]
		p.idle = p.idle[1:]
		if !l.ended() {
			return l
		}
	}
	return nil
}

func (p *pool) give(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, l)
}

func (p *pool) drain() (all []*link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, p.idle = p.idle, nil
	return all
}

// answer is what came for a request, or why nothing did.
type answer struct {
	status  int
	body    []byte
	after   time.Duration // Retry-After
	close   bool
	err     error
	crossed bool // the link closed without having read the request, see crossing
	at      time.Duration
}

// link is a client's connection. A goroutine reads from it all the time, so that the end of an idle one and
// what comes unasked are seen at once.
type link struct {
	net.Conn
	raw    net.Conn // the socket itself
	now    func() time.Duration
	stray  func(id, text string)
	mu     sync.Mutex
	want   chan answer // whoever waits for an answer
	last   string      // the id last asked
	over   bool
	served int // requests answered on it
}

func dial(ctx context.Context, addr string, within time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: within, KeepAlive: -1}
	return d.DialContext(ctx, "tcp", addr)
}

// newLink reads from a connection; its end is told by close.
func newLink(c net.Conn, end func(), now func() time.Duration, stray func(id, text string)) *link {
	l := &link{Conn: &closing{Conn: c, done: end}, raw: c, now: now, stray: stray}
	go l.read()
	return l
}

// closing counts a connection's end once.
type closing struct {
	net.Conn
	once sync.Once
	done func()
}

func (c *closing) Close() error { c.once.Do(c.done); return c.Conn.Close() }

func (l *link) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over
}

// ask prepares for the answer to an id; nil if the link has ended already.
func (l *link) ask(id string) chan answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return nil
	}
	l.want, l.last = make(chan answer, 1), id
	return l.want
}

// mostAnswer bounds an answer's body.
const mostAnswer = 1 << 20

func (l *link) read() {
	in := bufio.NewReader(l.Conn)
	for {
		_, err := in.Peek(1)
		var a answer
		if err == nil {
			l.mu.Lock()
			asked, id := l.want != nil, l.last
			l.mu.Unlock()
			if !asked {
				head, _ := in.Peek(min(in.Buffered(), 40))
				l.stray(id, string(head))
				err = errors.New("bytes that nobody asked for")
			} else {
				a, err = l.one(in)
			}
		} else {
			a.crossed = l.crossing(err)
		}
		a.err, a.at = err, l.now()
		l.mu.Lock()
		want := l.want
		l.want = nil
		l.over = l.over || err != nil || a.close
		l.mu.Unlock()
		if want != nil {
			want <- a
		}
		if err != nil || a.close {
			_ = l.Close()
			return
		}
	}
}

// crossing reports whether a link that ended before any byte of an answer had closed without reading the
// request. On loopback a reset says so: the system sends it when bytes lie unread at the close, or come after
// it. A clean end alone may be that of a process that had read the request and died.
func (l *link) crossing(err error) bool {
	if errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return true
	}
	sock, ok := l.raw.(*net.TCPConn)
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

// one reads one whole answer, past any 1xx.
func (l *link) one(in *bufio.Reader) (answer, error) {
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return answer{}, fmt.Errorf("unreadable answer: %w", err)
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, mostAnswer))
		if err != nil {
			return answer{}, fmt.Errorf("answer cut: %w", err)
		}
		return answer{status: resp.StatusCode, body: body, after: retryAfter(resp.Header.Get("Retry-After")),
			close: resp.Close}, nil
	}
}

// retryAfter reads seconds, whole or decimal.
func retryAfter(text string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(s > 0 && s < 3600) {
		return 0
	}
	return time.Duration(s * float64(time.Second))
}
