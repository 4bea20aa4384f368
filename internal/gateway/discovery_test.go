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

// After the Step in which discovery reports that an endpoint leaves, no byte of a request may be written to it.
// Each form of notification is combined with each stage in which a request may be at that time.
func TestNothingIsWrittenToEndpointThatLeft(t *testing.T) {
	notifications := map[string]string{
		"draining":                   listLine(2, false, listEntry(1, "draining", 0)),
		"removed":                    listLine(2, false, listEntry(1, "removed", 0)),
		"draining, other start time": listLine(2, false, listEntry(1, "draining", 7)),
		"removed, other start time":  listLine(2, false, listEntry(1, "removed", 7)),
		"up, then draining":          listLine(2, false, listEntry(1, "up", 0), listEntry(1, "draining", 0)),
		"missing from a full list":   listLine(2, true, listEntry(2, "up", 0)),
		"draining and up in a full list": listLine(2, true, listEntry(1, "draining", 0), listEntry(1, "up", 0),
			listEntry(2, "up", 0)),
		"beside a malformed entry": listLine(2, false, listEntry(1, "draining", 0), listEntry(2, "resting", 0)),
		"in an earlier version":    listLine(0, false, listEntry(1, "draining", 0)),
		"in a malformed full list": listLine(2, true, listEntry(1, "removed", 0), `{"host":"s-2"}`),
		"before a truncated line":  listLine(2, false, listEntry(1, "draining", 0)) + "\n" + `{"seq":3,` + "\n",
		"after a malformed object": `{"whole":false,"hosts":[]}` + "\n" + listLine(2, false,
			listEntry(1, "draining", 0)),
	}
	// Each stage starts with endpoint 1 only, and returns a function that continues after the endpoint has left.
	stages := map[string]func(r *rig) func(){
		"waits for its connection": func(r *rig) func() {
			r.sendRequest(0, 0)
			r.endTurn()
			c := r.pendingConn(endpointAddr(1))
			return func() { r.establish(c) }
		},
		"waits for its connection, with the rest of a long body still to be received": func(r *rig) func() {
			r.sendRequest(200_000, 70_000)
			r.endTurn()
			c := r.pendingConn(endpointAddr(1))
			return func() {
				r.establish(c)
				r.step(loop.Event{Kind: loop.Data, Conn: r.lastClient, Data: []byte(strings.Repeat("x", 1000))})
			}
		},
		"its body is incomplete": func(r *rig) func() {
			r.sendRequest(1000, 500)
			r.endTurn()
			return func() {
				r.step(loop.Event{Kind: loop.Data, Conn: r.lastClient,
					Data: []byte(strings.Repeat("x", 500))})
			}
		},
		"is accepted and not dispatched": func(r *rig) func() {
			r.sendRequest(0, 0)
			return func() {}
		},
		"arrives while a connection is idle": func(r *rig) func() {
			r.sendRequest(0, 0)
			r.endTurn()
			c := r.pendingConn(endpointAddr(1))
			r.establish(c)
			r.respond(c, "200 OK")
			return func() { r.sendRequest(0, 0) }
		},
		"was written on an idle connection that proves stale": func(r *rig) func() {
			r.sendRequest(0, 0)
			r.endTurn()
			c := r.pendingConn(endpointAddr(1))
			r.establish(c)
			r.respond(c, "200 OK")
			r.sendRequest(0, 0)
			r.endTurn()
			r.written[c] = r.written[c][:len(r.written[c])/2] // nothing of the second request was sent
			return func() { r.step(loop.Event{Kind: loop.Stale, Conn: c}) }
		},
		"was rejected and waits for a retry": func(r *rig) func() {
			r.sendRequest(0, 0)
			r.endTurn()
			c := r.pendingConn(endpointAddr(1))
			r.establish(c)
			r.respond(c, "503 No\r\nX-Never-Ran: 1")
			return func() {}
		},
		"waits for capacity while another is in progress": func(r *rig) func() {
			r.sendRequest(0, 0)
			r.endTurn()
			c := r.pendingConn(endpointAddr(1))
			r.establish(c)
			r.sendRequest(0, 0)
			r.endTurn()
			return func() { r.respond(c, "200 OK") }
		},
	}
	for notification, text := range notifications {
		for stage, enter := range stages {
			t.Run(notification+"/"+stage, func(t *testing.T) {
				r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
				w := r.connectWatch()
				resume := enter(r)
				before := r.requestsWritten(endpointAddr(1))
				r.sendLine(w, text)
				resume()
				for range 40 {
					r.endTurn()
					for c := range r.dialled {
						if !r.closed[c] && r.dialled[c].String() == endpointAddr(1) && len(r.written[c]) == 0 {
							r.establish(c)
						}
					}
					r.now += 25 * time.Millisecond
				}
				if n := r.requestsWritten(endpointAddr(1)) - before; n > 0 {
					t.Errorf("%d requests were written to an endpoint that had left", n)
				}
			})
		}
	}
}

