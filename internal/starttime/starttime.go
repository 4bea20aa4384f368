// Package starttime converts the start times of endpoints to the clock of this process. Discovery reports a start time
// as Unix time, taken from the clocks of other machines. The clock of this process is monotonic but was initialized
// from the wall clock of its machine, which may be wrong by seconds or by an hour. Without conversion, an endpoint in
// slow start could appear warm, or stay in slow start for an hour.
//
// The package does no I/O and reads no clock: the caller passes its current time, as Unix time. [StartTimes] replaces
// the start times in each endpoint list before the balancer receives it. docs/design/clocks.md gives the reasons.
package starttime

import (
	"time"

	"thymebend/internal/balancer"
)

const (
	// maxPlausibleAge is the maximum age of the newest start in the first list for which this machine's clock is
	// trusted. If the newest start is older, either no endpoint has started for that long or the clock is ahead. The
	// newest start is then assumed to be now, which costs the few endpoints that started about the same time an
	// additional slow start.
	maxPlausibleAge = 10 * time.Minute
	// maxNotificationDelay is the maximum time until this process is notified of a start: a change in discovery counts
	// as notified after 6 s at the latest. Once a list was received from discovery, a new start that appears to be
	// older is assumed to have this age.
	maxNotificationDelay = 6 * time.Second
)

// StartTimes converts start times and keeps those of all listed endpoints. The zero value has received no list. It is
// not safe for concurrent use.
type StartTimes struct {
	clockLead     time.Duration // how far this process's clock is ahead of discovery's
	leadEstimated bool          // a list with a start time was received, so clockLead is an estimate
	listReceived  bool          // a list was received from discovery, so endpoints new in later lists have just started
	starts        map[balancer.EndpointID]start
}

// start is the start time of an endpoint, as Unix time on two clocks.
type start struct {
	reported time.Duration // by discovery, on the clocks of other machines
	adjusted time.Duration // on this process's clock
}

// Adjust replaces the start times in a list by those on this process's clock, in place. A start time that was reported
// before for the same endpoint keeps its adjusted time. now is the current time of this process.
func (s *StartTimes) Adjust(now time.Duration, kind balancer.EndpointUpdate, endpoints []balancer.Endpoint) {
	if s.starts == nil {
		s.starts = make(map[balancer.EndpointID]start)
	}
	s.estimateClockLead(now, endpoints)
	if kind == balancer.Snapshot {
		s.forgetUnlisted(endpoints)
	}
	for i := range endpoints {
		endpoint := &endpoints[i]
		if endpoint.StartedAt <= 0 {
			continue // started long ago; independent of the clocks
		}
		endpoint.StartedAt = s.adjustStart(now, endpoint.ID, endpoint.StartedAt)
		if endpoint.State == balancer.EndpointRemoved {
			delete(s.starts, endpoint.ID)
		}
	}
	s.listReceived = s.listReceived || kind == balancer.Snapshot || kind == balancer.Delta
}

// estimateClockLead updates the estimate of how far this process's clock is ahead of discovery's. A newest start in the
// future shows that the clock is behind; for one of implausible age see maxPlausibleAge.
func (s *StartTimes) estimateClockLead(now time.Duration, endpoints []balancer.Endpoint) {
	newest := time.Duration(0)
	for i := range endpoints {
		newest = max(newest, endpoints[i].StartedAt)
	}
	if newest <= 0 {
		return
	}
	age := now - s.clockLead - newest
	if age < 0 || !s.leadEstimated && age > maxPlausibleAge {
		s.clockLead = now - newest
	}
	s.leadEstimated = true
}

// adjustStart returns and keeps the start time of an endpoint on this process's clock; reported is that of discovery.
func (s *StartTimes) adjustStart(now time.Duration, id balancer.EndpointID, reported time.Duration) time.Duration {
	if known, ok := s.starts[id]; ok && known.reported == reported {
		return known.adjusted
	}
	adjusted := min(reported+s.clockLead, now)
	if s.listReceived {
		adjusted = max(adjusted, now-maxNotificationDelay)
	}
	s.starts[id] = start{reported, adjusted}
	return adjusted
}

// forgetUnlisted deletes the start times of endpoints that a snapshot does not contain.
func (s *StartTimes) forgetUnlisted(endpoints []balancer.Endpoint) {
	listed := make(map[balancer.EndpointID]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
	}
	for id := range s.starts {
		if !listed[id] {
			delete(s.starts, id)
		}
	}
}
