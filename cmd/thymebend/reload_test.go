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
	a, b := newEndpoint(t, "s-1", ok), newEndpoint(t, "s-2", ok)
	whole, answers := endpointList(1, true, entry(a, "up"), entry(b, "up")), make(chan string)
	next := newDiscovery(t, func(int) string { return <-answers })
	g := start(t, nil, a, b)
	<-g.discovery.polls
	g.reload("seed", "what")
	until(t, "the fault to be logged", func() bool { return g.logs("seed \\\"what") })
	g.reload("seed", "8c1f30d27a5be964")
	g.reload("discovery", next.ln.Addr().String())
	<-next.polls
	g.discovery.send <- endpointList(2, false, entry(a, "draining"))
	g.discovery.send <- endpointList(3, false)
	answers <- "" // a call that fails is made again
	if call := <-next.polls; !strings.HasSuffix(call, "index=3") {
		t.Errorf("the new address is asked %q, want what the old one told last", call)
	}
	_, before, _ := a.seen()
	answers <- endpointList(4, false)
	next.send <- endpointList(5, true, entry(b, "up"))
	next.send <- endpointList(6, false)
	for i := range 8 {
		if status, _, _ := ask(t, g.dial(), view(fmt.Sprint("v", i), 900)); status != 200 {
			t.Errorf("view: %d", status)
		}
	}
	if _, after, _ := a.seen(); after != before {
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
	if code := g.exit(); code != 0 {
		t.Errorf("exit code %d", code)
	}
}

// Guards against a faulty file that changes more than its count.
func TestFaultyFilesChangeNothing(t *testing.T) {
	control := freePort(t)
	g := start(t, map[string]any{"control": control}, newEndpoint(t, "s-1", ok))
	raw, err := os.ReadFile(g.path)
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
		g.replace(text)
		until(t, fmt.Sprintf("file %d to be counted", i), func() bool {
			return *stats(t, control).ConfigsRejected == i+1
		})
	}
	if status, _, _ := ask(t, g.dial(), view("v", 900)); status != 200 || *stats(t, control).
		ConfigsAccepted != 0 {
		t.Errorf("the settings changed: %d", status)
	}
	g.replace(good)
	until(t, "the good file to be taken", func() bool { return *stats(t, control).ConfigsAccepted == 1 })
	if status, _, _ := ask(t, g.dial(), view("v", 900)); status != 404 {
		t.Errorf("a class that vanished: %d, want 404", status)
	}
}

// Guards against a reload that changes the class of requests under way, or leaves something of classes that
// went.
func TestRequestsKeepTheirClassThroughReloads(t *testing.T) {
	control, reloaded := freePort(t), make(chan bool)
	a := newEndpoint(t, "s-1", func(c net.Conn, r *http.Request, body string) {
		if r.Header.Get("X-Trace-Id") == "early" {
			<-reloaded
		}
		c.Close()
	})
	b := newEndpoint(t, "s-2", ok)
	g := start(t, map[string]any{"control": control}, a)
	answers := make(chan int)
	early := g.dial()
	go func() { status, _, _ := ask(t, early, view("early", 1900)); answers <- status }()
	until(t, "the early view to be under way", func() bool { _, asked, _ := a.seen(); return asked == 1 })
	g.discovery.send <- endpointList(2, false, entry(b, "up"))
	g.discovery.send <- endpointList(3, false, entry(b, "up")) // once taken, the first was
	raw, err := os.ReadFile(g.path)
	if err != nil {
		t.Fatal(err)
	}
	g.replace(strings.Replace(string(raw), `"repeat":"repeatable"`, `"repeat":"once"`, 1))
	until(t, "the reload", func() bool { return *stats(t, control).ConfigsAccepted == 1 })
	close(reloaded)
	if status := <-answers; status != 200 {
		t.Errorf("the early view: %d, want its second try's 200", status)
	}
	for n := 2; n <= 101; n++ {
		added := fmt.Sprintf(`{"name":"new%d","aim_ms":800,"give_up_ms":%d,"repeat":"once","worth":8},`, n, 1000+n)
		g.replace(strings.Replace(string(raw), `{"name":"view"`, added+`{"name":"view"`, 1))
		until(t, "the reload", func() bool { return *stats(t, control).ConfigsAccepted == n })
		if n%25 == 0 {
			c := g.dial()
			if _, err := io.WriteString(c, strings.ReplaceAll(lodge(fmt.Sprint("n", n), "x"), "lodge",
				fmt.Sprint("new", n))); err != nil {
				t.Fatal(err)
			}
			if status, _, _ := answer(c); status != 200 && status != 502 {
				t.Errorf("new class %d: %d", n, status)
			}
		}
	}
}
