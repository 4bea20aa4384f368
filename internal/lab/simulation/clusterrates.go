package simulation

import (
	"fmt"
	"time"

	"thymebend/internal/lab/registry"
)

// Standing checks of a fleet: what all gateways together ask of one host or of discovery within one
// second. A gateway alone keeps each of these easily; what is held here is the sum. Gateways choose
// their hosts by zones, so hosts are counted by zones.

// Rules of the sums.
const (
	OverSent   = "too many sends"       // at one host in a second, by all gateways together
	OverOpened = "too many connections" // opened at one host in a second
	OverAsked  = "too many calls"       // at discovery in a second
)

// The sums in figures. Those at a host hold while half of the hosts of its zone are left. With half,
// each has twice its part of the gateways, and the bounds leave half as much again; with fewer the
// gateways have to use the same few, and sends and connections opened may grow as the hosts get fewer.
const (
	// maxAttempts a second: a host of the plans does 25 of mean work and queues 14, and what it turns
	// away has to be asked for before it is known to be full.
	maxAttempts = 120
	// maxOpened is one for each connection that it may hold, twice over: a second may see a host
	// restart and all come back.
	maxOpened = 2 * maxConnections
)

// sumOf names a sum: a rule, and the host at which it holds.
type sumOf struct{ rule, host string }

// clusterRates counts over the second under way.
type clusterRates struct {
	w         *simulator
	second    time.Duration
	sums      map[sumOf]int
	broken    map[sumOf]bool
	strain    map[int]float64 // of each zone
	most      map[string]int  // of each rule, over the run
	calls     int
	mostCalls int // over the run
}

func newClusterRates(w *simulator) *clusterRates {
	return &clusterRates{w: w, sums: make(map[sumOf]int), broken: make(map[sumOf]bool),
		strain: make(map[int]float64), most: make(map[string]int)}
}

// strained is how many times more gateways use a host of this zone than where half of the zone's hosts
// run and are listed as up: 1 while so many are left.
func (w *simulator) strained(zone int) float64 {
	all, left := 0, 0
	for _, h := range w.hosts {
		if h.zone() != zone {
			continue
		}
		all++
		if e, ok := w.disc.list.Find(h.name); ok && h.up && e.State == registry.Up {
			left++
		}
	}
	return max(1, float64(all)/float64(2*left))
}

// begin begins a new second if one is over.
func (r *clusterRates) begin() {
	if now := r.w.sim.Since(); now-r.second >= time.Second {
		r.second = now - now%time.Second
		clear(r.sums)
		clear(r.broken)
		clear(r.strain)
		r.calls = 0
	}
}

func (r *clusterRates) send(h *host) { r.count(OverSent, h, maxAttempts) }

func (r *clusterRates) open(h *host) { r.count(OverOpened, h, maxOpened) }

// count adds one to a host's sum under a rule, and finds it over its bound once in a second.
func (r *clusterRates) count(rule string, h *host, most int) {
	if r == nil {
		return
	}
	r.begin()
	sum := sumOf{rule, h.name}
	r.sums[sum]++
	r.most[rule] = max(r.most[rule], r.sums[sum])
	if r.sums[sum] <= most || r.broken[sum] {
		return
	}
	if bound := float64(most) * r.strainOf(h.zone()); float64(r.sums[sum]) > bound {
		r.broken[sum] = true
		r.w.find(rule, h.name, "over %.0f in the second from %v", bound, r.second)
	}
}

// strainOf is how strained a zone was at most in this second, as far as it was asked for: a zone that
// had few hosts left may have more at each of them in all of it.
func (r *clusterRates) strainOf(zone int) float64 {
	r.strain[zone] = max(r.strain[zone], r.w.strained(zone))
	return r.strain[zone]
}

// call counts a call at discovery. Each gateway may call twice in a second: once more after one that failed.
func (r *clusterRates) call() {
	if r == nil {
		return
	}
	r.begin()
	r.calls++
	r.mostCalls = max(r.mostCalls, r.calls)
	if r.calls == 2*r.w.plan.Gateways+1 {
		r.w.find(OverAsked, "discovery", "over %d in the second from %v", 2*r.w.plan.Gateways, r.second)
	}
}

func (r *clusterRates) String() string {
	if r == nil {
		return ""
	}
	return fmt.Sprintf("most in a second: %d sends and %d connections at one host, %d calls at discovery",
		r.most[OverSent], r.most[OverOpened], r.mostCalls)
}
