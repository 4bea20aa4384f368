package membershipsim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// fleet starts n nodes and waits until all know all.
func fleet(t *testing.T, seed uint64, n int) *Sim {
	t.Helper()
	s := New(seed, n)
	for i := range n {
		s.At(time.Duration(i)*7*time.Millisecond, func() { s.Start(i) })
	}
	s.Run(time.Duration(n) * 7 * time.Millisecond)
	if _, ok := s.Until(30 * time.Second); !ok {
		t.Fatalf("not joined: %s", s.Wrong())
	}
	s.Run(s.Now() + 3*time.Second)
	return s
}

func settled(t *testing.T, s *Sim, within time.Duration) time.Duration {
	t.Helper()
	took, ok := s.Until(within)
	if !ok || len(s.Findings) > 0 {
		t.Fatalf("after %v: %s %v", within, s.Wrong(), s.Findings)
	}
	return took
}

// thrownOut counts who holds a living node for gone.
func thrownOut(s *Sim, n int) int {
	count := 0
	for i, node := range s.Nodes {
		if i != n && node.View != nil && !node.stopped {
			if state, ok := s.Held(i, n); ok && state >= gossipcodec.Gone {
				count++
			}
		}
	}
	return count
}

func TestACrashIsKnownToAll(t *testing.T) {
	for _, n := range []int{2, 3, 10, 100} {
		s := fleet(t, 1, n)
		s.Kill(0)
		settled(t, s, 8*time.Second)
		before := s.Sent(1)
		s.Run(s.Now() + 10*time.Second)
		if rate := (s.Sent(1) - before) / 10; n > 3 && rate > 1500 {
			t.Errorf("%d nodes: %d bytes a second at rest", n, rate)
		}
	}
}

func TestAThirdKilledAtOnce(t *testing.T) {
	s := fleet(t, 2, 30)
	for n := range 10 {
		s.Kill(n) // neighbours in the order
	}
	settled(t, s, 15*time.Second)
}

// A process that comes back under its name is told from the one that died, at once and after it was held for gone.
func TestRestartsAreNoResurrection(t *testing.T) {
	s := fleet(t, 3, 12)
	s.Kill(4)
	s.Run(s.Now() + 200*time.Millisecond)
	s.Start(4)
	settled(t, s, 5*time.Second)
	s.Kill(5)
	settled(t, s, 8*time.Second)
	s.Start(5)
	settled(t, s, 5*time.Second)
}

// A process stopped for 10 s learns that it was held for gone and is back; it throws nobody out when it wakes.
func TestAStoppedProcessComesBack(t *testing.T) {
	s := fleet(t, 4, 20)
	s.Stop(3, 10*time.Second)
	s.Run(s.Now() + 9900*time.Millisecond)
	if thrownOut(s, 3) < 15 {
		t.Errorf("%d of 19 noticed that a process was stopped", thrownOut(s, 3))
	}
	for range 40 {
		s.Run(s.Now() + 100*time.Millisecond)
		for n := range s.Nodes {
			if state, _ := s.Held(3, n); n != 3 && state >= gossipcodec.Gone {
				t.Fatalf("the one that was stopped holds %d for gone", n)
			}
		}
	}
	settled(t, s, 5*time.Second)
}

// Two seconds are no death: nobody is thrown out for a pause.
func TestShortStopsThrowNobodyOut(t *testing.T) {
	s := fleet(t, 5, 40)
	for n := range 4 {
		s.Stop(10*n, 1500*time.Millisecond)
	}
	for range 60 {
		s.Run(s.Now() + 100*time.Millisecond)
		for n := range s.Nodes {
			if c := thrownOut(s, n); c > 0 {
				t.Fatalf("%d hold %d for gone after a stop of 1.5 s", c, n)
			}
		}
	}
	settled(t, s, 3*time.Second)
}

// Halves of a partition lose each other, say that they are no majority, and find each other.
func TestPartitionsHeal(t *testing.T) {
	for _, c := range []struct{ n, left int }{{5, 3}, {4, 2}, {60, 30}} {
		s := fleet(t, 6, c.n)
		s.Net.Cut = func(from, to int) bool { return (from < c.left) != (to < c.left) }
		s.Run(s.Now() + 20*time.Second)
		small := s.Nodes[c.n-1].View.Status(s.now)
		if small.Majority || small.Settled || small.Alive != c.n-c.left {
			t.Errorf("%d of %d: %+v", c.n-c.left, c.n, small)
		}
		if large := s.Nodes[0].View.Status(s.now); large.Majority != (2*c.left > c.n) || large.Alive != c.left {
			t.Errorf("%d of %d: %+v", c.left, c.n, large)
		}
		s.Net.Cut = nil
		settled(t, s, 10*time.Second)
		s.Run(s.Now() + 4*time.Second)
		if st := s.Nodes[0].View.Status(s.now); !st.Settled || st.Known != c.n {
			t.Errorf("healed: %+v", st)
		}
	}
}

