package concurrency

import (
	"math"
	"testing"

	"thymebend/internal/balancer/stats"
)

// checkNear fails the test if got differs from want by more than rounding.
func checkNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*math.Max(1, math.Abs(want)) {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

// checkApprox is checkNear with a tolerance for the change of the baseline service time, and so of the setpoint, in one
// sample.
func checkApprox(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 3e-3 {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

// uncongestedMS is the baseline service time of these tests. It results in a setpoint of 150 ms, as the service budget,
// (1-0.9) x 1 x 1000 ms = 100 ms, is less.
const uncongestedMS = 150 / setpointFactor

// targetOfOneSecond is the target for a latency objective of one second.
var targetOfOneSecond = NewServiceTarget(1000, 1)

// newLimit returns the limit of an endpoint whose baseline service time is based on many samples.
func newLimit(value, gainMS float64) *Limit {
	return &Limit{
		Value: value, GainMS: gainMS, BaselineMS: uncongestedMS,
		ServiceMS: stats.Mean{N: 1 << 60, Value: uncongestedMS},
	}
}

func TestLimitTracksServiceTime(t *testing.T) {
	for _, c := range []struct {
		name                string
		limit, gainMS       float64
		sample              Sample
		wantLimit, wantGain float64
	}{
		// K = 0.5x50 + 0.5x120/3 = 45; step = 0.16/45 x (150-120)
		{"grows if limited", 3, 50, Sample{4, 0, 480, true}, 3 + 4.8/45, 45},
		// the same sample with an empty queue: K is updated, u stays unchanged
		{"empty queue", 3, 50, Sample{4, 0, 480, false}, 3, 45},
		{"neither answers nor failures", 3, 50, Sample{0, 0, 0, true}, 3, 50},
		// mean 200, limit ceil(2.5) = 3: K = 25 + 0.5x200/3 = 175/3; step = 0.16/K x (150-200) = -24/175
		{"shrinks even if the queue is empty", 2.5, 50, Sample{2, 0, 400, false}, 2.5 - 24.0/175, 175.0 / 3},
		// only failures: service = 2x150 = 300; step = 0.16/50 x (150-300) = -0.48; K stays unchanged
		{"failures only", 3, 50, Sample{0, 2, 0, true}, 2.52, 50},
		// service = (200+300)/3 = 500/3; answers of mean 100: K = 25 + 0.5x100/3 = 125/3;
		// step = 0.16/K x (450-500)/3 = -0.064
		{"one failure among answers", 3, 50, Sample{2, 1, 200, true}, 3 - 0.064, 125.0 / 3},
		// step = -0.48 alone would result in 0.62
		{"at least the minimum of one", 1.1, 50, Sample{0, 1, 0, true}, 1, 50},
		// first sample: K starts at 90/1; step = 0.16/90 x 60 = 9.6/90
		{"first sample", 1, 0, Sample{1, 0, 90, true}, 1 + 9.6/90, 90},
		// a failure before the first answer: K is unknown
		{"failure before any answer", 1, 0, Sample{0, 1, 0, true}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLimit(c.limit, c.gainMS)
			l.Sample = c.sample
			l.CloseSample(targetOfOneSecond, MinLimit(1))
			checkApprox(t, "limit", l.Value, c.wantLimit)
			checkNear(t, "gain estimate", l.GainMS, c.wantGain)
			if l.Sample != (Sample{}) {
				t.Errorf("the next sample starts with %+v, want it empty", l.Sample)
			}
		})
	}
}

// Guards against a limit that stays low after an idle period, when K may be far too high: each sample with answers
// halves the excess of K.
func TestLimitRecoversAfterIdlePeriod(t *testing.T) {
	l := newLimit(1, 400)
	// K = 200+50, 125+25 (from here on ceil(u) is two), 75+25; steps 0.16/K x 50 = 0.032, 8/150, 0.08
	for _, want := range []struct{ gain, limit float64 }{
		{250, 1.032}, {150, 1.032 + 8.0/150}, {100, 1.112 + 8.0/150},
	} {
		l.RecordAnswer(100)
		l.MarkLimited()
		l.BaselineMS, l.ServiceMS.Value = uncongestedMS, uncongestedMS
		l.CloseSample(targetOfOneSecond, MinLimit(1))
		checkNear(t, "gain estimate", l.GainMS, want.gain)
		checkApprox(t, "limit", l.Value, want.limit)
	}
}

// Guards against a limit that does not grow in its first second. While the baseline service time is unknown the
// setpoint is a share of the latency objective, here 40 ms, and less than any service time. The running mean must
// therefore serve as the baseline from the first sample on.
func TestLimitGrowsFromSecondSample(t *testing.T) {
	l := &Limit{}
	l.Reset(MinLimit(1))
	for range 2 {
		l.RecordAnswer(100)
		l.MarkLimited()
		l.CloseSample(NewServiceTarget(400, 1), MinLimit(1))
	}
	if l.Value <= 1 {
		t.Errorf("the limit is %v after two uncongested samples with requests queued, want it above 1", l.Value)
	}
}

func TestReportedQueueCutsLimit(t *testing.T) {
	l := newLimit(3, 50)
	for range 20 {
		l.RecordQueueLength(2)
	}
	l.RecordAnswer(50)
	l.MarkLimited()
	l.CloseSample(targetOfOneSecond, MinLimit(1))
	checkNear(t, "limit", l.Value, 3-minCongestedCut)
}

func TestMinLimitIsShareOfEndpointMinimum(t *testing.T) {
	for _, c := range []struct{ users, want float64 }{{1, 1}, {5, 1}, {10, 0.5}, {50, 0.1}} {
		checkNear(t, "minimum limit", MinLimit(c.users), c.want)
	}
}

func TestCooldownOfLimitBelowOne(t *testing.T) {
	for _, c := range []struct {
		limit, busyMS, wantMS float64
	}{{2, 100, 0}, {1, 100, 0}, {0.5, 100, 100}, {0.4, 1200, 1800}} {
		l := &Limit{Value: c.limit}
		checkNear(t, "cooldown", stats.Milliseconds(l.CooldownAfter(c.busyMS)), c.wantMS)
	}
}
