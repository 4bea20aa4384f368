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

// notifyWithin is how long a gateway may take to receive a change that discovery has, in the worst case of each
// state of its watch. The time counts from when discovery can be reached. After it, 6 s, the change counts as
// notified.
const notifyWithin = 6 * time.Second

// callOutcome is how scriptedDiscovery answers one call.
type callOutcome uint8

const (
	served             callOutcome = iota // answered at once with the list, then a heartbeat every 2 s
	refused                               // the connection is refused
	neverConnects                         // the connection is never established
	unanswered                            // the connection is established and nothing is answered
	failed                                // 503
	reset                                 // the connection is reset once the call has arrived
	cutMidLine                            // half of a line, then nothing
	queued                                // served after its turn in the queue
	shedWithRetryAfter                    // 503 with Retry-After
	queueTimeout                          // 503 after its turn in the queue
)

// scriptedDiscovery is a discovery with a scripted outcome for each call.
type scriptedDiscovery struct {
	sim        *Sim
	net        *Net
	addr       netip.AddrPort
	silent     bool
	calls      int
	outcomeOf  func(call int) callOutcome
	open       map[*End]bool // established watches
	onListSent func()        // called when a list has been written to the gateway
	ln         *Listener
	line       string        // the list; registryLine if empty
	queueDelay time.Duration // time that a queued call waits
	retryAfter string        // Retry-After of a shed call, in seconds
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

// prepareNextCall sets the listener up for the outcome of the next call.
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

// serve answers a call with the list, then a heartbeat every 2 s.
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

// startGateway starts a gateway that uses a scriptedDiscovery.
func startGateway(t *testing.T, sim *Sim, net *Net, at netip.AddrPort, mode string,
	wrap func(*Loop, loop.Reducer) loop.Reducer) *Loop {
	t.Helper()
	return startGatewayOf(t, sim, net, at, mode, 1, wrap)
}

// startGatewayOf starts one gateway of a cluster with the given number of gateways.
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

// In a large cluster, too, a gateway receives a change in time after a long outage. A discovery that is down
// rejects calls at once, which costs it nothing and does not show how many calls it can handle; therefore
// rejections must not slow the calls down. A Retry-After of 45 s must not delay the next call beyond the limit
// either.
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
					t.Fatalf("an outage of %v (outcome %d), seed %d: list received at %v", outage, how, seed, c.notifiedAt)
				}
			}
		}
	}
}

// A gateway receives a change within the limit, whatever the state of its watch when discovery can be reached, and
// even if one or two calls after that fail.
func TestChangeIsReceivedInTime(t *testing.T) {
	for _, c := range []struct {
		name string
		// before is the outcome of the calls until discovery can be reached. With served, the watch is established,
		// and the time counts from the moment at which it is reset or falls silent.
		before  callOutcome
		reset   bool          // with served: the watch is reset; if false, it falls silent
		failing []callOutcome // outcomes of the first calls from when discovery can be reached
	}{
		{name: "calls are refused", before: refused},
		{name: "calls fail", before: failed},
		{name: "calls are reset", before: reset},
		{name: "no connection is established", before: neverConnects},
		{name: "no call is answered", before: unanswered},
		{name: "calls end in the middle of a line", before: cutMidLine},
		{name: "a watch falls silent"},
		{name: "a watch falls silent, the next call is never answered", failing: []callOutcome{unanswered}},
		{name: "a watch falls silent, the next connection is never established", failing: []callOutcome{neverConnects}},
		{name: "a watch falls silent, the next call fails", failing: []callOutcome{failed}},
		{name: "a watch falls silent, the next call ends in the middle of a line", failing: []callOutcome{cutMidLine}},
		{name: "a watch is reset", reset: true},
		{name: "a watch is reset, the next call is never answered", reset: true, failing: []callOutcome{unanswered}},
		{name: "a watch is reset, the next two calls fail", reset: true, failing: []callOutcome{failed, reset}},
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(c.name+", "+mode, func(t *testing.T) {
				t.Parallel()
				worst := time.Duration(0)
				for seed := range uint64(100) {
					took := notificationDelay(t, seed, mode, c.before, c.reset, c.failing)
					worst = max(worst, took)
				}
				t.Logf("longest time %v", worst)
				if worst > notifyWithin {
					t.Errorf("change received after %v, want at most 6s", worst)
				}
			})
		}
	}
}

// notificationDelay returns how long a gateway took to receive discovery's list from when discovery could be
// reached.
func notificationDelay(t *testing.T, seed uint64, mode string, before callOutcome, resets bool,
	lost []callOutcome) time.Duration {
	sim := NewSim(seed, nil)
	net := NewNet(sim)
	var from, notified time.Duration
	first, reachable := 0, false // number of the first call after discovery can be reached
	r := &scriptedDiscovery{sim: sim, net: net, addr: netip.MustParseAddrPort("10.2.0.1:8500"),
		open: make(map[*End]bool)}
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
	// scriptedDiscovery does not see a connection that is never established: 10 ms after its start at the latest
	// it counts as a call.
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
		t.Fatalf("seed %d: change never received", seed)
	}
	return notified - from
}

// A request arrives after the gateway's last read of an idle connection and before the gateway closes it. The
// gateway does not process the request, and a reset tells the client so. Since a kernel cannot be stopped at
// that point, the test adds the request when the read returns nothing.
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
	if client.ReadEnded() || !strings.Contains(string(client.Read(1<<10)), " 503 ") { // 503: it has no host
		t.Fatal("the gateway does not answer")
	}
	sim.Run(epoch + 5*time.Minute)
	if !injected || !client.reset || len(client.inbox) > 0 {
		t.Errorf("request injected: %v; client reset: %v, and received %q", injected, client.reset, client.inbox)
	}
}
