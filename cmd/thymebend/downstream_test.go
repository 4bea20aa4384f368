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

// Guards against a request on a connection that the gateway has closed which is forwarded, or whose client
// hears nothing.
func TestRequestAfterTheCloseOfAnIdleConnection(t *testing.T) {
	h := newEndpoint(t, "s-1", respondOK)
	g := start(t, nil, h)
	c := g.dial()
	if status, _, _ := roundTrip(t, c, viewRequest("before", 900)); status != 200 {
		t.Fatal(status)
	}
	g.signal(syscall.SIGTERM)
	if _, err := io.ReadAll(c); err != nil { // the gateway's end
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, lodgeRequest("crossed", "x")); err != nil {
		t.Fatal(err)
	}
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
	waitFor(t, "the reset", func() bool {
		_, err := c.Write([]byte("x"))
		return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
	})
	if _, asked, _ := h.counts(); asked != 1 {
		t.Errorf("%d requests were sent on, want the first alone", asked)
	}
}

// Guards against a reset that takes the answer from a client which sent more behind its request.
func TestResponseSurvivesUnreadBytesAfterTheRequest(t *testing.T) {
	release := make(chan bool)
	h := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		<-release
		respondOK(c, r, strings.Repeat("y", 60<<10))
	})
	g := start(t, nil, h)
	c := g.dial()
	raw := strings.Replace(viewRequest("v", 1900), "Host: o\r\n", "Host: o\r\nConnection: close\r\n", 1)
	go func() { _, _ = io.WriteString(c, raw+strings.Repeat("noise", 100<<10)) }() // more than is ever read ahead
	waitFor(t, "the link to be read no further", func() bool { return g.hasLogged("read no further") })
	close(release)
	if status, _, body := readResponse(c); status != 200 || len(body) != 60<<10+2 {
		t.Errorf("%d with %d bytes", status, len(body))
	}
}
