package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// defect is what a planted one does in the play below.
type defect struct {
	fromReply, noDrift, revive, noFence, timerOnly, fenceBack, forgetSeq, fastLog, oldProcess, keepReleased bool
}

const (
	probe         = "probe" // the lease that the play is about
	probeDuration = second
	playLength    = 40 * second
	playStep      = 5 * time.Millisecond
)

// actor is a gateway: a client of the table, whose clock runs wrong within the bound, that stands still at times and
// does its task otherwise.
type actor struct {
	*Client
	rate    float64
	stopped time.Duration
	cleared time.Duration // with timerOnly: when it last looked at its clock
	sees    bool
	inbox   []func()
}

// delivery is something that happens at a time.
type delivery struct {
	at time.Duration
	do func()
}

// leader is the clock of the log, which goes on from the last applied time when another leads.
type leader struct {
	since time.Duration // true time
	base  time.Duration // the log's time then
	rate  float64
	down  time.Duration // until then nobody leads
}

// simulation has clients, a table whose leader changes, a network that loses, doubles and delays, and a receiver that
// keeps the account.
type simulation struct {
	rng     *rand.Rand
	defect  defect
	clock   time.Duration // true
	table   *Table
	guard   *Guard
	leader  leader
	actors  []*actor
	started uint64 // processes so far
	network []delivery

	highest  uint64            // fencing token that the receiver has seen
	holderOf map[uint64]string // by fencing token
	wrong    []string
	effects  int
}

// play plays a seed. It returns what was wrong.
func play(seed uint64, d defect) (wrong []string, effects int) {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 5)), defect: d, table: NewTable(), guard: NewGuard(10),
		leader: leader{rate: 1}, holderOf: make(map[uint64]string)}
	for i := range 4 {
		s.actors = append(s.actors, s.newActor(i))
	}
	for s.clock = 0; s.clock < playLength; s.clock += playStep {
		if s.rng.IntN(1200) == 0 {
			s.changeLeader()
		}
		s.deliver()
		for i := range s.actors {
			if s.alive(i) {
				s.step(s.actors[i])
			}
		}
	}
	return s.wrong, s.effects
}

func (s *simulation) newActor(i int) *actor {
	s.started++
	a := &actor{Client: NewClient(fmt.Sprint("g", i), s.started), rate: s.drawRate()}
	if s.defect.noDrift {
		a.rate = 1 - 0.5*float64(i%2)
	}
	_ = a.SetRequests(0, []Request{{probe, 1, probeDuration}})
	return a
}

// drawRate draws the rate of a clock within the bound.
func (s *simulation) drawRate() float64 { return 1 + (s.rng.Float64()*2-1)*MaxClockDrift/2.2 }

// upTo draws a time up to a bound.
func (s *simulation) upTo(bound time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(bound)))
}

// local is the time on an actor's clock.
func (s *simulation) local(a *actor) time.Duration { return time.Duration(float64(s.clock) * a.rate) }

// changeLeader has another lead, after a while without any.
func (s *simulation) changeLeader() {
	s.leader = leader{since: s.clock, base: s.table.Now(), down: s.clock + s.upTo(800*time.Millisecond)}
	s.leader.rate = s.drawRate()
	if s.defect.fastLog {
		s.leader.rate = 1.6
	}
}

// send has something happen soon: once, twice or never.
func (s *simulation) send(do func()) {
	for n := 1 + s.rng.IntN(5)/4; n > 0; n-- {
		if s.rng.IntN(5) > 0 {
			s.network = append(s.network, delivery{s.clock + s.upTo(60*time.Millisecond), do})
		}
	}
}

// deliver does what has arrived.
func (s *simulation) deliver() {
	var arrived, later []delivery
	for _, m := range s.network {
		if m.at <= s.clock {
			arrived = append(arrived, m)
		} else {
			later = append(later, m)
		}
	}
	s.network = later
	for _, m := range arrived {
		m.do()
	}
}

// alive has an actor stand still or be killed at times, and reports whether it does something now.
func (s *simulation) alive(i int) bool {
	a := s.actors[i]
	switch {
	case s.clock < a.stopped:
		return false
	case s.rng.IntN(900) == 0:
		a.stopped = s.clock + s.upTo(2500*time.Millisecond)
		return false
	case s.rng.IntN(2500) == 0: // killed, and back under its name
		s.actors[i] = s.newActor(i)
		if s.defect.oldProcess {
			s.actors[i].Client = a.Client
			s.actors[i].Client.incarnation = s.started
		}
	}
	return true
}

