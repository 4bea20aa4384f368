package concurrency

import (
	"math"
	"testing"

	"thymebend/internal/balancer/stats"
)

func checkNear(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-9*math.Max(1, math.Abs(want)) {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

// checkApprox is near, but for the little by which one sample moves the uncrowded time and with it the setpoint.
func checkApprox(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 3e-3 {
		t.Errorf("%s = %v, want %v", what, got, want)
	}
}

// The setpoint in these cases is 150 ms, from the uncrowded time, as (1-0.9) x 1 x 1000 ms = 100 ms is
// less.
const uncongestedMS = 150 / setpointFactor

var oneSecond = NewServiceTarget(1000, 1)

// newLimit returns a limit of an endpoint whose baseline service time is well known.
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
		{"grows", 3, 50, Sample{4, 0, 480, true}, 3 + 4.8/45, 45},
		// the same sample with an empty queue: K learns, u stays
		{"empty queue", 3, 50, Sample{4, 0, 480, false}, 3, 45},
		{"no completions", 3, 50, Sample{0, 0, 0, true}, 3, 50},
		// mean 200, limit ceil(2.5) = 3: K = 25 + 0.5x200/3 = 175/3; step = 0.16/K x (150-200) = -24/175
		{"shrinks though the queue is empty", 2.5, 50, Sample{2, 0, 400, false}, 2.5 - 24.0/175, 175.0 / 3},
		// failures alone: service = 2x150 = 300; step = 0.16/50 x (150-300) = -0.48; K stays
		{"failures only", 3, 50, Sample{0, 2, 0, true}, 2.52, 50},
		// service = (200+300)/3 = 500/3; answers of mean 100: K = 25 + 0.5x100/3 = 125/3;
		// step = 0.16/K x (450-500)/3 = -0.064
		{"one failure among answers", 3, 50, Sample{2, 1, 200, true}, 3 - 0.064, 125.0 / 3},
		// step = -0.48 would lead to 0.62
		{"never under one", 1.1, 50, Sample{0, 1, 0, true}, 1, 50},
		// first sample: K starts at 90/1; step = 0.16/90 x 60 = 9.6/90
		{"first sample", 1, 0, Sample{1, 0, 90, true}, 1 + 9.6/90, 90},
		// failures before anything is known about the endpoint
		{"failure first", 1, 0, Sample{0, 1, 0, true}, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLimit(c.limit, c.gainMS)
			l.Sample = c.sample
			l.CloseSample(oneSecond, MinLimit(1))
			checkApprox(t, "limit", l.Value, c.wantLimit)
			checkNear(t, "gain estimate", l.GainMS, c.wantGain)
			if l.Sample != (Sample{}) {
				t.Errorf("the next sample begins with %+v", l.Sample)
			}
		})
	}
}

// After a pause K may be far too high; each sample with answers halves the excess.
func TestLimitRecoversAfterIdlePeriod(t *testing.T) {
	l := newLimit(1, 400)
	// K = 200+50, 125+25 (the limit is two from here on), 75+25; steps 0.16/K x 50 = 0.032, 8/150, 0.08
	for _, want := range []struct{ gain, limit float64 }{
		{250, 1.032}, {150, 1.032 + 8.0/150}, {100, 1.112 + 8.0/150},
	} {
		l.RecordAnswer(100)
		l.MarkLimited()
		l.BaselineMS, l.ServiceMS.Value = uncongestedMS, uncongestedMS
		l.CloseSample(oneSecond, MinLimit(1))
		checkNear(t, "gain estimate", l.GainMS, want.gain)
		checkApprox(t, "limit", l.Value, want.limit)
	}
}

// Until something is known of an endpoint the setpoint is a share of the objective, here 40 ms, less
// than any answer takes. Guards against a start that loses a second until the running mean serves as
// the uncrowded time.
func TestLimitGrowsFromSecondSample(t *testing.T) {
	l := &Limit{}
	l.Reset(MinLimit(1))
	for range 2 {
		l.RecordAnswer(100)
		l.MarkLimited()
		l.CloseSample(NewServiceTarget(400, 1), MinLimit(1))
	}
	if l.Value <= 1 {
		t.Errorf("the limit is %v after two uncrowded samples with requests queued", l.Value)
	}
}

func TestReportedQueueCutsLimit(t *testing.T) {
	l := newLimit(3, 50)
	for range 20 {
		l.RecordQueueLength(2)
	}
	l.RecordAnswer(50)
	l.MarkLimited()
	l.CloseSample(oneSecond, MinLimit(1))
	checkNear(t, "limit", l.Value, 3-minCongestedCut)
}

func TestMinLimitIsShareOfEndpointMinimum(t *testing.T) {
	for _, c := range []struct{ users, want float64 }{{1, 1}, {5, 1}, {10, 0.5}, {50, 0.1}} {
		checkNear(t, "least limit", MinLimit(c.users), c.want)
	}
}

func TestCooldownOfLimitBelowOne(t *testing.T) {
	for _, c := range []struct {
		limit, busyMS, wantMS float64
	}{{2, 100, 0}, {1, 100, 0}, {0.5, 100, 100}, {0.4, 1200, 1800}} {
		l := &Limit{Value: c.limit}
		checkNear(t, "rest", stats.Milliseconds(l.RestAfter(c.busyMS)), c.wantMS)
	}
}
