package membershipsim

import (
	"fmt"
	"testing"
	"time"

	"thymebend/internal/gossipcodec"
)

// convergedCluster starts n nodes and runs until every view is correct.
func convergedCluster(t *testing.T, seed uint64, n int) *Sim {
	t.Helper()
	s := New(seed, n)
	for i := range n {
		s.At(time.Duration(i)*7*time.Millisecond, func() { s.Start(i) })
	}
	s.Run(time.Duration(n) * 7 * time.Millisecond)
	if _, ok := s.RunUntilConverged(30 * time.Second); !ok {
		t.Fatalf("not converged 30 s after the start: %s", s.Divergence())
	}
	s.Run(s.Now() + 3*time.Second)
	return s
}

// wantConverged fails the test unless all views are correct in time.
func wantConverged(t *testing.T, s *Sim, within time.Duration) time.Duration {
	t.Helper()
	took, ok := s.RunUntilConverged(within)
	if !ok || len(s.Findings) > 0 {
		t.Fatalf("not converged or rules violated after %v: %s %v", within, s.Divergence(), s.Findings)
	}
	return took
}

// removers returns the number of running nodes that consider a node gone.
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

// Guards against a crash that some nodes do not detect, and against an idle cluster that sends too much.
func TestCrashIsDetectedByAllNodes(t *testing.T) {
	for _, n := range []int{2, 3, 10, 100} {
		s := convergedCluster(t, 1, n)
		s.Kill(0)
		wantConverged(t, s, 8*time.Second)
		before := s.Sent(1)
		s.Run(s.Now() + 10*time.Second)
		if rate := (s.Sent(1) - before) / 10; n > 3 && rate > 1500 {
			t.Errorf("%d nodes: an idle node sends %d bytes per second, want at most 1500", n, rate)
		}
	}
}

// Guards against crashes of many nodes with adjacent names that are not detected in time.
func TestThirdOfNodesKilledAtOnceIsDetected(t *testing.T) {
	s := convergedCluster(t, 2, 30)
	for n := range 10 {
		s.Kill(n) // adjacent in the order of names
	}
	wantConverged(t, s, 15*time.Second)
}

