package tokenschedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// defect disables a rule that gateways follow or makes them act wrongly, to show that the bound depends on the rule.
type defect struct {
	forgetsStart          bool          // a restarted process uses tokens from before its start
	ownersByPartitionSide bool          // each gateway computes shares from the gateways on its side of a partition
	neverExpires          bool          // a token never expires
	accumulatesCredit     bool          // gateways accumulate credit over time instead of using numbered tokens
	clockError            time.Duration // additional error of every second gateway's clock
	newOwnershipOnly      bool          // during a change of the known gateways only the new ownership counts
}

// simulation simulates gateways that use an endpoint in slow start. Requests arrive at random. With faults, processes
// restart without their state and pause, and a gateway joins; a defect can also partition the gateways.
type simulation struct {
	rng      *rand.Rand
	rule     Rule
	endpoint Endpoint
	gateways []*simulatedGateway
	count    int     // number of gateways that exist from the start
	rate     float64 // requests a second of all gateways together
	faults   bool
	defect   defect

	before, after []OwnerShare  // by the known gateways, which change once
	changeAt      time.Duration // when the new gateway joins
	massKillAt    time.Duration // when all gateways are first killed at once
	sentAt        []float64     // of each request, in seconds since the endpoint's start
}

type simulatedGateway struct {
	taker            *Taker
	clockError       time.Duration
	pausedUntil      time.Duration
	side             int // side of the partition
	share            float64
	learnsOfChangeAt time.Duration // when it learns of the change of the known gateways
	credit           float64       // accumulated requests, with the defect accumulatesCredit
	creditedAt       time.Duration
}

const (
	simulationStep   = 2 * time.Millisecond
	simulationLength = 13 * time.Second
)

// newSimulation draws the parameters of a run. With faults, the known gateways change once: a new gateway joins whose
// share equals that of all others together. Gateways learn of it one by one within a second and use both ownerships
// for two more seconds. In addition, all gateways are killed at once, four times within 400 ms.
func newSimulation(seed uint64, count int, rate float64, faults bool, d defect) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{rng: rng, rule: testRule(), count: count, rate: rate, faults: faults, defect: d}
	s.endpoint = Endpoint{ID: rng.Uint64(), StartedAt: started, Capacity: 25}
	var shares []float64
	sum := 0.0
	for i := range count {
		clockError := time.Duration(rng.Int64N(int64(2*s.rule.ClockSkew))) - s.rule.ClockSkew
		g := &simulatedGateway{clockError: clockError + d.clockError*time.Duration(i%2), share: 0.2 + rng.Float64()}
		g.taker = NewTaker(s.rule, fmt.Sprintf("g%02d", i), started-time.Hour)
		s.gateways = append(s.gateways, g)
		shares = append(shares, g.share)
		sum += g.share
	}
	s.before, s.after = ownerShares(shares...), ownerShares(append(slices.Clone(shares), sum)...)
	s.changeAt = time.Hour
	if faults {
		s.changeAt = 5 * time.Second
		newcomer := NewTaker(s.rule, fmt.Sprintf("g%02d", count), started-time.Hour)
		s.gateways = append(s.gateways, &simulatedGateway{share: 1, taker: newcomer})
	}
	for i, g := range s.gateways {
		g.learnsOfChangeAt = s.changeAt + time.Duration(rng.Int64N(int64(time.Second)))
		if d.ownersByPartitionSide && faults {
			g.side = i % 2
		}
	}
	s.massKillAt = 8*time.Second + time.Duration(rng.Int64N(int64(2*time.Second)))/simulationStep*simulationStep
	return s
}

func (s *simulation) run() {
	for now := simulationStep; now < simulationLength; now += simulationStep {
		for i, g := range s.gateways {
			if s.faults && !s.applyFaults(g, now) {
				continue
			}
			arrivals := s.rate / float64(s.count) * simulationStep.Seconds() * g.share / 0.7
			if s.rng.Float64() > arrivals {
				continue
			}
			if i == s.count && now < s.changeAt {
				continue // the new gateway has not joined yet
			}
			if s.sendsRequest(i, g, now) {
				s.sentAt = append(s.sentAt, now.Seconds())
			}
		}
	}
}

// applyFaults draws the faults of a gateway and reports whether it runs. A killed gateway restarts at once without
// its state.
func (s *simulation) applyFaults(g *simulatedGateway, now time.Duration) bool {
	if s.rng.Float64() < 0.0006 {
		g.pausedUntil = now + time.Duration(s.rng.Int64N(int64(2*time.Second)))
	}
	if now < g.pausedUntil {
		return false
	}
	sinceMassKill := now - s.massKillAt
	massKilled := sinceMassKill >= 0 && sinceMassKill < 400*time.Millisecond &&
		sinceMassKill%(120*time.Millisecond) == 0
	if s.rng.Float64() < 0.0004 || massKilled {
		start := started + now + g.clockError
		if s.defect.forgetsStart {
			start = started - time.Hour
		}
		g.taker = NewTaker(s.rule, g.taker.name, start)
	}
	return true
}

// ownerships returns the ownerships that a gateway uses at a time.
func (s *simulation) ownerships(g *simulatedGateway, now time.Duration) [][]OwnerShare {
	switch {
	case s.defect.ownersByPartitionSide && s.faults:
		return [][]OwnerShare{s.sharesOfSide(g.side)}
	case now >= g.learnsOfChangeAt+2*time.Second || now >= g.learnsOfChangeAt && s.defect.newOwnershipOnly:
		return [][]OwnerShare{s.after}
	case now >= g.learnsOfChangeAt:
		return [][]OwnerShare{s.before, s.after}
	default:
		return [][]OwnerShare{s.before}
	}
}

