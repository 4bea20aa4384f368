package balancer

import (
	"testing"
	"time"

	"thymebend/internal/balancer/stats"
)

// The margin before the latency objective shrinks by the share of the weight that a late answer earns.
func TestQueueTimeMarginShrinksWithLateWeight(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg)
	c := &r.b.classes.entries[0]
	c.serviceMS, c.deviationMS = stats.Mean{N: 100, Value: 90}, stats.Mean{N: 100, Value: 60}
	for late, want := range map[float64]time.Duration{0: 1000 - 90 - 240, 0.5: 1000 - 90 - 120, 1: 1000 - 90} {
		c.LateWeight = late
		r.b.updateQueueTimes()
		if got := latestStart(c, r.b.endpoints.completionInterval(r.b.classes.referenceMS)); got != want*millisecond {
			t.Errorf("with a late weight of %v queued for %v, want %v", late, got, want*millisecond)
		}
	}
}

func TestLowWeightAndOverQuotaAreShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Weight, cfg.Classes[2].Weight = 10, 2
	r := newRig(t, cfg)
	setKnownServiceTimes(r)
	c := r.b.classes.entries
	heavy, light, middle := c[0].maxQueueTime, c[1].maxQueueTime, c[2].maxQueueTime
	if !(heavy.withinQuota > middle.withinQuota && middle.withinQuota > light.withinQuota &&
		heavy.withinQuota > heavy.overQuota) {
		t.Errorf("maximum queue times %v, %v, %v for weights 10, 1, 2; want more for more weight and within quota",
			heavy, light, middle)
	}
}

func TestTenantQuota(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Quota: 20}, {}}
	r := newRig(t, cfg) // two gateways: ten requests per second at this one
	over := 0
	for range 40 {
		r.b.now += 50 * millisecond // twenty per second for two seconds, with ten tokens saved up
		if r.b.chargeQuota(0) {
			over++
		}
		if r.b.chargeQuota(1) || r.b.chargeQuota(5) || r.b.chargeQuota(-1) {
			t.Fatal("a tenant without a quota exceeds its quota")
		}
	}
	if over < 9 || over > 11 {
		t.Errorf("%d of 40 requests over quota, want about 10", over)
	}
}

// sheddingClasses returns two classes with an objective of 1 s, a service time of 100 ms, and weights of 4 and 1.
func sheddingClasses() *classTable {
	table := &classTable{}
	for _, weight := range []float64{4, 1} {
		c := classState{Class: Class{LatencyObjective: time.Second, Weight: weight}}
		c.refresh()
		table.entries = append(table.entries, c)
	}
	return table
}

func TestMaxQueueTimesFollowTheGoalDensity(t *testing.T) {
	for _, c := range []struct {
		name      string
		shedding  loadShedding
		threshold float64
		prepare   func(heavy, light *classState)
		want      [2]queueTimeLimits // in ms, of the heavy and of the light class
	}{
		{
			"a request over quota has a quarter of the weight", loadShedding{overQuotaWeight: 0.25}, 2, nil,
			// The answer is late after 900 ms of queueing. The square root of a quarter of the best density is a half.
			[2]queueTimeLimits{{900, 450}, {450, 225}},
		},
		{
			"the threshold bounds all queue times", loadShedding{overQuotaWeight: 0.25}, 0.3, nil,
			[2]queueTimeLimits{{300, 300}, {300, 225}},
		},
		{
			"weight by work is proportional to the service time", loadShedding{overQuotaWeight: 1, weightByWork: true}, 2,
			func(heavy, light *classState) { heavy.Weight, light.expectedService = 1, 200*millisecond },
			// The light class has less time before its objective, and the same gain per ms of work.
			[2]queueTimeLimits{{900, 900}, {800, 800}},
		},
		{
			"the worst-served class has an additional weight",
			loadShedding{overQuotaWeight: 1, totalGoalWeight: 1, worstClassGoalWeight: 3}, 2,
			func(heavy, light *classState) { heavy.served.Add(1, 0); light.served.Add(0, 0) },
			// The gain of the light class is 1 + 3x5, that of the heavy class 4.
			[2]queueTimeLimits{{450, 450}, {900, 900}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := sheddingClasses()
			if c.prepare != nil {
				c.prepare(&table.entries[0], &table.entries[1])
			}
			c.shedding.setMaxQueueTimes(table, c.threshold, 0)
			for i, want := range c.want {
				got := table.entries[i].maxQueueTime
				if got.withinQuota.Round(millisecond) != want.withinQuota*millisecond ||
					got.overQuota.Round(millisecond) != want.overQuota*millisecond {
					t.Errorf("class %d: maximum queue times %v, want %v ms", i, got, want)
				}
			}
		})
	}
}

// A gateway where few attempts complete must not shed a request that the next free capacity could have served.
func TestRequestsAreQueuedForSomeCompletions(t *testing.T) {
	c := classState{Class: Class{LatencyObjective: time.Second}}
	c.refresh()
	c.deviationMS.Add(1000, 0) // leaves no time of the objective
	for completionInterval, want := range map[time.Duration]time.Duration{
		0: 100 * millisecond, 200 * millisecond: 600 * millisecond, time.Second: 900 * millisecond,
	} {
		if got := latestStart(&c, completionInterval); got != want {
			t.Errorf("with a completion interval of %v queued for %v, want %v", completionInterval, got, want)
		}
	}
}