// The balancer has decided on an attempt at an endpoint. Before the connection is established, the endpoint restarts
// (and is then in slow start) or moves to another address. The attempt must not be written.
func TestAttemptIsNotWrittenToRestartedOrMovedEndpoint(t *testing.T) {
	moved := strings.Replace(listEntry(1, "up", 0), endpointAddr(1), endpointAddr(9), 1)
	for name, text := range map[string]string{"restarted": listLine(2, false, listEntry(1, "up", 3_599_000)),
		"moved": listLine(2, false, moved)} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
			w := r.connectWatch()
			r.sendRequest(0, 0)
			r.endTurn()
			c := r.pendingConn(endpointAddr(1))
			r.sendLine(w, text)
			r.establish(c)
			if r.requestsWritten(endpointAddr(1)) > 0 || !r.closed[c] {
				t.Error("the attempt was written, or its connection stayed open")
			}
		})
	}
}

// While discovery's new address is being polled, the old watch reports a drain. An older list from the new
// address must not undo it.
func TestOutdatedListDoesNotUndoDrain(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0), listEntry(2, "up", 0)))
	oldWatch := r.connectWatch()
	r.sendLine(oldWatch, listLine(2, true, listEntry(1, "up", 0), listEntry(2, "up", 0)))
	r.g.cfg.Discovery = netip.MustParseAddrPort(endpointAddr(99))
	r.step(loop.Event{Kind: loop.TimerDue, Timer: loop.Timer{Kind: uint8(timerRedial)}})
	newWatch := r.lastDialled(endpointAddr(99))
	r.step(loop.Event{Kind: loop.Connected, Conn: newWatch})
	r.sendLine(oldWatch, listLine(4, false, listEntry(1, "draining", 0)))
	r.step(loop.Event{Kind: loop.Data, Conn: newWatch,
		Data: []byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")})
	r.sendLine(newWatch, listLine(3, true, listEntry(1, "up", 0), listEntry(2, "up", 0)))
	if r.closed[newWatch] || !r.closed[oldWatch] {
		t.Error("the answered poll did not replace the old watch")
	}
	all := r.g.discovery.endpoints.All()
	if r.g.discovery.isReady(all[0].ID) == r.g.discovery.isReady(all[1].ID) {
		t.Error("the outdated list undid the drain")
	}
	r.sendLine(newWatch, listLine(5, false, listEntry(2, "draining", 0)))
	for _, h := range r.g.discovery.endpoints.All() {
		if r.g.discovery.isReady(h.ID) {
			t.Errorf("%s is ready, want it draining", h.Name)
		}
	}
}

// A Retry-After from discovery's old address must not delay the polls of the new address.
func TestRetryAfterDoesNotApplyToNewAddress(t *testing.T) {
	cached := listLine(1, true, listEntry(1, "up", 0))
	r := newRig(t, "subscribe", cached)
	first := r.lastDialled(discoveryAddr)
	r.step(loop.Event{Kind: loop.Connected, Conn: first})
	r.step(loop.Event{Kind: loop.Data, Conn: first,
		Data: []byte("HTTP/1.1 503 No\r\nRetry-After: 50\r\nContent-Length: 0\r\n\r\n")})
	r.step(loop.Event{Kind: loop.Reload})
	r.step(loop.Event{Kind: loop.FileRead, Data: rigConfig(t, "subscribe", cached, endpointAddr(99))})
	moved := r.lastDialled(endpointAddr(99))
	if moved == 0 {
		t.Fatal("the new address is not polled after the reload")
	}
	r.step(loop.Event{Kind: loop.Broken, Conn: moved})
	r.advance(4 * time.Second)
	if r.lastDialled(endpointAddr(99)) <= moved {
		t.Error("the new address is not polled again within 4 s")
	}
}

// If the agent sends an older list, its removals and drains are applied, but it must not bring an endpoint up
// again.
func TestRemovalsInOlderAgentListAreApplied(t *testing.T) {
	for name, c := range map[string]struct {
		line string
		sent bool
	}{
		"draining":                     {listLine(3, false, listEntry(1, "draining", 7)), false},
		"removed":                      {listLine(3, false, listEntry(1, "removed", 7)), false},
		"draining in a full list":      {listLine(3, true, listEntry(1, "draining", 7)), false},
		"draining, earlier start time": {listLine(3, false, listEntry(1, "draining", 5)), true},
		"missing from a full list":     {listLine(3, true), true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "automatic", listLine(9, true, listEntry(1, "up", 7), listEntry(2, "draining", 0)))
			w := r.connectWatch()
			r.sendRequest(0, 0)
			r.endTurn()
			endpoint := r.pendingConn(endpointAddr(1))
			r.sendLine(w, c.line)
			r.sendLine(w, listLine(4, false, listEntry(2, "up", 0)))
			r.establish(endpoint)
			if sent := r.requestsWritten(endpointAddr(1)) > 0; sent != c.sent || r.closed[w] {
				t.Errorf("request sent to the endpoint: %v, want %v; watch closed: %v, want it open",
					sent, c.sent, r.closed[w])
			}
			if h := r.g.discovery.endpoints.Find(discovery.EndpointIDFromName("s-2")); h.State != balancer.EndpointDraining {
				t.Error("an older list brought an endpoint up again")
			}
		})
	}
}

