package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against forwarding for a client that left while its connection was not read and its request was
// queued.
func TestClientLeavesOnAPausedConnection(t *testing.T) {
	for name, raw := range map[string]string{
		"sent far ahead": viewRequest("gone", 25000) + strings.Repeat(viewRequest("more", 1900), 1100),
		// More than the gateway takes in before there is an endpoint: the rest lies unread.
		"in the middle of a body": strings.NewReplacer("Content-Length: 184320", "Content-Length: 200000",
			"2500m", "25000m").Replace(lodgeRequest("gone", strings.Repeat("x", 180<<10))),
	} {
		t.Run(name, func(t *testing.T) {
			h := newEndpoint(t, "s-1", respondOK)
			empty := endpointList(1, true)
			long := map[string]any{"settings": longDeadlineSettings()}
			g := startUnready(t, long, empty, newDiscovery(t, func(int) string { return empty }))
			<-g.discovery.polls
			c := g.dial()
			if _, err := io.WriteString(c, raw); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "the link to be read no further", func() bool { return g.hasLogged("read no further") })
			c.Close()
			closedAt := time.Now()
			waitFor(t, "the client's end to be seen", func() bool { return g.hasLogged(`"end":"client gone"`) })
			// The request is rejected some 6 s after it came, and the connection read on.
			if delay := time.Since(closedAt); delay > 2*time.Second {
				t.Errorf("seen after %v", delay)
			}
			g.discovery.send <- endpointList(2, false, endpointEntry(h, "up"))
			if status, _, _ := roundTrip(t, g.dial(), viewRequest("stays", 25000)); status != 200 {
				t.Errorf("a client that stays got %d", status)
			}
			h.withLock(func() {
				if h.conns != 1 || len(h.ids) != 1 || h.ids[0] != "stays" {
					t.Errorf("%d connections, asked %v", h.conns, h.ids)
				}
			})
		})
	}
}

// Guards against forwarding a request that comes in one round of events with its client's close.
func TestRequestAndCloseInOneEventBatch(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, h)
	staying := g.dial()
	if status, _, _ := roundTrip(t, staying, viewRequest("before", 900)); status != 200 {
		t.Fatal(status)
	}
	leaving := g.dial()
	roundTrip(t, leaving, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") // it is accepted
	g.signal(syscall.SIGSTOP)
	if _, err := io.WriteString(leaving, viewRequest("left", 1900)+viewRequest("behind", 1900)); err != nil {
		t.Fatal(err)
	}
	leaving.Close()
	if _, err := io.WriteString(staying, viewRequest("stays", 1900)); err != nil {
		t.Fatal(err)
	}
	g.signal(syscall.SIGCONT)
	if status, _, _ := readResponse(staying); status != 200 {
		t.Errorf("the client that stays got %d", status)
	}
	h.withLock(func() {
		for _, id := range h.ids {
			if id == "left" || id == "behind" {
				t.Errorf("asked for a client that had left: %v", h.ids)
			}
		}
	})
}

// Guards against writing for a client that left while the upstream connection came up.
func TestClientLeavesWhileConnecting(t *testing.T) {
	h := &fakeEndpoint{name: "s-1", ln: shortBacklog(t)}
	g := start(t, map[string]any{"settings": settingsWithReplacement(`"connect_timeout_ms":250`,
		`"connect_timeout_ms":5000`)}, h)
	waiting := fillBacklog(t, h.ln)
	c := g.dial()
	if _, err := io.WriteString(c, lodgeRequest("left", "x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the connection, which the full queue keeps from coming up",
		func() bool { return connecting(t, h.ln.Addr()) })
	c.Close()
	waitFor(t, "the client's end to be seen", func() bool { return g.hasLogged(`"end":"client gone"`) })
	waitFor(t, "the connection to be given up", func() bool { return !connecting(t, h.ln.Addr()) })
	for range waiting {
		if _, err := h.ln.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	go func() { _, _ = io.WriteString(g.dial(), lodgeRequest("stays", "x")) }()
	up, err := h.ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if r, err := http.ReadRequest(bufio.NewReader(up)); err != nil || r.Header.Get("X-Trace-Id") != "stays" {
		t.Errorf("%v %v: the first request to come should be of who stays", r, err)
	}
}

// Guards against a retry for a client that left while its request was queued for it.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	requests, proceed := make(chan string, 8), make(chan bool)
	h := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if requests <- r.Header.Get("X-Trace-Id"); r.Header.Get("X-Trace-Id") == "left" {
			<-proceed
			writeResponse(c, "503 Full", "X-Never-Ran: 1\r\n", "")
			return
		}
		respondOK(c, r, body)
	})
	g := start(t, map[string]any{"settings": longDeadlineSettings()}, h)
	<-g.discovery.polls
	c := g.dial()
	if _, err := io.WriteString(c, viewRequest("left", 25000)); err != nil {
		t.Fatal(err)
	}
	if id := <-requests; id != "left" {
		t.Fatal(id)
	}
	g.discovery.send <- endpointList(2, false, endpointEntry(h, "draining"))
	g.discovery.send <- endpointList(3, false) // taken once the one before has been
	close(proceed)
	waitFor(t, "the turning away, after which nobody is left to ask",
		func() bool { return g.hasLogged(`"end":"turned away"`) })
	c.Close()
	waitFor(t, "the client's end to be seen", func() bool { return g.hasLogged(`"end":"client gone"`) })
	g.discovery.send <- endpointList(4, false, endpointEntry(h, "up"))
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("stays", 25000)); status != 200 {
		t.Errorf("a client that stays got %d", status)
	}
	if id := <-requests; id != "stays" {
		t.Errorf("asked for %q after its client had left", id)
	}
}

// Guards against attempts that go on for a client that has left.
func TestClientLeavingEndsItsAttempts(t *testing.T) {
	hold := make(chan bool)
	defer close(hold)
	h := newEndpoint(t, "s-1", func(c net.Conn, _ *http.Request, _ string) {
		go func() { <-hold; c.Close() }()
	})
	g := start(t, nil, h)
	c := g.dial()
	if _, err := io.WriteString(c, viewRequest("left", 2000)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the execution", func() bool { _, asked, _ := h.counts(); return asked == 1 })
	c.Close()
	waitFor(t, "its link to end", func() bool { _, _, ends := h.counts(); return ends == 1 })
}
