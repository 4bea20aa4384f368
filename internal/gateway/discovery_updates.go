package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
)

// staleAgentTimeout is how long the agent may have an older list than this gateway before its list numbers
// are taken to have begun anew: several times what a change takes to come. A restarted agent has an old list
// until it is sent the rest.
const staleAgentTimeout = 30 * time.Second

// handleData applies complete lines. The first line answers the poll even if it is a mere heartbeat. Complete
// lines count as notified though one of them is malformed: those before it are applied, and the removals of
// those after it.
func (d *discoveryWatch) handleData(w *discovery.Watch, data []byte) {
	first := !w.Started()
	lines, ended, malformed := w.Feed(d.now, data)
	skip := false // lines after a malformed one
	for _, line := range lines {
		if skip {
			d.applyRemovals(d.endpoints.Removals(line))
			continue
		}
		if d.isStale(w, line) {
			return
		}
		if len(line) == 0 && !first {
			continue
		}
		if err := d.applyLine(w, line, first); err != nil {
			malformed, skip = err, true
			continue
		}
		first = false
	}
	switch {
	case malformed != nil:
		d.watchEnded(w, ReasonMalformedUpdate, malformed)
	case ended:
		d.watchEnded(w, ReasonWatchBroken, nil)
	case w != d.unanswered: // one that keeps its place has the time set by keepUnanswered
		d.setTimer(timerWatch, uint64(w.Conn), w.Deadline())
	}
}

// applyLine applies one line of a watch; of a malformed one the removals.
func (d *discoveryWatch) applyLine(w *discovery.Watch, line []byte, first bool) error {
	var update discovery.Update
	switch {
	case len(line) == 0 || d.staleSince != 0:
	case w != d.current && d.endpoints.Outdated(w, line):
		update = d.endpoints.Removals(line) // must not undo what the current watch has brought since
	default:
		var err error
		if update, err = d.endpoints.Apply(line); err != nil {
			d.applyRemovals(update)
			return err
		}
	}
	if first {
		d.answered(w)
	}
	kind := balancer.Delta
	if update.Snapshot {
		kind = balancer.Snapshot
	}
	d.attempts.endpointsChanged(update.Changed)
	d.assignment.endpointListChanged()
	d.dispatchNeeded = true
	d.notifyBalancer(kind, update.Entries)
	return nil
}

// notifyBalancer passes changes of the list on, with start times on this process's clock.
func (d *discoveryWatch) notifyBalancer(kind balancer.EndpointUpdate, entries []balancer.Endpoint) {
	d.startTimes.Adjust(d.now, kind, entries)
	d.balancer.UpdateEndpoints(d.now, kind, entries)
}

// isStale checks a line of the agent against a newer list that this gateway has. Guards against an old line
// that brings back endpoints known to drain or to be gone: only its removals are applied. It reports whether
// the list numbers are taken to have begun anew instead: then the watch has ended, and the full list is
// requested.
func (d *discoveryWatch) isStale(w *discovery.Watch, line []byte) bool {
	if !d.discoveryPushed() {
		d.staleSince = 0
		return false
	}
	if len(line) > 0 {
		older, err := d.endpoints.Older(line)
		if err != nil || !older {
			d.staleSince = 0 // a malformed line is found where it is applied
			return false
		}
		if d.staleSince == 0 {
			d.log.Warn().Stringer(fieldDiscovery, w.Addr).Msg("the agent has an older list, ignored")
			d.staleSince = d.now
		}
		d.applyRemovals(d.endpoints.Removals(line))
	}
	if d.staleSince == 0 || d.now-d.staleSince < staleAgentTimeout {
		return false
	}
	d.log.Warn().Stringer(fieldDiscovery, w.Addr).Dur(fieldStaleFor, d.now-d.staleSince).
		Msg("the agent's list numbers began anew")
	d.staleSince = 0
	d.endpoints.Renumber()
	d.watchEnded(w, ReasonWatchReplaced, nil)
	return true
}

// applyRemovals removes the endpoints that leave by a line which is not applied otherwise: the line counts as
// notified all the same.
func (d *discoveryWatch) applyRemovals(update discovery.Update) {
	if len(update.Entries) > 0 {
		d.attempts.endpointsChanged(update.Changed)
		d.dispatchNeeded = true
		d.notifyBalancer(balancer.Delta, update.Entries)
	}
}

// takeCached gives the balancer the list that this gateway last had, from its configuration.
func (d *discoveryWatch) takeCached() {
	if len(d.cfg.CachedEndpoints) == 0 {
		d.balancer.UpdateEndpoints(d.now, balancer.CachedSnapshot, nil)
		return
	}
	update, err := d.endpoints.Apply(d.cfg.CachedEndpoints)
	if err != nil {
		d.log.Error().Err(err).Msg("the cached list is not usable")
	}
	d.notifyBalancer(balancer.CachedSnapshot, update.Entries)
}
