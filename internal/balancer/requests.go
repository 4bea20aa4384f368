package balancer

import (
	"slices"
	"time"
)

// requestState is a request taken and not yet concluded, or one with attempts still in flight.
type requestState struct {
	Request
	arrivedAt    time.Duration // at the gateway
	firstTriedAt time.Duration // when its client first tried
	deadline     time.Duration // when its client gives up
	overQuota    bool          // beyond its tenant's quota
	done         bool          // has its final answer
	queued       bool
	inFlight     int // attempts
	attempts     []attempt
}

// attempt is one attempt of a request.
type attempt struct {
	endpoint *endpointState
	started  time.Duration
	ended    bool
	neverRan bool // known not to have run
	writing  bool // its request is still being written
}

// mayHaveRun reports whether some attempt is not known to have done nothing.
func (r *requestState) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// unended returns the attempt with this number if there is one that has not ended, else nil.
func (r *requestState) unended(number int) *attempt {
	if number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	return &r.attempts[number]
}

// requestTable holds the requests by id, and keeps those that were forgotten for reuse: in steady state a
// request allocates nothing.
type requestTable struct {
	byID map[RequestID]*requestState
	free []*requestState
}

// add enters a request.
func (t *requestTable) add(in Request) *requestState {
	r := t.reuse()
	r.Request = in
	t.byID[in.ID] = r
	return r
}

func (t *requestTable) reuse() *requestState {
	n := len(t.free)
	if n == 0 {
		return &requestState{}
	}
	r := t.free[n-1]
	t.free = t.free[:n-1]
	clear(r.attempts)
	*r = requestState{attempts: r.attempts[:0]}
	return r
}

// forget drops a concluded request once nothing refers to it, and reports whether it did.
func (t *requestTable) forget(r *requestState) bool {
	if !r.done || r.inFlight > 0 || r.queued {
		return false
	}
	delete(t.byID, r.ID)
	t.free = append(t.free, r)
	return true
}

// requestQueue holds the queued requests, oldest first.
type requestQueue []*requestState

// insert queues a request by its arrival: one that is queued again goes before those that came later.
func (q *requestQueue) insert(r *requestState) {
	at := len(*q)
	for at > 0 && (*q)[at-1].arrivedAt > r.arrivedAt {
		at--
	}
	*q = slices.Insert(*q, at, r)
	r.queued = true
}

// retain keeps the requests for which keep is true, in order. keep is called once for each.
func (q *requestQueue) retain(keep func(*requestState) bool) {
	kept := (*q)[:0]
	for _, r := range *q {
		if keep(r) {
			kept = append(kept, r)
		}
	}
	clear((*q)[len(kept):])
	*q = kept
}
