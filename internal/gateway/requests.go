package gateway

import (
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/downstream"
	"thymebend/internal/invariant"
	"thymebend/internal/loop"
)

// requestTable holds the requests that this gateway has taken.
type requestTable struct {
	*core
	attempts   *attemptTable
	downstream *downstreamConns

	byID    map[balancer.RequestID]*request
	openIDs map[string]bool // the clients' ids of the requests that await their answer
	nextID  balancer.RequestID
}

// request is one request from its acceptance to the end of its last attempt.
type request struct {
	downstream.Request
	id         balancer.RequestID
	client     loop.Conn // 0 once the client is gone
	deadline   time.Duration
	done       bool       // has its final answer, or its client is gone
	started    int        // attempts
	running    []*attempt // of them
	upload     *upload    // its body, where that is too large to be held
	invariants invariant.Request
}

// add takes a request, with the rules of its class as they are now.
func (t *requestTable) add(read downstream.Request, conn *downstream.Conn) *request {
	t.nextID++
	deadline := t.now + conn.TimeLeft(t.now, read.ClientTimeout)
	class := read.Class.Class
	req := &request{
		Request: read, id: t.nextID, client: conn.ID, deadline: deadline,
		invariants: invariant.Request{
			ID:          read.ID,
			Idempotency: class.Idempotency,
			DedupScope:  class.DedupScope,
			DedupWindow: class.DedupWindow,
			Deadline:    deadline,
		},
	}
	t.byID[req.id] = req
	t.openIDs[read.ID] = true
	return req
}

// conclude notes how a request has ended for its client. Each request passes here once, or is relayed.
func (t *requestTable) conclude(req *request, r finalResult) {
	req.done = true
	delete(t.openIDs, req.ID)
	t.stats.countResult(req.Class.Name, r)
	t.logAnswered(req, r)
}

// relayEnded notes how a request has ended whose response was relayed.
func (t *requestTable) relayEnded(id, class string, r finalResult) {
	delete(t.openIDs, id)
	t.stats.countResult(class, r)
}

// concludeForAnswer concludes a request and returns the connection for its answer, nil if its client is gone.
func (t *requestTable) concludeForAnswer(id balancer.RequestID, r finalResult) (*request, *downstream.Conn) {
	req := t.byID[id]
	if req == nil || req.done || !t.invariants.AllowAnswer(&req.invariants) {
		return nil, nil
	}
	t.conclude(req, r)
	t.release(req)
	return req, t.downstream.conns.ByConn[req.client]
}

// release drops a request once nothing refers to it.
func (t *requestTable) release(req *request) {
	if req.done && len(req.running) == 0 {
		delete(t.byID, req.id)
	}
}

// abandon ends a request to which the balancer owes no answer any more, and its attempts.
func (t *requestTable) abandon(req *request) {
	req.client = 0
	req.invariants.ClientLeft()
	t.conclude(req, outcomeFailed) // counted under `faulted`, as /ops/stats has no class for clients that left
	t.dispatchNeeded = true
	t.balancer.RequestAbandoned(t.now, req.id)
	for _, att := range append([]*attempt(nil), req.running...) {
		t.attempts.end(att, ReasonClientLeft, nil)
	}
	t.release(req)
}

// timeLeft is what the client of a request with a large body has left.
func (t *requestTable) timeLeft(req *request) time.Duration {
	if conn := t.downstream.conns.ByConn[req.client]; conn != nil {
		return conn.TimeLeft(t.now, req.ClientTimeout)
	}
	return req.deadline - t.now
}
