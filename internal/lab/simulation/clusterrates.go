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
	TooManySends       = "too many sends"       // at one host in a second, by all gateways together
	TooManyConnections = "too many connections" // opened at one host in a second
	TooManyCalls       = "too many calls"       // at discovery in a second
)

// The sums in figures. Those at a host hold while half of the hosts of its zone are left. With half,
// each has twice its part of the gateways, and the bounds leave half as much again; with fewer the
// gateways have to use the same few, and sends and connections opened may grow as the hosts get fewer.
const (
	// maxSendsPerSecond a second: a host of the plans does 25 of mean work and queues 14, and what it turns
	// away has to be asked for before it is known to be full.
	maxSendsPerSecond = 120
	// maxConnectsPerSecond is one for each connection that it may hold, twice over: a second may see a host
	// restart and all come back.
	maxConnectsPerSecond = 2 * maxConnections
)

// rateKey names a sum: a rule, and the host at which it holds.
type rateKey struct{ rule, host string }

// clusterRates counts over the second under way.
type clusterRates struct {
	run         *simulator
	start       time.Duration
	counts      map[rateKey]int
	reported    map[rateKey]bool
	loadFactors map[int]float64 // of each zone
	peaks       map[string]int  // of each rule, over the run
	calls       int
	peakCalls   int // over the run
}

func newClusterRates(s *simulator) *clusterRates {
	return &clusterRates{run: s, counts: make(map[rateKey]int), reported: make(map[rateKey]bool),
		loadFactors: make(map[int]float64), peaks: make(map[string]int)}
}

// loadFactor is how many times more gateways use a host of this zone than where half of the zone's hosts
// run and are listed as up: 1 while so many are left.
func (s *simulator) loadFactor(zone int) float64 {
	total, serving := 0, 0
	for _, h := range s.hosts {
		if h.zone() != zone {
			continue
		}
		total++
		if e, ok := s.discovery.list.Find(h.name); ok && h.up && e.State == registry.Up {
			serving++
		}
	}
	return max(1, float64(total)/float64(2*serving))
}

// advance begins a new second if one is over.
func (c *clusterRates) advance() {
	if now := c.run.sim.Elapsed(); now-c.start >= time.Second {
		c.start = now - now%time.Second
		clear(c.counts)
		clear(c.reported)
		clear(c.loadFactors)
		c.calls = 0
	}
}

func (c *clusterRates) countSend(h *host) { c.count(TooManySends, h, maxSendsPerSecond) }

func (c *clusterRates) countConnect(h *host) { c.count(TooManyConnections, h, maxConnectsPerSecond) }

// count adds one to a host's sum under a rule, and finds it over its bound once in a second.
func (c *clusterRates) count(rule string, h *host, limit int) {
	if c == nil {
		return
	}
	c.advance()
	sum := rateKey{rule, h.name}
	c.counts[sum]++
	c.peaks[rule] = max(c.peaks[rule], c.counts[sum])
	if c.counts[sum] <= limit || c.reported[sum] {
		return
	}
	if bound := float64(limit) * c.maxLoadFactor(h.zone()); float64(c.counts[sum]) > bound {
		c.reported[sum] = true
		c.run.addFinding(rule, h.name, "over %.0f in the second from %v", bound, c.start)
	}
}

// maxLoadFactor is how strained a zone was at most in this second, as far as it was asked for: a zone that
// had few hosts left may have more at each of them in all of it.
func (c *clusterRates) maxLoadFactor(zone int) float64 {
	c.loadFactors[zone] = max(c.loadFactors[zone], c.run.loadFactor(zone))
	return c.loadFactors[zone]
}

// countCall counts a call at discovery. Each gateway may call twice in a second: once more after one that failed.
func (c *clusterRates) countCall() {
	if c == nil {
		return
	}
	c.advance()
	c.calls++
	c.peakCalls = max(c.peakCalls, c.calls)
	if c.calls == 2*c.run.plan.Gateways+1 {
		c.run.addFinding(TooManyCalls, "discovery", "over %d in the second from %v", 2*c.run.plan.Gateways, c.start)
	}
}

func (c *clusterRates) String() string {
	if c == nil {
		return ""
	}
	return fmt.Sprintf("most in a second: %d sends and %d connections at one host, %d calls at discovery",
		c.peaks[TooManySends], c.peaks[TooManyConnections], c.peakCalls)
}
