package outlierdetection

import (
	"testing"
	"time"
)

const second = time.Second

func TestShouldEject(t *testing.T) {
	for _, c := range []struct {
		name      string
		failures  int
		suspected bool
		ejected   bool
		want      bool
	}{
		{"one failure", 1, false, false, false},
		{"two consecutive failures", 2, false, false, true},
		{"one failure of a suspected endpoint", 1, true, false, true},
		{"no failure of a suspected endpoint", 0, true, false, false},
		{"a failed probe", 1, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := Health{SuspectedByPeers: c.suspected, Ejected: c.ejected}
			for range c.failures {
				h.RecordFailure()
			}
			if got := h.ShouldEject(); got != c.want {
				t.Errorf("ShouldEject = %v with a failure rate of %v, want %v", got, h.FailureRate, c.want)
			}
		})
	}
}

func TestIsSilentAfterMultipleOfServiceTime(t *testing.T) {
	for _, c := range []struct {
		name      string
		since     time.Duration
		suspected bool
		ejected   bool
		want      bool
	}{
		{"less than six service times", 590 * time.Millisecond, false, false, false},
		{"six service times", 600 * time.Millisecond, false, false, true},
		{"three service times, suspected", 300 * time.Millisecond, true, false, true},
		{"already ejected", 10 * second, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := Health{LastResponseAt: second, SuspectedByPeers: c.suspected, Ejected: c.ejected}
			if got := h.IsSilent(second+c.since, 100); got != c.want {
				t.Errorf("IsSilent = %v, want %v", got, c.want)
			}
		})
	}
}

func TestEjectionTimeDoubles(t *testing.T) {
	var h Health
	for i, want := range []time.Duration{1, 2, 4, 8, 8} {
		now := time.Duration(i) * time.Minute
		h.Eject(now, second, 0.5)
		if got := h.ProbeAt - now; got != want*second {
			t.Errorf("ejection %d lasts %v, want %v", i, got, want*second)
		}
	}
	h.FailureRate = 0
	if !h.RecordAnswer(time.Hour) || h.Ejected || h.Ejections != 0 {
		t.Errorf("after a successful probe: %+v, want the ejection ended and the count reset", h)
	}
	for draw, want := range map[float64]time.Duration{0: 750 * time.Millisecond, 1: 1250 * time.Millisecond} {
		var h Health
		if h.Eject(0, second, draw); h.ProbeAt != want {
			t.Errorf("with a draw of %v the ejection lasts %v, want %v", draw, h.ProbeAt, want)
		}
	}
}

// Guards against an endpoint that answers only occasionally and returns to the rotation after each answer.
func TestFailingEndpointNeedsSeveralAnswersToReturn(t *testing.T) {
	h := Health{FailureRate: 0.6, Ejected: true, Ejections: 2}
	answers := 1
	for !h.RecordAnswer(second) {
		answers++
	}
	if answers != 3 { // the failure rate 0.6 x 0.8^3 is below maxFailureRate, 0.35
		t.Errorf("restored after %d answers, want 3", answers)
	}
	silent := Health{FailureRate: 0.6, Ejected: true, Silent: true}
	if !silent.RecordAnswer(second) || silent.Silent {
		t.Error("an endpoint ejected for silence is not restored by its first answer")
	}
}

func TestTooManyEjected(t *testing.T) {
	for _, c := range []struct {
		ejected, ready int
		want           bool
	}{{1, 1, true}, {1, 2, false}, {2, 3, true}, {3, 6, false}, {4, 6, true}} {
		if got := TooManyEjected(c.ejected, c.ready); got != c.want {
			t.Errorf("%d of %d ejected: %v, want %v", c.ejected, c.ready, got, c.want)
		}
	}
}

func TestProbeIsDueWhenPeersStopSuspecting(t *testing.T) {
	h := Health{Ejected: true, ProbeAt: time.Hour}
	h.SetSuspected(second, true)
	if h.ProbeDue(second) {
		t.Fatal("a probe is due because peers suspect the endpoint")
	}
	if h.SetSuspected(second, false); !h.ProbeDue(second) {
		t.Error("no probe is due although peers no longer suspect the endpoint")
	}
}
