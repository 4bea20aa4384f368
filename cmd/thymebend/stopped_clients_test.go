package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// stallTimeout is the time within which the gateway must send an error to a client that stops in the middle of a
// request, or close its connection.
const stallTimeout = 3 * time.Second

// incidentDeadlineSettings returns testSettings with client deadlines of 3.682 and 4.603 s, as in the incident in
// which stopped clients got no response.
func incidentDeadlineSettings() json.RawMessage {
	text := strings.Replace(testSettings, `"give_up_ms":2000`, `"give_up_ms":3682`, 1)
	return json.RawMessage(strings.Replace(text, `"give_up_ms":2500`, `"give_up_ms":4603`, 1))
}

// stallingProxy returns the address of a proxy that forwards only the first bytesPassed bytes of each client. To the
// gateway at the address to, the client appears to stop there and stay connected.
func stallingProxy(t *testing.T, to string, bytesPassed int64) string {
	t.Helper()
	ln := listen(t)
	go serveEach(ln, func(client net.Conn) {
		gateway, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer gateway.Close()
		go func() {
			_, _ = io.CopyN(gateway, client, bytesPassed)
			_, _ = io.Copy(io.Discard, client) // the client continues; the gateway receives none of it
		}()
		_, _ = io.Copy(client, gateway)
	})
	return ln.Addr().String()
}

// stall is one way in which a client stops in the middle of a request.
type stall struct {
	name   string
	before string // complete request that is sent and answered first on the same connection
	pieces []string
	pause  time.Duration // between two pieces
}

// stallCases returns a stall for each position in a request at which a client may stop. prefix makes the ids unique.
func stallCases(prefix string) []stall {
	body := func(sent, stated int) string {
		whole := lodgeRequest(fmt.Sprintf("%s%d-%d", prefix, sent, stated), strings.Repeat("x", stated))
		return whole[:len(whole)-stated+sent]
	}
	chunked := strings.Replace(lodgeRequest(prefix+"chunked", ""), "Content-Length: 0",
		"Transfer-Encoding: chunked", 1)
	expects := strings.Replace(body(0, 50), "Host: o", "Host: o\r\nExpect: 100-continue", 1)
	half := viewRequest(prefix+"half", 900)
	half = half[:len(half)/2]
	list := []stall{
		{name: "nothing sent"},
		{name: "half a request line", pieces: []string{"GET /vi"}},
		{name: "half a head", pieces: []string{half}},
		{name: "a head without a body", pieces: []string{body(0, 100)}},
		{name: "half a body", pieces: []string{body(60, 100)}},
		{name: "most of a buffered body", pieces: []string{body(60<<10, 62<<10)}},
		{name: "half a chunk", pieces: []string{chunked + "10\r\nabc"}},
		{name: "no last chunk", pieces: []string{chunked + "3\r\nabc\r\n"}},
		{name: "expects 100-continue", pieces: []string{expects}},
		{name: "half a streamed body", pieces: []string{body(100<<10, 300<<10)}},
		{name: "a streamed body in pieces", pieces: []string{body(80<<10, 300<<10),
			strings.Repeat("x", 10<<10), strings.Repeat("x", 10<<10)},
			pause: 300 * time.Millisecond},
		{name: "half a request behind an answered one", before: viewRequest(prefix+"answered", 900),
			pieces: []string{half}},
		{name: "half a body behind an answered one", before: viewRequest(prefix+"answered-too", 900),
			pieces: []string{body(40, 101)}},
		{name: "half a request in one piece with a whole one",
			pieces: []string{viewRequest(prefix+"whole", 900) + half}},
		{name: "a slow head", pieces: []string{half[:10], half[10:20], half[20:]}, pause: 600 * time.Millisecond},
	}
	return list
}

// run plays the client and returns the time until it gets an error or a close, measured from its last byte, or from
// its connect if it sends none.
func (s stall) run(addr string) (time.Duration, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	stopped := time.Now()
	_ = c.SetDeadline(stopped.Add(testTimeout))
	if s.before != "" {
		if _, err := io.WriteString(c, s.before); err != nil {
			return 0, err
		}
		if err := expectStatus(c, http.StatusOK); err != nil {
			return 0, err
		}
	}
	for i, piece := range s.pieces {
		if i > 0 {
			time.Sleep(s.pause) // emulates a slow client; no check depends on it
		}
		if _, err := io.WriteString(c, piece); err != nil {
			return 0, err
		}
		stopped = time.Now()
	}
	for { // skips the response to a complete request before, and 100 Continue
		var raw [4096]byte
		n, err := c.Read(raw[:])
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return 0, fmt.Errorf("neither an error nor a close within %v", testTimeout)
		case err != nil, bytes.HasPrefix(raw[:n], []byte("HTTP/1.1 4")), bytes.HasPrefix(raw[:n],
			[]byte("HTTP/1.1 5")):
			return time.Since(stopped), nil
		}
	}
}

// expectStatus reads one response and returns an error unless it has the status want.
func expectStatus(c net.Conn, want int) error {
	status, _, _ := readResponse(c)
	if status != want {
		return fmt.Errorf("status %d, want %d", status, want)
	}
	return nil
}

