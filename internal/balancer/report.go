package balancer

import (
	"math"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// minReportAge is the age from which a process has seen enough traffic for a load report.
const minReportAge = 2 * time.Second

// LoadReport is what this gateway reports about itself to other gateways.
type LoadReport struct {
	Valid        bool         // false while the gateway has not run for long enough
	Demand       float64      // recent requests per second, scaled to requests of the average class
	Rejected     float64      // share of requests that were not answered in time
	FreeCapacity float64      // free share of the concurrency limits in its subset
	Ejected      []EndpointID // endpoints that are ready in the list and ejected here, in list order
}

// LoadReport returns the current load report. It does not change the balancer.
func (b *Balancer) LoadReport(now time.Duration) LoadReport {
	age := now - b.startedAt
	report := LoadReport{Valid: age >= minReportAge}
	arrivals, missed := 0.0, 0.0
	for c := range b.classes.current {
		arrivals += c.arrivals
		if c.served.N > 0 {
			missed += c.arrivals * (1 - c.served.Value)
		}
		report.Demand += c.arrivals * b.classes.relativeCost(c)
	}
	// The count of arrivals decays. In a young process it lacks the arrivals before the start, for which
	// countedShare compensates.
	period := concurrency.SamplePeriod
	countedShare := 1 - math.Exp(-arrivalDecay*float64(max(age, period))/float64(period))
	report.Demand *= arrivalDecay / period.Seconds() / countedShare
	if arrivals > 0 {
		report.Rejected = stats.Clamp(missed/arrivals, 0, 1)
	}
	limits, free := 0, 0
	for _, ep := range b.endpoints.all {
		if ep.State == EndpointReady && ep.health.Ejected {
			report.Ejected = append(report.Ejected, ep.ID)
		}
		if ep.subset.used && !ep.health.Ejected {
			limits += ep.allowed()
			free += max(0, ep.allowed()-b.effectiveInFlight(ep))
		}
	}
	report.FreeCapacity = float64(free) / float64(max(1, limits))
	return report
}

// UnavailableCount returns the number of listed endpoints that currently get no ordinary requests, because
// they are draining or ejected.
func (b *Balancer) UnavailableCount() int { return b.endpoints.unavailableCount() }
