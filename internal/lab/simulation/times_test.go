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
type treat uint8

const (
	served  treat = iota // answered at once with the list, then a heartbeat every 2 s
	refused              // nobody listens
	never                // its connection never comes up
	mute                 // it comes up and nothing is answered
	failed               // 503
	reset                // its connection is reset once the call has come
	torn                 // half of a line, then nothing
	queued               // served once it has waited its turn
	shed                 // 503 with a time to come back
	expired              // 503 once it has waited its turn
)

// scriptedDiscovery is a discovery of few words. Each call is treated as its place says; those after
// the last as the last.
type scriptedDiscovery struct {
	sim    *Sim
	net    *Net
	at     netip.AddrPort
	silent bool
	calls  int
	treat  func(call int) treat
	open   map[*End]bool // watches that stand
	told   func()        // a list has been written to the gateway
	ln     *Listener
	line   string        // the list; registryLine where it is empty
	turn   time.Duration // that a queued call waits
	again  string        // the time to come back that a shed call is given, in seconds
}

const registryLine = `{"seq":5,"whole":true,"hosts":[]}`

func (r *scriptedDiscovery) listen() {
	r.ln = r.net.Listen(r.at, 64, &r.silent, func() {
		for e := r.ln.Accept(); e != nil; e = r.ln.Accept() {
			e.ready = func() { r.call(e) }
			r.call(e)
		}
	})
}

// prepare has the network be to the next call as it is treated.
func (r *scriptedDiscovery) prepare() {
	how := r.treat(r.calls)
	r.silent = how == never
	if r.ln != nil {
		r.ln.Close()
		r.ln = nil
	}
	if how != refused {
		r.listen()
	}
}

