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

// Guards against idle clients that take the descriptor which discovery needs.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	var up atomic.Bool
	d := newDiscovery(t, func(int) string {
		if up.Load() {
			return endpointList(2, true, endpointEntry(h, "up"))
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
	waitFor(t, "two more calls to discovery beside the crowd", func() bool { return len(d.polls) >= before+2 })
	up.Store(true)
	waitFor(t, "the list", func() bool {
		status, _, _ := roundTrip(t, g.dial(), "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		return status == 200
	})
	for i := range 10 {
		if status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("v", i), 1900)); status != 200 {
			t.Errorf("view %d: %d", i, status)
		}
	}
}

// Guards against clients that open a connection for each request and run out of descriptors themselves.
func TestSingleUseConnectionsAreClosedAboveTheThreshold(t *testing.T) {
	g := start(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 32, "sockets": 192}},
		newEndpoint(t, "s-1", respondOK))
	used := g.dial()
	for i := range 3 {
		roundTrip(t, used, viewRequest(fmt.Sprint("u", i), 1500))
	}
	var conns []net.Conn
	for i := range 90 { // fewer than there is room for
		if i == 192/4 || i == 80 {
			// The last ones find the first rested for long enough to close two each, while those between,
			// which came to rest while there were many, are not due yet: when they are, there are few.
			time.Sleep(60 * time.Millisecond)
		}
		c := g.dial()
		if status, _, _ := roundTrip(t, c, viewRequest(fmt.Sprint("o", i), 1500)); status != 200 {
			t.Errorf("query %d: %d", i, status)
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
	waitFor(t, "links of one query to be closed", func() bool { return open() <= 192/4 })
	time.Sleep(300 * time.Millisecond)
	if n := open(); n < 192/4-3 {
		t.Errorf("%d of 90 links are open: few are no burden", n)
	}
	if status, _, _ := roundTrip(t, used, viewRequest("again", 1500)); status != 200 {
		t.Errorf("the link in use: %d", status)
	}
}

// Guards against idle connections that keep new clients out, and against spinning where none can give way.
func TestDescriptorExhaustion(t *testing.T) {
	g := start(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 64}},
		newEndpoint(t, "s-1", respondOK))
	lowered := unix.Rlimit{Cur: 30, Max: 30} // less than the program was told: accept itself must fail
	if err := unix.Prlimit(g.cmd.Process.Pid, unix.RLIMIT_NOFILE, &lowered, nil); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		g.dial()
	}
	for i := range 10 {
		if status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("v", i), 1900)); status != 200 {
			t.Errorf("view %d: %d", i, status)
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
	time.Sleep(time.Second) // what it uses while nothing can happen is what is measured
	if used := processorTime(t, g.cmd.Process.Pid) - before; used > 500*time.Millisecond {
		t.Errorf("%v of processor time in a second: it spins", used)
	}
	for _, c := range half {
		c.Close()
	}
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("after", 1900)); status != 200 {
		t.Errorf("view after the crowd: %d", status)
	}
}

// Guards against evicting a connection that has only asked for health, whose first request is to come.
func TestUsedConnectionsAreEvictedFirst(t *testing.T) {
	g := start(t, map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 64}},
		newEndpoint(t, "s-1", respondOK))
	checked := g.dial()
	if status, _, _ := roundTrip(t, checked, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
		t.Fatal(status)
	}
	for i := range 100 {
		if status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Fatalf("view %d: %d", i, status)
		}
	}
	if status, _, _ := roundTrip(t, checked, viewRequest("first", 900)); status != 200 {
		t.Errorf("the first query of a link that asked for health: %d", status)
	}
}
