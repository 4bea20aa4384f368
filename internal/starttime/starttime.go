// Package starttime tells when endpoints started, on the clock of this process. Discovery states a start as Unix time,
// by the clocks of other machines. This process's own clock is monotonic, but begins at the wall clock of its machine,
// which may be wrong by seconds or by an hour: taken at its word, it would make an endpoint in slow start look warm, or
// keep it in slow start for an hour.
//
// The package does no I/O and reads no clock: the caller passes the time of its own, as Unix time. [StartTimes]
// replaces the starts in each list before the balancer gets it. docs/design/clocks.md gives the reasons.
package starttime

import (
	"time"

	"thymebend/internal/balancer"
)

const (
	// plausibleAge is how long ago the newest start of a first list may lie for this machine's clock to be believed.
	// Beyond it nothing may have started for so long, or the clock is ahead; then the newest start is taken to be now,
	// which costs the few endpoints that started about then one slow start more.
	plausibleAge = 10 * time.Minute
	// notifiedWithin is how soon a start is heard of, as what discovery has counts as notified 6 s later at the latest.
	// One that seems older when it is first heard of, while the list is being followed, is taken to be so old.
	notifiedWithin = 6 * time.Second
)

// StartTimes keeps what is believed of the endpoints listed. The zero value has heard no list. It is used by one
// goroutine.
type StartTimes struct {
	clockLead time.Duration // of this process's clock over discovery's
	judged    bool          // a list with a start has been heard: the lead is no guess any more
	followed  bool          // a list was heard from discovery, so that what is new in the next has just started
	starts    map[balancer.EndpointID]start
}

// start is one start of an endpoint, as Unix time.
type start struct {
	stated   time.Duration // by discovery
	believed time.Duration // on this process's clock
}

// Adjust replaces the starts that a list states by those on this process's clock. A start that was heard before keeps
// its time.
func (s *StartTimes) Adjust(now time.Duration, kind balancer.EndpointUpdate, endpoints []balancer.Endpoint) {
	if s.starts == nil {
		s.starts = make(map[balancer.EndpointID]start)
	}
	s.judgeClock(now, endpoints)
	if kind == balancer.Snapshot {
		s.retain(endpoints)
	}
	for i := range endpoints {
		endpoint := &endpoints[i]
		if endpoint.StartedAt <= 0 {
			continue // long ago, whatever the clocks are
		}
		endpoint.StartedAt = s.believe(now, endpoint.ID, endpoint.StartedAt)
		if endpoint.State == balancer.EndpointRemoved {
			delete(s.starts, endpoint.ID)
		}
	}
	s.followed = s.followed || kind == balancer.Snapshot || kind == balancer.Delta
}

// judgeClock finds out how far this process's clock is ahead of discovery's, as far as a list tells.
func (s *StartTimes) judgeClock(now time.Duration, endpoints []balancer.Endpoint) {
	newest := time.Duration(0)
	for i := range endpoints {
		newest = max(newest, endpoints[i].StartedAt)
	}
	if newest <= 0 {
		return
	}
	age := now - s.clockLead - newest
	if age < 0 || !s.judged && age > plausibleAge {
		s.clockLead = now - newest
	}
	s.judged = true
}

// believe is when an endpoint started, on this process's clock.
func (s *StartTimes) believe(now time.Duration, id balancer.EndpointID, stated time.Duration) time.Duration {
	if known, ok := s.starts[id]; ok && known.stated == stated {
		return known.believed
	}
	believed := min(stated+s.clockLead, now)
	if s.followed {
		believed = max(believed, now-notifiedWithin)
	}
	s.starts[id] = start{stated, believed}
	return believed
}

// retain forgets the endpoints that a snapshot leaves out.
func (s *StartTimes) retain(endpoints []balancer.Endpoint) {
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
