package lease

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func ask(client string, seq uint64, at time.Duration) Command {
	return Command{Kind: Acquire, Client: client, Start: 1, Seq: seq, Duty: "d", Places: 1, Lease: 3 * second, At: at}
}

// One holds, others wait in order; each grant has a higher number; who lets its turn pass goes to the end.
func TestALineIsFair(t *testing.T) {
	tab := NewTable()
	want := func(c Command, v Verdict, fence uint64, ahead int) {
		t.Helper()
		if a := tab.Apply(c); a.Verdict != v || a.Fence != fence || a.Ahead != ahead {
			t.Fatalf("%s at %v: %+v, wanted %v, number %d, %d ahead", c.Client, c.At, a, v, fence, ahead)
		}
	}
	want(ask("a", 1, 0), Granted, 1, 0)
	want(ask("b", 1, second), Taken, 0, 0)
	want(ask("c", 1, second), Taken, 0, 1)
	want(Command{Kind: Renew, Client: "a", Start: 1, Seq: 2, Duty: "d", Fence: 1, Lease: 3 * second, At: 2 * second}, Granted, 1, 0)
	want(ask("c", 2, 5*second), Taken, 0, 1)                                                                                        // b is first, and has it reserved
	want(Command{Kind: Renew, Client: "a", Start: 1, Seq: 3, Duty: "d", Fence: 1, Lease: 3 * second, At: 6 * second}, Lapsed, 0, 0) // not revived
	want(ask("c", 3, 8*second), Granted, 2, 0)                                                                                      // b has let it pass
	want(ask("b", 2, 8*second), Taken, 0, 0)
	want(Command{Kind: Release, Client: "c", Start: 1, Seq: 4, Duty: "d", Fence: 2, At: 9 * second}, Released, 0, 0)
	want(ask("b", 3, 9*second), Granted, 3, 0)
	if h := tab.Holders("d"); !slices.Equal(h, []string{"b"}) {
		t.Errorf("%v", h)
	}
	// A command that comes twice has its answer again, one before it is stale; a later process has nothing of the earlier one's.
	want(ask("b", 3, 10*second), Granted, 3, 0)
	want(ask("b", 2, 10*second), Stale, 0, 0)
	again := ask("b", 1, 10*second)
	again.Start = 2
	want(again, Taken, 0, 0)
	want(ask("b", 4, 10*second), Stale, 0, 0)
	again.Seq, again.At = 2, 13*second
	want(again, Granted, 4, 0)
}

// A semaphore has so many holders and no more, and cannot be asked for as another.
func TestPlacesAreBounded(t *testing.T) {
	tab := NewTable()
	for i := range 5 {
		c := ask(fmt.Sprint("c", i), 1, 0)
		c.Places = 3
		if a := tab.Apply(c); (a.Verdict == Granted) != (i < 3) {
			t.Errorf("asker %d: %+v", i, a)
		}
	}
	if a := tab.Apply(ask("x", 1, 0)); a.Verdict != Refused || !strings.Contains(a.Why, "3 places, not 1") {
		t.Errorf("%+v", a)
	}
	for why, edit := range map[string]func(*Command){
		"names of 1 to 64 bytes":     func(c *Command) { c.Duty = strings.Repeat("d", 65) },
		"kind 9 is none":             func(c *Command) { c.Kind = 9 },
		"above 0":                    func(c *Command) { c.Seq = 0 },
		"places must be 1 to 100":    func(c *Command) { c.Places = 0 },
		"a lease must be 100ms to 1": func(c *Command) { c.Lease = second / 20 },
	} {
		c := ask("y", 1, 0)
		edit(&c)
		before, _ := tab.Snapshot()
		if a := tab.Apply(c); a.Verdict != Refused || !strings.Contains(a.Why, why) {
			t.Errorf("wanted %q: %+v", why, a)
		}
		if after, _ := tab.Snapshot(); !bytes.Equal(before, after) {
			t.Errorf("%s: the table changed", why)
		}
	}
}