// runStalls runs the stalls concurrently and fails the test for each client that waits longer than stallTimeout.
func runStalls(t *testing.T, addr string, list []stall) {
	t.Helper()
	var all sync.WaitGroup
	for _, s := range list {
		all.Go(func() {
			if waited, err := s.run(addr); err != nil || waited > stallTimeout {
				t.Errorf("%s: an error or a close after %v (error %v), want it within %v", s.name,
					waited.Round(time.Millisecond), err, stallTimeout)
			}
		})
	}
	all.Wait()
}

// Guards against a client that stops in the middle of a request and gets neither an error nor a close for over 3 s,
// wherever it stops, also behind a proxy, across a reload or in a shutdown. Other clients are served, and no endpoint
// gets a complete request from it.
func TestStoppedClientsGetAnErrorOrAClose(t *testing.T) {
	for name, settings := range map[string]json.RawMessage{
		"deadlines of 2.5 s": json.RawMessage(testSettings),
		"deadlines of 4.6 s": incidentDeadlineSettings(),
		"deadlines of 12 s":  settingsWithReplacement(`"give_up_ms":2500`, `"give_up_ms":12000`),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoint := newEndpoint(t, "s-1", respondOK)
			g := start(t, map[string]any{"settings": settings}, endpoint)
			runStalls(t, g.address, stallCases("a"))
			if status, _, _ := roundTrip(t, g.dial(), viewRequest("other", 900)); status != 200 {
				t.Errorf("another client: status %d, want 200", status)
			}
		})
	}
	t.Run("behind a proxy", func(t *testing.T) {
		t.Parallel()
		g := start(t, map[string]any{"settings": incidentDeadlineSettings()}, newEndpoint(t, "s-1", respondOK))
		whole := lodgeRequest("proxied", strings.Repeat("x", 500))
		for _, passed := range []int64{0, 20, int64(len(whole)) - 500, int64(len(whole)) - 1} {
			runStalls(t, stallingProxy(t, g.address, passed), []stall{{name: fmt.Sprint(passed,
				" bytes passed"), pieces: []string{whole}}})
		}
	})
	t.Run("through a reload to longer deadlines", func(t *testing.T) {
		t.Parallel()
		g := start(t, nil, newEndpoint(t, "s-1", respondOK))
		c := g.dial()
		fmt.Fprint(c, viewRequest("before", 900)[:30])
		g.reload("settings", incidentDeadlineSettings())
		waitFor(t, "the reload", func() bool { return g.hasLogged(`"message":"reload"`) })
		runStalls(t, g.address, stallCases("r"))
		if status, _, _ := readResponse(c); status != 408 {
			t.Errorf("a request half sent before the reload: status %d, want 408", status)
		}
	})
	t.Run("in a shutdown", func(t *testing.T) {
		t.Parallel()
		g := start(t, map[string]any{"settings": incidentDeadlineSettings()}, newEndpoint(t, "s-1", respondOK))
		var all sync.WaitGroup
		all.Go(func() { runStalls(t, g.address, stallCases("e")) })
		waitFor(t, "partial requests to arrive", func() bool {
			return strings.Count(g.log.String(), "request begins to come") >= 10
		})
		g.signal(syscall.SIGTERM)
		all.Wait()
		if code := g.waitExit(); code != 0 {
			t.Errorf("exit code %d, want 0", code)
		}
	})
	t.Run("with an endpoint that reads nothing", func(t *testing.T) {
		t.Parallel()
		endpoint := &fakeEndpoint{name: "s-1", ln: listen(t)}
		held := make(chan bool)
		t.Cleanup(func() { close(held) })
		go serveEach(endpoint.ln, func(net.Conn) { <-held }) // data is accepted until the socket buffers are full
		g := start(t, map[string]any{"settings": incidentDeadlineSettings()}, endpoint)
		c := g.dial()
		body := make([]byte, 64<<10)
		fmt.Fprint(c, largeLodgeRequest("stuck", "size=2", 30<<20))
		for _, err := c.Write(body); err == nil; _, err = c.Write(body) { // until a write blocks for 200 ms
			_ = c.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		}
		stopped := time.Now()
		if status, _, _ := readResponse(c); status < 400 || time.Since(stopped) > stallTimeout {
			t.Errorf("status %d after %v, want an error", status, time.Since(stopped))
		}
	})
	t.Run("while endpoints hang", func(t *testing.T) {
		t.Parallel()
		release := make(chan bool)
		t.Cleanup(func() { close(release) })
		var hung atomic.Int32
		endpoint := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) { hung.Add(1); <-release })
		g := start(t, map[string]any{"settings": incidentDeadlineSettings()}, endpoint)
		for i := range 8 {
			fmt.Fprint(g.dial(), viewRequest(fmt.Sprint("hangs", i), 3600))
		}
		waitFor(t, "a request to hang at the endpoint", func() bool { return hung.Load() > 0 })
		var list []stall
		for _, s := range stallCases("h") {
			if s.before == "" && !strings.Contains(s.name, "whole one") { // the others need a response first
				list = append(list, s)
			}
		}
		runStalls(t, g.address, list)
	})
}
