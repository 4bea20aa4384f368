// Package starttime tells when servers started, on the clock of this process. The list states a start as Unix time, by the clocks of
// other machines. This process's own clock is monotonic, but begins at the wall clock of its machine, which may be wrong by
// seconds or by an hour: taken at its word, it would make a server in slow start look warm, or keep it cold for an hour.
//
// The package is pure: the caller passes the time of its own clock.
package starttime

import (
	"time"

	"thymebend/internal/balancer"
)

const (
	// plausibleAge is how long ago the newest start of a first list may lie for this machine's clock to be believed. Beyond it nothing
	// may have started for so long, or the clock is ahead; then the newest start is taken to be now, which costs the few servers
	// that started about then one slow start more.
	plausibleAge = 10 * time.Minute
	// heardWithin is how soon a start is heard of: what discovery has counts as told 6 s later at the latest. One that seems older when
	// it is first heard of, while the list is being followed, is taken to be so old.
	heardWithin = 6 * time.Second
)

// StartTimes keeps what is believed of the servers listed. The zero value has heard no list.
type StartTimes struct {
	lead     time.Duration // this process's clock is ahead of the list's by so much
	judged   bool          // a list with a start has been heard: the lead is no guess any more
	followed bool          // a list was heard of discovery, so that what is new in the next is news
	known    map[balancer.EndpointID]start
}

// start is one start of a server.
type start struct {
	stated   time.Duration // by the list
	believed time.Duration // on this process's clock
}

// Adjust replaces the starts that entries state by those on this process's clock. A start that was heard before keeps its time.
func (s *StartTimes) Adjust(now time.Duration, kind balancer.EndpointUpdate, entries []balancer.Endpoint) {
	if s.known == nil {
		s.known = make(map[balancer.EndpointID]start)
	}
	s.judge(now, entries)
	if kind == balancer.Snapshot {
		s.keep(entries)
	}
	for i := range entries {
		entry := &entries[i]
		if entry.StartedAt <= 0 {
			continue // long ago, whatever the clocks are
		}
		entry.StartedAt = s.believe(now, entry.ID, entry.StartedAt)
		if entry.State == balancer.EndpointRemoved {
			delete(s.known, entry.ID)
		}
	}
	s.followed = s.followed || kind == balancer.Snapshot || kind == balancer.Delta
}

// judge finds out how far this process's clock is ahead of the list's, as far as the list tells.
func (s *StartTimes) judge(now time.Duration, entries []balancer.Endpoint) {
	newest := time.Duration(0)
	for i := range entries {
		newest = max(newest, entries[i].StartedAt)
	}
	if newest <= 0 {
		return
	}
	age := now - s.lead - newest
	if age < 0 || !s.judged && age > plausibleAge {
		s.lead = now - newest
	}
	s.judged = true
}

// believe is when a server started, on this process's clock.
func (s *StartTimes) believe(now time.Duration, id balancer.EndpointID, stated time.Duration) time.Duration {
	if was, ok := s.known[id]; ok && was.stated == stated {
		return was.believed
	}
	believed := min(stated+s.lead, now)
	if s.followed {
		believed = max(believed, now-heardWithin)
	}
	s.known[id] = start{stated, believed}
	return believed
}

// keep forgets the servers that a whole list leaves out.
func (s *StartTimes) keep(entries []balancer.Endpoint) {
	listed := make(map[balancer.EndpointID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for id := range s.known {
		if !listed[id] {
			delete(s.known, id)
		}
	}
}