func (r *scriptedDiscovery) call(e *End) {
	_, _, _, whole, _ := parseRequest(e.inbox)
	if e.Gone() || !whole {
		return
	}
	e.Read(1 << 16)
	how := r.treat(r.calls)
	r.calls++
	write := func(text string) { _, _ = e.Write([]byte(text)) }
	switch how {
	case served:
		r.serve(e)
	case queued:
		r.sim.After(r.turn, func() { r.serve(e) })
	case expired:
		r.sim.After(r.turn, func() { write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") })
	case shed:
		write("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + r.again + "\r\nContent-Length: 0\r\n\r\n")
	case failed:
		write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case reset:
		e.Reset()
	case torn:
		write(chunkedHead)
		write("200\r\n" + registryLine[:20])
	}
	r.prepare()
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// serve answers a call with the list and then a heartbeat every 2 s.
func (r *scriptedDiscovery) serve(e *End) {
	if e.closed || e.reset || e.Gone() {
		return
	}
	chunk := func(text string) { _, _ = fmt.Fprintf(e, "%x\r\n%s\r\n", len(text), text) }
	r.open[e] = true
	_, _ = e.Write([]byte(chunkedHead))
	chunk(cmp.Or(r.line, registryLine) + "\n")
	r.told()
	var beat func()
	beat = func() {
		if r.open[e] && !e.closed && !e.reset {
			chunk("\n")
			r.sim.After(heartbeatInterval, beat)
		}
	}
	r.sim.After(heartbeatInterval, beat)
}

// gatewayOn starts a gateway that asks, or is told by, a scriptedDiscovery.
func gatewayOn(t *testing.T, sim *Sim, net *Net, at netip.AddrPort, mode string,
	wrap func(*Loop, loop.Reducer) loop.Reducer) *Loop {
	t.Helper()
	return gatewayByGossipAddr(t, sim, net, at, mode, 1, wrap)
}

// gatewayByGossipAddr starts one of so many gateways.
func gatewayByGossipAddr(t *testing.T, sim *Sim, net *Net, at netip.AddrPort, mode string, gateways int,
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
func TestAChangeIsHeardOfAfterALongOutage(t *testing.T) {
	for _, outage := range []time.Duration{10 * time.Second, 40 * time.Second, 2 * time.Minute} {
		for _, how := range []treat{failed, reset, refused, shed} {
			for seed := range uint64(5) {
				c := newCaller(seed)
				c.again = "45"
				c.treat = func(int) treat {
					if c.sim.Now() < epoch+outage {
						return how
					}
					return served
				}
				c.prepare()
				c.sim.At(epoch+outage, func() { c.prepare() })
				gatewayByGossipAddr(t, c.sim, c.net, c.at, "subscribe", 300, nil)
				c.sim.Run(epoch + outage + 2*time.Minute)
				if len(c.toldAt) == 0 || c.toldAt[0]-outage > notifyWithin {
					t.Fatalf("an outage of %v (kind %d), seed %d: told at %v", outage, how, seed, c.toldAt)
				}
			}
		}
	}
}

// A change is heard of within the time, whatever state the watch is in when discovery can be reached,
// and though one call after that is lost.
func TestAChangeIsHeardOfInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		before treat   // how calls are treated until discovery can be reached; served is a watch that stands and then
		reset  bool    // is reset, or else falls silent, at the moment from which is counted
		lost   []treat // the calls after that which go wrong all the same
	}{
		{name: "calls are refused", before: refused},
		{name: "calls fail", before: failed},
		{name: "calls are reset", before: reset},
		{name: "no connection comes up", before: never},
		{name: "no call is answered", before: mute},
		{name: "calls end in the middle of a line", before: torn},
		{name: "a watch falls silent"},
		{name: "a watch falls silent, the next call is never answered", lost: []treat{mute}},
		{name: "a watch falls silent, the next connection never comes up", lost: []treat{never}},
		{name: "a watch falls silent, the next call fails", lost: []treat{failed}},
		{name: "a watch falls silent, the next call is torn", lost: []treat{torn}},
		{name: "a watch is reset", reset: true},
		{name: "a watch is reset, the next call is never answered", reset: true, lost: []treat{mute}},
		{name: "a watch is reset, the next two calls fail", reset: true, lost: []treat{failed, reset}},
	} {
		for _, mode := range []string{"subscribe", "automatic"} {
			t.Run(c.name+", "+mode, func(t *testing.T) {
				t.Parallel()
				worst := time.Duration(0)
				for seed := range uint64(100) {
					took := hears(t, seed, mode, c.before, c.reset, c.lost)
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

// hears is how long a gateway took to hear of what discovery had, from when it could be reached.
func hears(t *testing.T, seed uint64, mode string, before treat, resets bool, lost []treat) time.Duration {
	sim := NewSim(seed, nil)
	net := NewNet(sim)
	var from, told time.Duration
	first, reachable := 0, false // its first call that counts
	r := &scriptedDiscovery{sim: sim, net: net, at: netip.MustParseAddrPort("10.2.0.1:8500"), open: make(map[*End]bool)}
	r.told = func() {
		if reachable && told == 0 {
			told = sim.Now() + net.Latency
		}
	}
	r.treat = func(call int) treat {
		switch {
		case !reachable:
			return before
		case call-first < len(lost):
			return lost[call-first]
		}
		return served
	}
	r.prepare()
	l := gatewayOn(t, sim, net, r.at, mode, nil)
	sim.At(epoch+sim.Between(300*time.Millisecond, 14*time.Second), func() {
		reachable, first, from = true, r.calls, sim.Now()
		for e := range r.open {
			if resets {
				e.Reset()
			}
		}
		clear(r.open)
		r.prepare()
	})
	// A connection that never comes up is no call that the stand-in sees: one step after it was begun
	// it counts as one.
	var look func()
	seen := loop.Conn(0)
	look = func() {
		for _, s := range l.orderedSockets() {
			if reachable && r.silent && s.connecting && s.conn > seen {
				seen = s.conn
				r.calls++
				r.prepare()
			}
		}
		sim.After(10*time.Millisecond, look)
	}
	sim.After(0, look)
	sim.Run(epoch + 40*time.Second)
	if told == 0 {
		t.Fatalf("seed %d: never heard of", seed)
	}
	return told - from
}

// A request comes between the gateway's last look at a resting connection and its close: it is taken by
// nobody, and a reset tells its client so. No kernel can be held there, so the look's answer is.
func TestRequestBetweenTheLastLookAndTheClose(t *testing.T) {
	const health, crossed = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n",
		"GET /view HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\nX-Qos: view\r\nX-Expires-In: 900m\r\n\r\n"
	sim := NewSim(1, nil)
	net := NewNet(sim)
	came := false
	gatewayOn(t, sim, net, netip.MustParseAddrPort("10.2.0.1:8500"), "subscribe",
		func(l *Loop, r loop.Reducer) loop.Reducer {
			return &defect{Reducer: r, hear: func(_ *defect, e *loop.Event) bool {
				if s := l.socks[e.Conn]; e.Kind == loop.WouldBlock && s != nil && e.Conn >= firstAccepted {
					came = true
					s.end.inbox = append(s.end.inbox, crossed...)
				}
				return true
			}}
		})
	var client *End
	client = net.Dial(netip.MustParseAddrPort("10.1.0.1:8443"), nil,
		func(error) { _, _ = client.Write([]byte(health)) })
	sim.Run(epoch + 10*time.Second)
	if client.Gone() || !strings.Contains(string(client.Read(1<<10)), " 503 ") { // it has no host
		t.Fatal("the gateway does not answer")
	}
	sim.Run(epoch + 5*time.Minute)
	if !came || !client.reset || len(client.inbox) > 0 {
		t.Errorf("the look was answered: %v; the client was reset: %v, and told %q", came, client.reset, client.inbox)
	}
}
