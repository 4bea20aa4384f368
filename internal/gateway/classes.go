package gateway

import (
	"maps"
	"slices"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/settings"
)

// previousClassTTL is how long, after a reload changed a class's idempotency, requests are still accepted with
// the HTTP method of the former idempotency.
const previousClassTTL = 3 * time.Second

// classTable finds the class of a request, also for a short time after a reload has changed the class.
type classTable struct {
	*core
	indices  []int                    // index in the balancer of each class of the settings
	previous map[string]previousClass // classes whose idempotency has recently changed, by name
}

// previousClass is a class in the form that it had before its idempotency last changed. It is valid up to the time
// in its field until.
type previousClass struct {
	class balancer.Class
	index int
	until time.Duration
}

// method returns the HTTP method that requests of the previous class use.
func (p previousClass) method() string { return downstream.MethodOf(p.class.Idempotency) }

// apply stores new settings that the balancer has accepted, and the balancer's indices of their classes.
func (t *classTable) apply(updated settings.Settings, indices []int) {
	for _, name := range slices.Sorted(maps.Keys(t.previous)) {
		if t.now >= t.previous[name].until {
			delete(t.previous, name)
		}
	}
	for i, old := range t.cfg.Settings.Config.Classes {
		for _, c := range updated.Config.Classes {
			if c.Name == old.Name && c.Idempotency != old.Idempotency {
				t.previous[c.Name] = previousClass{class: old, index: t.indices[i],
					until: t.now + previousClassTTL}
			}
		}
	}
	// Zones keep their present numbers, by which endpoints and the balancer refer to them.
	updated.Gateway.Zones = t.cfg.Settings.Gateway.Zones
	t.cfg.Settings, t.indices = updated, indices
	t.stats.countClasses(updated.Config.Classes)
}

// find returns the class that a request names, given the request's HTTP method. For previousClassTTL after the
// idempotency of a class has changed, a request may still use the method of the former idempotency; the
// stricter of the two then applies.
func (t *classTable) find(name, method string) (downstream.Class, bool) {
	for i, c := range t.cfg.Settings.Config.Classes {
		if c.Name != name {
			continue
		}
		found := downstream.Class{Name: name, Index: t.indices[i],
			Method: downstream.MethodOf(c.Idempotency), Class: c}
		previous, ok := t.previous[name]
		if ok && t.now < previous.until && method == previous.method() && method != found.Method {
			found.Method = method
			if previous.class.Idempotency > c.Idempotency {
				found.Index, found.Class = previous.index, previous.class
			}
		}
		return found, true
	}
	return downstream.Class{}, false
}

// begin registers the classes of the initial settings.
func (t *classTable) begin() {
	for i := range t.cfg.Settings.Config.Classes {
		t.indices = append(t.indices, i)
	}
	t.stats.countClasses(t.cfg.Settings.Config.Classes)
}