// The changes of a malformed list must not be lost: the watch ends, and the balancer polls again within half a
// second.
func TestMalformedListIsRequestedAgain(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	first := r.connectWatch()
	r.advance(time.Second)
	r.sendLine(first, listLine(2, false, listEntry(1, "draining", 0), `17`))
	if !r.closed[first] || !strings.Contains(r.log.String(), "host list: ") {
		t.Fatalf("the watch is still open after a malformed list, or the fault is not logged: %s", r.log.String())
	}
	for at := r.now; r.lastDialled(discoveryAddr) == 0; r.advance(5 * time.Millisecond) {
		if r.now-at > pollAgainWithin {
			t.Fatalf("discovery is not polled again within %v", pollAgainWithin)
		}
	}
	r.sendLine(r.connectWatch(), listLine(2, true, listEntry(1, "up", 0), listEntry(2, "up", 0)))
	if r.g.discovery.endpoints.Len() != 2 || !strings.Contains(string(r.written[r.lastDialled(discoveryAddr)]),
		"index=1 ") {
		t.Errorf("after the next poll: %d endpoints, requested by %q", r.g.discovery.endpoints.Len(),
			r.written[r.lastDialled(discoveryAddr)])
	}
}

const pollAgainWithin = 500 * time.Millisecond

// No limit, here or in the balancer, may reject a list of up to 8,000 endpoints in one object, whether or not
// it is indented.
func TestLongListsAreApplied(t *testing.T) {
	for _, count := range []int{1024, 8000} {
		entries := make([]string, count)
		for i := range entries {
			entries[i] = listEntry(i+1, "up", 0)
		}
		r := newRig(t, "subscribe", `{"seq":0,"whole":true,"hosts":[]}`)
		w := r.connectWatch()
		r.sendLine(w, listLine(1, true, entries...))
		if n := r.g.discovery.endpoints.Len(); n != count || r.closed[w] {
			t.Fatalf("%d of %d endpoints applied, watch closed: %v: %s", n, count, r.closed[w], r.log.String())
		}
		learned := r.g.balancer.State(r.now).Endpoints
		if len(learned) != count {
			t.Errorf("the balancer has %d of %d endpoints", len(learned), count)
		}
		r.sendLine(w, strings.ReplaceAll(listLine(2, true, entries[:count-1]...), ",", ",\n   "))
		if n := r.g.discovery.endpoints.Len(); n != count-1 {
			t.Errorf("%d endpoints after an indented list of %d", n, count-1)
		}
		r.sendRequest(0, 0)
		r.endTurn()
		if len(r.dialled) != 2 {
			t.Errorf("%d connections, want the watch and one to an endpoint", len(r.dialled))
		}
	}
}

