package main

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// pushedSettings returns the settings of a deployment in which an agent pushes endpoint lists without being polled.
func pushedSettings() map[string]any {
	return map[string]any{"settings": settingsWithReplacement(`"registry_mode":"subscribe"`,
		`"registry_mode":"automatic"`)}
}

// Guards against an agent whose lists are not watched from the start, or not again after a watch ended.
func TestPushedListsAreWatched(t *testing.T) {
	a, b := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	whole := endpointList(7, true, endpointEntry(a, "up"))
	lines := []string{"", "{broken", whole, whole}
	d := newDiscovery(t, func(n int) string { return lines[min(n, len(lines))-1] })
	g := startWith(t, pushedSettings(), whole, d)
	for n := range 3 {
		if call := <-d.polls; call != "/v1/servers?stream=1&index=7" {
			t.Errorf("poll %d requests %q, want the changes after the known list", n, call)
		}
	}
	d.send <- endpointList(8, false, endpointEntry(a, "draining"), endpointEntry(b, "up"))
	d.send <- endpointList(9, false) // sent only after the list before it was received
	_, before, _ := a.counts()
	c := g.dial()
	for i := range 4 {
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Errorf("view request: status %d, want 200", status)
		}
	}
	if _, after, _ := a.counts(); after != before {
		t.Errorf("%d requests went to a draining endpoint", after-before)
	}
	d.send <- "cut"
	if call := <-d.polls; call != "/v1/servers?stream=1&index=9" {
		t.Errorf("after the watch ended: poll of %q, want the changes after list 9", call)
	}
}

// Guards against closing the watch of an agent that has no changes to send, and against never replacing the watch of
// a dead agent.
func TestWatchOfASilentAgentIsKept(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	ln := listen(t)
	var watches, closed atomic.Int32
	respond := make(chan bool)
	go serveEach(ln, func(c net.Conn) {
		n := watches.Add(1)
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		if n == 1 {
			fmt.Fprint(c, "1\r\n\n\r\n")
		} else {
			go func() { <-respond; fmt.Fprint(c, "1\r\n\n\r\n") }()
		}
		_, _ = io.Copy(io.Discard, c)
		closed.Add(1)
	})
	g := startWith(t, pushedSettings(), endpointList(1, true, endpointEntry(endpoint, "up")), &fakeDiscovery{ln: ln})
	waitFor(t, "a second watch", func() bool { return watches.Load() >= 2 })
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 200 || closed.Load() > 0 {
		t.Errorf("while the agent is silent: status %d, %d watches closed, want 200 and 0", status, closed.Load())
	}
	respond <- true
	waitFor(t, "the silent watch to be closed after the second one responded",
		func() bool { return closed.Load() == 1 })
	if watches.Load() != 2 || !g.hasLogged("list replaced") {
		t.Errorf("%d watches opened, want 2 and the log line \"list replaced\"", watches.Load())
	}
}

// Guards against an agent that returns with an older list, which would restore removed endpoints.
func TestOlderListOfTheAgentIsIgnored(t *testing.T) {
	removed, draining, remaining := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2",
		respondOK), newEndpoint(t, "s-3", respondOK)
	known := endpointList(9, true, endpointEntry(draining, "draining"), endpointEntry(remaining, "up"))
	old := endpointList(4, true, endpointEntry(removed, "up"), endpointEntry(draining, "up"))
	g := startWith(t, pushedSettings(), known, newDiscovery(t, func(int) string { return old }))
	<-g.discovery.polls
	g.discovery.send <- endpointList(5, false, endpointEntry(removed, "up"))
	g.discovery.send <- ""
	conn := g.dial()
	for i := range 6 {
		if status, _, _ := roundTrip(t, conn, viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Errorf("view request: status %d, want 200", status)
		}
	}
	_, x, _ := removed.counts()
	_, y, _ := draining.counts()
	if x+y > 0 {
		t.Errorf("%d requests went to a removed endpoint and %d to a draining one", x, y)
	}
	g.discovery.send <- endpointList(10, false, endpointEntry(draining, "removed"),
		endpointEntry(remaining, "draining"), endpointEntry(removed, "up"))
	g.discovery.send <- ""
	waitFor(t, "the newer list to be used", func() bool {
		roundTrip(t, conn, viewRequest(fmt.Sprint("w", time.Now().UnixNano()), 900))
		_, x, _ := removed.counts()
		return x > 0
	})
}

// Guards against a reload that changes the registry mode to pushed lists without opening a watch, or back without
// polling.
func TestReloadChangesTheRegistryMode(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, endpoint)
	<-g.discovery.polls
	g.reload("settings", pushedSettings()["settings"])
	g.discovery.send <- "cut"
	<-g.discovery.polls
	g.reload("settings", settingsWithReplacement("", ""))
	<-g.discovery.polls
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 200 {
		t.Errorf("view request: status %d, want 200", status)
	}
}
