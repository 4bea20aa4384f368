package balancer

import (
	"math"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// reportAfter is how old a process is before it knows its traffic.
const reportAfter = 2 * time.Second

// LoadReport is what this gateway can tell others of itself.
type LoadReport struct {
	Known        bool         // false while it has not run for long enough
	Demand       float64      // requests a second lately, those of the average class counting 1
	Rejected     float64      // share of them that was not served in time
	FreeCapacity float64      // share of the limits of its subset that is free
	Ejected      []EndpointID // ready by the list and ejected here, in the order of the list
}

// LoadReport tells it. It changes nothing.
func (b *Balancer) LoadReport(now time.Duration) LoadReport {
	age := now - b.startedAt
	out := LoadReport{Known: age >= reportAfter}
	all, missed := 0.0, 0.0
	for c := range b.classes.current {
		all += c.arrivals
		if c.served.N > 0 {
			missed += c.arrivals * (1 - c.served.Value)
		}
		out.Demand += c.arrivals * b.classes.relativeCost(c)
	}
	// Arrivals are counted with a decay; of a young process they lack what came before it.
	period := concurrency.SamplePeriod
	counted := 1 - math.Exp(-arrivalDecay*float64(max(age, period))/float64(period))
	out.Demand *= arrivalDecay / period.Seconds() / counted
	if all > 0 {
		out.Rejected = stats.Clamp(missed/all, 0, 1)
	}
	limits, free := 0, 0
	for _, ep := range b.endpoints.all {
		if ep.State == EndpointReady && ep.health.Ejected {
			out.Ejected = append(out.Ejected, ep.ID)
		}
		if ep.subset.used && !ep.health.Ejected {
			limits += ep.allowed()
			free += max(0, ep.allowed()-b.effectiveInFlight(ep))
		}
	}
	out.FreeCapacity = float64(free) / float64(max(1, limits))
	return out
}

// UnavailableCount is how many of the listed endpoints get no ordinary requests now: those that drain, and
// those that are ejected.
func (b *Balancer) UnavailableCount() int { return b.endpoints.unavailable() }
