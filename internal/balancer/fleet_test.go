package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/zeebo/xxh3"
)

// crowd is n servers of zone 0 that are warm.
func crowd(n int) (out []Endpoint) {
	for i := range n {
		out = append(out, ready(EndpointID(i+1), 0, 0))
	}
	return out
}

func (r *rig) fleet(servers ...AssignedEndpoint) {
	r.b.AssignEndpoints(r.now, servers)
	r.b.Dispatch(r.now)
}

// play sends so many requests one after another, each answered as the servers' outcomes say, and returns who got them.
func (r *rig) play(from RequestID, n int, outcome func(EndpointID) Outcome) map[EndpointID]int {
	got := make(map[EndpointID]int)
	for i := range n {
		id := from + RequestID(i)
		r.rec.acts = nil
		r.request(id, 0)
		r.wait(30 * millisecond)
		for attempt := 0; ; attempt++ {
			sends := r.take("send")
			if len(sends) == 0 {
				break
			}
			to := sends[0].server
			got[to]++
			r.end(id, attempt, to, outcome(to), 30*millisecond)
			r.wait(5 * millisecond)
		}
	}
	return got
}

func fine(EndpointID) Outcome { return OutcomeOK }

// The fleet says which servers are this gateway's, and decides among those with equal room.
func TestTheFleetsWeightsDecideAmongEqualRoom(t *testing.T) {
	r := newRig(t, testConfig(), crowd(10)...)
	r.fleet(AssignedEndpoint{ID: 3, Weight: 0.75, Share: 0.2}, AssignedEndpoint{ID: 7, Weight: 0.25, Share: 0.2}, AssignedEndpoint{ID: 99, Weight: 1, Share: 1},
		AssignedEndpoint{ID: 9, Weight: 0.5}, AssignedEndpoint{ID: 1, Weight: 0.5})
	got := r.play(1, 400, fine)
	if got[3]+got[7] != 400 || got[3] < 270 || got[3] > 330 {
		t.Errorf("wanted 300 at 3 and 100 at 7: %v", got)
	}
	if s := r.b.byID[3]; s.sharers != 5 {
		t.Errorf("a fifth of a server has %v sharers", s.sharers)
	}
	r.fleet() // no division: by count and number again
	if got := r.play(1000, 200, fine); len(got) < 8 {
		t.Errorf("without a division: %v", got)
	}
}

// Spares stand in for those that are ejected, in the fleet's order.
func TestSparesStandInForTheEjected(t *testing.T) {
	r := newRig(t, testConfig(), crowd(10)...)
	r.fleet(AssignedEndpoint{ID: 3, Weight: 0.5, Share: 0.2}, AssignedEndpoint{ID: 7, Weight: 0.5, Share: 0.2}, AssignedEndpoint{ID: 9, Weight: 0.5}, AssignedEndpoint{ID: 1, Weight: 0.5})
	bad := func(id EndpointID) Outcome {
		if id == 3 {
			return OutcomeError
		}
		return OutcomeOK
	}
	r.play(1, 60, bad)
	if !r.b.byID[3].ejected {
		t.Fatal("a server that fails all is not ejected")
	}
	if got := r.play(1000, 60, bad); got[9] == 0 || got[1] > 0 || got[3] > 20 {
		t.Errorf("wanted the first spare beside the other: %v", got)
	}
}

func cold(r *rig, id EndpointID) Endpoint {
	return Endpoint{ID: id, State: EndpointReady, StartedAt: r.now}
}

// Where a fleet speaks a cold server gets one request for each turn, in its time, and none without.
func TestColdServersGetTurnsAlone(t *testing.T) {
	r := newRig(t, testConfig())
	r.b.UpdateEndpoints(r.now, Snapshot, []Endpoint{cold(r, 1)})
	r.fleet(AssignedEndpoint{ID: 1, Weight: 1, Share: 1})
	for id := range RequestID(6) {
		r.request(id+1, 0)
	}
	r.wait(400 * millisecond)
	if sends := r.take("send"); len(sends) != 0 {
		t.Errorf("%d sends without a turn", len(sends))
	}
	r.b.GrantSlowStartToken(r.now, 1, r.now+100*millisecond)
	r.b.GrantSlowStartToken(r.now, 77, r.now+100*millisecond)
	r.b.Dispatch(r.now)
	r.wait(90 * millisecond)
	sends := r.take("send")
	if len(sends) != 1 {
		t.Fatalf("%d sends for one turn", len(sends))
	}
	r.b.GrantSlowStartToken(r.now, 1, r.now+20*millisecond)
	r.now += 20 * millisecond
	r.end(sends[0].id, 0, 1, OutcomeOK, 90*millisecond)
	if sends := r.take("send"); len(sends) != 0 {
		t.Errorf("%d sends for a turn whose time is over", len(sends))
	}
	r.b.GrantSlowStartToken(r.now, 1, r.now+100*millisecond)
	r.b.YieldSlowStart(r.now, true) // the next process of this gateway has the turns
	r.b.GrantSlowStartToken(r.now, 1, r.now+100*millisecond)
	r.b.YieldSlowStart(r.now, false)
	r.b.Dispatch(r.now)
	r.wait(50 * millisecond)
	if sends := r.take("send"); len(sends) != 0 {
		t.Errorf("%d sends for turns from before another process had them", len(sends))
	}
}

