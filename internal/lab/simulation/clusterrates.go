package simulation

import (
	"fmt"
	"time"

	"thymebend/internal/lab/registry"
)

// Rate checks of a large cluster: what all gateways together send to one host or to discovery within one second. A
// single gateway stays far below these bounds; the checks apply to the sum. Gateways choose hosts by zone, so the
// bounds for a host depend on its zone.

// Rules about rates.
const (
	TooManySends       = "too many sends"       // sent to one host in a second by all gateways together
	TooManyConnections = "too many connections" // opened to one host in a second by all gateways together
	TooManyCalls       = "too many calls"       // made to discovery in a second by all gateways together
)

// The bounds for a host apply while at least half of the hosts of its zone are serving. With exactly half of
// them, each host serves twice as many gateways as usual; the bounds are half as high again as the rate that
// this causes. With fewer, all gateways have to use the same few hosts, and the bounds are multiplied by
// loadFactor.
const (
	// maxSendsPerSecond is the bound on requests sent to one host. A host of the plans completes 25 requests a
	// second of mean work and queues 14; it rejects further requests, which gateways may send only until they know
	// that it is full.
	maxSendsPerSecond = 120
	// maxConnectsPerSecond is twice the number of connections that a host may hold: within one second a host may
	// restart and all its gateways reconnect.
	maxConnectsPerSecond = 2 * maxConnections
)

// rateKey identifies a counter: a rule, and the host to which it applies.
type rateKey struct{ rule, host string }

// clusterRates counts sends, connections and calls within the current second.
type clusterRates struct {
	run         *simulator
	start       time.Duration
	counts      map[rateKey]int
	reported    map[rateKey]bool
	loadFactors map[int]float64 // by zone, the highest load factor of the current second
	peaks       map[string]int  // by rule, the highest count of any second of the run
	calls       int             // calls to discovery in the current second
	peakCalls   int             // the most calls in any second of the run
}

func newClusterRates(s *simulator) *clusterRates {
	return &clusterRates{run: s, counts: make(map[rateKey]int), reported: make(map[rateKey]bool),
		loadFactors: make(map[int]float64), peaks: make(map[string]int)}
}

// loadFactor returns by what factor a host of the zone has more gateways than it would with half of the zone's
// hosts running and listed as up. It is 1 while at least half of them are.
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

// advance starts a new second if the current one is over.
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

// count adds one to a host's counter under a rule, and records a finding the first time in a second that it
// exceeds its bound.
func (c *clusterRates) count(rule string, h *host, limit int) {
	if c == nil {
		return
	}
	c.advance()
	key := rateKey{rule, h.name}
	c.counts[key]++
	c.peaks[rule] = max(c.peaks[rule], c.counts[key])
	if c.counts[key] <= limit || c.reported[key] {
		return
	}
	if bound := float64(limit) * c.maxLoadFactor(h.zone()); float64(c.counts[key]) > bound {
		c.reported[key] = true
		c.run.addFinding(rule, h.name, "over %.0f in the second from %v", bound, c.start)
	}
}

// maxLoadFactor returns the highest of the zone's load factors that its calls have found in the current second:
// if few hosts were serving at one time, each of them may receive more for the whole second.
func (c *clusterRates) maxLoadFactor(zone int) float64 {
	c.loadFactors[zone] = max(c.loadFactors[zone], c.run.loadFactor(zone))
	return c.loadFactors[zone]
}

// countCall counts a call to discovery. Each gateway may make two calls in a second, the second one after a
// failed one.
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
