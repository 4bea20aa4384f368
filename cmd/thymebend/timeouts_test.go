package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against a request read timeout that depends on the client deadlines of the settings.
func TestRequestReadTimeoutIsFixed(t *testing.T) {
	for _, deadline := range []string{"700", "12000"} {
		t.Run(deadline, func(t *testing.T) {
			t.Parallel()
			settings := strings.Replace(testSettings, `"aim_ms":800,"give_up_ms":2000`,
				`"aim_ms":500,"give_up_ms":`+deadline, 1)
			settings = strings.Replace(settings, `"aim_ms":800,"give_up_ms":2500`,
				`"aim_ms":500,"give_up_ms":`+deadline, 1)
			g := start(t, map[string]any{"settings": json.RawMessage(settings)}, newEndpoint(t, "s-1", respondOK))
			silent, slow := g.dial(), g.dial()
			began, ended := time.Now(), make(chan time.Duration, 1)
			go func() {
				_, _, _ = readResponse(silent)
				ended <- time.Since(began)
			}()
			raw := lodgeRequest("slow", strings.Repeat("x", 40<<10))
			head := strings.Index(raw, "\r\n\r\n") + 4
			for _, part := range []string{raw[:head/3], raw[head/3 : 2*head/3], raw[2*head/3 : head]} {
				fmt.Fprint(slow, part)
				time.Sleep(700 * time.Millisecond) // emulates a slow client
			}
			for remaining := raw[head:]; len(remaining) > 0; time.Sleep(50 * time.Millisecond) {
				n := min(len(remaining), 3200)
				fmt.Fprint(slow, remaining[:n])
				remaining = remaining[n:]
			}
			if status, _, _ := readResponse(slow); status != 200 {
				t.Errorf("a slow client: status %d after %v, want 200", status, time.Since(began))
			}
			if took := <-ended; took < 2*time.Second || took > stallTimeout {
				t.Errorf("a silent connection was closed after %v, want 2 to 3 s", took)
			}
		})
	}
}

// Guards against timing out a client that is slow but makes progress.
func TestSlowClientsAreNotTimedOut(t *testing.T) {
	g := start(t, nil, newEndpoint(t, "s-1", respondOK))
	c := g.dial()
	raw := lodgeRequest("slow", strings.Repeat("x", 60<<10))
	head := strings.Index(raw, "\r\n\r\n") + 4
	fmt.Fprint(c, raw[:20])
	time.Sleep(2 * time.Second)
	fmt.Fprint(c, raw[20:head])
	for remaining := raw[head:]; len(remaining) > 0; time.Sleep(50 * time.Millisecond) {
		n := min(len(remaining), 3200)
		fmt.Fprint(c, remaining[:n])
		remaining = remaining[n:]
	}
	if status, _, _ := readResponse(c); status != 200 {
		t.Errorf("a slow client's lodge request: status %d, want 200", status)
	}
}

// Guards against a connection that keeps a descriptor for long because it is silent, or sends a request head without
// end.
func TestFirstRequestTimeoutStartsAtTheAccept(t *testing.T) {
	g := start(t, nil, newEndpoint(t, "s-1", respondOK))
	used, silent, trickle := g.dial(), g.dial(), g.dial()
	roundTrip(t, used, viewRequest("before", 900))
	began, ended := time.Now(), make(chan bool)
	go func() { // one byte at a time: none of them may restart the timeout
		for _, err := io.WriteString(trickle,
			"GET /view HTTP/1.1\r\nX-Pad: "); err == nil; _, err = io.WriteString(trickle, "x") {
			select {
			case <-ended:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	if status, _, _ := readResponse(trickle); status != 408 {
		t.Errorf("a request head without end: status %d, want 408", status)
	}
	close(ended)
	if status, _, _ := readResponse(silent); status != 0 {
		t.Errorf("a silent connection: status %d, want a close", status)
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("both connections ended after %v, want 3 s at most", took)
	}
	if status, _, _ := roundTrip(t, used, viewRequest("after", 900)); status != 200 {
		t.Errorf("a connection that has carried a request: status %d, want 200", status)
	}
}
