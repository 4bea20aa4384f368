package thymebend

import (
	"slices"
	"time"
)

// This file carries state over: to new settings. It takes no decisions; what it keeps and what it drops is stated
// at each function.

// placeFree is how long the place of a class that left the settings is not given to another: requests worded for it
// may still come.
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

// Reload takes new settings between two events and returns the place of each class of cfg.Classes, which is what
// Request.Class means from now on. Requests under way keep the class that they came with. A class that did not change
// keeps its place; one that changed, or is new, gets another and takes over what was learnt of its namesake. All that
// was learnt of servers stays. The place in the world, Rank and Zone, stays that of the start. A faulty cfg changes
// nothing.
func (b *Balancer) Reload(now time.Duration, cfg Config) ([]int, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	b.now = now
	cfg.Rank, cfg.Zone, cfg.Tick = b.cfg.Rank, b.cfg.Zone, max(cfg.Tick, time.Millisecond)
	if cfg.Rank >= cfg.Gateways {
		cfg.Gateways = b.cfg.Gateways
	}
	tenants, asked := slices.Equal(cfg.Tenants, b.cfg.Tenants) && cfg.Gateways == b.cfg.Gateways, b.cfg.AskForList
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

// Avoided is how many of the listed servers get no ordinary work now: those that drain, and those that failed or
// were silent and are on trial.
func (b *Balancer) Avoided() int {
	n := 0
	for _, s := range b.servers {
		if s.State != Ready || s.ejected {
			n++
		}
	}
	return n
}
