package balancer

import (
	"math"
	"slices"
	"time"
)

// This file carries state over: to new settings, and to another process of the same gateway. It takes no
// decisions; what it keeps and what it drops is stated at each function.

// placeFree is how long the place of a class that left the settings is not given to another: requests
// worded for it may still come.
const placeFree = 5 * time.Second

// current walks over the classes that the settings name.
func (b *Balancer) current(yield func(*classState) bool) {
	for i := range b.classes {
		if c := &b.classes[i]; c.retired == 0 && !yield(c) {
			return
		}
	}
}

func (b *Balancer) setTenants() {
	b.tenants = b.tenants[:0]
	for _, t := range b.cfg.Tenants {
		rate := t.Quota / float64(b.cfg.Gateways)
		b.tenants = append(b.tenants, tenantState{rate: rate, tokens: rate, at: b.now})
	}
}

// Reload takes new settings between two events and returns the place of each class of cfg.Classes, which is
// what Request.Class means from now on. Requests under way keep the class that they came with. A class that
// did not change keeps its place; one that changed, or is new, gets another and takes over what was learnt
// of its namesake. All that was learnt of servers stays. The place in the world, Rank and Zone, stays that
// of the start. A faulty cfg changes nothing.
func (b *Balancer) Reload(now time.Duration, cfg Config) ([]int, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	b.now = now
	cfg.Rank, cfg.Zone = b.cfg.Rank, b.cfg.Zone
	cfg.DispatchInterval = max(cfg.DispatchInterval, time.Millisecond)
	if cfg.Rank >= cfg.Gateways {
		cfg.Gateways = b.cfg.Gateways
	}
	tenants := slices.Equal(cfg.Tenants, b.cfg.Tenants) && cfg.Gateways == b.cfg.Gateways
	asked := b.cfg.PollDiscovery
	b.cfg = cfg
	if !tenants {
		b.setTenants()
	}
	was := slices.Clone(b.classes) // what was learnt, by the places before
	for i := range b.classes {
		if c := &b.classes[i]; c.retired == 0 && !slices.Contains(cfg.Classes, c.Class) {
			c.retired = now
		}
	}
	places := make([]int, len(cfg.Classes))
	for i, c := range cfg.Classes {
		places[i] = b.placeOf(c, was)
	}
	for _, s := range b.servers {
		for len(s.kinds) < len(b.classes) {
			s.kinds = append(s.kinds, kind{})
		}
	}
	b.setHolds()
	b.stale = true
	if cfg.PollDiscovery && !asked {
		b.watch()
	}
	return places, nil
}

// placeOf finds or makes the place of a class.
func (b *Balancer) placeOf(c Class, was []classState) int {
	at, free := -1, -1
	for i := range b.classes {
		switch old := &b.classes[i]; {
		case old.Class == c && old.retired == 0:
			at = i
		case old.retired > 0 && old.open == 0 && b.now-old.retired >= placeFree && free < 0:
			free = i
		}
	}
	if at >= 0 {
		return at
	}
	fresh := classState{Class: c}
	for i := range was {
		if was[i].Name == c.Name && was[i].retired == 0 {
			fresh = was[i]
			fresh.Class, fresh.open, fresh.patience, fresh.agreed = c, 0, 0, 0
		}
	}
	if free < 0 {
		b.classes = append(b.classes, fresh)
		return len(b.classes) - 1
	}
	b.classes[free] = fresh
	for _, s := range b.servers {
		if free < len(s.kinds) {
			s.kinds[free] = kind{}
		}
	}
	return free
}

// UnavailableCount is how many of the listed servers get no ordinary work now: those that drain, and those
// that failed or were silent and are on trial.
func (b *Balancer) UnavailableCount() int {
	n := 0
	for _, s := range b.servers {
		if s.State != EndpointReady || s.ejected {
			n++
		}
	}
	return n
}

// State is what one process of a gateway hands to the next: what it has learnt, and the spent budgets of
// cold servers, which both must not spend.
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

// EndpointStats is what is known of one start of one server.
type EndpointStats struct {
	ID              EndpointID    `json:"id,string"`
	StartedAt       time.Duration `json:"born_ns"`
	Limit           float64       `json:"limit"`
	Gain            float64       `json:"gain"`
	UncrowdedMS     float64       `json:"base_ms"`
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
	out := State{QueueThreshold: b.psi, Response: b.response, WarmRate: b.warmRate}
	for c := range b.current {
		out.Classes = append(out.Classes, ClassState{
			Name: c.Name, Answers: c.service.n, ServiceMS: c.service.mean, DeviationMS: c.spread.mean,
			Concluded: c.served.n, Served: c.served.mean, Arrivals: c.arrivals,
			ClientTimeout: c.patience, ClientTimeoutVotes: c.agreed,
		})
	}
	for _, s := range b.servers {
		out.Endpoints = append(out.Endpoints, EndpointStats{
			ID: s.ID, StartedAt: s.StartedAt, Limit: s.u, Gain: s.gain, UncrowdedMS: s.base,
			Answers: s.smooth.n, ServiceMS: s.smooth.mean, FailureRate: s.failShare,
			Ejected: s.ejected, Silent: s.silent, Ejections: s.ejections,
			ProbeIn: max(0, s.trialAt-now), SlowStartTokens: s.coldTokens,
		})
	}
	return out
}

