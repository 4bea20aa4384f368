package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
)

// Guards against list changes lost between the watch of the old discovery address and that of the new one, against
// an invalid configuration that changes something, and against a reload that disturbs a shutdown.
func TestReloadMovesTheWatch(t *testing.T) {
	first, second := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	whole, answers := endpointList(1, true, endpointEntry(first, "up"),
		endpointEntry(second, "up")), make(chan string)
	next := newDiscovery(t, func(int) string { return <-answers })
	g := start(t, nil, first, second)
	<-g.discovery.polls
	g.reload("seed", "what")
	waitFor(t, "the invalid configuration to be logged", func() bool { return g.hasLogged("seed \\\"what") })
	g.reload("seed", "8c1f30d27a5be964")
	g.reload("discovery", next.ln.Addr().String())
	<-next.polls
	g.discovery.send <- endpointList(2, false, endpointEntry(first, "draining"))
	g.discovery.send <- endpointList(3, false)
	answers <- "" // 503: the poll is repeated
	if call := <-next.polls; !strings.HasSuffix(call, "index=3") {
		t.Errorf("the new address receives %q, want the index of the last list from the old address", call)
	}
	_, before, _ := first.counts()
	answers <- endpointList(4, false)
	next.send <- endpointList(5, true, endpointEntry(second, "up"))
	next.send <- endpointList(6, false)
	for i := range 8 {
		if status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Errorf("view request: status %d, want 200", status)
		}
	}
	if _, after, _ := first.counts(); after != before {
		t.Errorf("%d requests went to a draining endpoint", after-before)
	}
	for range 3 { // back to the address of the first watch, and to the new one again
		g.reload("discovery", g.discovery.ln.Addr().String())
		<-g.discovery.polls
		g.reload("discovery", next.ln.Addr().String())
		<-next.polls
		answers <- whole
	}
	g.reload("discovery", g.discovery.ln.Addr().String())
	if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if code := g.waitExit(); code != 0 {
		t.Errorf("exit code %d, want 0", code)
	}
}

// Guards against an invalid configuration file that changes anything except the count of rejected files.
func TestInvalidConfigurationFilesChangeNothing(t *testing.T) {
	control := freeTCPAddress(t)
	g := start(t, map[string]any{"control": control}, newEndpoint(t, "s-1", respondOK))
	raw, err := os.ReadFile(g.configPath)
	if err != nil {
		t.Fatal(err)
	}
	valid := strings.Replace(string(raw), `"name":"view"`, `"name":"look"`, 1) // a change that is visible if accepted
	with := func(old, new string) string { return strings.Replace(valid, old, new, 1) }
	faulty := []string{"", valid[:len(valid)/2], valid + "x", with(`"cancel":true,`, ""),
		with(`"seed"`, `"sead"`), with(`"worth":1`, `"w":1`),
		with(`"classes"`, `"klasses"`), with(`"give_up_ms":2000`,
			`"give_up_ms":null`), with(`"give_up_ms":2000`, `"give_up_ms":"2000"`),
		with(`"give_up_ms":2000`, `"give_up_ms":NaN`), with(`"give_up_ms":2000`,
			`"give_up_ms":-5`), with(`"give_up_ms":2000`, `"give_up_ms":1e400`),
		with(`"most_tries":4`, `"most_tries":0`), with(`"most_tries":4`,
			`"most_tries":null`), with(`"most_tries":4`, `"most_tries":true`),
		with(`"most_tries":4`, `"most_tries":1e99`), with(`"name":"lodge"`, `"name":"look"`)}
	for i, text := range faulty {
		g.replaceConfig(text)
		waitFor(t, fmt.Sprintf("invalid file %d to be counted", i), func() bool {
			return *fetchStats(t, control).ConfigsRejected == i+1
		})
	}
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 200 || *fetchStats(t, control).
		ConfigsAccepted != 0 {
		t.Errorf("an invalid file changed the settings or was counted as accepted: status %d, want 200", status)
	}
	g.replaceConfig(valid)
	waitFor(t, "the valid file to be accepted", func() bool { return *fetchStats(t, control).ConfigsAccepted == 1 })
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 404 {
		t.Errorf("a class that the reload removed: status %d, want 404", status)
	}
}

// Guards against a reload that changes the class of requests in progress, and against leftovers of removed classes
// after many reloads.
func TestRequestsKeepTheirClassThroughReloads(t *testing.T) {
	control, reloaded := freeTCPAddress(t), make(chan bool)
	a := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if r.Header.Get("X-Trace-Id") == "early" {
			<-reloaded
		}
		c.Close()
	})
	b := newEndpoint(t, "s-2", respondOK)
	g := start(t, map[string]any{"control": control}, a)
	answers := make(chan int)
	early := g.dial()
	go func() { status, _, _ := roundTrip(t, early, viewRequest("early", 1900)); answers <- status }()
	waitFor(t, "the early request to reach the endpoint",
		func() bool { _, requests, _ := a.counts(); return requests == 1 })
	g.discovery.send <- endpointList(2, false, endpointEntry(b, "up"))
	g.discovery.send <- endpointList(3, false, endpointEntry(b,
		"up")) // sent only after the list before it was received
	raw, err := os.ReadFile(g.configPath)
	if err != nil {
		t.Fatal(err)
	}
	g.replaceConfig(strings.Replace(string(raw), `"repeat":"repeatable"`, `"repeat":"once"`, 1))
	waitFor(t, "the reload", func() bool { return *fetchStats(t, control).ConfigsAccepted == 1 })
	close(reloaded)
	if status := <-answers; status != 200 {
		t.Errorf("the early view request: status %d, want 200 of its retry, since its class was repeatable", status)
	}
	for n := 2; n <= 101; n++ {
		added := fmt.Sprintf(`{"name":"new%d","aim_ms":800,"give_up_ms":%d,"repeat":"once","worth":8},`, n, 1000+n)
		g.replaceConfig(strings.Replace(string(raw), `{"name":"view"`, added+`{"name":"view"`, 1))
		waitFor(t, "the reload", func() bool { return *fetchStats(t, control).ConfigsAccepted == n })
		if n%25 == 0 {
			c := g.dial()
			if _, err := io.WriteString(c, strings.ReplaceAll(lodgeRequest(fmt.Sprint("n", n), "x"), "lodge",
				fmt.Sprint("new", n))); err != nil {
				t.Fatal(err)
			}
			if status, _, _ := readResponse(c); status != 200 && status != 502 {
				t.Errorf("class new%d: status %d, want 200 or 502", n, status)
			}
		}
	}
}
