package simulation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"thymebend/internal/config"
	"thymebend/internal/gateway"
	"thymebend/internal/loop"
)

// How long a gateway takes to hear of a change that discovery has, from when discovery can be reached:
// the worst case of each state that its watch may be in. What counts as notified then is in the
// operators' page: 6 s.
const notifyWithin = 6 * time.Second

// How the stand-in treats one call.
type callOutcome uint8

const (
	served             callOutcome = iota // answered at once with the list, then a heartbeat every 2 s
	refused                               // nobody listens
	neverConnects                         // its connection never comes up
	unanswered                            // it comes up and nothing is answered
	failed                                // 503
	reset                                 // its connection is reset once the call has come
	cutMidLine                            // half of a line, then nothing
	queued                                // served once it has waited its turn
	shedWithRetryAfter                    // 503 with a time to come back
	queueTimeout                          // 503 once it has waited its turn
)

// scriptedDiscovery is a discovery of few words. Each call is treated as its place says; those after
// the last as the last.
type scriptedDiscovery struct {
	sim        *Sim
	net        *Net
	addr       netip.AddrPort
	silent     bool
	calls      int
	outcomeOf  func(call int) callOutcome
	open       map[*End]bool // watches that stand
	onListSent func()        // a list has been written to the gateway
	ln         *Listener
	line       string        // the list; registryLine where it is empty
	queueDelay time.Duration // that a queued call waits
	retryAfter string        // the time to come back that a shed call is given, in seconds
}

const registryLine = `{"seq":5,"whole":true,"hosts":[]}`

func (d *scriptedDiscovery) listen() {
	d.ln = d.net.Listen(d.addr, 64, &d.silent, func() {
		for e := d.ln.Accept(); e != nil; e = d.ln.Accept() {
			e.ready = func() { d.call(e) }
			d.call(e)
		}
	})
}

// prepareNextCall has the network be to the next call as it is treated.
func (d *scriptedDiscovery) prepareNextCall() {
	outcome := d.outcomeOf(d.calls)
	d.silent = outcome == neverConnects
	if d.ln != nil {
		d.ln.Close()
		d.ln = nil
	}
	if outcome != refused {
		d.listen()
	}
}

