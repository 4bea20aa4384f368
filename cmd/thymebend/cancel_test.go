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

// Guards against forwarding a request whose client disconnected while the gateway had paused reading from the
// connection and the request was queued.
func TestClientLeavesOnAPausedConnection(t *testing.T) {
	for name, raw := range map[string]string{
		"sent far ahead": viewRequest("gone", 25000) + strings.Repeat(viewRequest("more", 1900), 1100),
		// The body is larger than what the gateway reads before the request has an endpoint; the rest stays in
		// the socket buffer.
		"in the middle of a body": strings.NewReplacer("Content-Length: 184320", "Content-Length: 200000",
			"2500m", "25000m").Replace(lodgeRequest("gone", strings.Repeat("x", 180<<10))),
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := newEndpoint(t, "s-1", respondOK)
			empty := endpointList(1, true)
			long := map[string]any{"settings": longDeadlineSettings()}
			g := startUnready(t, long, empty, newDiscovery(t, func(int) string { return empty }))
			<-g.discovery.polls
			c := g.dial()
			if _, err := io.WriteString(c, raw); err != nil {
				t.Fatal(err)
			}
			waitFor(t, "the gateway to pause reading the connection",
				func() bool { return g.hasLogged("read no further") })
			c.Close()
			closedAt := time.Now()
			waitFor(t, "the gateway to notice the client's close",
				func() bool { return g.hasLogged(`"end":"client gone"`) })
			// The request is rejected some 6 s after its arrival, and only then reading resumes. The close must be
			// noticed earlier.
			if delay := time.Since(closedAt); delay > 2*time.Second {
				t.Errorf("the close was noticed after %v, want 2 s at most", delay)
			}
			g.discovery.send <- endpointList(2, false, endpointEntry(endpoint, "up"))
			if status, _, _ := roundTrip(t, g.dial(), viewRequest("stays", 25000)); status != 200 {
				t.Errorf("a client that stays got status %d, want 200", status)
			}
			endpoint.withLock(func() {
				if endpoint.conns != 1 || len(endpoint.ids) != 1 || endpoint.ids[0] != "stays" {
					t.Errorf("%d connections, requests %v, want 1 connection and the staying client's request",
						endpoint.conns, endpoint.ids)
				}
			})
		})
	}
}

// Guards against forwarding a request that the event loop receives in the same batch of events as the close of its
// client's connection.
func TestRequestAndCloseInOneEventBatch(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, endpoint)
	staying := g.dial()
	if status, _, _ := roundTrip(t, staying, viewRequest("before", 900)); status != 200 {
		t.Fatal(status)
	}
	leaving := g.dial()
	roundTrip(t, leaving, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") // so that the connection is accepted
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
		t.Errorf("the client that stays got status %d, want 200", status)
	}
	endpoint.withLock(func() {
		for _, id := range endpoint.ids {
			if id == "left" || id == "behind" {
				t.Errorf("forwarded a request of a client that had disconnected: %v", endpoint.ids)
			}
		}
	})
}

// Guards against writing a request upstream whose client disconnected while the upstream connection was being
// established.
func TestClientLeavesWhileConnecting(t *testing.T) {
	endpoint := &fakeEndpoint{name: "s-1", ln: shortBacklog(t)}
	g := start(t, map[string]any{"settings": settingsWithReplacement(`"connect_timeout_ms":250`,
		`"connect_timeout_ms":5000`)}, endpoint)
	waiting := fillBacklog(t, endpoint.ln)
	c := g.dial()
	if _, err := io.WriteString(c, lodgeRequest("left", "x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the upstream connection attempt, which the full backlog delays",
		func() bool { return connecting(t, endpoint.ln.Addr()) })
	c.Close()
	waitFor(t, "the gateway to notice the client's close", func() bool { return g.hasLogged(`"end":"client gone"`) })
	waitFor(t, "the upstream connection attempt to be cancelled",
		func() bool { return !connecting(t, endpoint.ln.Addr()) })
	for range waiting {
		if _, err := endpoint.ln.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	go func() { _, _ = io.WriteString(g.dial(), lodgeRequest("stays", "x")) }()
	up, err := endpoint.ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if r, err := http.ReadRequest(bufio.NewReader(up)); err != nil || r.Header.Get("X-Trace-Id") != "stays" {
		t.Errorf("request %v, error %v, want the request of the client that stays first", r, err)
	}
}

// Guards against a retry of a request whose client disconnected while the request was queued for the retry.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	requests, proceed := make(chan string, 8), make(chan bool)
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if requests <- r.Header.Get("X-Trace-Id"); r.Header.Get("X-Trace-Id") == "left" {
			<-proceed
			writeResponse(c, "503 Full", "X-Never-Ran: 1\r\n", "")
			return
		}
		respondOK(c, r, body)
	})
	g := start(t, map[string]any{"settings": longDeadlineSettings()}, endpoint)
	<-g.discovery.polls
	c := g.dial()
	if _, err := io.WriteString(c, viewRequest("left", 25000)); err != nil {
		t.Fatal(err)
	}
	if id := <-requests; id != "left" {
		t.Fatal(id)
	}
	g.discovery.send <- endpointList(2, false, endpointEntry(endpoint, "draining"))
	g.discovery.send <- endpointList(3, false) // sent only after the list before it was received
	close(proceed)
	waitFor(t, "the endpoint's refusal, after which no endpoint remains",
		func() bool { return g.hasLogged(`"end":"turned away"`) })
	c.Close()
	waitFor(t, "the gateway to notice the client's close", func() bool { return g.hasLogged(`"end":"client gone"`) })
	g.discovery.send <- endpointList(4, false, endpointEntry(endpoint, "up"))
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("stays", 25000)); status != 200 {
		t.Errorf("a client that stays got status %d, want 200", status)
	}
	if id := <-requests; id != "stays" {
		t.Errorf("received %q, want the request of the client that stays", id)
	}
}

// Guards against attempts that continue after their client has disconnected.
func TestClientLeavingEndsItsAttempts(t *testing.T) {
	hold := make(chan bool)
	defer close(hold)
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, _ *http.Request, _ string) {
		go func() { <-hold; c.Close() }()
	})
	g := start(t, nil, endpoint)
	c := g.dial()
	if _, err := io.WriteString(c, viewRequest("left", 2000)); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the attempt to reach the endpoint", func() bool {
		_, requests,
			_ := endpoint.counts()
		return requests == 1
	})
	c.Close()
	waitFor(t, "the upstream connection to be closed", func() bool {
		_, _,
			closed := endpoint.counts()
		return closed == 1
	})
}