// Guards against a restarted process that is mistaken for its crashed predecessor, both immediately and after the
// predecessor was considered gone.
func TestRestartedProcessIsRecognizedAsNew(t *testing.T) {
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

// Guards against a process that removes others after it was stopped for 10 s, or that is never considered alive again.
func TestStoppedProcessRejoinsWithoutRemovingOthers(t *testing.T) {
	s := convergedCluster(t, 4, 20)
	s.Stop(3, 10*time.Second)
	s.Run(s.Now() + 9900*time.Millisecond)
	if removers(s, 3) < 15 {
		t.Errorf("%d of 19 nodes consider the stopped node gone, want at least 15", removers(s, 3))
	}
	for range 40 {
		s.Run(s.Now() + 100*time.Millisecond)
		for n := range s.Nodes {
			if state, _ := s.StateOf(3, n); n != 3 && state >= gossipcodec.Gone {
				t.Fatalf("the node that was stopped considers node %d gone", n)
			}
		}
	}
	wantConverged(t, s, 5*time.Second)
}

// Guards against the removal of a node that was stopped for 1.5 s.
func TestShortStopsRemoveNoNode(t *testing.T) {
	s := convergedCluster(t, 5, 40)
	for n := range 4 {
		s.Stop(10*n, 1500*time.Millisecond)
	}
	for range 60 {
		s.Run(s.Now() + 100*time.Millisecond)
		for n := range s.Nodes {
			if c := removers(s, n); c > 0 {
				t.Fatalf("%d nodes consider node %d gone after a stop of 1.5 s", c, n)
			}
		}
	}
	wantConverged(t, s, 3*time.Second)
}

// Guards against parts of a partition that do not detect it, wrongly report a majority, or do not merge afterwards.
func TestPartitionsHeal(t *testing.T) {
	for _, c := range []struct{ n, size int }{{5, 3}, {4, 2}, {60, 30}} {
		s := convergedCluster(t, 6, c.n)
		s.Net.Cut = func(from, to int) bool { return (from < c.size) != (to < c.size) }
		s.Run(s.Now() + 20*time.Second)
		small := s.Nodes[c.n-1].Membership.Status(s.now)
		if small.Majority || small.Converged || small.Alive != c.n-c.size {
			t.Errorf("%d of %d: %+v", c.n-c.size, c.n, small)
		}
		if large := s.Nodes[0].Membership.Status(s.now); large.Majority != (2*c.size > c.n) || large.Alive != c.size {
			t.Errorf("%d of %d: %+v", c.size, c.n, large)
		}
		s.Net.Cut = nil
		wantConverged(t, s, 10*time.Second)
		s.Run(s.Now() + 4*time.Second)
		if st := s.Nodes[0].Membership.Status(s.now); !st.Converged || st.Known != c.n {
			t.Errorf("after the partition: %+v", st)
		}
	}
}

// Guards against a node whose datagrams reach no other node, but that the others still consider alive or that
// considers itself converged.
func TestNodeWithOneWayCutIsRemoved(t *testing.T) {
	s := convergedCluster(t, 7, 10)
	s.Net.Cut = func(from, _ int) bool { return from == 2 }
	s.Run(s.Now() + 12*time.Second)
	if removers(s, 2) != 9 {
		t.Errorf("%d of 9 nodes consider the node gone", removers(s, 2))
	}
	if st := s.Nodes[2].Membership.Status(s.now); st.Converged {
		t.Errorf("status of the node whose datagrams are lost: %+v, want not converged", st)
	}
	s.Net.Cut = nil
	wantConverged(t, s, 10*time.Second)
}

// Guards against a node that receives nothing and, while it suspects itself, reports that it is in a majority with the
// others.
func TestIsolatedNodeReportsNoMajority(t *testing.T) {
	for _, n := range []int{4, 10, 60} {
		s := convergedCluster(t, 7, n)
		s.Net.Cut = func(from, to int) bool { return (from == 2) != (to == 2) }
		s.Run(s.Now() + 10*time.Second)
		if st := s.Nodes[2].Membership.Status(s.now); st.Majority || st.Converged {
			t.Errorf("%d nodes, isolated node after 10 s: %+v, want no majority and not converged", n, st)
		}
		if st := s.Nodes[0].Membership.Status(s.now); !st.Majority {
			t.Errorf("%d nodes, one of the others: %+v, want a majority", n, st)
		}
	}
}

// Guards against a removal because two nodes cannot reach each other: other nodes probe on behalf of these two.
func TestOneCutPairRemovesNoNode(t *testing.T) {
	s := convergedCluster(t, 8, 12)
	s.Net.Cut = func(from, to int) bool { return from == 1 && to == 2 || from == 2 && to == 1 }
	for range 200 {
		s.Run(s.Now() + 100*time.Millisecond)
		if removers(s, 1)+removers(s, 2) > 0 {
			t.Fatalf("%.1f s: a node of the cut pair is considered gone", s.Now().Seconds())
		}
	}
}

// Guards against two nodes that cannot reach each other and suspect each other forever, because the third has restarted
// and knows of no suspicion that it could pass on.
func TestSuspicionIsRefutedThroughThirdNode(t *testing.T) {
	s := convergedCluster(t, 8, 3)
	s.Net.Cut = func(from, to int) bool { return from+to == 1 }
	s.Kill(2)
	s.Run(s.Now() + 2500*time.Millisecond)
	if state, _ := s.StateOf(0, 1); state != gossipcodec.Suspect {
		t.Fatalf("state of node 1 at node 0 is %d, want suspect", state)
	}
	s.Start(2)
	wantConverged(t, s, 10*time.Second)
}

// Guards against views that do not converge after heavy loss.
func TestViewsConvergeAfterHeavyLoss(t *testing.T) {
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

// Guards against a leave that is mistaken for a crash, and against a node that left but still counts for the majority.
func TestLeaveIsDistinguishedFromCrash(t *testing.T) {
	s := convergedCluster(t, 10, 10)
	s.Leave(4)
	s.Run(s.Now() + 1500*time.Millisecond)
	for n := range s.Nodes {
		if n == 4 {
			continue
		}
		if state, _ := s.StateOf(n, 4); state != gossipcodec.Left {
			t.Errorf("node %d holds the node that left in state %d", n, state)
		}
	}
	if st := s.Nodes[0].Membership.Status(s.now); st.Known != 9 || !st.Majority {
		t.Errorf("status after the leave: %+v, want 9 known nodes and a majority", st)
	}
	s.Start(4)
	wantConverged(t, s, 5*time.Second)
}

// Guards against views that still hold former processes after a rolling restart or a simultaneous one.
func TestRollingAndSimultaneousRestartsConverge(t *testing.T) {
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

// Guards against a process that cannot rejoin because its machine's clock was set back: it must choose a start above
// that of its crashed predecessor.
func TestRestartWithEarlierClockRejoins(t *testing.T) {
	s := convergedCluster(t, 12, 6)
	s.Kill(2)
	wantConverged(t, s, 8*time.Second)
	s.clockOffset = time.Hour
	s.Start(2)
	s.clockOffset = 0
	wantConverged(t, s, 10*time.Second)
}

// Guards against runs with the same seed that differ.
func TestSameSeedRepeatsTheRun(t *testing.T) {
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
		t.Error("two runs with the same seed differ")
	}
}

// Guards against combinations of faults after which views stay wrong.
func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if o := RunRandomFaults(t.Context(), seed, 0); len(o.Findings) > 0 {
				t.Errorf("%v", o.Findings)
			}
		})
	}
}