// Who hears all and is heard by none is gone for the others, and does not believe itself settled.
func TestAOneWayCut(t *testing.T) {
	s := fleet(t, 7, 10)
	s.Net.Cut = func(from, _ int) bool { return from == 2 }
	s.Run(s.Now() + 12*time.Second)
	if thrownOut(s, 2) != 9 {
		t.Errorf("%d of 9 noticed", thrownOut(s, 2))
	}
	if st := s.Nodes[2].View.Status(s.now); st.Settled {
		t.Errorf("heard by none: %+v", st)
	}
	s.Net.Cut = nil
	settled(t, s, 10*time.Second)
}

// Who hears nobody doubts itself, and holds the others for long; it must not say meanwhile that they are its majority.
func TestACutOffGatewayIsNoMajority(t *testing.T) {
	for _, n := range []int{4, 10, 60} {
		s := fleet(t, 7, n)
		s.Net.Cut = func(from, to int) bool { return (from == 2) != (to == 2) }
		s.Run(s.Now() + 10*time.Second)
		if st := s.Nodes[2].View.Status(s.now); st.Majority || st.Settled {
			t.Errorf("%d gateways, 10 s after it was cut off: %+v", n, st)
		}
		if st := s.Nodes[0].View.Status(s.now); !st.Majority {
			t.Errorf("%d gateways, one of the others: %+v", n, st)
		}
	}
}

// One bad pair among many is no death: others ask for the two.
func TestABadPairThrowsNobodyOut(t *testing.T) {
	s := fleet(t, 8, 12)
	s.Net.Cut = func(from, to int) bool { return from == 1 && to == 2 || from == 2 && to == 1 }
	for range 200 {
		s.Run(s.Now() + 100*time.Millisecond)
		if thrownOut(s, 1)+thrownOut(s, 2) > 0 {
			t.Fatalf("%.1f s: a pair that does not hear each other: one is held for gone", s.Now().Seconds())
		}
	}
}

// Two that do not hear each other suspect one another while the third is away; it comes back, knows of no suspicion, and each
// must learn through it that the other lives.
func TestASuspicionIsRefutedThroughAThird(t *testing.T) {
	s := fleet(t, 8, 3)
	s.Net.Cut = func(from, to int) bool { return from+to == 1 }
	s.Kill(2)
	s.Run(s.Now() + 2500*time.Millisecond)
	if state, _ := s.Held(0, 1); state != gossipcodec.Suspect {
		t.Fatalf("held for %d", state)
	}
	s.Start(2)
	settled(t, s, 10*time.Second)
}

func TestHeavyLossSettles(t *testing.T) {
	s := fleet(t, 9, 15)
	s.Net.Loss, s.Net.Double = 0.3, 0.1
	s.Run(s.Now() + 30*time.Second)
	s.Kill(3)
	s.Start(3)
	s.Kill(7)
	s.Run(s.Now() + 15*time.Second)
	s.Net.Loss = 0
	settled(t, s, 8*time.Second)
}

func TestLeavingIsNoDeath(t *testing.T) {
	s := fleet(t, 10, 10)
	s.Leave(4)
	s.Run(s.Now() + 1500*time.Millisecond)
	for n := range s.Nodes {
		if n == 4 {
			continue
		}
		if state, _ := s.Held(n, 4); state != gossipcodec.Left {
			t.Errorf("%d has the one that left as %d", n, state)
		}
	}
	if st := s.Nodes[0].View.Status(s.now); st.Known != 9 || !st.Majority {
		t.Errorf("%+v", st)
	}
	s.Start(4)
	settled(t, s, 5*time.Second)
}

func TestAllRestartInTurnAndAtOnce(t *testing.T) {
	s := fleet(t, 11, 9)
	for n := range s.Nodes {
		s.Kill(n)
		s.Run(s.Now() + 300*time.Millisecond)
		s.Start(n)
		s.Run(s.Now() + 500*time.Millisecond)
	}
	settled(t, s, 8*time.Second)
	for n := range s.Nodes {
		s.Kill(n)
	}
	s.Run(s.Now() + time.Second)
	for n := range s.Nodes {
		s.Start(n)
	}
	settled(t, s, 10*time.Second)
}

// A clock that went back: the new process takes a start above that of its dead namesake, and is in.
func TestAClockThatWentBack(t *testing.T) {
	s := fleet(t, 12, 6)
	s.Kill(2)
	settled(t, s, 8*time.Second)
	s.back = time.Hour
	s.Start(2)
	s.back = 0
	settled(t, s, 10*time.Second)
}

// The same seed is the same run.
func TestSameSeedSameRun(t *testing.T) {
	var runs []string
	for range 2 {
		s := fleet(t, 13, 25)
		s.Net.Loss = 0.1
		s.Kill(3)
		s.Stop(5, 4*time.Second)
		s.Run(s.Now() + 20*time.Second)
		runs = append(runs, fmt.Sprint(s.Calls(), s.sent, s.Nodes[0].View.Members()))
	}
	if runs[0] != runs[1] {
		t.Error("two runs of one seed differ")
	}
}

// Seeds of drawn troubles; afterwards all is the truth.
func TestDrawnTroublesSettle(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if o := Play(context.Background(), seed, 0); len(o.Findings) > 0 {
				t.Errorf("%v", o.Findings)
			}
		})
	}
}
