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

// Guards against a byte of a request to an endpoint after the step that took discovery's word that it leaves.
// Each way of notifying is played against each place where the request may be.
func TestNothingGoesToAnEndpointThatLeft(t *testing.T) {
	notifications := map[string]string{
		"draining":                 object(2, false, entry(1, "draining", 0)),
		"removed":                  object(2, false, entry(1, "removed", 0)),
		"another start drains":     object(2, false, entry(1, "draining", 7)),
		"another start removed":    object(2, false, entry(1, "removed", 7)),
		"up, then draining":        object(2, false, entry(1, "up", 0), entry(1, "draining", 0)),
		"left out":                 object(2, true, entry(2, "up", 0)),
		"both in a full list":      object(2, true, entry(1, "draining", 0), entry(1, "up", 0), entry(2, "up", 0)),
		"beside a malformed entry": object(2, false, entry(1, "draining", 0), entry(2, "resting", 0)),
		"in an earlier version":    object(0, false, entry(1, "draining", 0)),
		"in a malformed full list": object(2, true, entry(1, "removed", 0), `{"host":"s-2"}`),
		"before a torn line":       object(2, false, entry(1, "draining", 0)) + "\n" + `{"seq":3,` + "\n",
		"after a malformed object": `{"whole":false,"hosts":[]}` + "\n" + object(2, false,
			entry(1, "draining", 0)),
	}
	// Each place begins with endpoint 1 alone and returns what goes on once it has left.
	places := map[string]func(r *rig) func(){
		"waits for its connection": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(endpointAddr(1))
			return func() { r.connected(c) }
		},
		"waits for its connection, with the rest of a long body to come": func(r *rig) func() {
			r.request(200_000, 70_000)
			r.turn()
			c := r.connecting(endpointAddr(1))
			return func() {
				r.connected(c)
				r.step(loop.Event{Kind: loop.Data, Conn: r.clients, Data: []byte(strings.Repeat("x", 1000))})
			}
		},
		"its body is not complete": func(r *rig) func() {
			r.request(1000, 500)
			r.turn()
			return func() {
				r.step(loop.Event{Kind: loop.Data, Conn: r.clients,
					Data: []byte(strings.Repeat("x", 500))})
			}
		},
		"is taken and not dispatched": func(r *rig) func() {
			r.request(0, 0)
			return func() {}
		},
		"comes on an idle connection": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(endpointAddr(1))
			r.connected(c)
			r.answer(c, "200 OK")
			return func() { r.request(0, 0) }
		},
		"was put on an idle connection that proves stale": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(endpointAddr(1))
			r.connected(c)
			r.answer(c, "200 OK")
			r.request(0, 0)
			r.turn()
			r.written[c] = r.written[c][:len(r.written[c])/2] // nothing of it went out
			return func() { r.step(loop.Event{Kind: loop.Stale, Conn: c}) }
		},
		"was rejected and waits for a retry": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(endpointAddr(1))
			r.connected(c)
			r.answer(c, "503 No\r\nX-Never-Ran: 1")
			return func() {}
		},
		"waits for room while others are at work": func(r *rig) func() {
			r.request(0, 0)
			r.turn()
			c := r.connecting(endpointAddr(1))
			r.connected(c)
			r.request(0, 0)
			r.turn()
			return func() { r.answer(c, "200 OK") }
		},
	}
	for notification, text := range notifications {
		for place, play := range places {
			t.Run(notification+"/"+place, func(t *testing.T) {
				r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
				w := r.watch()
				after := play(r)
				before := r.requests(endpointAddr(1))
				r.line(w, text)
				after()
				for range 40 {
					r.turn()
					for c := range r.dialled {
						if !r.closed[c] && r.dialled[c].String() == endpointAddr(1) && len(r.written[c]) == 0 {
							r.connected(c)
						}
					}
					r.now += 25 * time.Millisecond
				}
				if n := r.requests(endpointAddr(1)) - before; n > 0 {
					t.Errorf("%d requests went to an endpoint that had left", n)
				}
			})
		}
	}
}