// BenchmarkEndpointsChanged measures a full list that removes all endpoints while each has a connection that is
// still being established.
func BenchmarkEndpointsChanged(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			entries := make([]string, count)
			for i := range entries {
				entries[i] = listEntry(i+1, "up", 0)
			}
			r := newRig(b, "subscribe", listLine(1, true, entries...))
			r.g.attempts.pool.Resize(2 * count)
			for _, h := range r.g.discovery.endpoints.All() {
				r.g.attempts.pool.Open(h.ID)
			}
			update, err := r.g.discovery.endpoints.Apply([]byte(listLine(2, true)))
			if err != nil || len(update.Changed) != count {
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

// BenchmarkApplyList measures the processing of a full list, from its bytes to the balancer, when half of the
// endpoints differ from the previous list, and reports the memory that stays in use per endpoint.
func BenchmarkApplyList(b *testing.B) {
	for _, count := range []int{10, 100, 1000, 7700} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			var texts [2]string
			for i := range texts {
				entries := make([]string, count)
				for n := range entries {
					entries[n] = listEntry(1+n+i*count/2, "up", 0)
				}
				texts[i] = listLine(i+1, true, entries...)
			}
			r := newRig(b, "subscribe", `{"seq":0,"whole":true,"hosts":[]}`)
			w, n := r.connectWatch(), 0
			before := heapInUse()
			r.sendLine(w, texts[1])
			r.endTurn()
			kept := heapInUse() - before
			b.ReportAllocs()
			for b.Loop() {
				r.sendLine(w, texts[n%2])
				r.endTurn()
				n++
			}
			b.ReportMetric(float64(kept)/float64(count), "kept-B/host")
		})
	}
}

// heapInUse returns the number of heap bytes in use after a garbage collection.
func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// The clock of this process may have started an hour wrong. An endpoint's start time must not then appear to be
// an hour old or in the future.
func TestStartTimesAreAdjustedToWrongClock(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
		w := r.connectWatch()
		realTime := r.now + 3*time.Hour
		r.now = realTime + offset
		r.sendLine(w, listLine(2, true, listEntry(1, "up", 0)))
		r.sendLine(w, listLine(3, false, listEntry(2, "up", int((realTime-2*time.Second).Milliseconds()))))
		for _, s := range r.g.balancer.State(r.now).Endpoints {
			if age := r.now - s.StartedAt; s.StartedAt > 0 && (age < 0 || age > 6*time.Second) {
				t.Errorf("clock offset %v: an endpoint that started 2 s ago appears to be %v old", offset, age)
			}
		}
	}
}