// sharesOfSide returns the shares if only the gateways on one side of a partition are considered.
func (s *simulation) sharesOfSide(side int) []OwnerShare {
	var shares []float64
	var names []string
	for _, g := range s.gateways[:s.count] {
		if g.side == side {
			shares = append(shares, g.share)
			names = append(names, g.taker.name)
		}
	}
	owners := ownerShares(shares...)
	for i := range owners {
		owners[i].Name = names[i]
	}
	return owners
}

// sendsRequest reports whether the i-th gateway sends a request.
func (s *simulation) sendsRequest(i int, g *simulatedGateway, now time.Duration) bool {
	if s.defect.neverExpires {
		g.taker.rule.Window = s.rule.Window
		g.taker.rule.ClockSkew = -10 * time.Second // extends the validity; the token rate is unchanged
	}
	if !s.defect.accumulatesCredit {
		_, ok := g.taker.Take(started+now+g.clockError, s.endpoint, s.ownerships(g, now)...)
		return ok
	}
	budget := s.rule.rateFactor() * s.endpoint.Capacity * s.capacityFraction(now.Seconds())
	g.credit += budget * s.before[min(i, s.count-1)].Share * (now - g.creditedAt).Seconds()
	g.creditedAt = now
	if g.credit < 1 {
		return false
	}
	g.credit--
	return true
}

// capacityFraction returns the share of its capacity that the endpoint has the given time after its start. It keeps
// growing after the end of slow start; callers limit the time.
func (s *simulation) capacityFraction(seconds float64) float64 {
	return s.rule.InitialFraction + (1-s.rule.InitialFraction)*seconds/12
}

// worstWindow returns the largest number of requests in any window, relative to the number that the rule allows.
func (s *simulation) worstWindow() (worst float64) {
	window := s.rule.Window.Seconds()
	for i := range s.sentAt {
		j := i
		for j < len(s.sentAt) && s.sentAt[j] < s.sentAt[i]+window {
			j++
		}
		middle := min(12, s.sentAt[i]+window/2)
		worst = max(worst, float64(j-i)/(s.rule.OverloadMultiple*s.endpoint.Capacity*s.capacityFraction(middle)*window))
	}
	return worst
}

// usedFraction returns the number of requests sent during slow start, relative to the number that the rule allows.
func (s *simulation) usedFraction() float64 {
	used, allowed := 0.0, 0.0
	for second := 1.0; second < 12; second++ {
		for _, at := range s.sentAt {
			if at >= second && at < second+1 {
				used++
			}
		}
		allowed += s.rule.OverloadMultiple * s.endpoint.Capacity * s.capacityFraction(min(12, second+0.5))
	}
	return used / allowed
}

// Guards against a window in which all gateways together send more requests than OverloadMultiple allows, with and
// without faults. Also guards against a budget that stays largely unused without faults, with few or many gateways.
func TestNoWindowHoldsMoreThanAllowed(t *testing.T) {
	// With forty gateways each has ten requests a second, and a token sometimes expires before a request arrives.
	const rate = 400
	for _, test := range []struct {
		gateways int
		minUsed  float64
	}{{1, 0.75}, {3, 0.75}, {12, 0.75}, {40, 0.65}} {
		t.Run(fmt.Sprint(test.gateways, " gateways"), func(t *testing.T) {
			leastUsed, worstWindow := 1.0, 0.0
			for seed := range uint64(25) {
				faulty := newSimulation(seed, test.gateways, rate, true, defect{})
				faulty.run()
				faultless := newSimulation(seed, test.gateways, rate, false, defect{})
				faultless.run()
				worstWindow = max(worstWindow, faulty.worstWindow(), faultless.worstWindow())
				leastUsed = min(leastUsed, faultless.usedFraction())
			}
			t.Logf("worst window: %.2f of the allowed requests; lowest use: %.2f", worstWindow, leastUsed)
			if worstWindow > 1 || leastUsed < test.minUsed {
				t.Errorf("worst window: %.2f of the allowed requests, want at most 1; "+
					"lowest use: %.2f, want at least %.2f",
					worstWindow, leastUsed, test.minUsed)
			}
		})
	}
}

// Guards against a test of the bound that would not notice a missing rule: each defect exceeds the bound with some
// seed.
func TestPlantedDefectsBreakTheBound(t *testing.T) {
	for _, test := range []struct {
		name   string
		defect defect
	}{
		{"a restart forgets its start", defect{forgetsStart: true}},
		{"each side of a partition computes its shares alone", defect{ownersByPartitionSide: true}},
		{"a token never expires", defect{neverExpires: true}},
		{"credit accumulates over time", defect{accumulatesCredit: true}},
		{"a clock differs by more than ClockSkew", defect{clockError: 400 * time.Millisecond}},
		{"the new ownership counts at once", defect{newOwnershipOnly: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			worstOfAll := 0.0
			for seed := range uint64(60) {
				s := newSimulation(seed, 12, 4000, true, test.defect)
				s.run()
				worst := s.worstWindow()
				if worst > 1 {
					t.Logf("seed %d: worst window holds %.2f of the allowed requests", seed, worst)
					return
				}
				worstOfAll = max(worstOfAll, worst)
			}
			t.Errorf("defect not detected: the worst window holds %.2f of the allowed requests", worstOfAll)
		})
	}
}
