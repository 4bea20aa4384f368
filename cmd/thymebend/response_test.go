package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against treating a TCP reset as the end of a response without Content-Length, against a response that never
// ends, and against retrying a request that may have run.
func TestResponsesWithoutALength(t *testing.T) {
	const open = "HTTP/1.1 200 OK\r\n\r\n"
	reset := func(c net.Conn) {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	for name, c := range map[string]struct {
		respond func(c net.Conn, proceed <-chan bool)
		want    int
		body    string
	}{
		"ends with the connection": {func(c net.Conn, _ <-chan bool) {
			fmt.Fprint(c,
				open+"whole")
			c.Close()
		}, 200, "whole"},
		"reset in the middle": {func(c net.Conn, _ <-chan bool) { fmt.Fprint(c, open+"half"); reset(c) },
			502, ""},
		"reset long after": {func(c net.Conn, proceed <-chan bool) {
			fmt.Fprint(c,
				open+"half")
			<-proceed
			reset(c)
		}, 502, ""},
		"reset without a response": {func(c net.Conn, proceed <-chan bool) { <-proceed; reset(c) }, 502, ""},
		"reset before the stated length": {func(c net.Conn, _ <-chan bool) {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
			reset(c)
		}, 502, ""},
		"sends small chunks without end": {respondEndlessly, 502, ""},
		"informational response only": {func(c net.Conn, _ <-chan bool) {
			fmt.Fprint(c, "HTTP/1.1 102 Processing\r\n\r\n")
			_, _ = io.Copy(io.Discard, c)
		}, 502, ""},
		"half a line, then a reset": {func(c net.Conn, proceed <-chan bool) {
			fmt.Fprint(c,
				"HTTP/1.1 200 O")
			<-proceed
			reset(c)
		}, 502, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			received, proceed := make(chan bool, 8), make(chan bool)
			endpoint := newEndpoint(t, "s-1", func(conn net.Conn, _ *http.Request,
				_ string) {
				received <- true
				c.respond(conn, proceed)
			})
			g := start(t, nil, endpoint)
			client := g.dial()
			if _, err := io.WriteString(client, strings.Replace(lodgeRequest("bid", "x"), "2500m", "1500m",
				1)); err != nil {
				t.Fatal(err)
			}
			<-received // the endpoint has received the whole request
			close(proceed)
			status, _, body := readResponse(client)
			if status != c.want || c.want == 200 && body != c.body {
				t.Errorf("status %d, body %q, want %d %q", status, body, c.want, c.body)
			}
			if _, n, _ := endpoint.counts(); n != 1 {
				t.Errorf("sent %d times, want once", n)
			}
		})
	}
}

// respondEndlessly sends small chunks until the connection is closed.
func respondEndlessly(c net.Conn, _ <-chan bool) {
	_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for tick := time.NewTicker(20 * time.Millisecond); err == nil; <-tick.C {
		_, err = fmt.Fprint(c, "1\r\nx\r\n")
	}
}

// Guards against a surplus response on an upstream connection that is returned to the next request.
func TestSecondResponseOnAnIdleConnection(t *testing.T) {
	second := make(chan bool)
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		respondOK(c, r, body)
		if r.Header.Get("X-Trace-Id") == "first" {
			<-second
			respondOK(c, r, "surplus")
		}
	})
	g := start(t, nil, endpoint)
	c := g.dial()
	if status, _, body := roundTrip(t, c, lodgeRequest("first", "x")); status != 200 || body != "first:x" {
		t.Fatal(status, body)
	}
	close(second)
	waitFor(t, "the gateway to close that connection",
		func() bool { _, _, closed := endpoint.counts(); return closed == 1 })
	if status, _, body := roundTrip(t, c, lodgeRequest("next", "y")); status != 200 || body != "next:y" {
		t.Errorf("the next request: status %d, body %q", status, body)
	}
	if conns, _, _ := endpoint.counts(); conns != 2 {
		t.Errorf("%d upstream connections, want 2", conns)
	}
}

// Guards against responses that reach another client, however their bytes are split or joined.
func TestConcurrentClientsGetTheirOwnResponses(t *testing.T) {
	var hosts []*fakeEndpoint
	for i := range 4 {
		hosts = append(hosts, newEndpoint(t, fmt.Sprint("s-", i), respondOK))
	}
	g := start(t, nil, hosts...)
	done := make(chan string, 40)
	for i := range cap(done) {
		c := g.dial()
		go func() {
			fault := ""
			for j := range 20 {
				id := fmt.Sprintf("c%d-%d", i, j)
				if status, _, body := roundTrip(t, c, lodgeRequest(id, id)); status == 200 && body != id+":"+id ||
					status == 0 {
					fault = fmt.Sprintf("%s: %d %q", id, status, body)
				}
			}
			done <- fault
		}()
	}
	for range cap(done) {
		if fault := <-done; fault != "" {
			t.Error(fault)
		}
	}
}

// Guards against not reading the queue length of load reports from the column that the settings name.
func TestReportedQueueLowersTheConcurrencyLimit(t *testing.T) {
	var maxWaiting, maxWaitingOther atomic.Int32
	crowded := newEndpoint(t, "s-1",
		serialResponder(&maxWaiting, "Endpoint-Load-Metrics: TEXT pending=9.5, busy_reqs=10\r\n"))
	start(t, nil, crowded, newEndpoint(t, "s-2", serialResponder(&maxWaitingOther, ""))).runLoad(3 * time.Second)
	if n, other := maxWaiting.Load(), maxWaitingOther.Load(); n > 2 || other < 3 {
		t.Errorf("up to %d requests at once at the endpoint with a queue (want 2 at most), %d at the other "+
			"(want 3 at least)", n, other)
	}
}

// Guards against a late response that is returned to another request on the same connection.
func TestLateResponseReachesNoOtherRequest(t *testing.T) {
	release := make(chan bool)
	var late atomic.Bool
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if late.CompareAndSwap(false, true) {
			<-release
		}
		respondOK(c, r, body)
	})
	g := start(t, nil, endpoint)
	c := g.dial()
	began := time.Now()
	status, _, _ := roundTrip(t, c, viewRequest("slow", 300))
	if took := time.Since(began); status == 200 || status == 0 || took > 2*time.Second {
		t.Errorf("a request past its timeout: status %d after %v, want an error within 2 s", status, took)
	}
	close(release)
	waitFor(t, "a successful response", func() bool {
		status, _, body := roundTrip(t, c, viewRequest("next", 900))
		if status == 200 && body != "next:" {
			t.Fatalf("the next request got %q, which is the response of another request", body)
		}
		return status == 200
	})
}
