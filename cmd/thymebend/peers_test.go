package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// fakeEndpoint emulates an endpoint. It calls respond with each complete request and its connection.
type fakeEndpoint struct {
	name    string
	ln      net.Listener
	respond func(c net.Conn, r *http.Request, body string)
	mu      sync.Mutex
	conns   int
	ids     []string // ids of the requests received completely
	closed  int      // connections on which no further request could be read, usually because the gateway closed them
}

// listen returns a listener on a free loopback port that is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// newEndpoint starts an emulated endpoint.
func newEndpoint(t *testing.T, name string, respond func(net.Conn, *http.Request, string)) *fakeEndpoint {
	e := &fakeEndpoint{name: name, ln: listen(t), respond: respond}
	go serveEach(e.ln, func(c net.Conn) {
		e.withLock(func() { e.conns++ })
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				e.withLock(func() { e.closed++ })
				return
			}
			body, _ := io.ReadAll(r.Body)
			e.withLock(func() { e.ids = append(e.ids, r.Header.Get("X-Trace-Id")) })
			e.respond(c, r, string(body))
		}
	})
	return e
}

// withLock calls f with the endpoint's mutex held.
func (e *fakeEndpoint) withLock(f func()) { e.mu.Lock(); defer e.mu.Unlock(); f() }

// counts returns the number of accepted connections, complete requests and ended connections.
func (e *fakeEndpoint) counts() (conns, requests, closed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns, len(e.ids), e.closed
}

// serveEach accepts connections until the listener is closed and serves each in a goroutine, then closes it.
func serveEach(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() { defer c.Close(); serve(c) }()
	}
}

// respondOK responds with 200, a load report, and the id and body of the request as the body.
func respondOK(c net.Conn, r *http.Request, body string) {
	writeResponse(c, "200 OK", "Endpoint-Load-Metrics: TEXT busy_reqs=1, pending=0\r\nX-Kept: yes\r\n",
		r.Header.Get("X-Trace-Id")+":"+body)
}

// serialResponder returns a responder that processes one request at a time, for 3 ms each. It stores the maximum
// number of requests present at once in maxWaiting and sends load as the fields of each response.
func serialResponder(maxWaiting *atomic.Int32, load string) func(net.Conn, *http.Request, string) {
	var core sync.Mutex
	var waiting atomic.Int32
	return func(c net.Conn, r *http.Request, body string) {
		if n := waiting.Add(1); n > maxWaiting.Load() {
			maxWaiting.Store(n)
		}
		core.Lock()
		defer core.Unlock()
		time.Sleep(3 * time.Millisecond)
		waiting.Add(-1)
		writeResponse(c, "200 OK", load, r.Header.Get("X-Trace-Id")+":"+body)
	}
}

// writeResponse writes a response with Content-Length. fields must end with a line break unless empty.
func writeResponse(c net.Conn, status, fields, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// endpointEntry returns the JSON of an endpoint as discovery sends it. state is up, draining or removed.
func endpointEntry(endpoint *fakeEndpoint, state string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":0,"health":%q,"share":1.0,"born_ms":0}`,
		endpoint.name, endpoint.ln.Addr(), state)
}

// endpointList returns the JSON of a list: the whole list if whole is true, otherwise the changed entries.
func endpointList(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// fakeDiscovery emulates discovery. It responds to a watch with firstLine, then with each line of send, and with an
// empty line after each second without one.
type fakeDiscovery struct {
	ln        net.Listener
	polls     chan string      // request targets of the polls
	send      chan string      // lines for the open watch; "cut" ends it
	firstLine func(int) string // first line of the response to the n-th poll; "" means 503
}

// newDiscovery starts an emulated discovery.
func newDiscovery(t *testing.T, firstLine func(int) string) *fakeDiscovery {
	d := &fakeDiscovery{ln: listen(t), polls: make(chan string, 64), send: make(chan string), firstLine: firstLine}
	n := 0
	go serveEach(d.ln, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n++
		d.polls <- r.URL.String()
		line := d.firstLine(n)
		if line == "" {
			writeResponse(c, "503 Service Unavailable", "", "")
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		closed := make(chan bool) // an ended watch must not take lines from send
		go func() { _, _ = io.Copy(io.Discard, c); close(closed) }()
		for line != "cut" {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line); err != nil {
				return
			}
			select {
			case line = <-d.send:
			case <-closed:
				return
			case <-time.After(time.Second):
				line = ""
			}
		}
	})
	return d
}

// fullBacklog returns a listener to which no connection can be established: its backlog is full and nothing accepts.
func fullBacklog(t *testing.T) net.Listener {
	t.Helper()
	ln := shortBacklog(t)
	fillBacklog(t, ln)
	return ln
}

// shortBacklog returns a listener with a backlog of 0, for which the kernel queues one connection.
func shortBacklog(t *testing.T) net.Listener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "short backlog")
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	t.Cleanup(func() { ln.Close() })
	return ln
}

// fillBacklog connects to a listener that does not accept until a connection is no longer established. It returns the
// number of established connections.
func fillBacklog(t *testing.T, ln net.Listener) (waiting int) {
	t.Helper()
	waitFor(t, "the backlog to fill", func() bool {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err == nil {
			waiting++
			t.Cleanup(func() { c.Close() })
		}
		return err != nil
	})
	return waiting
}

// bulkEndpoint starts an emulated endpoint that hashes bodies while it reads them. Its response has the size and
// framing that the query parameters size and how request. accept may examine a request before its body is read, and
// return false to end the connection.
func bulkEndpoint(t *testing.T, name string, accept func(r *http.Request, c net.Conn) bool) *fakeEndpoint {
	e := &fakeEndpoint{name: name, ln: listen(t)}
	go serveEach(e.ln, func(c net.Conn) {
		in := bufio.NewReaderSize(c, 4096)
		for {
			r, err := http.ReadRequest(in)
			if err != nil || accept != nil && !accept(r, c) {
				return
			}
			sum := sha256.New()
			n, err := io.Copy(sum, r.Body)
			if err != nil {
				return
			}
			got := fmt.Sprintf("%d %x", n, sum.Sum(nil)[:8])
			e.withLock(func() { e.ids = append(e.ids, r.Header.Get("X-Trace-Id")) })
			size, out := 0, bufio.NewWriter(c)
			fmt.Sscan(r.URL.Query().Get("size"), &size)
			switch r.URL.Query().Get("how") {
			case "chunks":
				fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Got: %s\r\nTransfer-Encoding: chunked\r\n\r\n", got)
				for remaining := size; remaining > 0; remaining -= 5000 {
					n := min(remaining, 5000)
					fmt.Fprintf(out, "%x;ext=1\r\n%s\r\n", n, strings.Repeat("z", n))
				}
				fmt.Fprint(out, "0\r\nTrailer: t\r\n\r\n")
			case "close":
				fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Got: %s\r\n\r\n%s", got, strings.Repeat("z", size))
				out.Flush()
				return
			case "break":
				fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size,
					strings.Repeat("z", size/2))
				out.Flush()
				return
			default:
				fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Got: %s\r\nContent-Length: %d\r\n\r\n", got, size)
				_, _ = io.Copy(out, patternReader(size))
			}
			out.Flush()
		}
	})
	return e
}