// What lapsed is forgotten in time: ten thousand shards leave no trace, and a table can be kept and read back at any moment.
func TestTheTableStaysSmall(t *testing.T) {
	tab := NewTable()
	seq := uint64(0)
	for i := range 10_000 {
		seq++
		c := ask("a", seq, time.Duration(i)*time.Millisecond)
		c.Duty = fmt.Sprint("shard-", i)
		if a := tab.Apply(c); a.Verdict != Granted {
			t.Fatalf("%d: %+v", i, a)
		}
	}
	raw, err := tab.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []*Table{tab, again} {
		x.Apply(ask("b", 1, 60*second))
		if x.Len() != 1 || x.Fence() != 10_001 {
			t.Errorf("%d duties, number %d", x.Len(), x.Fence())
		}
	}
	a, _ := tab.Snapshot()
	b, _ := again.Snapshot()
	if !bytes.Equal(a, b) {
		t.Error("a table that was read back goes on otherwise")
	}
	for _, spoilt := range [][]byte{nil, []byte("{}"), raw[:len(raw)/2], bytes.Replace(raw, []byte(`"places":1`), []byte(`"Places":0`), 1),
		bytes.Replace(raw, []byte(`"fence":10000`), []byte(`"fence":1`), 1), bytes.Replace(raw, []byte(`"version":1`), []byte(`"version":2`), 1)} {
		if bytes.Equal(spoilt, raw) {
			continue
		}
		if _, err := Restore(spoilt); err == nil {
			t.Errorf("%.60s: read back", spoilt)
		}
	}
}

// defect is what a planted one does in the play below.
type defect struct {
	fromReply, noDrift, revive, noFence, timerOnly, fenceBack, forgetSeq, fastLog, oldProcess, keepReleased bool
}

// actor is a gateway: a client of the table, whose clock runs wrong within the bound, that stands still at times and does its duty otherwise.
type actor struct {
	*Client
	rate    float64
	stopped time.Duration
	cleared time.Duration // with timerOnly: when it last looked at its clock
	sees    bool
	inbox   []func()
}

// play has clients, a table whose leader changes, a network that loses, doubles and delays, and a receiver that keeps the account. It returns what was wrong.
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
		a := &actor{Client: NewClient(fmt.Sprint("g", i), start), rate: 1 + (rng.Float64()*2-1)*Drift/2.2}
		if d.noDrift {
			a.rate = 1 - 0.5*float64(i%2)
		}
		_ = a.Want(0, []Request{{duty, 1, lease}})
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
			rate = 1 + (rng.Float64()*2-1)*Drift/2.2
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
					a.Client.start = start
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
					if h := tab.duties[duty]; d.revive && cmd.Kind == Renew && h != nil && h.grant(cmd) == nil {
						h.Holders = append(h.Holders, holder{cmd.Client, cmd.Start, cmd.Fence, cmd.At + second})
					}
					answer := tab.Apply(cmd)
					if d.fenceBack && answer.Verdict == Granted && cmd.Kind == Acquire && rng.IntN(4) == 0 {
						tab.fence--
					}
					send(func() {
						me.inbox = append(me.inbox, func() {
							me.Receive(local(me), cmd.Seq, answer)
							if h := me.duty[duty]; h != nil && h.fence > 0 && d.fromReply && answer.Verdict == Granted {
								h.until = local(me) + lease
							}
						})
					})
				})
			}
			if d.keepReleased {
				if h := a.duty[duty]; h != nil && h.fence > 0 && h.until > 0 && rng.IntN(200) == 0 {
					fence := h.fence
					tab.Apply(Command{Kind: Release, Client: a.name, Start: a.start, Seq: 1 << 40, Duty: duty, Fence: fence, At: tab.Now()})
				}
			}
			fence, ok := a.MayAct(local(a), duty)
			if d.timerOnly { // it looks at its clock every 300 ms, and goes by that
				if clock-a.cleared >= 300*time.Millisecond {
					a.cleared, a.sees = clock, ok
				} else if h := a.duty[duty]; h != nil && a.sees && h.fence > 0 {
					fence, ok = h.fence, true
				}
			}
			if !ok {
				continue
			}
			// Its effect comes at once, or late.
			name := a.name + fmt.Sprint(a.start)
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
					wrong = append(wrong, fmt.Sprintf("at %v: an effect with number %d after %d", clock, fence, highest))
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
				if _, both := o.MayAct(local(o), duty); o != a && both && clock >= o.stopped && !d.timerOnly {
					wrong = append(wrong, fmt.Sprintf("at %v: %s and %s hold it", clock, a.name, o.name))
				}
			}
			if d.timerOnly {
				for _, o := range actors {
					if _, both := o.MayAct(local(o), duty); o != a && both {
						wrong = append(wrong, fmt.Sprintf("at %v: %s acts while %s holds it", clock, a.name, o.name))
					}
				}
			}
		}
	}
	return wrong, effects
}