// Restore takes what another process of this gateway had learnt, after its list. Servers and classes that are
// not known here are passed over, and so are figures that no run of this module gives.
func (b *Balancer) Restore(now time.Duration, in State) {
	b.now = now
	if sane(in.QueueThreshold, in.Response, in.WarmRate) && in.Response >= minResponse {
		b.psi, b.response = clamp(in.QueueThreshold, 0, maxPsi), min(in.Response, 1)
		b.warmRate = in.WarmRate
		b.started = now - time.Minute // what came before is counted in what it learns
	}
	for _, l := range in.Classes {
		for c := range b.current {
			usable := l.Answers >= 0 && l.Concluded >= 0 &&
				sane(l.ServiceMS, l.DeviationMS, l.Served, l.Arrivals)
			if c.Name == l.Name && usable {
				c.service, c.spread = average{l.Answers, l.ServiceMS}, average{l.Answers, l.DeviationMS}
				c.served, c.arrivals = average{l.Concluded, min(l.Served, 1)}, l.Arrivals
				c.patience, c.agreed = l.ClientTimeout, min(l.ClientTimeoutVotes, mostAgreed)
			}
		}
	}
	if b.stale {
		b.choose()
	}
	for _, l := range in.Endpoints {
		s := b.byID[l.ID]
		usable := l.Answers >= 0 && sane(l.Limit, l.Gain, l.UncrowdedMS, l.ServiceMS, l.FailureRate) &&
			sane(math.Abs(l.SlowStartTokens))
		if s == nil || s.StartedAt != l.StartedAt || !usable {
			continue
		}
		s.u, s.gain, s.base = max(s.startLimit(), l.Limit), l.Gain, l.UncrowdedMS
		s.smooth, s.failShare = average{l.Answers, l.ServiceMS}, min(l.FailureRate, 1)
		s.ejected, s.silent, s.ejections, s.trialAt = l.Ejected, l.Silent, l.Ejections, now+l.ProbeIn
		s.coldTokens, s.coldAt = l.SlowStartTokens, now
	}
	b.mean = b.averageClass()
	b.setHolds()
	b.stale = true
}

// sane holds figures from outside to what can be reckoned with.
func sane(figures ...float64) bool {
	for _, x := range figures {
		if !(x >= 0 && x < 1e9) {
			return false
		}
	}
	return true
}

// YieldSlowStart has cold servers get nothing more from here, for another process of this gateway has their
// budgets; or, if that has died, something again. What it had spent is not known: the budgets start anew
// from nothing.
func (b *Balancer) YieldSlowStart(now time.Duration, yes bool) {
	b.now, b.yielded = now, yes
	for _, s := range b.servers {
		s.coldTokens, s.coldAt, s.turns = min(s.coldTokens, 0), now, nil
	}
}

// MinCoreRate is how many requests of the average class a second one core answers at least, where aims are
// all that is known.
func (b *Balancer) MinCoreRate() float64 { return 1 / ((1 - gamma) * b.meanAim().Seconds()) }

// tellsAfter is how old a process is before it knows its traffic.
const tellsAfter = 2 * time.Second

// LoadReport is what this gateway can tell others of itself.
type LoadReport struct {
	Known        bool         // false while it has not run for long enough
	Demand       float64      // requests a second lately, those of the average class counting 1
	Rejected     float64      // share of them that was not served in time
	FreeCapacity float64      // share of its servers' limits that is free
	Ejected      []EndpointID // listed as up and ejected here, in the order of the list
}

// LoadReport tells it. It changes nothing.
func (b *Balancer) LoadReport(now time.Duration) LoadReport {
	age := now - b.started
	out := LoadReport{Known: age >= tellsAfter}
	all, missed := 0.0, 0.0
	for c := range b.current {
		all += c.arrivals
		missed += c.arrivals * (1 - c.served.mean) * float64(index(c.served.n > 0))
		out.Demand += c.arrivals * b.weight(c)
	}
	// Arrivals are counted with a decay; of a young process they lack what came before it.
	counted := 1 - math.Exp(-arrivalDecay*float64(max(age, period))/float64(period))
	out.Demand *= arrivalDecay / period.Seconds() / counted
	if all > 0 {
		out.Rejected = clamp(missed/all, 0, 1)
	}
	limits, free := 0, 0
	for _, s := range b.servers {
		if s.State == EndpointReady && s.ejected {
			out.Ejected = append(out.Ejected, s.ID)
		}
		if s.member && !s.ejected {
			limits += b.limit(s)
			free += max(0, b.limit(s)-b.busy(s))
		}
	}
	out.FreeCapacity = float64(free) / float64(max(1, limits))
	return out
}

// WatchStarted tells that the call for the list that Watch asked for begins only now, as discovery has
// asked to be called later.
func (b *Balancer) WatchStarted(now time.Duration) {
	b.now = now
	b.askedAt = now
}
