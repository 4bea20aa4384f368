package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"
)

// connecting reports whether a socket of this machine is in state SYN_SENT towards an address.
func connecting(t *testing.T, addr net.Addr) bool {
	t.Helper()
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	to := fmt.Sprintf(" 0100007F:%04X 02 ", addr.(*net.TCPAddr).Port)
	return strings.Contains(string(raw), to)
}

// dial opens a client connection that is closed when the test ends.
func (g *gatewayProcess) dial() net.Conn {
	g.t.Helper()
	c, err := net.Dial("tcp", g.address)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip writes raw bytes and reads one response. Status 0 means that no complete response arrived.
func roundTrip(t *testing.T, c net.Conn, raw string) (int, http.Header, string) {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, raw); err != nil {
		return 0, nil, ""
	}
	return readResponse(c)
}

// readResponse reads one response and returns its status, fields and body, with status 0 if it is incomplete. It adds
// Connection: close to the fields if the response closes the connection.
func readResponse(c net.Conn) (int, http.Header, string) {
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, ""
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, ""
	}
	if resp.Close {
		resp.Header.Set("Connection", "close")
	}
	return resp.StatusCode, resp.Header, string(body)
}

// viewRequest returns a request of class view with a client timeout in ms.
func viewRequest(id string, ms int) string {
	return fmt.Sprintf("GET /view/x?q=1 HTTP/1.1\r\nHost: o\r\n"+
		"X-Trace-Id: %s\r\nX-Qos: view\r\nX-Expires-In: %dm\r\n\r\n", id, ms)
}

// lodgeRequest returns a request of class lodge with a client timeout of 2500 ms.
func lodgeRequest(id, body string) string {
	return fmt.Sprintf("POST /lodge HTTP/1.1\r\nHost: o\r\nX-Trace-Id: %s\r\nX-Qos: lodge\r\nX-Expires-In: 2500m\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}