// Guards against an attempt that was decided for one start of an endpoint and begins at the next, in slow
// start, or at an address that the endpoint has left.
func TestAttemptsToAnotherStartDoNotBegin(t *testing.T) {
	moved := strings.Replace(entry(1, "up", 0), endpointAddr(1), endpointAddr(9), 1)
	for name, text := range map[string]string{"started anew": object(2, false, entry(1, "up", 3_599_000)),
		"moved": object(2, false, moved)} {
		r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
		w := r.watch()
		r.request(0, 0)
		r.turn()
		c := r.connecting(endpointAddr(1))
		r.line(w, text)
		r.connected(c)
		if r.requests(endpointAddr(1)) > 0 || !r.closed[c] {
			t.Errorf("%s: the attempt begins", name)
		}
	}
}

// Guards against an older list from discovery's new address that undoes a drain which the old watch brought
// meanwhile.
func TestOutdatedListUndoesNoDrain(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0), entry(2, "up", 0)))
	standing := r.watch()
	r.line(standing, object(2, true, entry(1, "up", 0), entry(2, "up", 0)))
	r.g.cfg.Discovery = netip.MustParseAddrPort(endpointAddr(99))
	r.step(loop.Event{Kind: loop.TimerDue, Timer: loop.Timer{Kind: timerRedial}})
	moving := r.to(endpointAddr(99))
	r.step(loop.Event{Kind: loop.Connected, Conn: moving})
	r.line(standing, object(4, false, entry(1, "draining", 0)))
	r.step(loop.Event{Kind: loop.Data, Conn: moving,
		Data: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")})
	r.line(moving, object(3, true, entry(1, "up", 0), entry(2, "up", 0)))
	if r.closed[moving] || !r.closed[standing] {
		t.Error("the poll that was answered is not the current watch")
	}
	if r.g.discovery.isReady(r.g.discovery.endpoints.All()[0].ID) == r.g.discovery.isReady(r.g.discovery.endpoints.All()[1].ID) {
		t.Error("the drain is undone")
	}
	r.line(moving, object(5, false, entry(2, "draining", 0)))
	for _, h := range r.g.discovery.endpoints.All() {
		if r.g.discovery.isReady(h.ID) {
			t.Errorf("%s is up", h.Name)
		}
	}
}

// Guards against a Retry-After of discovery's old address that holds for the new one.
func TestRetryAfterEndsWithTheAddress(t *testing.T) {
	known := object(1, true, entry(1, "up", 0))
	r := newRig(t, "subscribe", known)
	first := r.to(discoveryAddr)
	r.step(loop.Event{Kind: loop.Connected, Conn: first})
	r.step(loop.Event{Kind: loop.Data, Conn: first,
		Data: []byte("HTTP/1.1 503 No\r\nRetry-After: 50\r\nContent-Length: 0\r\n\r\n")})
	r.step(loop.Event{Kind: loop.Reload})
	r.step(loop.Event{Kind: loop.File, Data: rigConfig(t, "subscribe", known, endpointAddr(99))})
	moved := r.to(endpointAddr(99))
	if moved == 0 {
		t.Fatal("the new address is not polled")
	}
	r.step(loop.Event{Kind: loop.Broken, Conn: moved})
	r.pass(4 * time.Second)
	if r.to(endpointAddr(99)) <= moved {
		t.Error("the new address is not polled again within 4 s")
	}
}

// Guards against an agent with an older list whose removals are missed, or which brings an endpoint up again.
func TestRemovalsInAnOlderListOfTheAgentCount(t *testing.T) {
	for name, c := range map[string]struct {
		line string
		sent bool
	}{
		"drains":                      {object(3, false, entry(1, "draining", 7)), false},
		"removed":                     {object(3, false, entry(1, "removed", 7)), false},
		"drains in a full list":       {object(3, true, entry(1, "draining", 7)), false},
		"drained in the start before": {object(3, false, entry(1, "draining", 5)), true},
		"left out":                    {object(3, true), true},
	} {
		r := newRig(t, "automatic", object(9, true, entry(1, "up", 7), entry(2, "draining", 0)))
		w := r.watch()
		r.request(0, 0)
		r.turn()
		host := r.connecting(endpointAddr(1))
		r.line(w, c.line)
		r.line(w, object(4, false, entry(2, "up", 0)))
		r.connected(host)
		if sent := r.requests(endpointAddr(1)) > 0; sent != c.sent || r.closed[w] {
			t.Errorf("%s: sent %v, want %v", name, sent, c.sent)
		}
		if h := r.g.discovery.endpoints.Find(discovery.Identity("s-2")); h.State != balancer.EndpointDraining {
			t.Errorf("%s: an older line brings an endpoint up", name)
		}
	}
}

// Guards against a malformed list whose changes are lost: the watch ends and the balancer polls again in half
// a second.
func TestMalformedListIsRequestedAgain(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	first := r.watch()
	r.pass(time.Second)
	r.line(first, object(2, false, entry(1, "draining", 0), `17`))
	if !r.closed[first] || !strings.Contains(r.log.String(), "host list: ") {
		t.Fatalf("the watch goes on: %s", r.log.String())
	}
	for at := r.now; r.to(discoveryAddr) == 0; r.pass(5 * time.Millisecond) {
		if r.now-at > pollAgainWithin {
			t.Fatal("discovery is not polled again")
		}
	}
	r.line(r.watch(), object(2, true, entry(1, "up", 0), entry(2, "up", 0)))
	if r.g.discovery.endpoints.Len() != 2 || !strings.Contains(string(r.written[r.to(discoveryAddr)]),
		"index=1 ") {
		t.Errorf("after the next poll: %d endpoints, requested by %q", r.g.discovery.endpoints.Len(),
			r.written[r.to(discoveryAddr)])
	}
}

const pollAgainWithin = 500 * time.Millisecond

// Guards against a limit below 8,000 endpoints in one object, indented or not, here or in the balancer.
func TestLongListsAreApplied(t *testing.T) {
	for _, hosts := range []int{1024, 8000} {
		entries := make([]string, hosts)
		for i := range entries {
			entries[i] = entry(i+1, "up", 0)
		}
		r := newRig(t, "subscribe", `{"seq":0,"whole":true,"hosts":[]}`)
		w := r.watch()
		r.line(w, object(1, true, entries...))
		if n := r.g.discovery.endpoints.Len(); n != hosts || r.closed[w] {
			t.Fatalf("%d endpoints of %d: %s", n, hosts, r.log.String())
		}
		learned := r.g.balancer.State(r.now).Endpoints
		if len(learned) != hosts {
			t.Errorf("the balancer has %d endpoints of %d", len(learned), hosts)
		}
		r.line(w, strings.ReplaceAll(object(2, true, entries[:hosts-1]...), ",", ",\n   "))
		if n := r.g.discovery.endpoints.Len(); n != hosts-1 {
			t.Errorf("after an indented list of %d: %d", hosts-1, n)
		}
		r.request(0, 0)
		r.turn()
		if len(r.dialled) != 2 {
			t.Errorf("%d connections, want the watch and one to an endpoint", len(r.dialled))
		}
	}
}

// BenchmarkEndpointsChanged is a full list that drops all endpoints while each has a connection that is not
// up yet.
func BenchmarkEndpointsChanged(b *testing.B) {
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
			update, err := r.g.discovery.endpoints.Apply([]byte(object(2, true)))
			if err != nil || len(update.Changed) != hosts {
				b.Fatal(err, len(update.Changed))
			}
			b.ReportAllocs()
			for b.Loop() {
				r.g.effects = r.g.effects[:0]
				r.g.attempts.endpointsChanged(update.Changed)
			}
		})
	}
}

// BenchmarkApplyList is a full list from its bytes to the balancer, each second endpoint another than before,
// and what stays in memory of it.
func BenchmarkApplyList(b *testing.B) {
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

// Guards against start times that are an hour old, or to come, on a process whose clock began an hour wrong.
func TestStartTimesOnAWrongClock(t *testing.T) {
	for _, wrong := range []time.Duration{-time.Hour, 0, time.Hour} {
		r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
		w := r.watch()
		trueNow := r.now + 3*time.Hour
		r.now = trueNow + wrong
		r.line(w, object(2, true, entry(1, "up", 0)))
		r.line(w, object(3, false, entry(2, "up", int((trueNow-2*time.Second).Milliseconds()))))
		for _, s := range r.g.balancer.State(r.now).Endpoints {
			if age := r.now - s.StartedAt; s.StartedAt > 0 && (age < 0 || age > 6*time.Second) {
				t.Errorf("a clock %v wrong: an endpoint that started 2 s ago is taken to be %v old", wrong, age)
			}
		}
	}
}
