package balancer

import (
	"slices"
	"time"

	"thymebend/internal/balancer/outlierdetection"
)

// retiredIndexTTL is how long the index of a class that left the settings is not reused: requests with that
// index may still arrive. It must exceed previousClassTTL of internal/gateway, during which the gateway still
// maps requests to that class.
const retiredIndexTTL = 5 * time.Second

// Reload applies new settings between two events. It returns the index of each class of cfg.Classes, to be
// used in Request.Class from now on. Requests in progress keep the class with which they arrived. An
// unchanged class keeps its index; a changed or new class gets another index and takes over the statistics of
// the previous class of the same name. The statistics of endpoints are kept. Rank and Zone keep their initial
// values, and Gateways keeps its value if the new one is not above Rank. An invalid cfg changes nothing; the
// error is a *ConfigError.
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
	polledBefore := b.cfg.PollDiscovery
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
	if cfg.PollDiscovery && !polledBefore {
		b.watchEndpoints()
	}
	return indices, nil
}

// forgetClass clears the health of the class with this index at all endpoints, before the index is reused.
func (b *Balancer) forgetClass(index int) {
	for _, ep := range b.endpoints.all {
		if index < len(ep.classes) {
			ep.classes[index] = outlierdetection.ClassHealth{}
		}
	}
}

// replace makes classes the current classes and returns their indices. It calls reused for each index that it
// gives to another class.
func (t *classTable) replace(now time.Duration, classes []Class, reused func(index int)) []int {
	before := slices.Clone(t.entries) // the statistics by the previous indices
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

// indexOf returns the index of a class. If the class is not current it gets an entry, with the statistics of
// its namesake in before.
func (t *classTable) indexOf(now time.Duration, class Class, before []classState, reused func(int)) int {
	same, free := -1, -1
	for i := range t.entries {
		switch c := &t.entries[i]; {
		case c.Class == class && c.retiredAt == 0:
			same = i
		case c.retiredAt > 0 && c.openRequests == 0 && now-c.retiredAt >= retiredIndexTTL && free < 0:
			free = i
		}
	}
	if same >= 0 {
		return same
	}
	entry := classState{Class: class}
	for i := range before {
		if before[i].Name == class.Name && before[i].retiredAt == 0 {
			entry = before[i]
			entry.Class, entry.openRequests, entry.timeouts = class, 0, timeoutVotes{}
		}
	}
	if free < 0 {
		t.entries = append(t.entries, entry)
		return len(t.entries) - 1
	}
	t.entries[free] = entry
	reused(free)
	return free
}
