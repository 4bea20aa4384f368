package membershipsim

import (
	"fmt"
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// convergedCluster starts n nodes and waits until all know all.
func convergedCluster(t *testing.T, seed uint64, n int) *Sim {
	t.Helper()
	s := New(seed, n)
	for i := range n {
		s.At(time.Duration(i)*7*time.Millisecond, func() { s.Start(i) })
	}
	s.Run(time.Duration(n) * 7 * time.Millisecond)
	if _, ok := s.RunUntilConverged(30 * time.Second); !ok {
		t.Fatalf("not joined: %s", s.Divergence())
	}
	s.Run(s.Now() + 3*time.Second)
	return s
}

// wantConverged fails the test unless all nodes believe the truth in time.
func wantConverged(t *testing.T, s *Sim, within time.Duration) time.Duration {
	t.Helper()
	took, ok := s.RunUntilConverged(within)
	if !ok || len(s.Findings) > 0 {
		t.Fatalf("after %v: %s %v", within, s.Divergence(), s.Findings)
	}
	return took
}

// removers counts the running nodes that hold a node for gone.
func removers(s *Sim, n int) int {
	count := 0
	for i, node := range s.Nodes {
		if i != n && node.running() {
			if state, ok := s.StateOf(i, n); ok && state >= gossipcodec.Gone {
				count++
			}
		}
	}
	return count
}

// Guards against a crash that some never learn of, and against a cluster that is not quiet at rest.
func TestACrashIsKnownToAll(t *testing.T) {
	for _, n := range []int{2, 3, 10, 100} {
		s := convergedCluster(t, 1, n)
		s.Kill(0)
		wantConverged(t, s, 8*time.Second)
		before := s.Sent(1)
		s.Run(s.Now() + 10*time.Second)
		if rate := (s.Sent(1) - before) / 10; n > 3 && rate > 1500 {
			t.Errorf("%d nodes: %d bytes a second at rest", n, rate)
		}
	}
}

// Guards against a crash of many neighbours by name that is not noticed in time.
func TestAThirdKilledAtOnce(t *testing.T) {
	s := convergedCluster(t, 2, 30)
	for n := range 10 {
		s.Kill(n) // neighbours in the order
	}
	wantConverged(t, s, 15*time.Second)
}

// Guards against a process that comes back under its name and is taken for the one that died, at once and after it was
// held for gone.
func TestRestartsAreNoResurrection(t *testing.T) {
	s := convergedCluster(t, 3, 12)
	s.Kill(4)
	s.Run(s.Now() + 200*time.Millisecond)
	s.Start(4)
	wantConverged(t, s, 5*time.Second)
	s.Kill(5)
	wantConverged(t, s, 8*time.Second)
	s.Start(5)
	wantConverged(t, s, 5*time.Second)
}

// Guards against a process stopped for 10 s that removes others when it wakes, or never comes back.
func TestAStoppedProcessComesBack(t *testing.T) {
	s := convergedCluster(t, 4, 20)
	s.Stop(3, 10*time.Second)
	s.Run(s.Now() + 9900*time.Millisecond)
	if removers(s, 3) < 15 {
		t.Errorf("%d of 19 noticed that a process was stopped", removers(s, 3))
	}
	for range 40 {
		s.Run(s.Now() + 100*time.Millisecond)
		for n := range s.Nodes {
			if state, _ := s.StateOf(3, n); n != 3 && state >= gossipcodec.Gone {
				t.Fatalf("the one that was stopped holds %d for gone", n)
			}
		}
	}
	wantConverged(t, s, 5*time.Second)
}

// Guards against a removal for a pause of two seconds.
func TestShortStopsRemoveNobody(t *testing.T) {
	s := convergedCluster(t, 5, 40)
	for n := range 4 {
		s.Stop(10*n, 1500*time.Millisecond)
	}
	for range 60 {
		s.Run(s.Now() + 100*time.Millisecond)
		for n := range s.Nodes {
			if c := removers(s, n); c > 0 {
				t.Fatalf("%d hold %d for gone after a stop of 1.5 s", c, n)
			}
		}
	}
	wantConverged(t, s, 3*time.Second)
}

// Guards against halves of a partition that do not notice it, say that they are a majority, or never find each other.
func TestPartitionsHeal(t *testing.T) {
	for _, c := range []struct{ n, left int }{{5, 3}, {4, 2}, {60, 30}} {
		s := convergedCluster(t, 6, c.n)
		s.Net.Cut = func(from, to int) bool { return (from < c.left) != (to < c.left) }
		s.Run(s.Now() + 20*time.Second)
		small := s.Nodes[c.n-1].Membership.Status(s.now)
		if small.Majority || small.Converged || small.Alive != c.n-c.left {
			t.Errorf("%d of %d: %+v", c.n-c.left, c.n, small)
		}
		if large := s.Nodes[0].Membership.Status(s.now); large.Majority != (2*c.left > c.n) || large.Alive != c.left {
			t.Errorf("%d of %d: %+v", c.left, c.n, large)
		}
		s.Net.Cut = nil
		wantConverged(t, s, 10*time.Second)
		s.Run(s.Now() + 4*time.Second)
		if st := s.Nodes[0].Membership.Status(s.now); !st.Converged || st.Known != c.n {
			t.Errorf("healed: %+v", st)
		}
	}
}

// Guards against a gateway that is heard by none and stays alive for the others, or believes itself settled.
func TestAOneWayCut(t *testing.T) {
	s := convergedCluster(t, 7, 10)
	s.Net.Cut = func(from, _ int) bool { return from == 2 }
	s.Run(s.Now() + 12*time.Second)
	if removers(s, 2) != 9 {
		t.Errorf("%d of 9 noticed", removers(s, 2))
	}
	if st := s.Nodes[2].Membership.Status(s.now); st.Converged {
		t.Errorf("heard by none: %+v", st)
	}
	s.Net.Cut = nil
	wantConverged(t, s, 10*time.Second)
}

// Guards against a gateway that hears nobody and, while it suspects itself, says that the others are its majority.
func TestACutOffGatewayIsNoMajority(t *testing.T) {
	for _, n := range []int{4, 10, 60} {
		s := convergedCluster(t, 7, n)
		s.Net.Cut = func(from, to int) bool { return (from == 2) != (to == 2) }
		s.Run(s.Now() + 10*time.Second)
		if st := s.Nodes[2].Membership.Status(s.now); st.Majority || st.Converged {
			t.Errorf("%d gateways, 10 s after it was cut off: %+v", n, st)
		}
		if st := s.Nodes[0].Membership.Status(s.now); !st.Majority {
			t.Errorf("%d gateways, one of the others: %+v", n, st)
		}
	}
}

// Guards against a removal for one bad pair among many: others probe for the two.
func TestABadPairRemovesNobody(t *testing.T) {
	s := convergedCluster(t, 8, 12)
	s.Net.Cut = func(from, to int) bool { return from == 1 && to == 2 || from == 2 && to == 1 }
	for range 200 {
		s.Run(s.Now() + 100*time.Millisecond)
		if removers(s, 1)+removers(s, 2) > 0 {
			t.Fatalf("%.1f s: a pair that does not hear each other: one is held for gone", s.Now().Seconds())
		}
	}
}

// Guards against two that do not hear each other and suspect one another for ever, as the third has restarted and knows
// of no suspicion that it could carry.
func TestASuspicionIsRefutedThroughAThird(t *testing.T) {
	s := convergedCluster(t, 8, 3)
	s.Net.Cut = func(from, to int) bool { return from+to == 1 }
	s.Kill(2)
	s.Run(s.Now() + 2500*time.Millisecond)
	if state, _ := s.StateOf(0, 1); state != gossipcodec.Suspect {
		t.Fatalf("held for %d", state)
	}
	s.Start(2)
	wantConverged(t, s, 10*time.Second)
}

// Guards against heavy loss after which nodes never converge.
func TestHeavyLossSettles(t *testing.T) {
	s := convergedCluster(t, 9, 15)
	s.Net.Loss, s.Net.Duplicate = 0.3, 0.1
	s.Run(s.Now() + 30*time.Second)
	s.Kill(3)
	s.Start(3)
	s.Kill(7)
	s.Run(s.Now() + 15*time.Second)
	s.Net.Loss = 0
	wantConverged(t, s, 8*time.Second)
}

// Guards against a leave that is taken for a crash, and against one that still counts for the majority.
func TestLeavingIsNoDeath(t *testing.T) {
	s := convergedCluster(t, 10, 10)
	s.Leave(4)
	s.Run(s.Now() + 1500*time.Millisecond)
	for n := range s.Nodes {
		if n == 4 {
			continue
		}
		if state, _ := s.StateOf(n, 4); state != gossipcodec.Left {
			t.Errorf("%d has the one that left as %d", n, state)
		}
	}
	if st := s.Nodes[0].Membership.Status(s.now); st.Known != 9 || !st.Majority {
		t.Errorf("%+v", st)
	}
	s.Start(4)
	wantConverged(t, s, 5*time.Second)
}

// Guards against a deploy after which nodes know former processes.
func TestAllRestartInTurnAndAtOnce(t *testing.T) {
	s := convergedCluster(t, 11, 9)
	for n := range s.Nodes {
		s.Kill(n)
		s.Run(s.Now() + 300*time.Millisecond)
		s.Start(n)
		s.Run(s.Now() + 500*time.Millisecond)
	}
	wantConverged(t, s, 8*time.Second)
	for n := range s.Nodes {
		s.Kill(n)
	}
	s.Run(s.Now() + time.Second)
	for n := range s.Nodes {
		s.Start(n)
	}
	wantConverged(t, s, 10*time.Second)
}

// Guards against a machine whose clock went back and whose new process stays out: it takes a start above that of the
// dead one.
func TestAClockThatWentBack(t *testing.T) {
	s := convergedCluster(t, 12, 6)
	s.Kill(2)
	wantConverged(t, s, 8*time.Second)
	s.clockBack = time.Hour
	s.Start(2)
	s.clockBack = 0
	wantConverged(t, s, 10*time.Second)
}

// Guards against runs that a seed does not repeat.
func TestSameSeedSameRun(t *testing.T) {
	var runs []string
	for range 2 {
		s := convergedCluster(t, 13, 25)
		s.Net.Loss = 0.1
		s.Kill(3)
		s.Stop(5, 4*time.Second)
		s.Run(s.Now() + 20*time.Second)
		runs = append(runs, fmt.Sprint(s.Calls(), s.sent, s.Nodes[0].Membership.Members()))
	}
	if runs[0] != runs[1] {
		t.Error("two runs of one seed differ")
	}
}

// Guards against any mix of faults after which nodes do not believe the truth.
func TestDrawnFaultsConverge(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if o := PlayRandom(t.Context(), seed, 0); len(o.Findings) > 0 {
				t.Errorf("%v", o.Findings)
			}
		})
	}
}
