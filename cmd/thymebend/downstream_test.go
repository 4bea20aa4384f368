package main

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// Guards against forwarding a request that arrives on a connection after the gateway has closed it, and against
// leaving its client without a reset.
func TestRequestAfterTheCloseOfAnIdleConnection(t *testing.T) {
	endpoint := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, endpoint)
	c := g.dial()
	if status, _, _ := roundTrip(t, c, viewRequest("before", 900)); status != 200 {
		t.Fatal(status)
	}
	g.signal(syscall.SIGTERM)
	if _, err := io.ReadAll(c); err != nil { // until the gateway closes the connection
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, lodgeRequest("crossed", "x")); err != nil {
		t.Fatal(err)
	}
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
	waitFor(t, "the connection to be reset", func() bool {
		_, err := c.Write([]byte("x"))
		return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	if _, requests, _ := endpoint.counts(); requests != 1 {
		t.Errorf("%d requests were forwarded, want the first only", requests)
	}
}

// Guards against a TCP reset that discards the response of a client which sent more bytes after its request.
func TestResponseSurvivesUnreadBytesAfterTheRequest(t *testing.T) {
	release := make(chan bool)
	endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		<-release
		respondOK(c, r, strings.Repeat("y", 60<<10))
	})
	g := start(t, nil, endpoint)
	c := g.dial()
	raw := strings.Replace(viewRequest("v", 1900), "Host: o\r\n", "Host: o\r\nConnection: close\r\n", 1)
	// The bytes after the request exceed what the gateway reads ahead.
	go func() { _, _ = io.WriteString(c, raw+strings.Repeat("noise", 100<<10)) }()
	waitFor(t, "the gateway to pause reading the connection", func() bool { return g.hasLogged("read no further") })
	close(release)
	if status, _, body := readResponse(c); status != 200 || len(body) != 60<<10+2 {
		t.Errorf("status %d with %d bytes, want 200 with the whole response", status, len(body))
	}
}
