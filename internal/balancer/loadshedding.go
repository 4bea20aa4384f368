package balancer

import (
	"math"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// marginDeviations is the margin that a queued request must leave before its latency objective, as a multiple
// of the mean deviation of its service time.
const marginDeviations = 4.0

// minCompletions is the minimum time that a request is queued, as a multiple of the completion interval, if
// its objective allows it. Otherwise a gateway whose capacity is freed rarely would shed a request that the
// next free capacity could have served.
const minCompletions = 3.0

// queueTimeLimits holds the maximum queue times of a class while capacity is short.
type queueTimeLimits struct{ withinQuota, overQuota time.Duration }

// forQuota returns the maximum for a request beyond its tenant's quota or within it.
func (l queueTimeLimits) forQuota(overQuota bool) time.Duration {
	if overQuota {
		return l.overQuota
	}
	return l.withinQuota
}

// loadShedding determines how long the requests of each class are queued before they are shed. In a
// first-come queue all requests wait equally long, so a class with a shorter maximum is shed first.
type loadShedding struct {
	overQuotaWeight      float64 // share of its class's weight that a request beyond the tenant's quota has
	weightByWork         bool    // the weight counts per ms of work rather than per request
	totalGoalWeight      float64 // weight, in the operators' goal, of all requests served
	worstClassGoalWeight float64 // weight, in the goal, of the worst-served class
}

func newLoadShedding(cfg *Config) loadShedding {
	return loadShedding{
		overQuotaWeight: cfg.OverQuotaWeight, weightByWork: cfg.WeightByWork,
		totalGoalWeight: cfg.TotalGoalWeight, worstClassGoalWeight: cfg.WorstClassGoalWeight,
	}
}

// setMaxQueueTimes computes the maximum queue times of all classes. threshold is the queue-time threshold as
// a multiple of the latency objective, completionInterval the mean time between two completed attempts.
//
// A request is queued at most until the threshold, and no longer than an answer could still come in time. The
// less a request adds to the goal per ms of work, compared with other classes, the shorter is its maximum.
// The last two rules are not in the paper, which has one class.
func (s loadShedding) setMaxQueueTimes(
	classes *classTable, threshold float64, completionInterval time.Duration,
) {
	best := s.setGoalDensities(classes)
	for i := range classes.entries {
		c := &classes.entries[i]
		maxTime := func(density float64) time.Duration {
			limit := latestStart(c, completionInterval)
			for other := range classes.current {
				if other.goalDensity > density {
					limit = min(limit, latestStart(other, completionInterval))
				}
			}
			if best > 0 {
				limit = stats.Scale(limit, math.Sqrt(density/best))
			}
			return min(limit, stats.Scale(c.LatencyObjective, threshold))
		}
		c.maxQueueTime = queueTimeLimits{
			withinQuota: maxTime(c.goalDensity), overQuota: maxTime(c.goalDensity * s.overQuotaWeight),
		}
	}
}

// setGoalDensities computes the gain in the operators' goal from one more request of each class that is
// answered in time, per ms of work, and returns the largest one. The worst-served class has an additional
// goal weight: without it, a class of low weight would take the whole loss when capacity is short.
func (s loadShedding) setGoalDensities(classes *classTable) (best float64) {
	var total float64
	var worst *classState
	for c := range classes.current {
		total += (c.arrivals + 1) * s.weight(c)
		if worst == nil || c.served.N > 0 && (worst.served.N == 0 || c.served.Value < worst.served.Value) {
			worst = c
		}
	}
	for i := range classes.entries {
		c := &classes.entries[i]
		gain := s.weight(c)
		if total > 0 && c == worst && s.totalGoalWeight > 0 {
			gain += s.worstClassGoalWeight / s.totalGoalWeight * total / (c.arrivals + 1)
		}
		c.goalDensity = gain / stats.Milliseconds(c.expectedService)
		best = max(best, c.goalDensity)
	}
	return best
}

// weight returns the priority weight of a request of class c that is answered in time.
func (s loadShedding) weight(c *classState) float64 {
	if s.weightByWork {
		return c.Weight * stats.Milliseconds(c.expectedService)
	}
	return c.Weight
}

// latestStart returns the queue time after which an answer of class c would likely come too late, but at
// least ServiceShare of the objective and, if the objective allows it, minCompletions completion intervals.
// The margin is reduced by the share that a late answer still earns, because only the remaining weight is at
// risk.
func latestStart(c *classState, completionInterval time.Duration) time.Duration {
	margin := stats.FromMilliseconds(marginDeviations * (1 - c.LateWeight) * c.deviationMS.Value)
	latest := max(c.LatencyObjective-c.expectedService, 0)
	return max(c.LatencyObjective-(c.expectedService+margin),
		stats.Scale(c.LatencyObjective, concurrency.ServiceShare),
		min(stats.Scale(completionInterval, minCompletions), latest))
}
