package balancer

import (
	"math"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/stats"
)

// State is what one process of a gateway hands to the next: what it has learnt, and the spent budgets of
// endpoints in slow start, which both must not spend.
type State struct {
	QueueThreshold float64         `json:"psi"`
	Response       float64         `json:"response"`
	WarmRate       float64         `json:"warm_rate"`
	Classes        []ClassState    `json:"classes"`
	Endpoints      []EndpointStats `json:"servers"`
}

// ClassState is what is known of one class. Times are in ms.
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

// EndpointStats is what is known of one start of one endpoint.
type EndpointStats struct {
	ID              EndpointID    `json:"id,string"`
	StartedAt       time.Duration `json:"born_ns"`
	Limit           float64       `json:"limit"`
	Gain            float64       `json:"gain"`
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

// State tells what is learnt so far.
func (b *Balancer) State(now time.Duration) State {
	b.now = now
	out := State{
		QueueThreshold: b.queueThreshold.Value, Response: b.response.Value,
		WarmRate: float64(b.slowStart.warmRate),
	}
	for c := range b.classes.current {
		out.Classes = append(out.Classes, c.state())
	}
	for _, ep := range b.endpoints.all {
		out.Endpoints = append(out.Endpoints, ep.state(now))
	}
	return out
}

// Restore takes what another process of this gateway had learnt, after its endpoint list. Endpoints and
// classes that are not known here are passed over, and so are figures that no run of the balancer gives.
func (b *Balancer) Restore(now time.Duration, in State) {
	b.now = now
	if plausible(in.QueueThreshold, in.Response, in.WarmRate) && in.Response >= concurrency.MinResponse {
		b.queueThreshold.Restore(in.QueueThreshold)
		b.response.Restore(in.Response)
		b.slowStart.warmRate.Restore(in.WarmRate)
		b.startedAt = now - time.Minute // what came before is counted in what it learns
	}
	for _, learnt := range in.Classes {
		for c := range b.classes.current {
			if c.Name == learnt.Name {
				c.restore(learnt)
			}
		}
	}
	if b.endpoints.stale {
		b.chooseSubset()
	}
	for _, learnt := range in.Endpoints {
		if ep := b.endpoints.byID[learnt.ID]; ep != nil && ep.StartedAt == learnt.StartedAt {
			ep.restore(now, learnt)
		}
	}
	b.classes.learnReference()
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

func (c *classState) restore(in ClassState) {
	if in.Answers < 0 || in.Concluded < 0 ||
		!plausible(in.ServiceMS, in.DeviationMS, in.Served, in.Arrivals) {
		return
	}
	c.serviceMS = stats.Mean{N: in.Answers, Value: in.ServiceMS}
	c.deviationMS = stats.Mean{N: in.Answers, Value: in.DeviationMS}
	c.served = stats.Mean{N: in.Concluded, Value: min(in.Served, 1)}
	c.arrivals = in.Arrivals
	c.timeouts = timeoutVotes{common: in.ClientTimeout, votes: min(in.ClientTimeoutVotes, maxTimeoutVotes)}
}

func (ep *endpointState) state(now time.Duration) EndpointStats {
	return EndpointStats{
		ID: ep.ID, StartedAt: ep.StartedAt,
		Limit: ep.limit.Value, Gain: ep.limit.GainMS, BaselineMS: ep.limit.BaselineMS,
		Answers: ep.limit.ServiceMS.N, ServiceMS: ep.limit.ServiceMS.Value,
		FailureRate: ep.health.FailureRate, Ejected: ep.health.Ejected, Silent: ep.health.Silent,
		Ejections: ep.health.Ejections, ProbeIn: max(0, ep.health.ProbeAt-now),
		SlowStartTokens: ep.warmUp.Tokens,
	}
}

func (ep *endpointState) restore(now time.Duration, in EndpointStats) {
	if in.Answers < 0 || !plausible(in.Limit, in.Gain, in.BaselineMS, in.ServiceMS, in.FailureRate,
		math.Abs(in.SlowStartTokens)) {
		return
	}
	ep.limit.Value = max(ep.minLimit(), in.Limit)
	ep.limit.GainMS, ep.limit.BaselineMS = in.Gain, in.BaselineMS
	ep.limit.ServiceMS = stats.Mean{N: in.Answers, Value: in.ServiceMS}
	ep.health.FailureRate = min(in.FailureRate, 1)
	ep.health.Ejected, ep.health.Silent, ep.health.Ejections = in.Ejected, in.Silent, in.Ejections
	ep.health.ProbeAt = now + in.ProbeIn
	ep.warmUp.Restore(now, in.SlowStartTokens)
}

// plausible reports whether figures from outside can be reckoned with.
func plausible(figures ...float64) bool {
	for _, x := range figures {
		if !(x >= 0 && x < 1e9) {
			return false
		}
	}
	return true
}
