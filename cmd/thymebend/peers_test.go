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
	name   string
	ln     net.Listener
	answer func(c net.Conn, r *http.Request, body string)
	mu     sync.Mutex
	conns  int
	ids    []string // the ids of the requests that came whole
	ends   int      // connections that the gateway ended
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
	h := &fakeEndpoint{name: name, ln: listen(t), answer: answer}
	go each(h.ln, func(c net.Conn) {
		h.count(func() { h.conns++ })
		in := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				h.count(func() { h.ends++ })
				return
			}
			body, _ := io.ReadAll(r.Body)
			h.count(func() { h.ids = append(h.ids, r.Header.Get("X-Trace-Id")) })
			h.answer(c, r, string(body))
		}
	})
	return h
}

func (h *fakeEndpoint) count(f func()) { h.mu.Lock(); defer h.mu.Unlock(); f() }

func (h *fakeEndpoint) seen() (conns, asked, ends int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conns, len(h.ids), h.ends
}

func each(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() { defer c.Close(); serve(c) }()
	}
}

// ok answers 200 with the id and the request's body.
func ok(c net.Conn, r *http.Request, body string) {
	writeResponse(c, "200 OK", "Endpoint-Load-Metrics: TEXT busy_reqs=1, pending=0\r\nX-Kept: yes\r\n",
		r.Header.Get("X-Trace-Id")+":"+body)
}

// singleCore returns an answer that takes one request after another, and counts the most that wait for it at
// once.
func singleCore(most *atomic.Int32, load string) func(net.Conn, *http.Request, string) {
	var core sync.Mutex
	var held atomic.Int32
	return func(c net.Conn, r *http.Request, body string) {
		if n := held.Add(1); n > most.Load() {
			most.Store(n)
		}
		core.Lock()
		defer core.Unlock()
		time.Sleep(3 * time.Millisecond)
		held.Add(-1)
		writeResponse(c, "200 OK", load, r.Header.Get("X-Trace-Id")+":"+body)
	}
}

func writeResponse(c net.Conn, status, fields, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)
}

// entry is an endpoint as discovery tells it; state is up, draining or removed.
func entry(h *fakeEndpoint, state string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","class":"m","block":0,"health":%q,"share":1.0,"born_ms":0}`,
		h.name, h.ln.Addr(), state)
}

func endpointList(seq int, whole bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// fakeDiscovery plays discovery: a watch is answered with the list, then with what is told, then with beats.
type fakeDiscovery struct {
	ln    net.Listener
	polls chan string      // the targets asked for
	send  chan string      // lines for the open watch; "cut" ends it
	reply func(int) string // the first line for the n-th call; "" answers 503
}

func newDiscovery(t *testing.T, reply func(int) string) *fakeDiscovery {
	d := &fakeDiscovery{ln: listen(t), polls: make(chan string, 64), send: make(chan string), reply: reply}
	n := 0
	go each(d.ln, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		n++
		d.polls <- r.URL.String()
		line := d.reply(n)
		if line == "" {
			writeResponse(c, "503 Service Unavailable", "", "")
			return
		}
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		gone := make(chan bool) // a watch that the gateway has ended must not take what is told
		go func() { _, _ = io.Copy(io.Discard, c); close(gone) }()
		for line != "cut" {
			if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(line)+1, line); err != nil {
				return
			}
			select {
			case line = <-d.send:
			case <-gone:
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
	until(t, "the queue to fill", func() bool {
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
func bulkEndpoint(t *testing.T, name string, begun func(r *http.Request, c net.Conn) bool) *fakeEndpoint {
	h := &fakeEndpoint{name: name, ln: listen(t)}
	go each(h.ln, func(c net.Conn) {
		in := bufio.NewReaderSize(c, 4096)
		for {
			r, err := http.ReadRequest(in)
			if err != nil || begun != nil && !begun(r, c) {
				return
			}
			sum := sha256.New()
			n, err := io.Copy(sum, r.Body)
			if err != nil {
				return
			}
			got := fmt.Sprintf("%d %x", n, sum.Sum(nil)[:8])
			h.count(func() { h.ids = append(h.ids, r.Header.Get("X-Trace-Id")) })
			size, out := 0, bufio.NewWriter(c)
			fmt.Sscan(r.URL.Query().Get("size"), &size)
			switch r.URL.Query().Get("how") {
			case "chunks":
				fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Got: %s\r\nTransfer-Encoding: chunked\r\n\r\n", got)
				for left := size; left > 0; left -= 5000 {
					n := min(left, 5000)
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
				_, _ = io.Copy(out, pattern(size))
			}
			out.Flush()
		}
	})
	return h
}
