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

// actor is a gateway: a client of the table, whose clock runs wrong within the bound, that stands still at times and
// does its duty otherwise.
type actor struct {
	*Client
	rate    float64
	stopped time.Duration
	cleared time.Duration // with timerOnly: when it last looked at its clock
	sees    bool
	inbox   []func()
}

// play has clients, a table whose leader changes, a network that loses, doubles and delays, and a receiver that keeps
// the account. It returns what was wrong.
func play(seed uint64, d defect) (wrong []string, effects int) {
	rng := rand.New(rand.NewPCG(seed, 5))
	const duty, lease = "probe", second
	var clock time.Duration // true
	tab, guard := NewTable(), NewGuard(10)
	leads := time.Duration(0) // the leader's rate of time follows from here
	base, rate := time.Duration(0), 1.0
	down := time.Duration(0)
	var actors []*actor
	start := uint64(0)
	fresh := func(i int) *actor {
		start++
		a := &actor{Client: NewClient(fmt.Sprint("g", i), start), rate: 1 + (rng.Float64()*2-1)*MaxClockDrift/2.2}
		if d.noDrift {
			a.rate = 1 - 0.5*float64(i%2)
		}
		_ = a.SetRequests(0, []Request{{duty, 1, lease}})
		return a
	}
	for i := range 4 {
		actors = append(actors, fresh(i))
	}
	local := func(a *actor) time.Duration { return time.Duration(float64(clock) * a.rate) }
	type mail struct {
		at time.Duration
		do func()
	}
	var post []mail
	send := func(do func()) {
		for n := 1 + rng.IntN(5)/4; n > 0; n-- {
			if rng.IntN(5) > 0 {
				post = append(post, mail{clock + time.Duration(rng.Int64N(int64(60*time.Millisecond))), do})
			}
		}
	}
	highest, holderOf := uint64(0), make(map[uint64]string)
	for clock = 0; clock < 40*second; clock += 5 * time.Millisecond {
		if rng.IntN(1200) == 0 { // another leader, after a while without any; it goes on from the last applied time
			base, leads, down = tab.Now(), clock, clock+time.Duration(rng.Int64N(int64(800*time.Millisecond)))
			rate = 1 + (rng.Float64()*2-1)*MaxClockDrift/2.2
			if d.fastLog {
				rate = 1.6
			}
		}
		kept := post[:0]
		var now []mail
		for _, m := range post {
			if m.at <= clock {
				now = append(now, m)
			} else {
				kept = append(kept, m)
			}
		}
		post = kept
		for _, m := range now {
			m.do()
		}
		for i, a := range actors {
			switch {
			case clock < a.stopped:
				continue
			case rng.IntN(900) == 0:
				a.stopped = clock + time.Duration(rng.Int64N(int64(2500*time.Millisecond)))
				continue
			case rng.IntN(2500) == 0: // killed, and back under its name
				was := a.Client
				actors[i] = fresh(i)
				a = actors[i]
				if d.oldProcess {
					a.Client = was
					a.Client.incarnation = start
				}
			}
			for _, do := range a.inbox {
				do()
			}
			a.inbox = nil
			me := a
			if cmd, ok := a.NextCommand(local(a)); ok {
				send(func() {
					if clock < down {
						return
					}
					cmd.At = base + time.Duration(float64(clock-leads)*rate)
					if d.forgetSeq {
						delete(tab.clients, cmd.Client)
					}
					if h := tab.leases[duty]; d.revive && cmd.Kind == Renew && h != nil && h.grantOf(cmd) == nil {
						h.Holders = append(h.Holders,
							holder{cmd.Client, cmd.Incarnation, cmd.FencingToken, cmd.At + second})
					}
					answer := tab.Apply(cmd)
					if d.fenceBack && answer.Verdict == Granted && cmd.Kind == Acquire && rng.IntN(4) == 0 {
						tab.lastToken--
					}
					send(func() {
						me.inbox = append(me.inbox, func() {
							me.Receive(local(me), cmd.Seq, answer)
							if h := me.leases[duty]; h != nil && h.token > 0 && d.fromReply &&
								answer.Verdict == Granted {
								h.expires = local(me) + lease
							}
						})
					})
				})
			}
			if d.keepReleased {
				if h := a.leases[duty]; h != nil && h.token > 0 && h.expires > 0 && rng.IntN(200) == 0 {
					fence := h.token
					tab.Apply(Command{Kind: Release, Client: a.name, Incarnation: a.incarnation, Seq: 1 << 40,
						Lease: duty, FencingToken: fence, At: tab.Now()})
				}
			}
			fence, ok := a.Token(local(a), duty)
			if d.timerOnly { // it looks at its clock every 300 ms, and goes by that
				if clock-a.cleared >= 300*time.Millisecond {
					a.cleared, a.sees = clock, ok
				} else if h := a.leases[duty]; h != nil && a.sees && h.token > 0 {
					fence, ok = h.token, true
				}
			}
			if !ok {
				continue
			}
			// Its effect comes at once, or late.
			name := a.name + fmt.Sprint(a.incarnation)
			arrive := func() {
				admitted := guard.Admit(duty, fence)
				if d.noFence {
					admitted = true
				}
				if !admitted {
					return
				}
				effects++
				if fence < highest {
					wrong = append(wrong, fmt.Sprintf("at %v: an effect with number %d after %d", clock, fence,
						highest))
				}
				highest = max(highest, fence)
				if was, ok := holderOf[fence]; ok && was != name {
					wrong = append(wrong, fmt.Sprintf("at %v: number %d of %s and of %s", clock, fence, was, name))
				}
				holderOf[fence] = name
			}
			if rng.IntN(10) == 0 {
				post = append(post, mail{clock + time.Duration(rng.Int64N(int64(1500*time.Millisecond))), arrive})
			} else {
				arrive()
			}
			for _, o := range actors {
				if _, both := o.Token(local(o), duty); o != a && both && clock >= o.stopped && !d.timerOnly {
					wrong = append(wrong, fmt.Sprintf("at %v: %s and %s hold it", clock, a.name, o.name))
				}
			}
			if d.timerOnly {
				for _, o := range actors {
					if _, both := o.Token(local(o), duty); o != a && both {
						wrong = append(wrong, fmt.Sprintf("at %v: %s acts while %s holds it", clock, a.name, o.name))
					}
				}
			}
		}
	}
	return wrong, effects
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
