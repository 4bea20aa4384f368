package balancer

import (
	"fmt"
	"testing"
	"time"

	"thymebend/internal/balancer/stats"
)

// Tens of gateways can congest an endpoint with one request each. A concurrency limit below one therefore is the share
// of time during which one request may be in flight.
func TestLimitBelowOneIsAShareOfTime(t *testing.T) {
	cfg := testConfig()
	cfg.Gateways = 10
	r := newRig(t, cfg, ready(1, 0, 0))
	ep := r.b.endpoints.all[0]
	checkNear(t, "limit at the start", ep.limit.Value, 0.5)
	ep.limit.Value, ep.limit.GainMS, ep.limit.BaselineMS = 0.8, 100, 100
	ep.limit.ServiceMS = stats.Mean{N: 1000, Value: 200}
	r.b.classes.referenceMS = 100
	// The gain is K = 50+140, the step 0.16/190 x (140-280) x limit.
	ep.limit.Sample.Answers, ep.limit.Sample.ServiceSumMS = 1, 280
	ep.closeSample(r.b.serviceTarget())
	checkRoughly(t, "limit after a step", ep.limit.Value, 0.8+0.8*0.16/190*(1.4*100-280))
	for range 60 {
		ep.limit.Sample.Answers, ep.limit.Sample.ServiceSumMS = 1, 280
		ep.closeSample(r.b.serviceTarget())
	}
	checkNear(t, "minimum of the limit", ep.limit.Value, 5.0/10)
	r.sendRequest(1, 0)
	r.endAttempt(1, 0, 1, OutcomeOK, 100*millisecond)
	if want := r.now + 100*millisecond; ep.cooldown.until != want {
		t.Errorf("cooldown until %v, want %v", ep.cooldown.until, want)
	}
	r.rec.actions = nil
	r.sendRequest(2, 0)
	if n := len(r.takeActions("start")); n != 0 {
		t.Errorf("%d attempts started during the cooldown, want 0", n)
	}
	r.advance(105 * millisecond)
	if n := len(r.takeActions("start")); n != 1 {
		t.Errorf("%d attempts started after the cooldown, want 1", n)
	}
}

// A limit does not grow while the endpoint reports a long queue. Otherwise gateways could grow their limits together
// and overload every endpoint.
func TestReportedQueueLowersLimits(t *testing.T) {
	for _, c := range []struct {
		waiting float64
		grows   bool
	}{{2.5, false}, {1.2, true}} {
		r := newRig(t, testConfig(), ready(1, 0, 0))
		ep := r.b.endpoints.all[0]
		ep.limit.QueueLength = c.waiting
		r.sendRequest(1, 0)
		r.b.AttemptEnded(r.now, AttemptEnd{Request: 1, Endpoint: 1, Outcome: OutcomeOK, Latency: 50 * millisecond,
			RequestDone: true, Reported: true, QueueLength: c.waiting})
		ep.limit.Value, ep.limit.GainMS, ep.limit.BaselineMS, ep.limit.Sample.Limited = 3, 50, 150/1.4, true
		ep.closeSample(r.b.serviceTarget())
		if grew := ep.limit.Value > 3; grew != c.grows || ep.limit.Value < 3-0.08 || ep.limit.Value == 3 {
			t.Errorf("with %v requests waiting the limit changes from 3 to %v, want growth = %v",
				c.waiting, ep.limit.Value, c.grows)
		}
	}
}

// The setpoint is a multiple of the baseline service time. With short objectives the excess over the baseline is
// bounded by a part of the objective.
func TestShortObjectivesBoundTheSetpointExcess(t *testing.T) {
	for objective, want := range map[time.Duration]float64{
		3000 * millisecond: 300,               // the service share of the objective is larger than the multiple
		1000 * millisecond: 100 * 1.4,         // the bound of 0.6 x 100 ms exceeds the 40 ms of the multiple
		300 * millisecond:  100 + 0.6*0.1*300, // the bound of 0.6 x 30 ms applies
	} {
		cfg := testConfig()
		for i := range cfg.Classes {
			cfg.Classes[i].LatencyObjective = objective
		}
		r := newRig(t, cfg, ready(1, 0, 0))
		ep := r.b.endpoints.byID[1]
		ep.limit.BaselineMS = 100
		checkNear(t, fmt.Sprint("setpoint at an objective of ", objective), ep.limit.SetpointMS(r.b.serviceTarget()), want)
	}
}
