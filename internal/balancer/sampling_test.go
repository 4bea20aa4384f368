package balancer

import (
	"fmt"
	"testing"
	"time"

	"thymebend/internal/balancer/stats"
)

// Guards against tens of gateways whose single requests crowd an endpoint: below one the limit is the share
// of time in which one request may be in flight.
func TestLimitBelowOneIsAShareOfTime(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 10
	r := newRig(t, cfg, ready(1, 0, 0))
	s := r.b.endpoints.all[0]
	near(t, "u at the start", s.limit.Value, 0.5)
	s.limit.Value, s.limit.GainMS, s.limit.BaselineMS = 0.8, 100, 100
	s.limit.ServiceMS = stats.Mean{N: 1000, Value: 200}
	r.b.classes.referenceMS = 100
	s.limit.Sample.Answers, s.limit.Sample.ServiceSumMS = 1, 280 // K = 50+140; step = 0.16/190 x (140-280), times u
	s.closeSample(r.b.serviceTarget())
	about(t, "u after a step", s.limit.Value, 0.8+0.8*0.16/190*(1.4*100-280))
	for range 60 {
		s.limit.Sample.Answers, s.limit.Sample.ServiceSumMS = 1, 280
		s.closeSample(r.b.serviceTarget())
	}
	near(t, "u at its floor", s.limit.Value, 5.0/10)
	r.request(1, 0)
	r.end(1, 0, 1, OutcomeOK, 100*millisecond)
	if want := r.now + 100*millisecond; s.cooldown.until != want {
		t.Errorf("rests until %v, want %v", s.cooldown.until, want)
	}
	r.rec.acts = nil
	r.request(2, 0)
	if n := len(r.take("start")); n != 0 {
		t.Errorf("sent %d requests to a resting endpoint", n)
	}
	r.wait(105 * millisecond)
	if n := len(r.take("start")); n != 1 {
		t.Errorf("sent %d requests after the rest, want 1", n)
	}
}

// Guards against gateways that grow their limits together and overload every endpoint.
func TestReportedQueueLowersLimits(t *testing.T) {
	for _, c := range []struct {
		waiting float64
		grows   bool
	}{{2.5, false}, {1.2, true}} {
		r := newRig(t, testConfig(), ready(1, 0, 0))
		s := r.b.endpoints.all[0]
		s.limit.QueueLength = c.waiting
		r.request(1, 0)
		r.b.AttemptEnded(r.now, AttemptEnd{Request: 1, Endpoint: 1, Outcome: OutcomeOK, Latency: 50 * millisecond,
			RequestDone: true, Reported: true, QueueLength: c.waiting})
		s.limit.Value, s.limit.GainMS, s.limit.BaselineMS, s.limit.Sample.Limited = 3, 50, 150/1.4, true
		s.closeSample(r.b.serviceTarget())
		if grew := s.limit.Value > 3; grew != c.grows || s.limit.Value < 3-0.08 || s.limit.Value == 3 {
			t.Errorf("%v waiting: u = %v, want growth %v", c.waiting, s.limit.Value, c.grows)
		}
	}
}

// The setpoint is a multiple of the baseline service time, but with short objectives it exceeds that by a
// part of them only.
func TestShortObjectivesLeaveLittleRoomForCrowding(t *testing.T) {
	for objective, want := range map[time.Duration]float64{
		3000 * millisecond: 300,               // the design's own part is more
		1000 * millisecond: 100 * 1.4,         // 0.6 x 100 ms is more than the multiple allows
		300 * millisecond:  100 + 0.6*0.1*300, // and here it is less
	} {
		cfg := testConfig()
		for i := range cfg.Classes {
			cfg.Classes[i].LatencyObjective = objective
		}
		r := newRig(t, cfg, ready(1, 0, 0))
		s := r.b.endpoints.byID[1]
		s.limit.BaselineMS = 100
		near(t, fmt.Sprint("setpoint at an objective of ", objective), s.limit.SetpointMS(r.b.serviceTarget()), want)
	}
}
