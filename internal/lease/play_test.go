package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// defect selects the planted defect of a simulation.
type defect struct {
	countFromReply, excessiveDrift, reviveExpired, ignoreTokens, cachedClock, reuseToken, forgetSeq, fastLogTime,
	inheritLeases, releaseBehindClient bool
}

const (
	leaseName        = "probe" // the lease that all actors request
	leaseDuration    = second
	simulationLength = 40 * second
	simulationStep   = 5 * time.Millisecond
)

// actor is a simulated gateway: a client of the table whose clock drifts within the bound. It is paused at random
// times and otherwise performs its task while it holds the lease.
type actor struct {
	*Client
	rate           float64
	pausedUntil    time.Duration
	lastClockRead  time.Duration // with cachedClock: when it last read its clock
	heldAtLastRead bool
	inbox          []func()
}

// delivery is a function that is called at a time, such as the arrival of a message.
type delivery struct {
	dueAt   time.Duration
	deliver func()
}

// leader is the leader's clock, which determines the log time. A new leader continues from the last applied log time.
type leader struct {
	since          time.Duration // true time at the start of its leadership
	logTimeAtStart time.Duration // log time at the time in since
	rate           float64
	downUntil      time.Duration // there is no leader until then
}

// simulation consists of clients, a table whose leader changes, a network that loses, duplicates and delays messages,
// and a receiver of effects that records violations.
type simulation struct {
	rng       *rand.Rand
	defect    defect
	now       time.Duration // true time
	table     *Table
	guard     *Guard
	leader    leader
	actors    []*actor
	processes uint64 // number of processes started
	network   []delivery

	highestToken uint64            // fencing token that the receiver has admitted
	holderOf     map[uint64]string // process that used it, by fencing token
	violations   []string
	effects      int
}

// simulate runs the simulation of a seed. It returns the violations and the number of admitted effects.
func simulate(seed uint64, d defect) (violations []string, effects int) {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 5)), defect: d, table: NewTable(), guard: NewGuard(10),
		leader: leader{rate: 1}, holderOf: make(map[uint64]string)}
	for i := range 4 {
		s.actors = append(s.actors, s.newActor(i))
	}
	for s.now = 0; s.now < simulationLength; s.now += simulationStep {
		if s.rng.IntN(1200) == 0 {
			s.changeLeader()
		}
		s.deliver()
		for i := range s.actors {
			if s.injectFaults(i) {
				s.step(s.actors[i])
			}
		}
	}
	return s.violations, s.effects
}

func (s *simulation) newActor(i int) *actor {
	s.processes++
	a := &actor{Client: NewClient(fmt.Sprint("g", i), s.processes), rate: s.drawRate()}
	if s.defect.excessiveDrift {
		a.rate = 1 - 0.5*float64(i%2)
	}
	_ = a.SetRequests(0, []Request{{leaseName, 1, leaseDuration}})
	return a
}

// drawRate returns a random clock rate within MaxClockDrift.
func (s *simulation) drawRate() float64 { return 1 + (s.rng.Float64()*2-1)*MaxClockDrift/2.2 }

// randomDuration returns a random duration below bound.
func (s *simulation) randomDuration(bound time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(bound)))
}

// localTime returns the time on an actor's clock.
func (s *simulation) localTime(a *actor) time.Duration { return time.Duration(float64(s.now) * a.rate) }

// changeLeader makes another leader take over, after a random time without a leader.
func (s *simulation) changeLeader() {
	s.leader = leader{since: s.now, logTimeAtStart: s.table.Now(),
		downUntil: s.now + s.randomDuration(800*time.Millisecond)}
	s.leader.rate = s.drawRate()
	if s.defect.fastLogTime {
		s.leader.rate = 1.6
	}
}

// send delivers a message after a random delay of less than 60 ms: once, twice or never.
func (s *simulation) send(do func()) {
	for n := 1 + s.rng.IntN(5)/4; n > 0; n-- {
		if s.rng.IntN(5) > 0 {
			s.network = append(s.network, delivery{s.now + s.randomDuration(60*time.Millisecond), do})
		}
	}
}

// deliver delivers the messages that are due.
func (s *simulation) deliver() {
	var arrived, later []delivery
	for _, m := range s.network {
		if m.dueAt <= s.now {
			arrived = append(arrived, m)
		} else {
			later = append(later, m)
		}
	}
	s.network = later
	for _, m := range arrived {
		m.deliver()
	}
}

// injectFaults pauses or restarts an actor at random, and reports whether it runs in this step.
func (s *simulation) injectFaults(i int) bool {
	a := s.actors[i]
	switch {
	case s.now < a.pausedUntil:
		return false
	case s.rng.IntN(900) == 0:
		a.pausedUntil = s.now + s.randomDuration(2500*time.Millisecond)
		return false
	case s.rng.IntN(2500) == 0: // killed and restarted under the same name
		s.actors[i] = s.newActor(i)
		if s.defect.inheritLeases {
			s.actors[i].Client = a.Client
			s.actors[i].Client.incarnation = s.processes
		}
	}
	return true
}