// Doubt halves what it takes to eject a server, and ejects none by itself; a server that nobody doubts any longer is tried
// at once.
func TestHearsayShortensWhatItTakes(t *testing.T) {
	r := newRig(t, testConfig(), crowd(4)...)
	all := func(doubted bool) {
		r.fleet(AssignedEndpoint{ID: 1, Weight: 1, Share: 0.2, SuspectedByPeers: doubted}, AssignedEndpoint{ID: 2, Weight: 1, Share: 0.2, SuspectedByPeers: doubted},
			AssignedEndpoint{ID: 3, Weight: 1, Share: 0.2, SuspectedByPeers: doubted}, AssignedEndpoint{ID: 4, Weight: 1, Share: 0.2, SuspectedByPeers: doubted})
	}
	r.play(1, 40, fine)
	all(true)
	got := r.play(100, 80, fine)
	for id := range EndpointID(4) {
		if r.b.byID[id+1].ejected || got[id+1] == 0 {
			t.Fatalf("ejected on hearsay, or shunned: %v", got)
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
	s := r.b.byID[2]
	if !s.ejected {
		t.Error("a doubted server that failed once is not ejected")
	}
	s.trialAt = r.now + time.Hour
	all(false)
	if s.trialAt > r.now {
		t.Errorf("nobody doubts it any longer, and its trial is in %v", s.trialAt-r.now)
	}
	r.play(5000, 20, fine)
	if s.ejected {
		t.Error("it answered its trial and is still ejected")
	}
	fails = map[EndpointID]int{}
	for n := RequestID(0); fails[2] == 0; n++ {
		r.play(6000+n, 1, failOnce)
	}
	if s.ejected {
		t.Error("a server that is not doubted is ejected after one failure")
	}
}

// What a gateway tells of itself is what it sees: its traffic, whatever its age, and the servers that it has ejected.
func TestToldIsWhatIsSeen(t *testing.T) {
	r := newRig(t, testConfig(), crowd(3)...)
	if r.b.LoadReport(r.now + time.Second).Known {
		t.Error("a process of a second knows its traffic")
	}
	for seconds := range 40 {
		r.play(RequestID(1+seconds*25), 25, fine) // 35 ms each: 28 a second
		if told := r.b.LoadReport(r.now); seconds >= 3 && (!told.Known || told.Demand < 24 || told.Demand > 33) {
			t.Fatalf("after %d rounds: %+v, wanted 28 a second", seconds, told)
		}
	}
	r.play(5000, 30, func(id EndpointID) Outcome {
		if id == 2 {
			return OutcomeError
		}
		return OutcomeOK
	})
	told := r.b.LoadReport(r.now)
	if !slices.Equal(told.Ejected, []EndpointID{2}) || told.FreeCapacity <= 0 || told.FreeCapacity > 1 || told.Rejected > 0.2 {
		t.Errorf("%+v", told)
	}
}

// withoutFleet is the hash of what the module did before it could be told of a fleet, in the play below. A change of what it
// does without one is another number here, and has to say why.
const withoutFleet = 0xcb74930173923571

// Without a fleet's word the module acts as it did before there was one, to the letter.
func TestWithoutAFleetNothingIsDifferent(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways, cfg.Rank, cfg.CrossZoneCost = 40, 17, 0.05
	rng := rand.New(rand.NewPCG(5, 5))
	var servers []Endpoint
	for i := range 60 {
		servers = append(servers, Endpoint{ID: EndpointID(rng.Uint64()), Zone: i % 3, Cell: i % 7, State: EndpointReady})
	}
	r := newRig(t, cfg, servers...)
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
			s := &servers[rng.IntN(len(servers))]
			s.StartedAt, s.ID = r.now, EndpointID(rng.Uint64())
			r.b.UpdateEndpoints(r.now, Snapshot, servers)
		}
		for range rng.IntN(3) {
			r.b.RequestArrived(r.now, Request{ID: next, Class: rng.IntN(3), ClientTimeout: 2000 * millisecond})
			next++
		}
		flying = slices.DeleteFunc(flying, func(f out) bool {
			if f.at > r.now {
				return false
			}
			outcome := []Outcome{OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK, OutcomeOK, OutcomeError, OutcomeRejected, OutcomeReset, OutcomeConnectFailed}[rng.IntN(10)]
			r.b.AttemptEnded(r.now, AttemptEnd{Request: f.id, Attempt: f.attempt, Endpoint: f.server, Outcome: outcome, Latency: 40 * millisecond, RequestDone: outcome == OutcomeOK})
			return true
		})
		if r.now%period == 0 {
			r.b.TimerFired(r.now, tokenSample)
		}
		r.b.TimerFired(r.now, tokenQueue)
		r.b.Dispatch(r.now)
		for _, a := range r.rec.acts {
			fmt.Fprintf(&hash, "%v %+v\n", r.now, a)
			if a.what == "send" {
				a.attempt = tried[a.id]
				tried[a.id]++
				flying = append(flying, out{r.now + time.Duration(10+rng.IntN(200))*millisecond, a})
			}
		}
		r.rec.acts = nil
	}
	if got := hash.Sum64(); got != withoutFleet {
		t.Errorf("%d requests and %d sends: hash %#x, before the fleet's word %#x", next-1, len(tried), got, uint64(withoutFleet))
	}
}
