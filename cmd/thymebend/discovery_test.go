package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a start that waits for discovery although a cached list is available.
func TestReadyWithTheCachedList(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	cached := endpointList(1, true, endpointEntry(endpoint, "up"))
	for name, disc := range map[string]func() net.Listener{
		"full":   func() net.Listener { return fullBacklog(t) },
		"down":   func() net.Listener { ln := listen(t); ln.Close(); return ln },
		"silent": func() net.Listener { return listen(t) }, // connections are never accepted
	} {
		d := &fakeDiscovery{ln: disc()}
		var gateways []*gatewayProcess
		began := time.Now()
		for range 7 {
			gateways = append(gateways, launch(t, nil, cached, d))
		}
		for _, g := range gateways {
			g.waitReady()
		}
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("discovery %s: ready after %v, want 10 s at most", name, took)
		}
		if status, _, _ := roundTrip(t, gateways[0].dial(), viewRequest("v"+name, 900)); status != 200 {
			t.Errorf("discovery %s: status %d, want 200", name, status)
		}
	}
}

// Guards against new requests to a draining endpoint.
func TestDrainingEndpointGetsNothingNew(t *testing.T) {
	a, b := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	g := start(t, nil, a, b)
	<-g.discovery.polls
	g.discovery.send <- endpointList(2, false, endpointEntry(a, "draining"))
	g.discovery.send <- endpointList(3, false) // sent only after the list before it was received
	c := g.dial()
	roundTrip(t, c, viewRequest("first", 900))
	_, before, _ := a.counts()
	for i := range 8 {
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Errorf("view request: status %d, want 200", status)
		}
	}
	if _, after, _ := a.counts(); after != before {
		t.Errorf("%d requests went to a draining endpoint", after-before)
	}
}

// Guards against sending data to an endpoint that was removed while an attempt was connecting to it.
func TestEndpointRemovedWhileConnecting(t *testing.T) {
	removed, live := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	full := fullBacklog(t)
	removed.ln = full
	whole := endpointList(1, true, endpointEntry(removed, "up"))
	g := startWith(t, map[string]any{"settings": settingsWithReplacement(`"connect_timeout_ms":250`,
		`"connect_timeout_ms":5000`)},
		whole, newDiscovery(t, func(int) string { return whole }))
	<-g.discovery.polls
	c := g.dial()
	if _, err := io.WriteString(c, viewRequest("v", 1900)); err != nil {
		t.Fatal(err)
	}
	g.discovery.send <- endpointList(2, false, endpointEntry(removed, "removed"), endpointEntry(live, "up"))
	if status, _, body := readResponse(c); status != 200 || body != "v:" {
		t.Errorf("%d %q, want the response of the remaining endpoint", status, body)
	}
}

// Guards against a watch that is not reopened after discovery rejects it, closes it or sends a malformed list.
func TestWatchIsOpenedAgain(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	whole := endpointList(7, true, endpointEntry(endpoint, "up"))
	lines := []string{"", "{broken", whole, whole}
	d := newDiscovery(t, func(n int) string { return lines[min(n, len(lines))-1] })
	g := startWith(t, nil, whole, d)
	for n := range 3 {
		if call := <-d.polls; n == 0 && call != "/v1/servers?stream=1&index=7" {
			t.Errorf("the first watch requests %q, want the changes after the known list", call)
		}
	}
	d.send <- "cut"
	<-d.polls
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 200 {
		t.Errorf("view request: status %d, want 200", status)
	}
}

// Guards against keeping a watch whose discovery machine failed without closing the connection.
func TestSilentWatchIsReopened(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	ln := listen(t)
	var calls atomic.Int32
	go serveEach(ln, func(c net.Conn) {
		calls.Add(1)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	startWith(t, nil, endpointList(1, true, endpointEntry(endpoint, "up")), &fakeDiscovery{ln: ln})
	waitFor(t, "a second watch", func() bool { return calls.Load() >= 2 })
}
