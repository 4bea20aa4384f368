package gateway

import (
	"maps"
	"slices"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/loop"
	"thymebend/internal/settings"
)

// formerFor is how long requests worded for a class as it was before it changed are still taken.
const formerFor = 3 * time.Second

// formerly is a class as it was before the last change of its effect.
type formerly struct {
	class balancer.Class
	place int
	until time.Duration
}

// readFiles asks for the files that a reload takes anew. They come in the order in which they were asked for.
func (g *Gateway) readFiles() {
	paths := []string{g.cfg.Path}
	if g.cfg.GossipPath != "" {
		paths = append(paths, g.cfg.GossipPath)
	}
	for _, path := range paths {
		g.reading = append(g.reading, path)
		g.ask(loop.Effect{Op: loop.ReadFile, Path: path})
	}
}

func (g *Gateway) fileRead(e loop.Event) {
	path := g.reading[0]
	if g.reading = g.reading[1:]; path == g.cfg.GossipPath {
		g.reloadFleet(e.Data, e.Err)
		return
	}
	g.reload(e.Data, e.Err)
}

// retune takes new settings that the module has taken, with the places of their classes.
func (g *Gateway) retune(fresh settings.Settings, places []int) {
	for _, name := range slices.Sorted(maps.Keys(g.former)) {
		if g.now >= g.former[name].until {
			delete(g.former, name)
		}
	}
	for i, old := range g.cfg.Settings.Config.Classes {
		for _, c := range fresh.Config.Classes {
			if c.Name == old.Name && c.Idempotency != old.Idempotency {
				g.former[c.Name] = formerly{class: old, place: g.places[i], until: g.now + formerFor}
			}
		}
	}
	// Sites keep the numbers that they have: hosts and the module know them by these.
	fresh.Gateway.Zones = g.cfg.Settings.Gateway.Zones
	g.cfg.Settings, g.places = fresh, places
	g.countClasses()
}

// longest is the longest deadline of the classes.
func (g *Gateway) longest() (longest time.Duration) {
	for _, c := range g.cfg.Settings.Config.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// classOf finds the class that a request names, as its method words it. Just after a class has changed its effect,
// requests worded for the old one still come; the stricter of the two effects holds for them.
func (g *Gateway) classOf(name, method string) (downstream.Class, bool) {
	for i, c := range g.cfg.Settings.Config.Classes {
		if c.Name != name {
			continue
		}
		found := downstream.Class{Name: name, Index: g.places[i], Method: downstream.MethodOf(c.Idempotency), Class: c}
		if f, ok := g.former[name]; ok && g.now < f.until && method == downstream.MethodOf(f.class.Idempotency) && method != found.Method {
			found.Method = method
			if f.class.Idempotency > c.Idempotency {
				found.Index, found.Class = f.place, f.class
			}
		}
		return found, true
	}
	return downstream.Class{}, false
}
