package configsim

import (
	"fmt"
	"slices"
	"time"

	"thymebend/internal/configdist/content"
)

// faultyChange draws a change that adds a faulty route. 3, 50 or 100% of the gateways either reject a configuration
// with this route, or install it and then fail.
func (r *run) faultyChange() []content.Change {
	c := content.Change{Entry: content.Entry{Kind: content.Route, Service: ServiceName(r.rng.IntN(r.size.Services)),
		Name: faultyRoute}}
	prefix := rejectPrefix
	if r.rng.IntN(2) == 0 {
		prefix = failPrefix
	}
	c.Entry.Body = fmt.Sprint(prefix, []int{3, 50, 100}[r.rng.IntN(3)])
	return []content.Change{c}
}

// toggleTenant returns a change that adds a tenant named guest to a random service, or removes it if it exists there.
func (r *run) toggleTenant() []content.Change {
	service := ServiceName(r.rng.IntN(r.size.Services))
	c := content.Change{Entry: content.Entry{Kind: content.Tenant, Service: service, Name: "guest", Body: body(r.rng)}}
	if leader := r.Cluster.Leader(); leader != nil {
		entries := leader.Controller.Store().Head().Tree.Entries(service)
		c.Remove = slices.ContainsFunc(entries, func(e content.Entry) bool { return e.Name == c.Entry.Name })
	}
	return []content.Change{c}
}

// drawChanges schedules ordinary and faulty changes during the phase of faults.
func (r *run) drawChanges() {
	pause := 300*time.Millisecond + r.randomDuration(4*time.Second)
	withFaulty := r.rng.IntN(2) == 0
	for at := startPhase; at < startPhase+faultPhase; at += pause/2 + r.randomDuration(pause) {
		proposeFaulty := withFaulty && r.rng.IntN(6) == 0
		r.At(at, func() {
			switch {
			case r.rng.IntN(4) == 0:
				r.submit(r.toggleTenant())
				return
			case !proposeFaulty:
				r.submit(DrawChange(r.size, r.rng))
				return
			}
			change := r.faultyChange()
			r.Cluster.Submit(change, func(_ content.Ref, err error) {
				if err == nil { // the author replaces it, even if its rollout was stopped
					r.At(r.Now()+2*time.Second, func() { r.replaceFaulty(change) })
				}
			})
		})
	}
}

// replaceFaulty submits a change that makes a faulty route an ordinary one. If the faulty route no longer exists,
// this adds an ordinary route, which does no harm.
func (r *run) replaceFaulty(change []content.Change) {
	c := change[0]
	c.Entry.Body = body(r.rng)
	r.submit([]content.Change{c})
}

// repairChanges returns changes that give each service an ordinary route under the name of the faulty one.
func (r *run) repairChanges() (list []content.Change) {
	for i := range r.size.Services {
		list = append(list, content.Change{Entry: content.Entry{Kind: content.Route, Service: ServiceName(i),
			Name: faultyRoute, Body: body(r.rng)}})
	}
	return list
}
