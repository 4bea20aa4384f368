package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// host is a stand-in for a server: it reads a request whole, works for a while and answers 200 with a body that names
// the request. From hang on it neither reads nor answers, and its connections stay open.
type host struct {
	name     string
	address  string
	service  time.Duration
	rec      *record
	listener net.Listener
	long     int // size of the answers to GET, in bytes; 0 for short ones
	hung     chan struct{}
	ended    chan struct{}
	hangOnce sync.Once
	mu       sync.Mutex
	runs     map[string]int       // how often each request ran, by id
	begun    map[string]time.Time // when the head of each request's last attempt came, by id
}

// newHost starts a host on a free port.
func newHost(rec *record, name string, service time.Duration) (*host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &host{name: name, address: listener.Addr().String(), service: service, rec: rec, listener: listener,
		hung: make(chan struct{}), ended: make(chan struct{}), runs: make(map[string]int),
		begun: make(map[string]time.Time)}
	go func() { _ = (&http.Server{Handler: h}).Serve(listener) }()
	return h, nil
}

// hang makes the host hang until the run ends.
func (h *host) hang() {
	h.hangOnce.Do(func() {
		h.rec.printf("host %s hangs from now on", h.name)
		close(h.hung)
	})
}

// isHung reports whether the host hangs.
func (h *host) isHung() bool {
	select {
	case <-h.hung:
		return true
	default:
		return false
	}
}

// hangingReader reads a body until its host hangs.
type hangingReader struct {
	h *host
	r io.Reader
}

// Read reads unless the host hangs; then it waits for the end of the run.
func (g hangingReader) Read(p []byte) (int, error) {
	if g.h.isHung() {
		<-g.h.ended
		return 0, io.ErrUnexpectedEOF
	}
	return g.r.Read(p)
}

// ServeHTTP implements http.Handler.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Trace-Id")
	switch {
	case r.URL.Path == "/healthz":
		return // a probe: 200
	case id == "":
		w.WriteHeader(http.StatusNotFound)
		return
	}
	h.mu.Lock()
	h.begun[id] = time.Now()
	h.mu.Unlock()
	n, err := io.Copy(io.Discard, hangingReader{h, r.Body})
	if err != nil {
		h.rec.printf("host %s: %s broke after %d bytes of its body: %v", h.name, id, n, err)
		return
	}
	h.mu.Lock()
	h.runs[id]++
	times := h.runs[id]
	h.mu.Unlock()
	h.rec.printf("host %s: %s came whole (%d bytes of body), run %d", h.name, id, n, times)
	select {
	case <-time.After(h.service):
	case <-h.hung:
	}
	if h.isHung() {
		<-h.ended
		return
	}
	body := answerBody(id, n)
	if h.long > 0 && r.Method == "GET" {
		body = string(longBody(id, h.long))
	}
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	if sent, err := io.WriteString(w, body); err != nil {
		h.rec.printf("host %s: the answer to %s broke after %d of %d bytes: %v", h.name, id, sent, len(body), err)
	}
}

// answerBody is the body of a host's answer to a request.
func answerBody(id string, n int64) string { return fmt.Sprintf("served %s of %d\n", id, n) }

// close ends the host.
func (h *host) close() {
	close(h.ended)
	h.listener.Close()
}

// isServedBody reports whether body is a host's answer to the request.
func isServedBody(body, id string) bool { return strings.HasPrefix(body, "served "+id+" of ") }

// attempt returns when the head of the last attempt of a request came, zero if none came, and whether the request came
// whole.
func (h *host) attempt(id string) (begun time.Time, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.begun[id], h.runs[id] > 0
}
