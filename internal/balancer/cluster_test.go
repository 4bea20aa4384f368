package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"thymebend/internal/balancer/concurrency"

	"github.com/zeebo/xxh3"
)

// The cluster says which endpoints are this gateway's, and its weights decide among those with equal room.
func TestAssignedWeightsDecideAmongEqualRoom(t *testing.T) {
	r := newRig(t, testConfig(), warmEndpoints(10)...)
	r.assign(
		AssignedEndpoint{ID: 3, Weight: 0.75, Share: 0.2}, AssignedEndpoint{ID: 7, Weight: 0.25, Share: 0.2},
		AssignedEndpoint{ID: 99, Weight: 1, Share: 1},
		AssignedEndpoint{ID: 9, Weight: 0.5}, AssignedEndpoint{ID: 1, Weight: 0.5},
	)
	got := r.play(1, 400, fine)
	if got[3]+got[7] != 400 || got[3] < 270 || got[3] > 330 {
		t.Errorf("wanted 300 at 3 and 100 at 7: %v", got)
	}
	if s := r.b.endpoints.byID[3]; s.subset.users != 5 {
		t.Errorf("a fifth of an endpoint has %v users", s.subset.users)
	}
	r.assign() // no division: by count and number again
	if got := r.play(1000, 200, fine); len(got) < 8 {
		t.Errorf("without a division: %v", got)
	}
}

// Spares stand in for ejected endpoints, in the order of the assignment.
func TestSparesStandInForTheEjected(t *testing.T) {
	r := newRig(t, testConfig(), warmEndpoints(10)...)
	r.assign(
		AssignedEndpoint{ID: 3, Weight: 0.5, Share: 0.2}, AssignedEndpoint{ID: 7, Weight: 0.5, Share: 0.2},
		AssignedEndpoint{ID: 9, Weight: 0.5}, AssignedEndpoint{ID: 1, Weight: 0.5},
	)
	bad := func(id EndpointID) Outcome {
		if id == 3 {
			return OutcomeError
		}
		return OutcomeOK
	}
	r.play(1, 60, bad)
	if !r.b.endpoints.byID[3].health.Ejected {
		t.Fatal("an endpoint that fails all is not ejected")
	}
	if got := r.play(1000, 60, bad); got[9] == 0 || got[1] > 0 || got[3] > 20 {
		t.Errorf("wanted the first spare beside the other: %v", got)
	}
}

// The peers' suspicion halves what it takes to eject an endpoint, and ejects none by itself; once no peer
// suspects it, it is probed at once.
func TestSuspectedEndpointsAreEjectedSooner(t *testing.T) {
	r := newRig(t, testConfig(), warmEndpoints(4)...)
	all := func(suspected bool) {
		var assigned []AssignedEndpoint
		for id := range EndpointID(4) {
			assigned = append(assigned, AssignedEndpoint{
				ID: id + 1, Weight: 1, Share: 0.2, SuspectedByPeers: suspected,
			})
		}
		r.assign(assigned...)
	}
	r.play(1, 40, fine)
	all(true)
	got := r.play(100, 80, fine)
	for id := range EndpointID(4) {
		if r.b.endpoints.byID[id+1].health.Ejected || got[id+1] == 0 {
			t.Fatalf("ejected on suspicion alone, or shunned: %v", got)
		}
	}
	fails := map[EndpointID]int{}
	failOnce := func(id EndpointID) Outcome {
		if fails[id]++; id == 2 && fails[id] == 1 {
			return OutcomeError
		}
		return OutcomeOK
	}
	for n := RequestID(0); fails[2] == 0; n++ {
		r.play(1000+n, 1, failOnce)
	}
	s := r.b.endpoints.byID[2]
	if !s.health.Ejected {
		t.Error("a suspected endpoint that failed once is not ejected")
	}
	s.health.ProbeAt = r.now + time.Hour
	all(false)
	if s.health.ProbeAt > r.now {
		t.Errorf("no peer suspects it any longer, and its probe is in %v", s.health.ProbeAt-r.now)
	}
	r.play(5000, 20, fine)
	if s.health.Ejected {
		t.Error("it answered its probe and is still ejected")
	}
	fails = map[EndpointID]int{}
	for n := RequestID(0); fails[2] == 0; n++ {
		r.play(6000+n, 1, failOnce)
	}
	if s.health.Ejected {
		t.Error("an endpoint that is not suspected is ejected after one failure")
	}
}

// withoutCluster is the hash of what the balancer did before there were clusters, in the play below. A
// change of what it does without one is another number here, and has to say why.
const withoutCluster = 0xcb74930173923571

// hashed spells an action as it stood in the hash from the start.
func (a act) hashed() string {
	what := a.what
	if old := map[string]string{"start": "send", "reject": "refuse", "timer": "wake"}[what]; old != "" {
		what = old
	}
	return fmt.Sprintf("{what:%s id:%d server:%d timeout:%d attempt:%d token:%d text:%s}",
		what, a.id, a.endpoint, a.timeout, a.attempt, a.token, a.text)
}

// Without a cluster the balancer acts as it did before there were any, to the letter.
func TestWithoutAClusterNothingIsDifferent(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways, cfg.Rank, cfg.CrossZoneCost = 40, 17, 0.05
	rng := rand.New(rand.NewPCG(5, 5))
	var endpoints []Endpoint
	for i := range 60 {
		id := EndpointID(rng.Uint64())
		endpoints = append(endpoints, Endpoint{ID: id, Zone: i % 3, Cell: i % 7, State: EndpointReady})
	}
	r := newRig(t, cfg, endpoints...)
	var hash xxh3.Hasher
	next := RequestID(1)
	tried := make(map[RequestID]int)
	type out struct {
		at time.Duration
		act
	}
	var flying []out
	for step := range 4000 {
		r.now += 5 * millisecond
		if step%500 == 250 {
			s := &endpoints[rng.IntN(len(endpoints))]
			s.StartedAt, s.ID = r.now, EndpointID(rng.Uint64())
			r.b.UpdateEndpoints(r.now, Snapshot, endpoints)
		}
		for range rng.IntN(3) {
			r.b.RequestArrived(r.now, Request{ID: next, Class: rng.IntN(3), ClientTimeout: 2000 * millisecond})
			next++
		}
		flying = slices.DeleteFunc(flying, func(f out) bool {
			if f.at > r.now {
				return false
			}
			outcome := []Outcome{
				OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK,
				OutcomeError, OutcomeRejected, OutcomeReset, OutcomeConnectFailed,
			}[rng.IntN(10)]
			r.b.AttemptEnded(r.now, AttemptEnd{
				Request: f.id, Attempt: f.attempt, Endpoint: f.endpoint, Outcome: outcome,
				Latency: 40 * millisecond, RequestDone: outcome == OutcomeOK,
			})
			return true
		})
		if r.now%concurrency.SamplePeriod == 0 {
			r.b.TimerFired(r.now, sampleTimer)
		}
		r.b.TimerFired(r.now, queueTimer)
		r.b.Dispatch(r.now)
		for _, a := range r.rec.acts {
			fmt.Fprintln(&hash, r.now, a.hashed())
			if a.what == "start" {
				a.attempt = tried[a.id]
				tried[a.id]++
				flying = append(flying, out{r.now + time.Duration(10+rng.IntN(200))*millisecond, a})
			}
		}
		r.rec.acts = nil
	}
	if got := hash.Sum64(); got != withoutCluster {
		t.Errorf("%d requests and %d attempts: hash %#x, before there were clusters %#x",
			next-1, len(tried), got, uint64(withoutCluster))
	}
}
