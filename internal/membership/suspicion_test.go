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
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}

// Guards against one gateway that shortens a suspicion alone, and against a list without bound.
func TestSuspectorsCountOnceAndAreBounded(t *testing.T) {
	s := &suspicion{}
	if s.addSuspector("") || !s.addSuspector("b") || s.addSuspector("b") {
		t.Errorf("%v", s.suspectors)
	}
	for n := range 10 {
		s.addSuspector(fmt.Sprint("g-", n))
	}
	if len(s.suspectors) != expectedConfirmers+1 {
		t.Errorf("%v", s.suspectors)
	}
}

func TestStallPostponesSuspicionDeadline(t *testing.T) {
	s := &suspicion{expiresAt: 5 * time.Second}
	s.postpone(time.Second)
	if s.deadline() != 6*time.Second {
		t.Errorf("%v", s.deadline())
	}
	s.verifyingUntil = 7 * time.Second
	s.postpone(time.Second)
	if s.deadline() != 8*time.Second || s.expiresAt != 7*time.Second {
		t.Errorf("%+v", s)
	}
	s.restart(10*time.Second, time.Second)
	if s.deadline() != 11*time.Second {
		t.Errorf("after an answer: %+v", s)
	}
}
