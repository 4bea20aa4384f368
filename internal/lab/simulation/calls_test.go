package simulation

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// caller is a scriptedDiscovery that records when a gateway called it and when it sent the list to the gateway.
type caller struct {
	scriptedDiscovery
	calledAt   []time.Duration // times of the calls, since the start of the run
	notifiedAt []time.Duration
}

// newCaller prepares a scriptedDiscovery whose calls have the listed outcomes, one by one. Later calls are served.
func newCaller(seed uint64, calls ...callOutcome) *caller {
	sim := NewSim(seed, nil)
	c := &caller{scriptedDiscovery: scriptedDiscovery{sim: sim, net: NewNet(sim),
		addr: netip.MustParseAddrPort("10.2.0.1:8500"), open: make(map[*End]bool)}}
	c.onListSent = func() { c.notifiedAt = append(c.notifiedAt, sim.Now()-epoch) }
	c.outcomeOf = func(call int) callOutcome {
		if call > 0 && len(c.calledAt) < call {
			c.calledAt = append(c.calledAt, sim.Now()-epoch)
		}
		if call < len(calls) {
			return calls[call]
		}
		return served
	}
	c.prepareNextCall()
	return c
}

// A call that waits in discovery's queue keeps its place even if the gateway makes further calls meanwhile: the
// gateway uses the late answer to the first call and abandons the later calls.
func TestQueuedCallIsNotAbandonedForALaterOne(t *testing.T) {
	for seed := range uint64(20) {
		c := newCaller(seed, queued, unanswered, unanswered, unanswered)
		c.queueDelay = 8 * time.Second
		startGateway(t, c.sim, c.net, c.addr, "subscribe", nil)
		c.sim.Run(epoch + 20*time.Second)
		if len(c.notifiedAt) != 1 || c.notifiedAt[0]-c.calledAt[0] != c.queueDelay {
			t.Fatalf("seed %d: list received at %v, want once, with the answer to the first call", seed, c.notifiedAt)
		}
		if len(c.calledAt) != 3 || c.calledAt[1] > 3500*time.Millisecond {
			t.Errorf("seed %d: called at %v, want a second call soon after 3.1 s and a third 3 s later", seed,
				c.calledAt)
		}
	}
}

// Discovery states in Retry-After when it wants the next call. A gateway waits that long, as long as it can
// still receive a change within the 6 s after which the change counts as notified; it cuts a longer delay to
// that.
func TestCallsHonourRetryAfter(t *testing.T) {
	for _, c := range []struct {
		retryAfter string
		low, high  time.Duration
	}{{"4.5", 4500 * time.Millisecond, 5 * time.Second}, {"7.5", 5 * time.Second, 5500 * time.Millisecond},
		{"60", 5 * time.Second, 5500 * time.Millisecond}} {
		for seed := range uint64(20) {
			d := newCaller(seed, shedWithRetryAfter)
			d.retryAfter = c.retryAfter
			startGateway(t, d.sim, d.net, d.addr, "subscribe", nil)
			d.sim.Run(epoch + 20*time.Second)
			if len(d.calledAt) != 2 || d.calledAt[1]-d.calledAt[0] < c.low || d.calledAt[1]-d.calledAt[0] > c.high {
				t.Errorf("Retry-After %s, seed %d: called at %v, want %v to %v apart", c.retryAfter, seed,
					d.calledAt, c.low, c.high)
			}
		}
	}
}

// A gateway does not replace a call that it started late because of Retry-After while that call waits in
// discovery's queue.
func TestCallAfterRetryAfterIsNotReplacedWhileQueued(t *testing.T) {
	for seed := range uint64(20) {
		c := newCaller(seed, shedWithRetryAfter, queued)
		c.retryAfter, c.queueDelay = "4.8", 2*time.Second
		startGateway(t, c.sim, c.net, c.addr, "subscribe", nil)
		c.sim.Run(epoch + 20*time.Second)
		if len(c.calledAt) != 2 || len(c.notifiedAt) != 1 {
			t.Errorf("seed %d: called at %v, list received at %v, want one call after the refusal, and its answer", seed,
				c.calledAt, c.notifiedAt)
		}
	}
}

