package membership

import (
	"fmt"
	"testing"
	"time"
)

func TestSuspicionTimeoutFallsWithConfirmations(t *testing.T) {
	for _, test := range []struct {
		suspectors int
		want       time.Duration
	}{{0, suspicionMax}, {1, suspicionMax}, {2, 3600 * time.Millisecond}, {4, suspicionMin}} {
		t.Run(fmt.Sprint(test.suspectors, " suspectors"), func(t *testing.T) {
			s := &suspicion{}
			for n := range test.suspectors {
				if !s.addSuspector(fmt.Sprint("g-", n)) {
					t.Fatalf("suspector %d did not count", n)
				}
			}
			if got := s.timeout(suspicionMax); got != test.want {
				t.Errorf("timeout %v, want %v", got, test.want)
			}
		})
	}
}

// Verifies that one gateway cannot shorten a suspicion alone, and that the list of suspectors is bounded.
func TestSuspectorsCountOnceAndAreBounded(t *testing.T) {
	s := &suspicion{}
	if s.addSuspector("") || !s.addSuspector("b") || s.addSuspector("b") {
		t.Errorf("suspectors %v; want b counted once and the empty name never", s.suspectors)
	}
	for n := range 10 {
		s.addSuspector(fmt.Sprint("g-", n))
	}
	if len(s.suspectors) != expectedConfirmers+1 {
		t.Errorf("suspectors %v, want %d", s.suspectors, expectedConfirmers+1)
	}
}

func TestStallPostponesSuspicionDeadline(t *testing.T) {
	s := &suspicion{expiresAt: 5 * time.Second}
	s.postpone(time.Second)
	if s.deadline() != 6*time.Second {
		t.Errorf("deadline after a stall of 1 s is %v, want 6 s", s.deadline())
	}
	s.verifyingUntil = 7 * time.Second
	s.postpone(time.Second)
	if s.deadline() != 8*time.Second || s.expiresAt != 7*time.Second {
		t.Errorf("during the last probe, after a second stall of 1 s: %+v", s)
	}
	s.restart(10*time.Second, time.Second)
	if s.deadline() != 11*time.Second {
		t.Errorf("after an answer: %+v, want the deadline at 11 s", s)
	}
}