// step lets an actor process its answers, send its next command, and perform an effect if it holds the lease.
func (s *simulation) step(a *actor) {
	for _, do := range a.inbox {
		do()
	}
	a.inbox = nil
	if command, ok := a.NextCommand(s.localTime(a)); ok {
		s.send(func() { s.apply(a, command) })
	}
	if l := a.leases[leaseName]; s.defect.releaseBehindClient && l != nil && l.token > 0 && l.expires > 0 &&
		s.rng.IntN(200) == 0 {
		s.table.Apply(Command{Kind: Release, Client: a.name, Incarnation: a.incarnation, Seq: 1 << 40,
			Lease: leaseName, FencingToken: l.token, At: s.table.Now()})
	}
	token, held := s.token(a)
	if !held {
		return
	}
	name := a.name + fmt.Sprint(a.incarnation)
	effect := func() { s.effect(name, token) }
	if s.rng.IntN(10) == 0 {
		s.network = append(s.network, delivery{s.now + s.randomDuration(1500*time.Millisecond), effect})
	} else {
		effect()
	}
	s.checkSingleHolder(a)
}

// apply lets the leader, if there is one, apply a command and answer it.
func (s *simulation) apply(a *actor, command Command) {
	if s.now < s.leader.downUntil {
		return
	}
	command.At = s.leader.logTimeAtStart + time.Duration(float64(s.now-s.leader.since)*s.leader.rate)
	if s.defect.forgetSeq {
		delete(s.table.clients, command.Client)
	}
	if l := s.table.leases[leaseName]; s.defect.reviveExpired && command.Kind == Renew && l != nil &&
		l.grantOf(command) == nil {
		l.Holders = append(l.Holders,
			holder{command.Client, command.Incarnation, command.FencingToken, command.At + second})
	}
	answer := s.table.Apply(command)
	if s.defect.reuseToken && answer.Verdict == Granted && command.Kind == Acquire && s.rng.IntN(4) == 0 {
		s.table.lastToken--
	}
	s.send(func() {
		a.inbox = append(a.inbox, func() {
			a.Receive(s.localTime(a), command.Seq, answer)
			l := a.leases[leaseName]
			if l != nil && l.token > 0 && s.defect.countFromReply && answer.Verdict == Granted {
				l.expires = s.localTime(a) + leaseDuration
			}
		})
	})
}

// token returns the fencing token with which an actor performs effects now, and whether it assumes that it holds the
// lease.
func (s *simulation) token(a *actor) (token uint64, held bool) {
	token, held = a.Token(s.localTime(a), leaseName)
	if !s.defect.cachedClock {
		return token, held
	}
	// The defect: it reads its clock only every 300 ms and assumes in between that it still holds the lease.
	if s.now-a.lastClockRead >= 300*time.Millisecond {
		a.lastClockRead, a.heldAtLastRead = s.now, held
	} else if l := a.leases[leaseName]; l != nil && a.heldAtLastRead && l.token > 0 {
		token, held = l.token, true
	}
	return token, held
}

// effect is the arrival of an effect at the receiver, which admits it or not and records violations.
func (s *simulation) effect(name string, token uint64) {
	admitted := s.guard.Admit(leaseName, token)
	if !admitted && !s.defect.ignoreTokens {
		return
	}
	s.effects++
	if token < s.highestToken {
		s.violate("effect with token %d after token %d", token, s.highestToken)
	}
	s.highestToken = max(s.highestToken, token)
	if previous, ok := s.holderOf[token]; ok && previous != name {
		s.violate("token %d used by %s and by %s", token, previous, name)
	}
	s.holderOf[token] = name
}

// checkSingleHolder verifies that no other actor holds the lease while a performs an effect.
func (s *simulation) checkSingleHolder(a *actor) {
	for _, other := range s.actors {
		_, held := other.Token(s.localTime(other), leaseName)
		switch {
		case other == a || !held:
		case s.defect.cachedClock:
			s.violate("%s performs an effect while %s holds the lease", a.name, other.name)
		case s.now >= other.pausedUntil:
			s.violate("%s and %s both hold the lease", a.name, other.name)
		}
	}
}

func (s *simulation) violate(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("at %v: ", s.now)+fmt.Sprintf(format, args...))
}

// Guards against two simultaneous holders and decreasing fencing tokens at the receiver when messages are lost,
// delayed or duplicated, clients are paused or restarted, and leaders change.
func TestSingleHolderUnderFaults(t *testing.T) {
	total := 0
	for seed := range uint64(120) {
		violations, effects := simulate(seed, defect{})
		if total += effects; len(violations) > 0 {
			t.Fatalf("seed %d: %s; %d more violations", seed, violations[0], len(violations)-1)
		}
		if effects < 1000 {
			t.Errorf("seed %d: only %d effects in 40 s, wanted at least 1000", seed, effects)
		}
	}
	t.Logf("%d effects", total)
}

// Verifies that the simulation detects the absence of each safeguard.
func TestPlantedDefectsAreCaught(t *testing.T) {
	for name, d := range map[string]defect{
		"the grant is counted from the answer":  {countFromReply: true},
		"clocks drift beyond the bound":         {excessiveDrift: true},
		"an expired lease is renewed":           {reviveExpired: true},
		"fencing tokens are not checked":        {ignoreTokens: true},
		"the clock is not read for each effect": {cachedClock: true},
		"a fencing token is issued twice":       {reuseToken: true},
		"log time runs faster than true time":   {fastLogTime: true},
		"a restarted process keeps the leases":  {inheritLeases: true},
		"a lease is released behind its client": {releaseBehindClient: true},
	} {
		caughtBy := -1
		violation := ""
		for seed := range uint64(120) {
			if violations, _ := simulate(seed, d); len(violations) > 0 {
				caughtBy, violation = int(seed), violations[0]
				break
			}
		}
		if t.Logf("%s: seed %d, %s", name, caughtBy, violation); caughtBy < 0 {
			t.Errorf("%s: not caught in 120 seeds", name)
		}
	}
}
