package balancer

import (
	"slices"
	"time"

	"thymebend/internal/balancer/outlierdetection"
)

// retiredFor is how long the index of a class that left the settings is not given to another: requests
// made for it may still arrive. It must exceed previousClassTTL of internal/gateway, which finds the
// class of those.
const retiredFor = 5 * time.Second

// Reload takes new settings between two events and returns the index of each class of cfg.Classes, which is
// what Request.Class means from now on. Requests under way keep the class that they came with. A class that
// did not change keeps its index; one that changed, or is new, gets another and takes over what was learnt
// of its namesake. All that was learnt of endpoints stays. Rank and Zone stay those of the start. A faulty
// cfg changes nothing; the error is a *ConfigError.
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
	sameQuotas := slices.Equal(cfg.Tenants, b.cfg.Tenants) && cfg.Gateways == b.cfg.Gateways
	polled := b.cfg.PollDiscovery
	b.cfg = cfg
	if !sameQuotas {
		b.resetQuotas()
	}
	indices := b.classes.replace(now, cfg.Classes, b.forgetClass)
	for _, ep := range b.endpoints.all {
		for len(ep.classes) < len(b.classes.entries) {
			ep.classes = append(ep.classes, outlierdetection.ClassHealth{})
		}
	}
	b.updateQueueTimes()
	b.endpoints.stale = true
	if cfg.PollDiscovery && !polled {
		b.watchEndpoints()
	}
	return indices, nil
}

// forgetClass drops what the endpoints know of the class with this index, which is given to another.
func (b *Balancer) forgetClass(index int) {
	for _, ep := range b.endpoints.all {
		if index < len(ep.classes) {
			ep.classes[index] = outlierdetection.ClassHealth{}
		}
	}
}

// replace makes these the current classes and returns their indices. reused is called for each index
// that is given to another class.
func (t *classTable) replace(now time.Duration, classes []Class, reused func(index int)) []int {
	before := slices.Clone(t.entries) // what was learnt, by the indices before
	for i := range t.entries {
		if c := &t.entries[i]; c.retiredAt == 0 && !slices.Contains(classes, c.Class) {
			c.retiredAt = now
		}
	}
	indices := make([]int, len(classes))
	for i, c := range classes {
		indices[i] = t.indexOf(now, c, before, reused)
	}
	return indices
}

// indexOf finds or makes the entry of a class.
func (t *classTable) indexOf(now time.Duration, class Class, before []classState, reused func(int)) int {
	same, free := -1, -1
	for i := range t.entries {
		switch c := &t.entries[i]; {
		case c.Class == class && c.retiredAt == 0:
			same = i
		case c.retiredAt > 0 && c.open == 0 && now-c.retiredAt >= retiredFor && free < 0:
			free = i
		}
	}
	if same >= 0 {
		return same
	}
	fresh := classState{Class: class}
	for i := range before {
		if before[i].Name == class.Name && before[i].retiredAt == 0 {
			fresh = before[i]
			fresh.Class, fresh.open, fresh.timeouts = class, 0, timeoutVotes{}
		}
	}
	if free < 0 {
		t.entries = append(t.entries, fresh)
		return len(t.entries) - 1
	}
	t.entries[free] = fresh
	reused(free)
	return free
}
