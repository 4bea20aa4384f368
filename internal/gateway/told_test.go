package gateway

import (
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
	"thymebend/internal/loop"
)

// From the step on that takes what discovery wrote of a host that leaves, not a byte of a request goes there, wherever the
// request is by then. Each way of telling is played against each place of the request.
func TestNothingGoesToAHostThatLeft(t *testing.T) {
	tells := map[string]string{
		"draining":               object(2, false, entry(1, "draining", 0)),
		"removed":                object(2, false, entry(1, "removed", 0)),
		"another start drains":   object(2, false, entry(1, "draining", 7)),
		"another start removed":  object(2, false, entry(1, "removed", 7)),
		"up, then draining":      object(2, false, entry(1, "up", 0), entry(1, "draining", 0)),
		"left out":               object(2, true, entry(2, "up", 0)),
		"both in a whole list":   object(2, true, entry(1, "draining", 0), entry(1, "up", 0), entry(2, "up", 0)),
		"beside a faulty entry":  object(2, false, entry(1, "draining", 0), entry(2, "resting", 0)),
		"in an earlier version":  object(0, false, entry(1, "draining", 0)),
		"in a faulty whole list": object(2, true, entry(1, "removed", 0), `{"host":"s-2"}`),
		"before a torn line":     object(2, false, entry(1, "draining", 0)) + "\n" + `{"seq":3,` + "\n",
		"after a faulty object":  `{"whole":false,"hosts":[]}` + "\n" + object(2, false, entry(1, "draining", 0)),
	}
	// Each place begins with host 1 alone and returns what goes on once it has left.
	places := map[string]func(r *rig) func(){
		"waits for its connection": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(hostAddr(1))
			return func() { r.connected(c) }
		},
		"waits for its connection, with the rest of a long body to come": func(r *rig) func() {
			r.request(200_000, 70_000)
			r.turn()
			c := r.connecting(hostAddr(1))
			return func() {
				r.connected(c)
				r.step(loop.Event{Kind: loop.Data, Conn: r.clients, Data: []byte(strings.Repeat("x", 1000))})
			}
		},
		"its body is not whole": func(r *rig) func() {
			r.request(1000, 500)
			r.turn()
			return func() { r.step(loop.Event{Kind: loop.Data, Conn: r.clients, Data: []byte(strings.Repeat("x", 500))}) }
		},
		"is taken and not dispatched": func(r *rig) func() {
			r.request(0, 0)
			return func() {}
		},
		"comes on a resting connection": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(hostAddr(1))
			r.connected(c)
			r.answer(c, "200 OK")
			return func() { r.request(0, 0) }
		},
		"was put on a resting connection that proves stale": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(hostAddr(1))
			r.connected(c)
			r.answer(c, "200 OK")
			r.request(0, 0)
			r.turn()
			r.written[c] = r.written[c][:len(r.written[c])/2] // nothing of it went out
			return func() { r.step(loop.Event{Kind: loop.Stale, Conn: c}) }
		},
		"was turned away and waits for a further attempt": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(hostAddr(1))
			r.connected(c)
			r.answer(c, "503 No\r\nX-Never-Ran: 1")
			return func() {}
		},
		"waits for room while others are at work": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(hostAddr(1))
			r.connected(c)
			r.request(0, 0)
			r.turn()
			return func() { r.answer(c, "200 OK") }
		},
	}
	for tell, text := range tells {
		for place, play := range places {
			t.Run(tell+"/"+place, func(t *testing.T) {
				r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
				w := r.watch()
				after := play(r)
				before := r.requests(hostAddr(1))
				r.line(w, text)
				after()
				for range 40 {
					r.turn()
					for c := range r.dialled {
						if !r.closed[c] && r.dialled[c].String() == hostAddr(1) && len(r.written[c]) == 0 {
							r.connected(c)
						}
					}
					r.now += 25 * time.Millisecond
				}
				if n := r.requests(hostAddr(1)) - before; n > 0 {
					t.Errorf("%d requests went to a host that had left", n)
				}
			})
		}
	}
}

// An attempt that was decided for one start of a host does not begin at the next, which is cold and has a budget of its own,
// nor at an address that the host has left.
func TestAttemptsToAnotherStartDoNotBegin(t *testing.T) {
	moved := strings.Replace(entry(1, "up", 0), hostAddr(1), hostAddr(9), 1)
	for name, text := range map[string]string{"started anew": object(2, false, entry(1, "up", 3_599_000)), "moved": object(2, false, moved)} {
		r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
		w := r.watch()
		r.request(0, 0)
		r.turn()
		c := r.connecting(hostAddr(1))
		r.line(w, text)
		r.connected(c)
		if r.requests(hostAddr(1)) > 0 || !r.closed[c] {
			t.Errorf("%s: the attempt begins", name)
		}
	}
}

