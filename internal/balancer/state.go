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
	cfg.Rank, cfg.Zone, cfg.Tick = b.cfg.Rank, b.cfg.Zone, max(cfg.Tick, time.Millisecond)
	if cfg.Rank >= cfg.Gateways {
		cfg.Gateways = b.cfg.Gateways
	}
	tenants := slices.Equal(cfg.Tenants, b.cfg.Tenants) && cfg.Gateways == b.cfg.Gateways
	asked := b.cfg.AskForList
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
	if cfg.AskForList && !asked {
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

// Avoided is how many of the listed servers get no ordinary work now: those that drain, and those that
// failed or were silent and are on trial.
func (b *Balancer) Avoided() int {
	n := 0
	for _, s := range b.servers {
		if s.State != Ready || s.ejected {
			n++
		}
	}
	return n
}

// Learned is what one process of a gateway hands to the next: what it has learnt, and the spent budgets of
// cold servers, which both must not spend.
type Learned struct {
	Psi      float64         `json:"psi"`
	Response float64         `json:"response"`
	WarmRate float64         `json:"warm_rate"`
	Classes  []LearnedClass  `json:"classes"`
	Servers  []LearnedServer `json:"servers"`
}

// LearnedClass is what is known of one class. Times are in ms.
type LearnedClass struct {
	Name       string        `json:"name"`
	Answers    int           `json:"answers"`
	ServiceMS  float64       `json:"service_ms"`
	SpreadMS   float64       `json:"spread_ms"`
	ServedOf   int           `json:"served_of"`
	Served     float64       `json:"served"`
	Arrivals   float64       `json:"arrivals"`
	Patience   time.Duration `json:"patience_ns"`
	PatienceBy int           `json:"patience_by"`
}

// LearnedServer is what is known of one start of one server.
type LearnedServer struct {
	ID         ServerID      `json:"id,string"`
	Born       time.Duration `json:"born_ns"`
	Limit      float64       `json:"limit"`
	Gain       float64       `json:"gain"`
	BaseMS     float64       `json:"base_ms"`
	Answers    int           `json:"answers"`
	ServiceMS  float64       `json:"service_ms"`
	FailShare  float64       `json:"fail_share"`
	Ejected    bool          `json:"ejected"`
	Silent     bool          `json:"silent"`
	Ejections  int           `json:"ejections"`
	TrialIn    time.Duration `json:"trial_in_ns"`
	ColdTokens float64       `json:"cold_tokens"`
}

// Learned tells what is learnt so far.
func (b *Balancer) Learned(now time.Duration) Learned {
	b.now = now
	out := Learned{Psi: b.psi, Response: b.response, WarmRate: b.warmRate}
	for c := range b.current {
		out.Classes = append(out.Classes, LearnedClass{
			Name: c.Name, Answers: c.service.n, ServiceMS: c.service.mean, SpreadMS: c.spread.mean,
			ServedOf: c.served.n, Served: c.served.mean, Arrivals: c.arrivals,
			Patience: c.patience, PatienceBy: c.agreed,
		})
	}
	for _, s := range b.servers {
		out.Servers = append(out.Servers, LearnedServer{
			ID: s.ID, Born: s.Born, Limit: s.u, Gain: s.gain, BaseMS: s.base,
			Answers: s.smooth.n, ServiceMS: s.smooth.mean, FailShare: s.failShare,
			Ejected: s.ejected, Silent: s.silent, Ejections: s.ejections,
			TrialIn: max(0, s.trialAt-now), ColdTokens: s.coldTokens,
		})
	}
	return out
}

// Learn takes what another process of this gateway had learnt, after its list. Servers and classes that are
// not known here are passed over, and so are figures that no run of this module gives.
func (b *Balancer) Learn(now time.Duration, in Learned) {
	b.now = now
	if sane(in.Psi, in.Response, in.WarmRate) && in.Response >= minResponse {
		b.psi, b.response, b.warmRate = clamp(in.Psi, 0, maxPsi), min(in.Response, 1), in.WarmRate
		b.started = now - time.Minute // what came before is counted in what it learns
	}
	for _, l := range in.Classes {
		for c := range b.current {
			usable := l.Answers >= 0 && l.ServedOf >= 0 && sane(l.ServiceMS, l.SpreadMS, l.Served, l.Arrivals)
			if c.Name == l.Name && usable {
				c.service, c.spread = average{l.Answers, l.ServiceMS}, average{l.Answers, l.SpreadMS}
				c.served, c.arrivals = average{l.ServedOf, min(l.Served, 1)}, l.Arrivals
				c.patience, c.agreed = l.Patience, min(l.PatienceBy, mostAgreed)
			}
		}
	}
	if b.stale {
		b.choose()
	}
	for _, l := range in.Servers {
		s := b.byID[l.ID]
		usable := l.Answers >= 0 && sane(l.Limit, l.Gain, l.BaseMS, l.ServiceMS, l.FailShare) &&
			sane(math.Abs(l.ColdTokens))
		if s == nil || s.Born != l.Born || !usable {
			continue
		}
		s.u, s.gain, s.base = max(s.startLimit(), l.Limit), l.Gain, l.BaseMS
		s.smooth, s.failShare = average{l.Answers, l.ServiceMS}, min(l.FailShare, 1)
		s.ejected, s.silent, s.ejections, s.trialAt = l.Ejected, l.Silent, l.Ejections, now+l.TrialIn
		s.coldTokens, s.coldAt = l.ColdTokens, now
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

// Yield has cold servers get nothing more from here, for another process of this gateway has their budgets;
// or, if that has died, something again. What it had spent is not known: the budgets start anew from
// nothing.
func (b *Balancer) Yield(now time.Duration, yes bool) {
	b.now, b.yielded = now, yes
	for _, s := range b.servers {
		s.coldTokens, s.coldAt, s.turns = min(s.coldTokens, 0), now, nil
	}
}

// LeastRate is how many requests of the average class a second one core answers at least, where aims are
// all that is known.
func (b *Balancer) LeastRate() float64 { return 1 / ((1 - gamma) * b.meanAim().Seconds()) }

// tellsAfter is how old a process is before it knows its traffic.
const tellsAfter = 2 * time.Second

// Told is what this gateway can tell others of itself.
type Told struct {
	Known   bool       // false while it has not run for long enough
	Demand  float64    // requests a second lately, those of the average class counting 1
	Refused float64    // share of them that was not served in time
	Room    float64    // share of its servers' limits that is free
	Bad     []ServerID // listed as up and ejected here, in the order of the list
}

// Told tells it. It changes nothing.
func (b *Balancer) Told(now time.Duration) Told {
	age := now - b.started
	out := Told{Known: age >= tellsAfter}
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
		out.Refused = clamp(missed/all, 0, 1)
	}
	limits, free := 0, 0
	for _, s := range b.servers {
		if s.State == Ready && s.ejected {
			out.Bad = append(out.Bad, s.ID)
		}
		if s.member && !s.ejected {
			limits += b.limit(s)
			free += max(0, b.limit(s)-b.busy(s))
		}
	}
	out.Room = float64(free) / float64(max(1, limits))
	return out
}

// Called tells that the call for the list that Watch asked for begins only now, as discovery has asked to
// be called later.
func (b *Balancer) Called(now time.Duration) {
	b.now = now
	b.askedAt = now
}
