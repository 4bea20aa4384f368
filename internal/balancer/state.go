package balancer

import (
	"math"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// State is what a gateway process passes to its successor in a hot restart: the measurements it has made, and
// what remains of the slow-start budgets, so that the two processes do not spend one budget twice.
type State struct {
	QueueThreshold   float64         `json:"psi"`
	ResponseSetpoint float64         `json:"response"`
	WarmRate         float64         `json:"warm_rate"`
	Classes          []ClassState    `json:"classes"`
	Endpoints        []EndpointStats `json:"servers"`
}

// ClassState holds the statistics of one class. Fields that end in MS are in milliseconds. Concluded is the
// number of final answers, Served the mean share of them that came in time.
type ClassState struct {
	Name               string        `json:"name"`
	Answers            int           `json:"answers"`
	ServiceMS          float64       `json:"service_ms"`
	DeviationMS        float64       `json:"spread_ms"`
	Concluded          int           `json:"served_of"`
	Served             float64       `json:"served"`
	Arrivals           float64       `json:"arrivals"`
	ClientTimeout      time.Duration `json:"patience_ns"`
	ClientTimeoutVotes int           `json:"patience_by"`
}

// EndpointStats holds the statistics of one endpoint since the start that StartedAt gives.
type EndpointStats struct {
	ID              EndpointID    `json:"id,string"`
	StartedAt       time.Duration `json:"born_ns"`
	Limit           float64       `json:"limit"`
	GainMS          float64       `json:"gain"`
	BaselineMS      float64       `json:"base_ms"`
	Answers         int           `json:"answers"`
	ServiceMS       float64       `json:"service_ms"`
	FailureRate     float64       `json:"fail_share"`
	Ejected         bool          `json:"ejected"`
	Silent          bool          `json:"silent"`
	Ejections       int           `json:"ejections"`
	ProbeIn         time.Duration `json:"trial_in_ns"`
	SlowStartTokens float64       `json:"cold_tokens"`
}

// State returns what this process has measured until now. Restore passes it to another Balancer.
func (b *Balancer) State(now time.Duration) State {
	b.now = now
	state := State{
		QueueThreshold: b.queueThreshold.Value, ResponseSetpoint: b.response.Value,
		WarmRate: float64(b.slowStart.warmRate),
	}
	for c := range b.classes.current {
		state.Classes = append(state.Classes, c.state())
	}
	for _, ep := range b.endpoints.all {
		state.Endpoints = append(state.Endpoints, ep.state(now))
	}
	return state
}

// Restore takes over the state of another process of this gateway. It is called after the endpoint list was
// passed to UpdateEndpoints. Endpoints and classes that are unknown here are skipped, as are values that no
// run of the balancer can produce.
func (b *Balancer) Restore(now time.Duration, state State) {
	b.now = now
	if plausible(state.QueueThreshold, state.ResponseSetpoint, state.WarmRate) &&
		state.ResponseSetpoint >= concurrency.MinResponse {
		b.queueThreshold.Restore(state.QueueThreshold)
		b.response.Restore(state.ResponseSetpoint)
		b.slowStart.warmRate.Restore(state.WarmRate)
		b.startedAt = now - time.Minute // the restored arrival counts cover the time before this process
	}
	for _, saved := range state.Classes {
		for c := range b.classes.current {
			if c.Name == saved.Name {
				c.restore(saved)
			}
		}
	}
	if b.endpoints.stale {
		b.chooseSubset()
	}
	for _, saved := range state.Endpoints {
		if ep := b.endpoints.byID[saved.ID]; ep != nil && ep.StartedAt == saved.StartedAt {
			ep.restore(now, saved)
		}
	}
	b.classes.updateReference()
	b.updateQueueTimes()
	b.endpoints.stale = true
}

func (c *classState) state() ClassState {
	return ClassState{
		Name: c.Name, Answers: c.serviceMS.N, ServiceMS: c.serviceMS.Value, DeviationMS: c.deviationMS.Value,
		Concluded: c.served.N, Served: c.served.Value, Arrivals: c.arrivals,
		ClientTimeout: c.timeouts.common, ClientTimeoutVotes: c.timeouts.votes,
	}
}

func (c *classState) restore(saved ClassState) {
	if saved.Answers < 0 || saved.Concluded < 0 ||
		!plausible(saved.ServiceMS, saved.DeviationMS, saved.Served, saved.Arrivals) {
		return
	}
	c.serviceMS = stats.Mean{N: saved.Answers, Value: saved.ServiceMS}
	c.deviationMS = stats.Mean{N: saved.Answers, Value: saved.DeviationMS}
	c.served = stats.Mean{N: saved.Concluded, Value: min(saved.Served, 1)}
	c.arrivals = saved.Arrivals
	c.timeouts = timeoutVotes{
		common: saved.ClientTimeout, votes: min(saved.ClientTimeoutVotes, maxTimeoutVotes),
	}
}

func (ep *endpointState) state(now time.Duration) EndpointStats {
	return EndpointStats{
		ID: ep.ID, StartedAt: ep.StartedAt,
		Limit: ep.limit.Value, GainMS: ep.limit.GainMS, BaselineMS: ep.limit.BaselineMS,
		Answers: ep.limit.ServiceMS.N, ServiceMS: ep.limit.ServiceMS.Value,
		FailureRate: ep.health.FailureRate, Ejected: ep.health.Ejected, Silent: ep.health.Silent,
		Ejections: ep.health.Ejections, ProbeIn: max(0, ep.health.ProbeAt-now),
		SlowStartTokens: ep.warmUp.Tokens,
	}
}

func (ep *endpointState) restore(now time.Duration, saved EndpointStats) {
	if saved.Answers < 0 || !plausible(saved.Limit, saved.GainMS, saved.BaselineMS, saved.ServiceMS,
		saved.FailureRate, math.Abs(saved.SlowStartTokens)) {
		return
	}
	ep.limit.Value = max(ep.minLimit(), saved.Limit)
	ep.limit.GainMS, ep.limit.BaselineMS = saved.GainMS, saved.BaselineMS
	ep.limit.ServiceMS = stats.Mean{N: saved.Answers, Value: saved.ServiceMS}
	ep.health.FailureRate = min(saved.FailureRate, 1)
	ep.health.Ejected, ep.health.Silent, ep.health.Ejections = saved.Ejected, saved.Silent, saved.Ejections
	ep.health.ProbeAt = now + saved.ProbeIn
	ep.warmUp.Restore(now, saved.SlowStartTokens)
}

// plausible reports whether all values are numbers from 0 to below 1e9; values from outside may be corrupt.
func plausible(values ...float64) bool {
	for _, value := range values {
		if !(value >= 0 && value < 1e9) {
			return false
		}
	}
	return true
}
