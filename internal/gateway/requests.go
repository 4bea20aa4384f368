package gateway

import (
	"maps"
	"slices"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/buffermemory"
	"thymebend/internal/downstream"
	"thymebend/internal/invariant"
	"thymebend/internal/loop"
)

// requestTable holds the requests that this gateway has accepted and not yet finished.
type requestTable struct {
	*core
	attempts   *attemptTable
	downstream *downstreamConns
	ids        *idRegistry

	byID    map[balancer.RequestID]*request
	openIDs map[string]bool // the clients' ids of the requests that wait for their answer
	nextID  balancer.RequestID
}

// request is one request, from its acceptance to the end of its last attempt.
type request struct {
	downstream.Request
	id         balancer.RequestID
	client     loop.Conn // 0 once the answer is written or the client has left
	deadline   time.Duration
	done       bool       // the final answer is decided, or the client has left
	started    int        // number of attempts started
	running    []*attempt // attempts in progress
	upload     *upload    // its body if that is too large to be buffered, else nil
	memory     buffermemory.Account
	claimed    bool // its id is registered as used
	invariants invariant.Request
}

// add registers a request, with the rules of its class at this time.
func (t *requestTable) add(parsed downstream.Request, conn *downstream.Conn) *request {
	t.nextID++
	deadline := t.now + conn.RemainingTimeout(t.now, parsed.ClientTimeout)
	class := parsed.Class.Class
	req := &request{
		Request: parsed, id: t.nextID, client: conn.ID, deadline: deadline,
		invariants: invariant.Request{
			ID:          parsed.ID,
			Idempotency: class.Idempotency,
			DedupScope:  class.DedupScope,
			DedupWindow: class.DedupWindow,
			Deadline:    deadline,
		},
	}
	t.byID[req.id] = req
	t.openIDs[parsed.ID] = true
	t.settleRequest(req)
	return req
}

// conclude records the final result of a request for its client. It is called once for each request, except for
// those whose response is relayed: see relayEnded.
func (t *requestTable) conclude(req *request, r finalResult) {
	req.done = true
	delete(t.openIDs, req.ID)
	t.stats.countResult(req.Class.Name, r)
	t.logRequestEnded(req, r)
}

// relayEnded records the final result of a request whose response was relayed.
func (t *requestTable) relayEnded(id, class string, r finalResult) {
	delete(t.openIDs, id)
	t.stats.countResult(class, r)
}

// concludeForAnswer concludes a request and returns it with the connection for its answer, which is nil if the
// client has left. It returns nil for both if the request has already ended or may not be answered.
func (t *requestTable) concludeForAnswer(id balancer.RequestID, r finalResult) (*request, *downstream.Conn) {
	req := t.byID[id]
	if req == nil || req.done || !t.invariants.AllowAnswer(&req.invariants) {
		return nil, nil
	}
	t.conclude(req, r)
	t.release(req)
	return req, t.downstream.conns.ByConn[req.client]
}

// release drops a request once it is done and has no attempts in progress.
func (t *requestTable) release(req *request) {
	if req.done && len(req.running) == 0 {
		delete(t.byID, req.id)
		t.ids.ended(req)
		t.buffers.Charge(&req.memory, 0)
	}
}

// abandon ends a request that needs no answer from the balancer any more, and its attempts.
func (t *requestTable) abandon(req *request) {
	req.client = 0
	req.invariants.ClientLeft()
	t.conclude(req, resultFailed) // counted as `faulted`: /ops/stats has no result for clients that left
	t.dispatchNeeded = true
	t.balancer.RequestAbandoned(t.now, req.id)
	for _, att := range append([]*attempt(nil), req.running...) {
		t.attempts.end(att, ReasonClientLeft, nil)
	}
	t.release(req)
}

// answerAll gives every open request its final answer, because SIGKILL may follow soon. It bounds every wait of a request
// in a shutdown: for capacity, for a connection, for the write of its body and for its endpoint.
func (t *requestTable) answerAll() {
	for _, id := range slices.Sorted(maps.Keys(t.byID)) {
		if req := t.byID[id]; !req.done {
			t.answerNow(req)
		}
	}
}

// answerNow ends a request and its attempts without waiting for an endpoint. The answer is a rejection if none of the
// attempts can have run.
func (t *requestTable) answerNow(req *request) {
	conn := t.downstream.conns.ByConn[req.client]
	t.dispatchNeeded = true
	t.balancer.RequestAbandoned(t.now, req.id)
	for _, att := range slices.Clone(req.running) {
		t.attempts.expire(att)
	}
	rejected := req.invariants.MayReject()
	result := resultFailed
	if rejected {
		result = resultRejected
	}
	if answered, _ := t.concludeForAnswer(req.id, result); answered == nil || conn == nil {
		return
	}
	if !rejected {
		t.downstream.answer(req, conn, downstream.FailedResponse(t.downstream.finishRequest(conn)))
		return
	}
	after := t.cfg.Settings.Config.MaxRetryAfter
	t.logRejected(req.ID, rejectedTooLate, after)
	t.downstream.answer(req, conn, downstream.RejectedResponse(after, t.downstream.finishRequest(conn)))
}

// queued returns the number of requests that wait for an attempt.
func (t *requestTable) queued() int { return max(0, len(t.byID)-len(t.attempts.byID)) }

// timeLeft returns the time remaining until the client's timeout, for a request with a large body.
func (t *requestTable) timeLeft(req *request) time.Duration {
	if conn := t.downstream.conns.ByConn[req.client]; conn != nil {
		return conn.RemainingTimeout(t.now, req.ClientTimeout)
	}
	return req.deadline - t.now
}
