package simulation

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"thymebend/internal/loop"
)

// All watches of a large cluster are reset at once while discovery has a call queue. Every gateway can have its
// list again after (number of gateways) / (calls that discovery answers in a second) at the earliest, if no
// call is wasted. The test allows 1.5 times that, plus 6 s.
const (
	recoveryStretch = 1.5
	recoverySpare   = 6 * time.Second
)

// recovery is the outcome of a reset of all watches.
type recovery struct {
	took     time.Duration // until every gateway had a list
	complete bool          // every gateway had a list before the time limit
	calls    int           // calls that the gateways started meanwhile
	withList int           // gateways with a list at the end
}

// callCounter counts the calls that a gateway starts.
type callCounter struct {
	loop.Reducer
	calls *int
}

// Step implements loop.Reducer.
func (c callCounter) Step(now time.Duration, e loop.Event) []loop.Effect {
	list := c.Reducer.Step(now, e)
	for _, f := range list {
		if f.Op == loop.Write && bytes.HasPrefix(f.Data, []byte("GET /v1/servers")) {
			*c.calls++
		}
	}
	return list
}

// recoverFleet starts gateways, resets their watches, and runs until all gateways have a list again or the time
// limit is over.
func recoverFleet(seed uint64, gateways int, queue CallQueue, limit time.Duration) recovery {
	var r recovery
	s := newSimulator(Plan{Seed: seed, Gateways: gateways, Hosts: 2, Sockets: 300,
		NetworkPlan: NetworkPlan{LatencyUS: 200}, CostUS: 10}, nil,
		func(gw loop.Reducer) loop.Reducer { return callCounter{gw, &r.calls} })
	s.build()
	s.sim.Run(epoch + 5*time.Second + s.sim.Between(0, 2*time.Second)) // until here each call was answered at once
	s.discovery.queue = &callQueue{CallQueue: queue}
	start := s.sim.Now()
	r.calls = 0
	s.discovery.resetOpen()
	const step = 20 * time.Millisecond
	for !r.complete && s.sim.Now() < start+limit {
		s.sim.Run(s.sim.Now() + step)
		r.withList = len(s.discovery.gatewaysWithList())
		r.complete = r.withList == gateways
	}
	r.took = s.sim.Now() - start
	return r
}

// discoveryOf returns a discovery that answers perSecond calls a second, and refuses a call that would wait over 3 s.
func discoveryOf(perSecond float64, atOnce bool) CallQueue {
	const lines = 30
	return CallQueue{LinesPerSecond: lines * perSecond, CallLines: lines, TimeoutMS: 3000, ShedAtOnce: atOnce}
}

// Every gateway has its list again in at most 1.5 times the time that discovery needs to answer one call from
// each gateway, plus 6 s.
func TestGatewaysRecoverListsInTime(t *testing.T) {
	for _, c := range []struct {
		gateways  int
		perSecond float64
	}{{3, 1}, {30, 3}, {30, 10}, {120, 5}, {120, 20}, {350, 10}, {350, 20}, {350, 50}} {
		for _, atOnce := range []bool{true, false} {
			name := fmt.Sprintf("%d gateways, %v calls a second, refused at once %v", c.gateways, c.perSecond, atOnce)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				ideal := time.Duration(float64(c.gateways) / c.perSecond * float64(time.Second))
				within := time.Duration(recoveryStretch*float64(ideal)) + recoverySpare
				var worst recovery
				seeds := uint64(3)
				if c.gateways > 30 {
					seeds = 1 // larger runs take long
				}
				for seed := range seeds {
					r := recoverFleet(seed, c.gateways, discoveryOf(c.perSecond, atOnce), 2*within)
					if r.took > worst.took {
						worst = r
					}
				}
				t.Logf("ideal %v, allowed %v, slowest run %v, with %d calls and %d lists",
					ideal, within, worst.took, worst.calls, worst.withList)
				if !worst.complete || worst.took > within {
					t.Errorf("after %v %d of %d gateways have a list", worst.took, worst.withList, c.gateways)
				}
			})
		}
	}
}

// Gateways act on a change within 6 s after discovery has it, even if discovery has a call queue and all
// watches break.
func TestDiscoveryLoadHoldsTheRules(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if o := playAndVerify(t, draw(t, seed, discoveryLoadProfile)); o.Attempts < 500 || o.Served < o.Attempts/2 {
				t.Errorf("too few requests made or served: %+v", o)
			}
		})
	}
}