// After a watch has ended, the gateway's next call waits. From the time at which a change would count as
// notified, the gateway sends no requests to hosts while it waits: the answer may name the very host that would
// be used. If the call fails or waits too long, the gateway continues to send requests by the list that it
// knows.
func TestNoAttemptsWhileCallAfterWatchIsQueued(t *testing.T) {
	const list = `{"seq":2,"whole":true,"hosts":[{"host":"h","dial":"10.3.0.1:80","site":"a","class":"c","block":0,"health":"up","share":1,"born_ms":0}]}`
	for _, play := range []struct {
		name        string
		calls       []callOutcome
		turn        time.Duration
		nothingSent bool // nothing is sent between 2.1 s and 2.7 s after the end of the watch
		sentEarly   bool // requests are sent between 3.75 s and 3.95 s
		resumes     bool // requests are sent again by 5 s
	}{
		{"the call waits and is served", []callOutcome{served, queued}, 2800 * time.Millisecond, true, true, true},
		{"the call fails", []callOutcome{served, failed, unanswered}, 0, false, true, true},
		{"the call is kept, and fails while a later one waits",
			[]callOutcome{served, queueTimeout, unanswered, unanswered},
			3400 * time.Millisecond, true, true, true},
		{"the call is never answered", []callOutcome{served, unanswered, unanswered, unanswered}, 0, true, false, true},
		{"the call is served", []callOutcome{served, served}, 0, false, true, true},
	} {
		t.Run(play.name, func(t *testing.T) {
			c := newCaller(1, play.calls...)
			c.line, c.queueDelay = list, play.turn
			sent := startHost(c.sim, c.net, netip.MustParseAddrPort("10.3.0.1:80"))
			startGateway(t, c.sim, c.net, c.addr, "subscribe", nil)
			var ended time.Duration
			c.sim.At(epoch+3*time.Second, func() {
				ended = c.sim.Now()
				for e := range c.open {
					e.Close()
				}
				clear(c.open)
			})
			sendRequests(c.sim, c.net, netip.MustParseAddrPort("10.1.0.1:8443"), 40*time.Millisecond)
			c.sim.Run(epoch + 12*time.Second)
			between := func(from, until time.Duration) bool {
				return slices.ContainsFunc(*sent, func(at time.Duration) bool {
					return at >= ended+from &&
						at < ended+until
				})
			}
			if !between(time.Second, 1900*time.Millisecond) {
				t.Fatal("no request is sent though the list is known")
			}
			if between(2100*time.Millisecond, 2700*time.Millisecond) == play.nothingSent {
				t.Errorf("requests sent while the call waits: %v", play.nothingSent)
			}
			if between(3750*time.Millisecond, 3950*time.Millisecond) != play.sentEarly {
				t.Errorf("requests sent at 3.75 to 3.95 s: %v", !play.sentEarly)
			}
			if between(4500*time.Millisecond, 5*time.Second) != play.resumes {
				t.Errorf("requests sent from 4.5 to 5 s, after the outcome of the call or its longest wait: %v", !play.resumes)
			}
		})
	}
}

// startHost starts a host that serves each request at once. It returns the times at which requests arrived.
func startHost(sim *Sim, net *Net, at netip.AddrPort) *[]time.Duration {
	arrivals := new([]time.Duration)
	var l *Listener
	l = net.Listen(at, 64, nil, func() {
		for e := l.Accept(); e != nil; e = l.Accept() {
			var inbox []byte
			e.ready = func() {
				inbox = append(inbox, e.Read(1<<16)...)
				for _, _, remaining, whole, err := parseRequest(inbox); whole && err == nil; _, _, remaining, whole,
					err = parseRequest(inbox) {
					inbox = remaining
					*arrivals = append(*arrivals, sim.Now())
					_, _ = e.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				}
			}
			e.ready()
		}
	})
	return arrivals
}

// sendRequests sends requests at a fixed interval, each on a connection of its own.
func sendRequests(sim *Sim, net *Net, to netip.AddrPort, every time.Duration) {
	id := 0
	var next func()
	next = func() {
		id++
		text := fmt.Sprintf("GET /view HTTP/1.1\r\nHost: x\r\nX-Trace-Id: r%d\r\nX-Qos: view\r\nX-Expires-In: 1000m\r\nConnection: close\r\n\r\n", id)
		var client *End
		client = net.Dial(to, nil, func(error) { _, _ = client.Write([]byte(text)) })
		sim.After(every, next)
	}
	sim.After(2*time.Second, next)
}
