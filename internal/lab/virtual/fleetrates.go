package virtual

import (
	"fmt"
	"time"

	"thymebend/internal/lab/roster"
)

// Standing checks of a fleet: what all gateways together ask of one host or of discovery within one second. A gateway alone
// keeps each of these easily; what is held here is the sum.

// Rules of the sums.
const (
	OverSent   = "too many sends"       // at one host in a second, by all gateways together
	OverOpened = "too many connections" // opened at one host in a second
	OverAsked  = "too many calls"       // at discovery in a second
)

// The sums in figures.
const (
	// mostSends a second: a host of the plans does 25 of mean work and queues 14, and what it turns away has to be asked
	// for before it is known to be full.
	mostSends = 120
	// mostOpened is one for each link that it may hold, twice over: a second may see a host restart and all come back.
	mostOpened = 2 * mostLinks
	// callWork is what discovery needs for a call; it works calls off one after another.
	callWork = 1500 * time.Microsecond
	// callPatience is how long a call waits for its turn.
	callPatience = time.Second
)

// tolls counts over the second under way.
type tolls struct {
	w                    *world
	second               time.Duration
	sent, opened         map[string]int
	calls                int
	mostSent, mostOpened int // over the run
	mostCalls            int
}

func newTolls(w *world) *tolls {
	return &tolls{w: w, sent: make(map[string]int), opened: make(map[string]int)}
}

// enough tells whether half of the hosts run and are listed as up. With half, each has twice its part of the gateways, and the
// bounds leave half as much again; with fewer the sums follow from how many gateways there are, not from what they decide.
func (w *world) enough() bool {
	up := 0
	for _, h := range w.hosts {
		if e, ok := w.disc.list.Find(h.name); ok && h.up && e.State == roster.Up {
			up++
		}
	}
	return 2*up >= len(w.hosts)
}

// at begins a new second if one is over.
func (t *tolls) at() {
	if now := t.w.sim.Since(); now-t.second >= time.Second {
		t.second = now - now%time.Second
		clear(t.sent)
		clear(t.opened)
		t.calls = 0
	}
}

func (t *tolls) send(host string) {
	if t == nil {
		return
	}
	t.at()
	t.sent[host]++
	t.mostSent = max(t.mostSent, t.sent[host])
	if t.sent[host] == mostSends+1 && t.w.enough() {
		t.w.find(OverSent, host, "over %d in the second from %v", mostSends, t.second)
	}
}

func (t *tolls) open(host string) {
	if t == nil {
		return
	}
	t.at()
	t.opened[host]++
	t.mostOpened = max(t.mostOpened, t.opened[host])
	if t.opened[host] == mostOpened+1 && t.w.enough() {
		t.w.find(OverOpened, host, "over %d in the second from %v", mostOpened, t.second)
	}
}

// call counts a call at discovery. Each gateway may call twice in a second: once more after one that failed.
func (t *tolls) call() {
	if t == nil {
		return
	}
	t.at()
	t.calls++
	t.mostCalls = max(t.mostCalls, t.calls)
	if t.calls == 2*t.w.plan.Gateways+1 {
		t.w.find(OverAsked, "discovery", "over %d in the second from %v", 2*t.w.plan.Gateways, t.second)
	}
}

func (t *tolls) String() string {
	if t == nil {
		return ""
	}
	return fmt.Sprintf("most in a second: %d sends and %d connections at one host, %d calls at discovery", t.mostSent, t.mostOpened, t.mostCalls)
}