func (d *scriptedDiscovery) call(e *End) {
	_, _, _, whole, _ := parseRequest(e.inbox)
	if e.ReadEnded() || !whole {
		return
	}
	e.Read(1 << 16)
	outcome := d.outcomeOf(d.calls)
	d.calls++
	write := func(text string) { _, _ = e.Write([]byte(text)) }
	switch outcome {
	case served:
		d.serve(e)
	case queued:
		d.sim.After(d.queueDelay, func() { d.serve(e) })
	case queueTimeout:
		d.sim.After(d.queueDelay, func() { write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") })
	case shedWithRetryAfter:
		write("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + d.retryAfter + "\r\nContent-Length: 0\r\n\r\n")
	case failed:
		write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case reset:
		e.Reset()
	case cutMidLine:
		write(chunkedHead)
		write("200\r\n" + registryLine[:20])
	}
	d.prepareNextCall()
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// serve answers a call with the list and then a heartbeat every 2 s.
func (d *scriptedDiscovery) serve(e *End) {
	if e.closed || e.reset || e.ReadEnded() {
		return
	}
	chunk := func(text string) { _, _ = fmt.Fprintf(e, "%x\r\n%s\r\n", len(text), text) }
	d.open[e] = true
	_, _ = e.Write([]byte(chunkedHead))
	chunk(cmp.Or(d.line, registryLine) + "\n")
	d.onListSent()
	var beat func()
	beat = func() {
		if d.open[e] && !e.closed && !e.reset {
			chunk("\n")
			d.sim.After(heartbeatInterval, beat)
		}
	}
	d.sim.After(heartbeatInterval, beat)
}

// startGateway starts a gateway that asks, or is told by, a scriptedDiscovery.
func startGateway(t *testing.T, sim *Sim, net *Net, at netip.AddrPort, mode string,
	wrap func(*Loop, loop.Reducer) loop.Reducer) *Loop {
	t.Helper()
	return startGatewayOf(t, sim, net, at, mode, 1, wrap)
}

// startGatewayOf starts one of so many gateways.
func startGatewayOf(t *testing.T, sim *Sim, net *Net, at netip.AddrPort, mode string, gateways int,
	wrap func(*Loop, loop.Reducer) loop.Reducer) *Loop {
	t.Helper()
	raw, err := json.Marshal(map[string]any{"name": "g", "listen": "10.1.0.1:8443", "discovery": at.String(),
		"seed":   fmt.Sprintf("%016x", sim.Rand.Uint64()),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "known": json.RawMessage(`{"seq":1,"whole":true,"hosts":[]}`),
		"settings": json.RawMessage(`{"balancers":` + fmt.Sprint(gateways) + `,"rank":0,"zone":0,"zones":["a"],"tick_ms":5,"registry_mode":"` + mode + `",
		"bounds":{"connect_timeout_ms":250,"most_tries":4},"classes":[{"name":"view","aim_ms":800,"give_up_ms":2000,"repeat":"repeatable"}]}`)})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := config.Config{Name: "g", Path: "g", Listen: netip.MustParseAddrPort("10.1.0.1:8443")}.Reload(raw)
	if err != nil {
		t.Fatal(err)
	}
	l := NewLoop(sim, net, nil, func(error) {})
	var r loop.Reducer = gateway.New(cfg, zerolog.Nop())
	if wrap != nil {
		r = wrap(l, r)
	}
	l.Run(r)
	return l
}

// A large fleet, too, hears of a change in time after a long outage: a discovery that is down turns
// calls away at once, which costs it nothing and says nothing of how many calls it bears. Neither does
// the time that it asks for put off the next call for longer.
func TestChangeIsReceivedAfterALongOutage(t *testing.T) {
	for _, outage := range []time.Duration{10 * time.Second, 40 * time.Second, 2 * time.Minute} {
		for _, how := range []callOutcome{failed, reset, refused, shedWithRetryAfter} {
			for seed := range uint64(5) {
				c := newCaller(seed)
				c.retryAfter = "45"
				c.outcomeOf = func(int) callOutcome {
					if c.sim.Now() < epoch+outage {
						return how
					}
					return served
				}
				c.prepareNextCall()
				c.sim.At(epoch+outage, func() { c.prepareNextCall() })
				startGatewayOf(t, c.sim, c.net, c.addr, "subscribe", 300, nil)
				c.sim.Run(epoch + outage + 2*time.Minute)
				if len(c.notifiedAt) == 0 || c.notifiedAt[0]-outage > notifyWithin {
					t.Fatalf("an outage of %v (kind %d), seed %d: told at %v", outage, how, seed, c.notifiedAt)
				}
			}
		}
	}
}

// A change is heard of within the time, whatever state the watch is in when discovery can be reached,
// and though one call after that is lost.
func TestChangeIsReceivedInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		before callOutcome   // how calls are treated until discovery can be reached; served is a watch that stands and then
		reset  bool          // is reset, or else falls silent, at the moment from which is counted
		lost   []callOutcome // the calls after that which go wrong all the same
	}{
		{name: "calls are refused", before: refused},
		{name: "calls fail", before: failed},
		{name: "calls are reset", before: reset},
		{name: "no connection comes up", before: neverConnects},
		{name: "no call is answered", before: unanswered},
		{name: "calls end in the middle of a line", before: cutMidLine},
		{name: "a watch falls silent"},
		{name: "a watch falls silent, the next call is never answered", lost: []callOutcome{unanswered}},
		{name: "a watch falls silent, the next connection never comes up", lost: []callOutcome{neverConnects}},
		{name: "a watch falls silent, the next call fails", lost: []callOutcome{failed}},
		{name: "a watch falls silent, the next call is torn", lost: []callOutcome{cutMidLine}},
		{name: "a watch is reset", reset: true},
		{name: "a watch is reset, the next call is never answered", reset: true, lost: []callOutcome{unanswered}},
		{name: "a watch is reset, the next two calls fail", reset: true, lost: []callOutcome{failed, reset}},
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(c.name+", "+mode, func(t *testing.T) {
				t.Parallel()
				worst := time.Duration(0)
				for seed := range uint64(100) {
					took := notificationDelay(t, seed, mode, c.before, c.reset, c.lost)
					worst = max(worst, took)
				}
				t.Logf("at worst %v", worst)
				if worst > notifyWithin {
					t.Errorf("heard of after %v at worst", worst)
				}
			})
		}
	}
}

// notificationDelay is how long a gateway took to hear of what discovery had, from when it could be reached.
func notificationDelay(t *testing.T, seed uint64, mode string, before callOutcome, resets bool, lost []callOutcome) time.Duration {
	sim := NewSim(seed, nil)
	net := NewNet(sim)
	var from, notified time.Duration
	first, reachable := 0, false // its first call that counts
	r := &scriptedDiscovery{sim: sim, net: net, addr: netip.MustParseAddrPort("10.2.0.1:8500"), open: make(map[*End]bool)}
	r.onListSent = func() {
		if reachable && notified == 0 {
			notified = sim.Now() + net.Latency
		}
	}
	r.outcomeOf = func(call int) callOutcome {
		switch {
		case !reachable:
			return before
		case call-first < len(lost):
			return lost[call-first]
		}
		return served
	}
	r.prepareNextCall()
	l := startGateway(t, sim, net, r.addr, mode, nil)
	sim.At(epoch+sim.Between(300*time.Millisecond, 14*time.Second), func() {
		reachable, first, from = true, r.calls, sim.Now()
		for e := range r.open {
			if resets {
				e.Reset()
			}
		}
		clear(r.open)
		r.prepareNextCall()
	})
	// A connection that never comes up is no call that the stand-in sees: one step after it was begun
	// it counts as one.
	var countUnseen func()
	seen := loop.Conn(0)
	countUnseen = func() {
		for _, s := range l.orderedSockets() {
			if reachable && r.silent && s.connecting && s.conn > seen {
				seen = s.conn
				r.calls++
				r.prepareNextCall()
			}
		}
		sim.After(10*time.Millisecond, countUnseen)
	}
	sim.After(0, countUnseen)
	sim.Run(epoch + 40*time.Second)
	if notified == 0 {
		t.Fatalf("seed %d: never heard of", seed)
	}
	return notified - from
}

// A request comes between the gateway's last look at a resting connection and its close: it is taken by
// nobody, and a reset tells its client so. No kernel can be held there, so the look's answer is.
func TestRequestBetweenTheLastReadAndTheClose(t *testing.T) {
	const health, crossed = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /view HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\nX-Qos: view\r\nX-Expires-In: 900m\r\n\r\n"
	sim := NewSim(1, nil)
	net := NewNet(sim)
	injected := false
	startGateway(t, sim, net, netip.MustParseAddrPort("10.2.0.1:8500"), "subscribe",
		func(l *Loop, r loop.Reducer) loop.Reducer {
			return &defect{Reducer: r, onEvent: func(_ *defect, e *loop.Event) bool {
				if s := l.socks[e.Conn]; e.Kind == loop.WouldBlock && s != nil && e.Conn >= firstAccepted {
					injected = true
					s.end.inbox = append(s.end.inbox, crossed...)
				}
				return true
			}}
		})
	var client *End
	client = net.Dial(netip.MustParseAddrPort("10.1.0.1:8443"), nil,
		func(error) { _, _ = client.Write([]byte(health)) })
	sim.Run(epoch + 10*time.Second)
	if client.ReadEnded() || !strings.Contains(string(client.Read(1<<10)), " 503 ") { // it has no host
		t.Fatal("the gateway does not answer")
	}
	sim.Run(epoch + 5*time.Minute)
	if !injected || !client.reset || len(client.inbox) > 0 {
		t.Errorf("the look was answered: %v; the client was reset: %v, and told %q", injected, client.reset, client.inbox)
	}
}