// While a call to a new address of discovery waits, the old watch tells a drain. The answer to the call is older, and takes
// nothing back; what it tells afterwards counts.
func TestAnOutdatedAnswerTakesNoDrainBack(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0), entry(2, "up", 0)))
	standing := r.watch()
	r.line(standing, object(2, true, entry(1, "up", 0), entry(2, "up", 0)))
	r.g.cfg.Discovery = netip.MustParseAddrPort(hostAddr(99))
	r.step(loop.Event{Kind: loop.TimerDue, Timer: loop.Timer{Kind: timerRedial}})
	moving := r.to(hostAddr(99))
	r.step(loop.Event{Kind: loop.Connected, Conn: moving})
	r.line(standing, object(4, false, entry(1, "draining", 0)))
	r.step(loop.Event{Kind: loop.Data, Conn: moving, Data: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")})
	r.line(moving, object(3, true, entry(1, "up", 0), entry(2, "up", 0)))
	if r.closed[moving] || !r.closed[standing] {
		t.Error("the call that was answered is not the watch in force")
	}
	if r.g.discovery.isReady(r.g.discovery.endpoints.All()[0].ID) == r.g.discovery.isReady(r.g.discovery.endpoints.All()[1].ID) {
		t.Error("the drain is taken back")
	}
	r.line(moving, object(5, false, entry(2, "draining", 0)))
	for _, h := range r.g.discovery.endpoints.All() {
		if r.g.discovery.isReady(h.ID) {
			t.Errorf("%s is up", h.Name)
		}
	}
}

// The time to come back that discovery's old address gave does not hold for the new one.
func TestRetryAfterEndsWithTheAddress(t *testing.T) {
	known := object(1, true, entry(1, "up", 0))
	r := newRig(t, "subscribe", known)
	first := r.to(discoveryAddr)
	r.step(loop.Event{Kind: loop.Connected, Conn: first})
	r.step(loop.Event{Kind: loop.Data, Conn: first, Data: []byte("HTTP/1.1 503 No\r\nRetry-After: 50\r\nContent-Length: 0\r\n\r\n")})
	r.step(loop.Event{Kind: loop.Reload})
	r.step(loop.Event{Kind: loop.File, Data: rigConfig(t, "subscribe", known, hostAddr(99))})
	moved := r.to(hostAddr(99))
	if moved == 0 {
		t.Fatal("the new address is not called")
	}
	r.step(loop.Event{Kind: loop.Broken, Conn: moved})
	r.pass(4 * time.Second)
	if r.to(hostAddr(99)) <= moved {
		t.Error("the new address is not called again within 4 s")
	}
}

// What an agent has counts as told, also where its numbers are lower than this gateway's: a host leaves by such a line, unless it
// has started anew since, and none comes up by it.
func TestAnOlderAgentsDrainsAreHeeded(t *testing.T) {
	for name, c := range map[string]struct {
		line string
		sent bool
	}{
		"drains":                      {object(3, false, entry(1, "draining", 7)), false},
		"removed":                     {object(3, false, entry(1, "removed", 7)), false},
		"drains in a whole list":      {object(3, true, entry(1, "draining", 7)), false},
		"drained in the start before": {object(3, false, entry(1, "draining", 5)), true},
		"left out":                    {object(3, true), true},
	} {
		r := newRig(t, "automatic", object(9, true, entry(1, "up", 7), entry(2, "draining", 0)))
		w := r.watch()
		r.request(0, 0)
		r.turn()
		host := r.connecting(hostAddr(1))
		r.line(w, c.line)
		r.line(w, object(4, false, entry(2, "up", 0)))
		r.connected(host)
		if sent := r.requests(hostAddr(1)) > 0; sent != c.sent || r.closed[w] {
			t.Errorf("%s: sent %v, want %v", name, sent, c.sent)
		}
		if h := r.g.discovery.endpoints.Find(discovery.Identity("s-2")); h.State != balancer.EndpointDraining {
			t.Errorf("%s: an older line brings a host up", name)
		}
	}
}

// A garbled object ends the watch, and the module asks again within half a second, so that what was passed over is not lost.
func TestAGarbledListIsAskedForAnew(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	first := r.watch()
	r.pass(time.Second)
	r.line(first, object(2, false, entry(1, "draining", 0), `17`))
	if !r.closed[first] || !strings.Contains(r.log.String(), "host list: ") {
		t.Fatalf("the watch goes on: %s", r.log.String())
	}
	for at := r.now; r.to(discoveryAddr) == 0; r.pass(5 * time.Millisecond) {
		if r.now-at > askedAgainWithin {
			t.Fatal("discovery is not asked again")
		}
	}
	r.line(r.watch(), object(2, true, entry(1, "up", 0), entry(2, "up", 0)))
	if r.g.discovery.endpoints.Len() != 2 || !strings.Contains(string(r.written[r.to(discoveryAddr)]), "index=1 ") {
		t.Errorf("after the next call: %d hosts, asked by %q", r.g.discovery.endpoints.Len(), r.written[r.to(discoveryAddr)])
	}
}

const askedAgainWithin = 500 * time.Millisecond

// A whole list of 1,024 and of 8,000 hosts is taken by the reducer in one object, indented or not, with the module's own, and
// each host can be used.
func TestTheReducerTakesLongLists(t *testing.T) {
	for _, hosts := range []int{1024, 8000} {
		entries := make([]string, hosts)
		for i := range entries {
			entries[i] = entry(i+1, "up", 0)
		}
		r := newRig(t, "subscribe", `{"seq":0,"whole":true,"hosts":[]}`)
		w := r.watch()
		r.line(w, object(1, true, entries...))
		if n := r.g.discovery.endpoints.Len(); n != hosts || r.closed[w] {
			t.Fatalf("%d hosts of %d: %s", n, hosts, r.log.String())
		}
		learned := r.g.balancer.State(r.now).Endpoints
		if len(learned) != hosts {
			t.Errorf("the module has %d hosts of %d", len(learned), hosts)
		}
		r.line(w, strings.ReplaceAll(object(2, true, entries[:hosts-1]...), ",", ",\n   "))
		if n := r.g.discovery.endpoints.Len(); n != hosts-1 {
			t.Errorf("after an indented list of %d: %d", hosts-1, n)
		}
		r.request(0, 0)
		r.turn()
		if len(r.dialled) != 2 {
			t.Errorf("%d connections, want the watch and one to a host", len(r.dialled))
		}
	}
}

// BenchmarkHostsLeft is a whole list that drops all hosts while each has a connection that is not up yet.
func BenchmarkHostsLeft(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			entries := make([]string, hosts)
			for i := range entries {
				entries[i] = entry(i+1, "up", 0)
			}
			r := newRig(b, "subscribe", object(1, true, entries...))
			r.g.attempts.pool.Resize(2 * hosts)
			for _, h := range r.g.discovery.endpoints.All() {
				r.g.attempts.pool.Open(h.ID)
			}
			news, err := r.g.discovery.endpoints.Apply([]byte(object(2, true)))
			if err != nil || len(news.Changed) != hosts {
				b.Fatal(err, len(news.Changed))
			}
			b.ReportAllocs()
			for b.Loop() {
				r.g.effects = r.g.effects[:0]
				r.g.attempts.endpointsChanged(news.Changed)
			}
		})
	}
}

