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

// Guards against a gap between the old address's watch and the new one's, a faulty file that changes
// something, and a shutdown that a reload disturbs.
func TestReloadMovesTheWatch(t *testing.T) {
	a, b := newEndpoint(t, "s-1", respondOK), newEndpoint(t, "s-2", respondOK)
	whole, answers := endpointList(1, true, endpointEntry(a, "up"), endpointEntry(b, "up")), make(chan string)
	next := newDiscovery(t, func(int) string { return <-answers })
	g := start(t, nil, a, b)
	<-g.discovery.polls
	g.reload("seed", "what")
	waitFor(t, "the fault to be logged", func() bool { return g.hasLogged("seed \\\"what") })
	g.reload("seed", "8c1f30d27a5be964")
	g.reload("discovery", next.ln.Addr().String())
	<-next.polls
	g.discovery.send <- endpointList(2, false, endpointEntry(a, "draining"))
	g.discovery.send <- endpointList(3, false)
	answers <- "" // a call that fails is made again
	if call := <-next.polls; !strings.HasSuffix(call, "index=3") {
		t.Errorf("the new address is asked %q, want what the old one told last", call)
	}
	_, before, _ := a.counts()
	answers <- endpointList(4, false)
	next.send <- endpointList(5, true, endpointEntry(b, "up"))
	next.send <- endpointList(6, false)
	for i := range 8 {
		if status, _, _ := roundTrip(t, g.dial(), viewRequest(fmt.Sprint("v", i), 900)); status != 200 {
			t.Errorf("view: %d", status)
		}
	}
	if _, after, _ := a.counts(); after != before {
		t.Errorf("%d executions went to a host that drains", after-before)
	}
	for range 3 { // the address of the first watch again, and back
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
		t.Errorf("exit code %d", code)
	}
}

// Guards against a faulty file that changes more than its count.
func TestInvalidConfigurationFilesChangeNothing(t *testing.T) {
	control := freeTCPAddress(t)
	g := start(t, map[string]any{"control": control}, newEndpoint(t, "s-1", respondOK))
	raw, err := os.ReadFile(g.configPath)
	if err != nil {
		t.Fatal(err)
	}
	good := strings.Replace(string(raw), `"name":"view"`, `"name":"look"`, 1) // taken, it would show
	with := func(old, new string) string { return strings.Replace(good, old, new, 1) }
	faulty := []string{"", good[:len(good)/2], good + "x", with(`"cancel":true,`, ""),
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
		waitFor(t, fmt.Sprintf("file %d to be counted", i), func() bool {
			return *fetchStats(t, control).ConfigsRejected == i+1
		})
	}
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 200 || *fetchStats(t, control).
		ConfigsAccepted != 0 {
		t.Errorf("the settings changed: %d", status)
	}
	g.replaceConfig(good)
	waitFor(t, "the good file to be taken", func() bool { return *fetchStats(t, control).ConfigsAccepted == 1 })
	if status, _, _ := roundTrip(t, g.dial(), viewRequest("v", 900)); status != 404 {
		t.Errorf("a class that vanished: %d, want 404", status)
	}
}

// Guards against a reload that changes the class of requests under way, or leaves something of classes that
// went.
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
	waitFor(t, "the early view to be under way", func() bool { _, asked, _ := a.counts(); return asked == 1 })
	g.discovery.send <- endpointList(2, false, endpointEntry(b, "up"))
	g.discovery.send <- endpointList(3, false, endpointEntry(b, "up")) // once taken, the first was
	raw, err := os.ReadFile(g.configPath)
	if err != nil {
		t.Fatal(err)
	}
	g.replaceConfig(strings.Replace(string(raw), `"repeat":"repeatable"`, `"repeat":"once"`, 1))
	waitFor(t, "the reload", func() bool { return *fetchStats(t, control).ConfigsAccepted == 1 })
	close(reloaded)
	if status := <-answers; status != 200 {
		t.Errorf("the early view: %d, want its second try's 200", status)
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
				t.Errorf("new class %d: %d", n, status)
			}
		}
	}
}
