package tokenschedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// defect changes how gateways act, to show that the bound rests on what it leaves out.
type defect struct {
	forgetsStart          bool // a restarted process uses tokens from before its start
	ownersByPartitionSide bool // shares follow from those that are alive for each gateway
	neverExpires          bool // a token is good for ever
	accumulatesCredit     bool // tokens are counted up by time instead of being numbered
	clockError            time.Duration
	newOwnershipOnly      bool // while the known set changes, only the new ownership counts
}

// simulation plays gateways with an endpoint in slow start: requests come at random, processes restart and forget,
// stand still, are cut off, come and leave.
type simulation struct {
	rng      *rand.Rand
	rule     Rule
	endpoint Endpoint
	gateways []*simulatedGateway
	count    int     // of gateways that are there from the start
	rate     float64 // requests a second by all gateways
	faults   bool
	defect   defect

	before, after []OwnerShare  // of the known set, which changes once
	changeAt      time.Duration // when a newcomer is first known
	massKillAt    time.Duration
	sentAt        []float64 // seconds since the endpoint's start
}

type simulatedGateway struct {
	taker            *Taker
	clockError       time.Duration
	pausedUntil      time.Duration
	side             int // of a partition
	share            float64
	learnsOfChangeAt time.Duration // of the change of the known set
	credit           float64       // of tokens counted up
	creditedAt       time.Duration
}

const (
	simulationStep   = 2 * time.Millisecond
	simulationLength = 13 * time.Second
)

// newSimulation draws a day. With faults the known set changes once: a newcomer with as much traffic as all. Gateways
// hear of it one by one within a second, and go by both ownerships for two more. And all are killed at once, three
// times within moments.
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
				continue // it does not live yet
			}
			if s.sendsRequest(i, g, now) {
				s.sentAt = append(s.sentAt, now.Seconds())
			}
		}
	}
}

// applyFaults draws what befalls a gateway, and reports whether it runs. One that is killed is back with nothing.
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

// ownerships are those that a gateway goes by at a time.
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

// sharesOfSide has one side of a partition divide among its own.
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
		g.taker.rule.Window = s.rule.Window // the rate stays
		g.taker.rule.ClockSkew = -10 * time.Second
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

// capacityFraction is the share of its capacity that the endpoint has some seconds after its start, without an end.
func (s *simulation) capacityFraction(seconds float64) float64 {
	return s.rule.InitialFraction + (1-s.rule.InitialFraction)*seconds/12
}

// worstWindow is the largest number of requests in any window over what the rule allows.
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

// usedFraction is the share of what the rule allows that was sent over the slow start.
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

// Guards against a window that holds more than the multiple allows, by all gateways together, whatever befalls them,
// and against a budget that is not used without faults, by few gateways or by many.
func TestNoWindowHoldsMoreThanAllowed(t *testing.T) {
	const rate = 400 // forty gateways have ten each, and a token of theirs is out of time before one comes now and then
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
			t.Logf("at most %.2f of what is allowed in a window, at least %.2f used", worstWindow, leastUsed)
			if worstWindow > 1 || leastUsed < test.minUsed {
				t.Errorf("at most %.2f of what is allowed in a window, at least %.2f used", worstWindow, leastUsed)
			}
		})
	}
}

// Guards against a part of the bound that could go unnoticed: without any of them some day breaks it.
func TestPlantedDefectsBreakTheBound(t *testing.T) {
	for _, test := range []struct {
		name   string
		defect defect
	}{
		{"a restart forgets its start", defect{forgetsStart: true}},
		{"each side divides among its own", defect{ownersByPartitionSide: true}},
		{"a token is good for ever", defect{neverExpires: true}},
		{"tokens are counted up by time", defect{accumulatesCredit: true}},
		{"a clock is off beyond the bound", defect{clockError: 400 * time.Millisecond}},
		{"the new ownership at once", defect{newOwnershipOnly: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			worstOfAll := 0.0
			for seed := range uint64(60) {
				s := newSimulation(seed, 12, 4000, true, test.defect)
				s.run()
				worst := s.worstWindow()
				if worst > 1 {
					t.Logf("seed %d, %.2f at worst", seed, worst)
					return
				}
				worstOfAll = max(worstOfAll, worst)
			}
			t.Errorf("not caught, %.2f of what is allowed at worst", worstOfAll)
		})
	}
}