// step has an actor take its answers, send its next command, and act if it may.
func (s *simulation) step(a *actor) {
	for _, do := range a.inbox {
		do()
	}
	a.inbox = nil
	if command, ok := a.NextCommand(s.local(a)); ok {
		s.send(func() { s.apply(a, command) })
	}
	if l := a.leases[probe]; s.defect.keepReleased && l != nil && l.token > 0 && l.expires > 0 && s.rng.IntN(200) == 0 {
		s.table.Apply(Command{Kind: Release, Client: a.name, Incarnation: a.incarnation, Seq: 1 << 40,
			Lease: probe, FencingToken: l.token, At: s.table.Now()})
	}
	token, held := s.token(a)
	if !held {
		return
	}
	name := a.name + fmt.Sprint(a.incarnation)
	effect := func() { s.effect(name, token) }
	if s.rng.IntN(10) == 0 {
		s.network = append(s.network, delivery{s.clock + s.upTo(1500*time.Millisecond), effect})
	} else {
		effect()
	}
	s.checkAlone(a)
}

// apply has the leader apply a command, and answer it.
func (s *simulation) apply(a *actor, command Command) {
	if s.clock < s.leader.down {
		return
	}
	command.At = s.leader.base + time.Duration(float64(s.clock-s.leader.since)*s.leader.rate)
	if s.defect.forgetSeq {
		delete(s.table.clients, command.Client)
	}
	if l := s.table.leases[probe]; s.defect.revive && command.Kind == Renew && l != nil && l.grantOf(command) == nil {
		l.Holders = append(l.Holders,
			holder{command.Client, command.Incarnation, command.FencingToken, command.At + second})
	}
	answer := s.table.Apply(command)
	if s.defect.fenceBack && answer.Verdict == Granted && command.Kind == Acquire && s.rng.IntN(4) == 0 {
		s.table.lastToken--
	}
	s.send(func() {
		a.inbox = append(a.inbox, func() {
			a.Receive(s.local(a), command.Seq, answer)
			l := a.leases[probe]
			if l != nil && l.token > 0 && s.defect.fromReply && answer.Verdict == Granted {
				l.expires = s.local(a) + probeDuration
			}
		})
	})
}

// token is the one under which an actor acts now.
func (s *simulation) token(a *actor) (token uint64, held bool) {
	token, held = a.Token(s.local(a), probe)
	if !s.defect.timerOnly {
		return token, held
	}
	// It looks at its clock every 300 ms, and goes by that.
	if s.clock-a.cleared >= 300*time.Millisecond {
		a.cleared, a.sees = s.clock, held
	} else if l := a.leases[probe]; l != nil && a.sees && l.token > 0 {
		token, held = l.token, true
	}
	return token, held
}

// effect is one that arrives at the receiver.
func (s *simulation) effect(name string, token uint64) {
	admitted := s.guard.Admit(probe, token)
	if !admitted && !s.defect.noFence {
		return
	}
	s.effects++
	if token < s.highest {
		s.fail("an effect with number %d after %d", token, s.highest)
	}
	s.highest = max(s.highest, token)
	if was, ok := s.holderOf[token]; ok && was != name {
		s.fail("number %d of %s and of %s", token, was, name)
	}
	s.holderOf[token] = name
}

// checkAlone holds that no other actor holds the lease while one acts.
func (s *simulation) checkAlone(a *actor) {
	for _, other := range s.actors {
		_, both := other.Token(s.local(other), probe)
		switch {
		case other == a || !both:
		case s.defect.timerOnly:
			s.fail("%s acts while %s holds it", a.name, other.name)
		case s.clock >= other.stopped:
			s.fail("%s and %s hold it", a.name, other.name)
		}
	}
}

func (s *simulation) fail(format string, args ...any) {
	s.wrong = append(s.wrong, fmt.Sprintf("at %v: ", s.clock)+fmt.Sprintf(format, args...))
}

// Whatever is lost, late or doubled, whoever stands still, dies or leads: one holds at a time, and the receiver sees
// numbers that only grow.
func TestNeverTwoHolders(t *testing.T) {
	all := 0
	for seed := range uint64(120) {
		wrong, effects := play(seed, defect{})
		if all += effects; len(wrong) > 0 {
			t.Fatalf("seed %d: %s and %d more", seed, wrong[0], len(wrong)-1)
		}
		if effects < 1000 {
			t.Errorf("seed %d: %d effects in 40 s: nobody did the duty", seed, effects)
		}
	}
	t.Logf("%d effects", all)
}

// What that rests on is there for a reason.
func TestPlantedDefectsAreCaught(t *testing.T) {
	for name, d := range map[string]defect{
		"the lease counts from the reply":     {fromReply: true},
		"clocks differ beyond the bound":      {noDrift: true},
		"a lapsed lease is revived":           {revive: true},
		"no number is checked":                {noFence: true},
		"the clock is looked at by a timer":   {timerOnly: true},
		"a number is given twice":             {fenceBack: true},
		"the log's time is ahead of true":     {fastLog: true},
		"a process goes on as the one before": {oldProcess: true},
		"another may release it":              {keepReleased: true},
	} {
		caught := -1
		said := ""
		for seed := range uint64(120) {
			if wrong, _ := play(seed, d); len(wrong) > 0 {
				caught, said = int(seed), wrong[0]
				break
			}
		}
		if t.Logf("%s: seed %d, %s", name, caught, said); caught < 0 {
			t.Errorf("%s: not caught in 120 seeds", name)
		}
	}
}