// BenchmarkReducerTakesAList is a whole list from its bytes to the module, each second host another than before, and what stays
// in memory of it.
func BenchmarkReducerTakesAList(b *testing.B) {
	for _, hosts := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			var texts [2]string
			for i := range texts {
				entries := make([]string, hosts)
				for n := range entries {
					entries[n] = entry(1+n+i*hosts/2, "up", 0)
				}
				texts[i] = object(i+1, true, entries...)
			}
			r := newRig(b, "subscribe", `{"seq":0,"whole":true,"hosts":[]}`)
			w, n := r.watch(), 0
			before := heapInUse()
			r.line(w, texts[1])
			r.turn()
			kept := heapInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				r.line(w, texts[n%2])
				r.turn()
				n++
			}
			b.ReportMetric(float64(kept)/float64(hosts), "kept-B/host")
		})
	}
}

// heapInUse is what the program holds once what is not needed is collected.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A process whose clock begins an hour wrong, either way, gives the module starts that are neither an hour old nor to come.
func TestStartsOnAWrongClock(t *testing.T) {
	for _, wrong := range []time.Duration{-time.Hour, 0, time.Hour} {
		r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
		w := r.watch()
		trueNow := r.now + 3*time.Hour
		r.now = trueNow + wrong
		r.line(w, object(2, true, entry(1, "up", 0)))
		r.line(w, object(3, false, entry(2, "up", int((trueNow-2*time.Second).Milliseconds()))))
		for _, s := range r.g.balancer.State(r.now).Endpoints {
			if age := r.now - s.StartedAt; s.StartedAt > 0 && (age < 0 || age > 6*time.Second) {
				t.Errorf("a clock %v wrong: a server that started 2 s ago is taken to be %v old", wrong, age)
			}
		}
	}
}
