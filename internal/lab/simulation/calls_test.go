package simulation

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// caller is a gateway that calls a scriptedDiscovery, and when it did.
type caller struct {
	scriptedDiscovery
	calledAt   []time.Duration // since the play's start
	notifiedAt []time.Duration
}

// newCaller prepares a scriptedDiscovery that treats calls one by one as listed, and those after the
// list as served.
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

// A call that waits in discovery's queue keeps its place though it is made good by another: its late
// answer is used, and the younger call given up.
func TestQueuedCallIsNotAbandonedForALaterOne(t *testing.T) {
	for seed := range uint64(20) {
		c := newCaller(seed, queued, unanswered, unanswered, unanswered)
		c.queueDelay = 8 * time.Second
		startGateway(t, c.sim, c.net, c.addr, "subscribe", nil)
		c.sim.Run(epoch + 20*time.Second)
		if len(c.notifiedAt) != 1 || c.notifiedAt[0]-c.calledAt[0] != c.queueDelay {
			t.Fatalf("seed %d: told at %v, want once, with the answer to the first call", seed, c.notifiedAt)
		}
		if len(c.calledAt) != 3 || c.calledAt[1] > 3500*time.Millisecond {
			t.Errorf("seed %d: called at %v, want a second call soon after 3.1 s and a third 3 s later", seed,
				c.calledAt)
		}
	}
}

// Discovery says when it wants to be called again. It is heeded as long as a change is still heard of
// in the 6 s after which it counts as notified; a longer time is cut to that.
func TestCallsHonourRetryAfter(t *testing.T) {
	for _, c := range []struct {
		again       string
		least, most time.Duration
	}{{"4.5", 4500 * time.Millisecond, 5 * time.Second}, {"7.5", 5 * time.Second, 5500 * time.Millisecond},
		{"60", 5 * time.Second, 5500 * time.Millisecond}} {
		for seed := range uint64(20) {
			d := newCaller(seed, shedWithRetryAfter)
			d.retryAfter = c.again
			startGateway(t, d.sim, d.net, d.addr, "subscribe", nil)
			d.sim.Run(epoch + 20*time.Second)
			if len(d.calledAt) != 2 || d.calledAt[1]-d.calledAt[0] < c.least || d.calledAt[1]-d.calledAt[0] > c.most {
				t.Errorf("asked for %s s, seed %d: called at %v, want %v to %v apart", c.again, seed,
					d.calledAt, c.least, c.most)
			}
		}
	}
}

// A call that begins late, as discovery asked, is not replaced while it waits its turn.
func TestCallAfterRetryAfterIsNotReplacedWhileQueued(t *testing.T) {
	for seed := range uint64(20) {
		c := newCaller(seed, shedWithRetryAfter, queued)
		c.retryAfter, c.queueDelay = "4.8", 2*time.Second
		startGateway(t, c.sim, c.net, c.addr, "subscribe", nil)
		c.sim.Run(epoch + 20*time.Second)
		if len(c.calledAt) != 2 || len(c.notifiedAt) != 1 {
			t.Errorf("seed %d: called at %v, told at %v, want one call after the refusal, and its answer", seed,
				c.calledAt, c.notifiedAt)
		}
	}
}

// From the time at which a change counts as notified after a watch has ended, nothing is sent while the
// call after it waits: its answer may name the very host. A call that fails, or waits for too long,
// lets requests go on by the list there is.
func TestNoAttemptsWhileCallAfterWatchIsQueued(t *testing.T) {
	const list = `{"seq":2,"whole":true,"hosts":[{"host":"h","dial":"10.3.0.1:80","site":"a","class":"c","block":0,"health":"up","share":1,"born_ms":0}]}`
	for _, play := range []struct {
		name    string
		calls   []callOutcome
		turn    time.Duration
		quiet   bool // between 2.1 s and 2.7 s after the watch's end
		early   bool // requests go on between 3.75 s and 3.95 s
		resumes bool // at 5 s at the latest
	}{
		{"the call waits and is served", []callOutcome{served, queued}, 2800 * time.Millisecond, true, true, true},
		{"the call fails", []callOutcome{served, failed, unanswered}, 0, false, true, true},
		{"the call is kept, and fails while a younger one waits", []callOutcome{served, queueTimeout, unanswered, unanswered},
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
				t.Fatal("nothing is sent though the list is known")
			}
			if between(2100*time.Millisecond, 2700*time.Millisecond) == play.quiet {
				t.Errorf("sent while the call waits: %v", play.quiet)
			}
			if between(3750*time.Millisecond, 3950*time.Millisecond) != play.early {
				t.Errorf("sent at 3.75 to 3.95 s: %v", !play.early)
			}
			if between(4500*time.Millisecond, 5*time.Second) != play.resumes {
				t.Errorf("sent once the call's fate is known, or it waited too long: %v", !play.resumes)
			}
		})
	}
}

// startHost is a host that serves each request at once. It returns when requests came.
func startHost(sim *Sim, net *Net, at netip.AddrPort) *[]time.Duration {
	arrivals := new([]time.Duration)
	var l *Listener
	l = net.Listen(at, 64, nil, func() {
		for e := l.Accept(); e != nil; e = l.Accept() {
			var inbox []byte
			e.ready = func() {
				inbox = append(inbox, e.Read(1<<16)...)
				for _, _, rest, whole, err := parseRequest(inbox); whole && err == nil; _, _, rest, whole,
					err = parseRequest(inbox) {
					inbox = rest
					*arrivals = append(*arrivals, sim.Now())
					_, _ = e.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				}
			}
			e.ready()
		}
	})
	return arrivals
}

// sendRequests sends a request on a connection of its own again and again.
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
