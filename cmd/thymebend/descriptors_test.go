package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against idle clients that use up the file descriptors, so that polls of discovery get none.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	var up atomic.Bool
	d := newDiscovery(t, func(int) string {
		if up.Load() {
			return endpointList(2, true, endpointEntry(endpoint, "up"))
		}
		return ""
	})
	d.polls = make(chan string, 1<<12)
	g := startUnready(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32,
		"sockets": 64}}, endpointList(1, true), d)
	for range 200 {
		g.dial()
	}
	before := len(d.polls)
	waitFor(t, "two more polls of discovery while the clients are connected",
		func() bool { return len(d.polls) >= before+2 })
	up.Store(true)
	waitFor(t, "the gateway to receive the list", func() bool {
		status, _, _ := roundTrip(t, g.dial(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == 200
	})
	for i := range 10 {
		if status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("v", i), 1900)); status != 200 {
			t.Errorf("view request %d: status %d, want 200", i, status)
		}
	}
}

// Guards against keeping all idle connections of clients that open a new connection for each request: these clients
// would run out of descriptors.
func TestSingleUseConnectionsAreClosedAboveTheThreshold(t *testing.T) {
	g := start(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 192}},
		newEndpoint(t, "s-1", respondOK))
	used := g.dial()
	for i := range 3 {
		roundTrip(t, used, viewRequest(fmt.Sprint("u", i), 1500))
	}
	var conns []net.Conn
	for i := range 90 { // fewer than the limit of open connections
		if i == 192/4 || i == 80 {
			// Each of the last connections closes two of the first, which have been idle long enough. The
			// connections between became idle while many were open and are not due yet; once they are due,
			// few are open.
			time.Sleep(60 * time.Millisecond)
		}
		c := g.dial()
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("o", i), 1500)); status != 200 {
			t.Errorf("request %d: status %d, want 200", i, status)
		}
		conns = append(conns, c)
	}
	open := func() (n int) {
		for _, c := range conns {
			_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := c.Read(make([]byte, 1)); os.IsTimeout(err) {
				n++
			}
		}
		return n
	}
	waitFor(t, "single-use connections to be closed", func() bool { return open() <= 192/4 })
	time.Sleep(300 * time.Millisecond)
	if n := open(); n < 192/4-3 {
		t.Errorf("%d of 90 connections are open: too many were closed", n)
	}
	if status, _, _ := roundTrip(t, used, viewRequest("again", 1500)); status != 200 {
		t.Errorf("the connection in use: status %d, want 200", status)
	}
}

// Guards against idle connections that keep new clients out when descriptors run out, and against a busy loop when
// no connection can be evicted.
func TestDescriptorExhaustion(t *testing.T) {
	g := start(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 64}},
		newEndpoint(t, "s-1", respondOK))
	lowered := unix.Rlimit{Cur: 30, Max: 30} // below the configured limit, so that accept itself fails
	if err := unix.Prlimit(g.cmd.Process.Pid, unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		g.dial()
	}
	for i := range 10 {
		if status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("v", i), 1900)); status != 200 {
			t.Errorf("view request %d: status %d, want 200", i, status)
		}
	}
	var half []net.Conn
	for i := range 60 {
		half = append(half, g.dial())
		if _, err := io.WriteString(half[i], "GET /view HT"); err != nil {
			t.Fatal(err)
		}
	}
	before := processorTime(t, g.cmd.Process.Pid)
	time.Sleep(time.Second) // measures the processor time used while nothing can progress
	if used := processorTime(t, g.cmd.Process.Pid) - before; used > 500*time.Millisecond {
		t.Errorf("%v of processor time used in a second of waiting, want 500 ms at most", used)
	}
	for _, c := range half {
		c.Close()
	}
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("after", 1900)); status != 200 {
		t.Errorf("view after the partial requests ended: status %d, want 200", status)
	}
}

// Guards against evicting a connection that has carried a health check only and whose first request is still
// expected.
func TestUsedConnectionsAreEvictedFirst(t *testing.T) {
	g := start(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 64}},
		newEndpoint(t, "s-1", respondOK))
	checked := g.dial()
	if status, _, _ := roundTrip(t, checked, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
		t.Fatal(status)
	}
	for i := range 100 {
		if status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Fatalf("view request %d: status %d, want 200", i, status)
		}
	}
	if status, _, _ := roundTrip(t, checked, viewRequest("first", 900)); status != 200 {
		t.Errorf("the first request on a connection after a health check: status %d, want 200", status)
	}
}
