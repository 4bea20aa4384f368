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

// fakeEndpoint plays an endpoint. answer gets each request once it is whole, on its connection.
type fakeEndpoint struct {
	name    string
	ln      net.Listener
	respond func(c net.Conn, r *http.Request, body string)
	mu      sync.Mutex
	conns   int
	ids     []string // the ids of the requests that came whole
	closed  int      // connections that the gateway ended
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

func newEndpoint(t *testing.T, name string, answer func(net.Conn, *http.Request, string)) *fakeEndpoint {
	e := &fakeEndpoint{name: name, ln: listen(t), respond: answer}
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

func (e *fakeEndpoint) withLock(f func()) { e.mu.Lock(); defer e.mu.Unlock(); f() }

func (e *fakeEndpoint) counts() (conns, requests, closed int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns, len(e.ids), e.closed
}

func serveEach(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() { defer c.Close(); serve(c) }()
	}
}

// respondOK answers 200 with the id and the request's body.
func respondOK(c net.Conn, r *http.Request, body string) {
	writeResponse(c, "200 OK", "Endpoint-Load-Metrics: TEXT busy_reqs=1, pending=0\r\nX-Kept: yes\r\n",
		r.Header.Get("X-Trace-Id")+":"+body)
}

// serialResponder returns an answer that takes one request after another, and counts the most that wait for it at
// once.
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

func writeResponse(c net.Conn, status, fields, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// endpointEntry is an endpoint as discovery tells it; state is up, draining or removed.
func endpointEntry(endpoint *fakeEndpoint, state string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":0,"health":%q,"share":1.0,"born_ms":0}`,
		endpoint.name, endpoint.ln.Addr(), state)
}

func endpointList(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// fakeDiscovery plays discovery: a watch is answered with the list, then with what is told, then with beats.
type fakeDiscovery struct {
	ln        net.Listener
	polls     chan string      // the targets asked for
	send      chan string      // lines for the open watch; "cut" ends it
	firstLine func(int) string // the first line for the n-th call; "" answers 503
}

func newDiscovery(t *testing.T, reply func(int) string) *fakeDiscovery {
	d := &fakeDiscovery{ln: listen(t), polls: make(chan string, 64), send: make(chan string), firstLine: reply}
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
		closed := make(chan bool) // a watch that the gateway has ended must not take what is told
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

// fullBacklog is a listener on which connections never come up: nobody accepts and its queue is full.
func fullBacklog(t *testing.T) net.Listener {
	t.Helper()
	ln := shortBacklog(t)
	fillBacklog(t, ln)
	return ln
}

// shortBacklog is a listener whose queue holds one connection more than its backlog of 0.
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
	f := os.NewFile(uintptr(fd), "scarce")
	ln, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	f.Close()
	t.Cleanup(func() { ln.Close() })
	return ln
}

// fillBacklog has connections wait at a listener until no more come up, and returns those that did.
func fillBacklog(t *testing.T, ln net.Listener) (waiting int) {
	t.Helper()
	waitFor(t, "the queue to fill", func() bool {
		c, err := net.DialTimeout("tcp", ln.Addr().String(), 100*time.Millisecond)
		if err == nil {
			waiting++
			t.Cleanup(func() { c.Close() })
		}
		return err != nil
	})
	return waiting
}

// bulkEndpoint reads bodies as they come and answers with what the target's request asks for.
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
