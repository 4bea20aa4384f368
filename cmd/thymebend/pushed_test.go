package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// pushedSettings are those of a deployment whose lists come unasked, from an agent.
func pushedSettings() map[string]any {
	return map[string]any{"settings": settingsWithReplacement(`"registry_mode":"subscribe"`, `"registry_mode":"automatic"`)}
}

// Guards against an agent that is not watched from the start, or not again after an end.
func TestPushedListsAreWatched(t *testing.T) {
	a, b := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	whole := endpointList(7, true, endpointEntry(a, "up"))
	lines := []string{"", "{broken", whole, whole}
	d := newDiscovery(t, func(n int) string { return lines[min(n, len(lines))-1] })
	g := startWith(t, pushedSettings(), whole, d)
	for n := range 3 {
		if call := <-d.polls; call != "/v1/servers?stream=1&index=7" {
			t.Errorf("call %d asks %q, want the changes after the known list", n, call)
		}
	}
	d.send <- endpointList(8, false, endpointEntry(a, "draining"), endpointEntry(b, "up"))
	d.send <- endpointList(9, false) // taken once the one before has been
	_, before, _ := a.counts()
	c := g.dial()
	for i := range 4 {
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Errorf("view: %d", status)
		}
	}
	if _, after, _ := a.counts(); after != before {
		t.Errorf("%d executions went to a host that drains", after-before)
	}
	d.send <- "cut"
	if call := <-d.polls; call != "/v1/servers?stream=1&index=9" {
		t.Errorf("after a cut: %q", call)
	}
}

// Guards against giving up the watch of an agent that has nothing to say, and against never checking a dead
// one.
func TestWatchOfASilentAgentIsKept(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	ln := listen(t)
	var calls, closed atomic.Int32
	speak := make(chan bool)
	go serveEach(ln, func(c net.Conn) {
		n := calls.Add(1)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		if n == 1 {
			fmt.Fprint(c, "1\r\n\n\r\n")
		} else {
			go func() { <-speak; fmt.Fprint(c, "1\r\n\n\r\n") }()
		}
		_, _ = io.Copy(io.Discard, c)
		closed.Add(1)
	})
	g := startWith(t, pushedSettings(), endpointList(1, true, endpointEntry(h, "up")), &fakeDiscovery{ln: ln})
	waitFor(t, "a second call", func() bool { return calls.Load() >= 2 })
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 200 || closed.Load() > 0 {
		t.Errorf("in silence: %d, %d watches closed", status, closed.Load())
	}
	speak <- true
	waitFor(t, "the silent watch to give way", func() bool { return closed.Load() == 1 })
	if calls.Load() != 2 || !g.hasLogged("list replaced") {
		t.Errorf("%d calls", calls.Load())
	}
}

// Guards against an agent that comes back with an older list and brings removed endpoints up again.
func TestOlderListOfTheAgentIsIgnored(t *testing.T) {
	gone, drains, c := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK), newEndpoint(t, "s-3", respondOK)
	known := endpointList(9, true, endpointEntry(drains, "draining"), endpointEntry(c, "up"))
	old := endpointList(4, true, endpointEntry(gone, "up"), endpointEntry(drains, "up"))
	g := startWith(t, pushedSettings(), known, newDiscovery(t, func(int) string { return old }))
	<-g.discovery.polls
	g.discovery.send <- endpointList(5, false, endpointEntry(gone, "up"))
	g.discovery.send <- ""
	conn := g.dial()
	for i := range 6 {
		if status, _, _ := roundTrip(t, conn, viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Errorf("view: %d", status)
		}
	}
	_, x, _ := gone.counts()
	_, y, _ := drains.counts()
	if x+y > 0 {
		t.Errorf("%d and %d executions went to hosts gone and draining", x, y)
	}
	g.discovery.send <- endpointList(10, false, endpointEntry(drains, "removed"), endpointEntry(c, "draining"), endpointEntry(gone, "up"))
	g.discovery.send <- ""
	waitFor(t, "the newer list to hold", func() bool {
		roundTrip(t, conn, viewRequest(fmt.Sprint("w", time.Now().UnixNano()), 900))
		_, x, _ := gone.counts()
		return x > 0
	})
}

// Guards against a reload to pushed lists that opens no watch, or back that starts no poll.
func TestReloadChangesTheRegistryMode(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, h)
	<-g.discovery.polls
	g.reload("settings", pushedSettings()["settings"])
	g.discovery.send <- "cut"
	<-g.discovery.polls
	g.reload("settings", settingsWithReplacement("", ""))
	<-g.discovery.polls
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 200 {
		t.Errorf("view: %d", status)
	}
}
