package balancer

import (
	"testing"
	"time"

	"thymebend/internal/balancer/stats"
)

// The margin before the objective shrinks by what a late answer earns.
func TestMarginFollowsWhatIsAtRisk(t *testing.T) {
	cfg := testConfig()
	r := newRig(t, cfg)
	c := &r.b.classes.entries[0]
	c.service, c.deviation = stats.Mean{N: 100, Value: 90}, stats.Mean{N: 100, Value: 60}
	for late, want := range map[float64]time.Duration{0: 1000 - 90 - 240, 0.5: 1000 - 90 - 120, 1: 1000 - 90} {
		c.LateWeight = late
		r.b.updateQueueTimes()
		if got := latestStart(c, r.b.endpoints.turnover(r.b.classes.referenceMS)); got != want*millisecond {
			t.Errorf("late answers earn %v: queued for %v, want %v", late, got, want*millisecond)
		}
	}
}

func TestLowWeightAndOverQuotaAreShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[0].Weight, cfg.Classes[2].Weight = 10, 2
	r := newRig(t, cfg)
	warmUp(r)
	c := r.b.classes.entries
	heavy, light, middle := c[0].maxQueueTime, c[1].maxQueueTime, c[2].maxQueueTime
	if !(heavy.withinQuota > middle.withinQuota && middle.withinQuota > light.withinQuota &&
		heavy.withinQuota > heavy.overQuota) {
		t.Errorf("max queue times = %v %v %v", heavy, light, middle)
	}
}

func TestTenantQuota(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Quota: 20}, {}}
	r := newRig(t, cfg) // two gateways: ten a second here
	over := 0
	for range 40 {
		r.b.now += 50 * millisecond // twenty a second, for two seconds, with ten saved up
		if r.b.overQuota(0) {
			over++
		}
		if r.b.overQuota(1) || r.b.overQuota(5) || r.b.overQuota(-1) {
			t.Fatal("a tenant without a quota is over its quota")
		}
	}
	if over < 9 || over > 11 {
		t.Errorf("%d of 40 over quota, want about 10", over)
	}
}