// Whatever is lost, late or doubled, whoever stands still, dies or leads: one holds at a time, and the receiver sees numbers that only grow.
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

// The table as a state machine: holders never over the places, numbers only grow, and a copy read back from its words stays equal.
func TestATableAsAStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewTable()
		seqs := make(map[string]uint64)
		last := uint64(0)
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"command": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(2*second)).Draw(t, "passes"))
				c := Command{Kind: Kind(rapid.IntRange(1, 3).Draw(t, "kind")), Client: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client"),
					Start: uint64(rapid.IntRange(1, 2).Draw(t, "start")), Duty: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "duty"), Places: 1,
					Lease: second, Fence: uint64(rapid.IntRange(0, 6).Draw(t, "fence")), At: now}
				if c.Duty == "y" {
					c.Places = 2
				}
				seqs[c.Client] += uint64(rapid.IntRange(0, 1).Draw(t, "repeat"))
				c.Seq = max(1, seqs[c.Client])
				answer := a.Apply(c)
				if answer.Verdict == Granted && answer.Fence == 0 {
					t.Fatalf("%+v: %+v", c, answer)
				}
				if a.Fence() < last {
					t.Fatalf("number %d after %d", a.Fence(), last)
				}
				last = a.Fence()
			},
			"": func(t *rapid.T) {
				raw, err := a.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				b, err := Restore(raw)
				if err != nil {
					t.Fatal(err)
				}
				if again, _ := b.Snapshot(); !bytes.Equal(raw, again) {
					t.Fatalf("%s\n%s", raw, again)
				}
				if len(a.Holders("x")) > 1 || len(a.Holders("y")) > 2 {
					t.Fatalf("%s", raw)
				}
			},
		})
	})
}

// Shards are even to one, and few move where somebody comes.
func TestShardsAreSpreadEvenly(t *testing.T) {
	var shards, living []string
	for i := range 1000 {
		shards = append(shards, fmt.Sprint("probe/", i))
	}
	for i := range 30 {
		living = append(living, fmt.Sprint("g", i))
	}
	count := func(of map[string]string) map[string]int {
		n := make(map[string]int)
		for _, m := range of {
			n[m]++
		}
		return n
	}
	before, after := Spread(shards, living), Spread(shards, append(living[:29:29], "new", "g29"))
	for m, n := range count(before) {
		if n < 20 || n > 34 {
			t.Errorf("%s has %d of 1000 shards", m, n)
		}
	}
	moved := 0
	for _, s := range shards {
		if before[s] != after[s] {
			moved++
		}
	}
	if got := count(after)["new"]; got < 20 || moved > 4*got {
		t.Errorf("the newcomer has %d, and %d moved", got, moved)
	}
	if len(Spread(shards, nil)) != 0 {
		t.Error("shards of nobody")
	}
}
