package balancer

import (
	"math"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// lateMargin is how many mean deviations of its service time before the objective a queued request must
// leave.
const lateMargin = 4.0

// minTurnovers is how many openings of capacity a request is queued for at least, if its objective
// allows it: otherwise a gateway that sees few would shed what the next opening could have served.
const minTurnovers = 3.0

// queueTimeLimits is how long requests of a class are queued while capacity is short.
type queueTimeLimits struct{ withinQuota, overQuota time.Duration }

// of returns the time for a request beyond its tenant's quota, or within it.
func (m queueTimeLimits) of(overQuota bool) time.Duration {
	if overQuota {
		return m.overQuota
	}
	return m.withinQuota
}

// loadShedding decides how long the requests of each class are queued before they are shed. In a first-come
// queue all wait alike, so a class with a shorter time is shed first.
type loadShedding struct {
	overQuotaWeight      float64 // weight of a request beyond its tenant's quota, as a share of its class's
	weightByWork         bool    // weight counts for each ms of work rather than for each request
	totalGoalWeight      float64 // weight of all that is served in the operators' goal
	worstClassGoalWeight float64 // and that of the class served worst
}

func newLoadShedding(cfg *Config) loadShedding {
	return loadShedding{
		overQuotaWeight: cfg.OverQuotaWeight, weightByWork: cfg.WeightByWork,
		totalGoalWeight: cfg.TotalGoalWeight, worstClassGoalWeight: cfg.WorstClassGoalWeight,
	}
}

// setMaxQueueTimes works out the times of all classes. threshold is the queue-time threshold in multiples
// of the objectives, turnover the mean time between two openings of capacity.
//
// A request is queued until the threshold, but no longer than its answer would still come in time, and
// one that adds less to the goal for the work it takes has a shorter maximum queue time than those that
// add more (exceptions to the paper, which has one class).
func (p loadShedding) setMaxQueueTimes(classes *classTable, threshold float64, turnover time.Duration) {
	best := p.setGoalDensities(classes)
	for i := range classes.entries {
		c := &classes.entries[i]
		longest := func(density float64) time.Duration {
			limit := latestStart(c, turnover)
			for other := range classes.current {
				if other.goalDensity > density {
					limit = min(limit, latestStart(other, turnover))
				}
			}
			if best > 0 {
				limit = stats.Scale(limit, math.Sqrt(density/best))
			}
			return min(limit, stats.Scale(c.LatencyObjective, threshold))
		}
		c.maxQueueTime = queueTimeLimits{
			withinQuota: longest(c.goalDensity), overQuota: longest(c.goalDensity * p.overQuotaWeight),
		}
	}
}

// setGoalDensities works out what one more request of each class in time adds to the operators' goal, for
// each ms of work it takes, and returns the most. The class served worst has a goal weight of its own:
// without it, a class of little weight would bear the whole of a shortage.
func (p loadShedding) setGoalDensities(classes *classTable) (best float64) {
	var total float64
	var worst *classState
	for c := range classes.current {
		total += (c.arrivals + 1) * p.weight(c)
		if worst == nil || c.served.N > 0 && (worst.served.N == 0 || c.served.Value < worst.served.Value) {
			worst = c
		}
	}
	for i := range classes.entries {
		c := &classes.entries[i]
		gain := p.weight(c)
		if total > 0 && c == worst && p.totalGoalWeight > 0 {
			gain += p.worstClassGoalWeight / p.totalGoalWeight * total / (c.arrivals + 1)
		}
		c.goalDensity = gain / stats.Milliseconds(c.expected)
		best = max(best, c.goalDensity)
	}
	return best
}

// weight is the priority weight of a request of the class in time.
func (p loadShedding) weight(c *classState) float64 {
	if p.weightByWork {
		return c.Weight * stats.Milliseconds(c.expected)
	}
	return c.Weight
}

// latestStart is the queue time after which an answer of this class would likely come too late. The margin
// shrinks by what a late answer still earns: only the rest is at risk.
func latestStart(c *classState, turnover time.Duration) time.Duration {
	margin := stats.FromMilliseconds(lateMargin * (1 - c.LateWeight) * c.deviationMS.Value)
	longest := max(c.LatencyObjective-c.expected, 0)
	return max(c.LatencyObjective-(c.expected+margin),
		stats.Scale(c.LatencyObjective, concurrency.ServiceShare),
		min(stats.Scale(turnover, minTurnovers), longest))
}
