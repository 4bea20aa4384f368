package balancer

import (
	"slices"
	"time"
)

// requestState is a request that has no final answer yet, is still queued, or still has attempts in flight.
type requestState struct {
	Request
	arrivedAt    time.Duration // arrival at the gateway
	firstTriedAt time.Duration // the client's first try
	deadline     time.Duration // when the client abandons the request
	overQuota    bool          // beyond its tenant's quota
	done         bool          // has its final answer
	queued       bool
	inFlight     int // number of attempts in flight
	attempts     []attempt
}

// attempt is one attempt of a request.
type attempt struct {
	endpoint *endpointState
	started  time.Duration
	ended    bool
	neverRan bool // the outcome proves that it did not run
	writing  bool // its request is still being written
}

// mayHaveRun reports whether any attempt is in flight or ended without proof that it did not run.
func (r *requestState) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.neverRan })
}

// activeAttempt returns the attempt with this number, or nil if there is none or it has ended.
func (r *requestState) activeAttempt(number int) *attempt {
	if number < 0 || number >= len(r.attempts) || r.attempts[number].ended {
		return nil
	}
	return &r.attempts[number]
}

// requestTable holds the requests by id. It reuses the memory of released requests, so that in steady state a
// request allocates nothing.
type requestTable struct {
	byID map[RequestID]*requestState
	free []*requestState
}

// add returns a new state for a request and enters it by its id.
func (t *requestTable) add(in Request) *requestState {
	r := t.acquire()
	r.Request = in
	t.byID[in.ID] = r
	return r
}

func (t *requestTable) acquire() *requestState {
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

// release removes a concluded request that is neither queued nor in flight, and reports whether it did so.
func (t *requestTable) release(r *requestState) bool {
	if !r.done || r.inFlight > 0 || r.queued {
		return false
	}
	delete(t.byID, r.ID)
	t.free = append(t.free, r)
	return true
}

// requestQueue holds the queued requests, oldest first.
type requestQueue []*requestState

// insert queues a request by its arrival time: a request that is queued again precedes those that arrived
// later.
func (q *requestQueue) insert(r *requestState) {
	at := len(*q)
	for at > 0 && (*q)[at-1].arrivedAt > r.arrivedAt {
		at--
	}
	*q = slices.Insert(*q, at, r)
	r.queued = true
}

// retain calls keep once for each request, in order, and removes those for which it returns false.
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
