package gateway

import (
	"maps"
	"slices"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/settings"
)

// previousClassTTL is how long requests worded for a class as it was before it changed are still taken.
const previousClassTTL = 3 * time.Second

// classTable finds the class of a request, also just after the settings have changed it.
type classTable struct {
	*core
	indices  []int                    // of the settings' classes in the balancer
	previous map[string]previousClass // classes that changed lately, by name
}

// previousClass is a class as it was before its idempotency last changed.
type previousClass struct {
	class balancer.Class
	index int
	until time.Duration
}

// method is the HTTP method by which requests of the class were worded.
func (p previousClass) method() string { return downstream.MethodOf(p.class.Idempotency) }

// apply takes new settings that the balancer has taken, with the indices of their classes in it.
func (t *classTable) apply(fresh settings.Settings, indices []int) {
	for _, name := range slices.Sorted(maps.Keys(t.previous)) {
		if t.now >= t.previous[name].until {
			delete(t.previous, name)
		}
	}
	for i, old := range t.cfg.Settings.Config.Classes {
		for _, c := range fresh.Config.Classes {
			if c.Name == old.Name && c.Idempotency != old.Idempotency {
				t.previous[c.Name] = previousClass{class: old, index: t.indices[i],
					until: t.now + previousClassTTL}
			}
		}
	}
	// Zones keep the numbers that they have: endpoints and the balancer know them by these.
	fresh.Gateway.Zones = t.cfg.Settings.Gateway.Zones
	t.cfg.Settings, t.indices = fresh, indices
	t.stats.countClasses(fresh.Config.Classes)
}

// find finds the class that a request names, as its method words it. Just after the idempotency of a class
// has changed, requests worded for the old one still come; the stricter of the two holds for them.
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

// begin takes the classes of the first settings.
func (t *classTable) begin() {
	for i := range t.cfg.Settings.Config.Classes {
		t.indices = append(t.indices, i)
	}
	t.stats.countClasses(t.cfg.Settings.Config.Classes)
}
