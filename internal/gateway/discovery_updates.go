package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/discovery"
)

// staleAgentTimeout is how long the agent may have an older list than this gateway before the gateway assumes that
// the agent has restarted its list numbers. It is several times the propagation time of a change: a restarted agent
// has an old list until it receives the newer ones.
const staleAgentTimeout = 30 * time.Second

// handleData applies the complete lines of received data. The first line answers the poll, even if it is only
// a heartbeat. This gateway is held responsible for all complete lines even if one of them is malformed. It applies
// the lines before the malformed line completely. Of the malformed line and the lines after it, it applies only the
// removals of endpoints.
func (d *discoveryWatch) handleData(w *discovery.Watch, data []byte) {
	first := !w.Started()
	lines, ended, malformed := w.Feed(d.now, data)
	removalsOnly := false // set after a malformed line
	for _, line := range lines {
		if removalsOnly {
			d.applyRemovals(d.endpoints.ApplyStaleRemovals(line))
			continue
		}
		if d.isStale(w, line) {
			return
		}
		if len(line) == 0 && !first {
			continue
		}
		if err := d.applyLine(w, line, first); err != nil {
			malformed, removalsOnly = err, true
			continue
		}
		first = false
	}
	switch {
	case malformed != nil:
		d.watchEnded(w, ReasonMalformedUpdate, malformed)
	case ended:
		d.watchEnded(w, ReasonWatchBroken, nil)
	case w != d.unanswered: // keepUnanswered has set the timer of d.unanswered
		d.setTimer(timerWatch, uint64(w.Conn), w.Deadline())
	}
}

// applyLine applies one line of a watch. Of a malformed line it applies the removals and returns an error.
func (d *discoveryWatch) applyLine(w *discovery.Watch, line []byte, first bool) error {
	var update discovery.Update
	switch {
	case len(line) == 0 || d.staleSince != 0:
	case w != d.current && d.endpoints.IsOutdated(w, line):
		update = d.endpoints.ApplyStaleRemovals(line) // must not undo newer changes from the current watch
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
	d.shareChanges(update)
	return nil
}

// notifyBalancer passes changes of the list to the balancer, with start times converted to this process's
// clock.
func (d *discoveryWatch) notifyBalancer(kind balancer.EndpointUpdate, entries []balancer.Endpoint) {
	d.startTimes.Adjust(d.now, kind, entries)
	d.balancer.UpdateEndpoints(d.now, kind, entries)
}

// isStale checks a line of the agent against a newer list of this gateway. An old line must not bring back
// endpoints that are known to drain or to be removed, so only its removals are applied. If the agent's list has been
// older for staleAgentTimeout, the agent is assumed to have restarted its list numbers: isStale then ends the watch,
// so that the full list is requested, and returns true.
func (d *discoveryWatch) isStale(w *discovery.Watch, line []byte) bool {
	if !d.discoveryPushed() {
		d.staleSince = 0
		return false
	}
	if len(line) > 0 {
		older, err := d.endpoints.IsOlder(line)
		if err != nil || !older {
			d.staleSince = 0 // applyLine reports a malformed line
			return false
		}
		if d.staleSince == 0 {
			d.log.Warn().Stringer(fieldDiscovery, w.Addr).Msg("the agent has an older list, ignored")
			d.staleSince = d.now
		}
		d.applyRemovals(d.endpoints.ApplyStaleRemovals(line))
	}
	if d.staleSince == 0 || d.now-d.staleSince < staleAgentTimeout {
		return false
	}
	d.log.Warn().Stringer(fieldDiscovery, w.Addr).Dur(fieldStaleFor, d.now-d.staleSince).
		Msg("the agent's list numbers began anew")
	d.staleSince = 0
	d.endpoints.ForgetVersion()
	d.watchEnded(w, ReasonWatchReplaced, nil)
	return true
}

// applyRemovals applies the removals of a line that is not applied otherwise. No attempt may start at an
// endpoint whose removal was received, even in a malformed or outdated line.
func (d *discoveryWatch) applyRemovals(update discovery.Update) {
	if len(update.Entries) > 0 {
		d.attempts.endpointsChanged(update.Changed)
		d.dispatchNeeded = true
		d.notifyBalancer(balancer.Delta, update.Entries)
		d.shareChanges(update)
	}
}

// shareChanges passes the list to the successor of a hot restart if endpoints leave, move or restart.
func (d *discoveryWatch) shareChanges(update discovery.Update) {
	if len(update.Changed) > 0 {
		d.restart.shareList()
	}
}

// takeCached passes the cached endpoint list of the configuration to the balancer. It is the list that this
// gateway last received before its start.
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
