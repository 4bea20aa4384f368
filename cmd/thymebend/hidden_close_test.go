package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Figures of the tests of clients whose close waits in their own kernel.
const (
	farAheadSends   = 50 * time.Millisecond
	farAheadRests   = 50 * time.Millisecond
	farAheadSize    = 16 << 20 // bytes; more than the buffers of both ends take
	leftBeforeStart = 300 * time.Millisecond
)

// recordingEndpoint starts an endpoint that responds to each request. The requests' ids arrive on the channel when their heads
// do.
func recordingEndpoint(t *testing.T) (endpoint *fakeEndpoint, received chan string) {
	received = make(chan string, 1024)
	endpoint = &fakeEndpoint{name: "s-1", ln: listen(t)}
	go serveEach(endpoint.ln, func(c net.Conn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			received <- r.Header.Get("X-Trace-Id")
			_, _ = io.Copy(io.Discard, r.Body)
			respondOK(c, r, "")
		}
	})
	return endpoint, received
}

// startWithoutEndpoints runs a gateway that has no endpoint, so that requests wait in the queue, until the returned function
// tells as many watches of the endpoint.
func startWithoutEndpoints(t *testing.T, endpoint *fakeEndpoint) (g *gatewayProcess, addEndpoint func(watches int)) {
	dir, err := os.MkdirTemp("", "up") // short, because the path of a Unix socket is limited to 107 bytes
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	t.Setenv("TMPDIR", dir)
	empty := endpointList(1, true)
	d := newDiscovery(t, func(int) string { return empty })
	g = startUnready(t, map[string]any{"settings": longDeadlineSettings(), "control": freeTCPAddress(t)}, empty, d)
	return g, func(watches int) {
		for range watches {
			d.send <- endpointList(2, false, endpointEntry(endpoint, "up"))
		}
	}
}

// farAhead is what a client sends at once.
func farAhead(kind string) string {
	var text strings.Builder
	id := func(i int) string { return fmt.Sprint(strings.ReplaceAll(kind, " ", "-"), "-", i) }
	switch kind {
	case "long body":
		text.WriteString(strings.Replace(largeLodgeRequest(id(0), "size=2", farAheadSize), "2500m", "25000m", 1))
		text.WriteString(strings.Repeat("b", farAheadSize))
	case "bids of 60 KiB":
		for i := 0; text.Len() < farAheadSize; i++ {
			text.WriteString(strings.Replace(lodgeRequest(id(i), strings.Repeat("b", 60<<10)), "2500m", "25000m", 1))
		}
	default:
		for i := 0; text.Len() < farAheadSize; i++ {
			text.WriteString(patientBid(id(i)))
		}
	}
	return text.String()
}

// Guards against an attempt for a client that closed its connection while its request waited in the queue: its close waits
// in its own kernel, behind more than the gateway reads ahead. On an ordinary day, at SIGTERM and in an upgrade.
func TestNoAttemptForClientsWithHiddenClose(t *testing.T) {
	for _, when := range []string{"ordinary", "SIGTERM", "upgrade"} {
		t.Run(when, func(t *testing.T) {
			endpoint, received := recordingEndpoint(t)
			g, addEndpoint := startWithoutEndpoints(t, endpoint)
			var clients sync.WaitGroup
			for _, kind := range []string{"bids of 60 KiB", "small bids"} {
				clients.Go(func() { sendFarAheadAndLeave(t, g.dial(), farAhead(kind)) })
			}
			clients.Wait()
			watches := 1
			switch when {
			case "SIGTERM":
				g.signal(syscall.SIGTERM)
			case "upgrade":
				next, _ := g.upgrade()
				waitFor(t, "the successor to accept clients", func() bool { return next.hasLogged("taking clients") })
				g.signal(syscall.SIGTERM)
				watches = 2
			}
			time.Sleep(leftBeforeStart)
			addEndpoint(watches)
			if id := nextID(received, laterRequestsGrace); id != "" {
				t.Errorf("the endpoint got %q of a client that had left %v before", id, leftBeforeStart)
			}
		})
	}
}

// Guards against an attempt, of which only the begin is written, for a client that closed its connection behind a long body
// while its request waited in the queue.
func TestNoAttemptForUploadsWithHiddenClose(t *testing.T) {
	endpoint, received := recordingEndpoint(t)
	g, addEndpoint := startWithoutEndpoints(t, endpoint)
	sendFarAheadAndLeave(t, g.dial(), farAhead("long body"))
	time.Sleep(leftBeforeStart)
	addEndpoint(1)
	if id := nextID(received, laterRequestsGrace); id != "" {
		t.Errorf("the endpoint got the begin of %q of a client that had left %v before", id, leftBeforeStart)
	}
}

// sendFarAheadAndLeave writes text for a while, and closes the connection.
func sendFarAheadAndLeave(t *testing.T, c net.Conn, text string) {
	_ = c.SetWriteDeadline(time.Now().Add(farAheadSends))
	if n, err := io.WriteString(c, text); err == nil || n == 0 {
		t.Errorf("%d of %d bytes were written, want full buffers", n, len(text))
	}
	time.Sleep(farAheadRests)
	c.Close()
}

// Guards against losing the requests of a client that sends far ahead and stays: all of them are served in order.
func TestClientsThatSendFarAheadAndStayAreServed(t *testing.T) {
	endpoint, _ := recordingEndpoint(t)
	g, addEndpoint := startWithoutEndpoints(t, endpoint)
	const bids, size = 40, 60 << 10
	c := g.dial()
	_ = c.SetDeadline(time.Now().Add(2 * testTimeout))
	go func() {
		for i := range bids {
			bid := lodgeRequest(fmt.Sprint("stay-", i), strings.Repeat("b", size))
			_, _ = io.WriteString(c, strings.Replace(bid, "2500m", "25000m", 1))
		}
	}()
	time.Sleep(leftBeforeStart)
	addEndpoint(1)
	in := bufio.NewReader(c)
	for answer := range bids {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("answer %d: %v, error %v", answer, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
}
