package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a start that waits for discovery though a cached list is there.
func TestReadyWithTheCachedList(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	cached := endpointList(1, true, endpointEntry(h, "up"))
	for name, disc := range map[string]func() net.Listener{
		"full": func() net.Listener { return fullBacklog(t) },
		"down": func() net.Listener { ln := listen(t); ln.Close(); return ln },
		"mute": func() net.Listener { return listen(t) }, // nobody accepts
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
			t.Errorf("%s: ready after %v", name, took)
		}
		if status, _, _ := roundTrip(t, gateways[0].dial(), viewRequest("v"+name, 900)); status != 200 {
			t.Errorf("%s: %d", name, status)
		}
	}
}

// Guards against new requests to an endpoint that drains.
func TestDrainingEndpointGetsNothingNew(t *testing.T) {
	a, b := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	g := start(t, nil, a, b)
	<-g.discovery.polls
	g.discovery.send <- endpointList(2, false, endpointEntry(a, "draining"))
	g.discovery.send <- endpointList(3, false) // taken once the one before has been
	c := g.dial()
	roundTrip(t, c, viewRequest("first", 900))
	_, before, _ := a.counts()
	for i := range 8 {
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Errorf("view: %d", status)
		}
	}
	if _, after, _ := a.counts(); after != before {
		t.Errorf("%d executions went to a host that drains", after-before)
	}
}

// Guards against a byte to an endpoint that was removed while an attempt connected to it.
func TestEndpointRemovedWhileConnecting(t *testing.T) {
	gone, live := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	full := fullBacklog(t)
	gone.ln = full
	whole := endpointList(1, true, endpointEntry(gone, "up"))
	g := startWith(t, map[string]any{"settings": settingsWithReplacement(`"connect_timeout_ms":250`,
		`"connect_timeout_ms":5000`)},
		whole, newDiscovery(t, func(int) string { return whole }))
	<-g.discovery.polls
	c := g.dial()
	if _, err := io.WriteString(c, viewRequest("v", 1900)); err != nil {
		t.Fatal(err)
	}
	g.discovery.send <- endpointList(2, false, endpointEntry(gone, "removed"), endpointEntry(live, "up"))
	if status, _, body := readResponse(c); status != 200 || body != "v:" {
		t.Errorf("%d %q, want the answer of the host that is left", status, body)
	}
}

// Guards against a watch that stays lost where discovery refuses, cuts it or writes a malformed list.
func TestWatchIsOpenedAgain(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	whole := endpointList(7, true, endpointEntry(h, "up"))
	lines := []string{"", "{broken", whole, whole}
	d := newDiscovery(t, func(n int) string { return lines[min(n, len(lines))-1] })
	g := startWith(t, nil, whole, d)
	for n := range 3 {
		if call := <-d.polls; n == 0 && call != "/v1/servers?stream=1&index=7" {
			t.Errorf("the first watch asks %q, want the changes after the known list", call)
		}
	}
	d.send <- "cut"
	<-d.polls
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 200 {
		t.Errorf("view: %d", status)
	}
}

// Guards against a watch on a machine that vanished without a word.
func TestSilentWatchIsReopened(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	ln := listen(t)
	var calls atomic.Int32
	go serveEach(ln, func(c net.Conn) {
		calls.Add(1)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")
		_, _ = io.Copy(io.Discard, c)
	})
	startWith(t, nil, endpointList(1, true, endpointEntry(h, "up")), &fakeDiscovery{ln: ln})
	waitFor(t, "a second watch", func() bool { return calls.Load() >= 2 })
}
