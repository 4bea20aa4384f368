package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against requests or responses that the gateway alters, and against upstream connections that are not reused.
func TestServesUnchangedOnReusedConnections(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		respondOK(c, r, r.Method+r.URL.String()+body+r.Header.Get("X-Expires-In")[:1])
	})
	g := start(t, nil, endpoint)
	c := g.dial()
	for i := range 5 {
		status, fields, body := roundTrip(t, c, viewRequest(fmt.Sprint("v", i), 900))
		if want := fmt.Sprintf("v%d:GET/view/x?q=18", i); status != 200 || body != want ||
			fields.Get("X-Kept") != "yes" {
			t.Fatalf("view: status %d, body %q, want 200, body %q and field X-Kept", status, body, want)
		}
		if status, _, body = roundTrip(t, c, lodgeRequest(fmt.Sprint("l", i), "bid")); status != 200 ||
			body != fmt.Sprintf("l%d:POST/lodgebid2", i) {
			t.Fatalf("lodge: status %d, body %q", status, body)
		}
	}
	if conns, requests, _ := endpoint.counts(); conns != 1 || requests != 10 {
		t.Errorf("%d upstream connections for %d requests, want 1 for 10: each handshake costs the endpoint work",
			conns, requests)
	}
}

// Guards against invalid input that is forwarded or gets no error response.
func TestInvalidRequestsAreRejectedAndNotForwarded(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, endpoint)
	good := viewRequest("a", 900)
	for raw, want := range map[string]int{
		"nonsense\r\n\r\n": 400,
		"GET /view HTTP/1.1\r\nHost: o\r\nbad line\r\n\r\n":                                                     400,
		strings.Replace(good, "X-Trace-Id: a\r\n", "", 1):                                                       400,
		strings.Replace(good, "X-Trace-Id: a", "X-Trace-Id: a, b", 1):                                           400,
		strings.Replace(good, "X-Qos: view", "X-Qos: other", 1):                                                 400,
		strings.Replace(good, "X-Qos: view\r\n", "", 1):                                                         400,
		strings.Replace(good, "900m", "soon", 1):                                                                400,
		strings.Replace(good, "900m", "-5m", 1):                                                                 400,
		strings.Replace(good, "900m", "1e3m", 1):                                                                400,
		strings.Replace(good, "X-Expires-In: 900m\r\n", "", 1):                                                  400,
		strings.Replace(good, "GET", "DELETE", 1):                                                               400,
		strings.Replace(good, "/view/x", "/elsewhere", 1):                                                       404,
		strings.Replace(lodgeRequest("a", "x"), "Host", "Transfer-Encoding: chunked\r\nHost", 1):                400,
		strings.Replace(lodgeRequest("a", ""), "Length: 0", "Length: 33554433", 1):                              413,
		strings.Replace(lodgeRequest("a", ""), "Length: 0", "Length: -1", 1):                                    400,
		strings.Replace(good, "Host: o", "Host: "+strings.Repeat("o", 17<<10), 1):                               431,
		strings.Replace(lodgeRequest("a", ""), "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "zz\r\n": 400,
		"POST /healthz HTTP/1.1\r\nHost: o\r\nContent-Length: 0\r\n\r\n":                                        400,
	} {
		if status, _, _ := roundTrip(t, g.dial(), raw); status != want {
			t.Errorf("%.60q: status %d, want %d", raw, status, want)
		}
	}
	if _, requests, _ := endpoint.counts(); requests != 0 {
		t.Errorf("%d invalid requests were forwarded", requests)
	}
	if status, _, _ := roundTrip(t, g.dial(), good); status != 200 {
		t.Errorf("a valid request after them: status %d, want 200", status)
	}
}

// Guards against a request that is parsed wrongly because its bytes arrive one by one.
func TestRequestsArriveInPieces(t *testing.T) {
	g := start(t, nil, newEndpoint(t, "s-1", respondOK))
	raw := strings.Replace(lodgeRequest("a", ""), "Content-Length: 0", "Transfer-Encoding: chunked",
		1) + "3;x=y\r\nbid\r\n0\r\n\r\n"
	c := g.dial()
	for i := range len(raw) - 1 {
		if _, err := io.WriteString(c, raw[i:i+1]); err != nil {
			t.Fatal(err)
		}
	}
	if status, _, body := roundTrip(t, c, raw[len(raw)-1:]); status != 200 || body != "a:bid" {
		t.Errorf("status %d, body %q, want 200 with the decoded body", status, body)
	}
}

// Guards against forwarding a second request with the id of an open one.
func TestOpenRequestIDIsRejected(t *testing.T) {
	release := make(chan bool)
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request,
		body string) {
		<-release
		respondOK(c, r, body)
	})
	g := start(t, nil, endpoint)
	first := g.dial()
	if _, err := io.WriteString(first, lodgeRequest("same", "x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the request to reach the endpoint", func() bool {
		_, requests,
			_ := endpoint.counts()
		return requests == 1
	})
	if status, _, _ := roundTrip(t, g.dial(), lodgeRequest("same", "y")); status != 400 {
		t.Errorf("a request with the id of an open one: status %d, want 400", status)
	}
	close(release)
	if status, _, body := readResponse(first); status != 200 || body != "same:x" {
		t.Errorf("the first request: status %d, body %q", status, body)
	}
	if _, requests, _ := endpoint.counts(); requests != 1 {
		t.Errorf("%d requests reached the endpoint, want 1", requests)
	}
}

// Guards against treating a client's first attempt with a short timeout as a retry whose latency objective has passed.
func TestFirstAttemptWithAShortTimeoutIsServed(t *testing.T) {
	for marks, want := range map[string]int{`"clients":{"marks_retry":true},`: 200, "": 503} {
		g := start(t, map[string]any{"settings": settingsWithReplacement(`"classes"`, marks+`"classes"`)},
			newEndpoint(t, "s-1", respondOK))
		c := g.dial()
		for i := range 5 {
			roundTrip(t, c, viewRequest(fmt.Sprint("usual", i), 2000))
		}
		if status, _, _ := roundTrip(t, c, viewRequest("hasty", 300)); status != want {
			t.Errorf("%q: status %d, want %d", marks, status, want)
		}
		marked := strings.Replace(viewRequest("repeat", 300), "Host", "X-Second-Try: 1\r\nHost", 1)
		if status, _, _ := roundTrip(t, c, marked); status != 503 {
			t.Errorf("a marked retry of an old request: status %d, want 503", status)
		}
	}
}
