package gateway

import (
	"thymebend/internal/downstream"
	"thymebend/internal/invariant"
	"thymebend/internal/usedids"
)

// idRegistry keeps the id of a request that must not run twice from being forwarded again, also after its client has
// left.
type idRegistry struct {
	*core
	attempts   *attemptTable
	downstream *downstreamConns
	requests   *requestTable

	used usedids.Set
}

// inUse reports whether a request must be refused because of its id: an open request has it, or a request that must not
// run twice may have run with it.
func (i *idRegistry) inUse(request downstream.Request) bool {
	if i.requests.openIDs[request.ID] {
		return true
	}
	class := request.Class.Class
	rules := invariant.Request{Idempotency: class.Idempotency, DedupScope: class.DedupScope}
	return !rules.Repeatable() && i.used.Contains(usedids.Of(request.ID))
}

// claim records that a request is about to be forwarded for the first time. It returns false if its id was used meanwhile.
func (i *idRegistry) claim(req *request) bool {
	if req.claimed || req.invariants.Repeatable() {
		return true
	}
	id := usedids.Of(req.ID)
	if !i.used.Add(id) {
		return false
	}
	req.claimed = true
	return true
}

// ended forgets the id of a request that has ended without having run.
func (i *idRegistry) ended(req *request) {
	if req.claimed && req.invariants.MayReject() {
		i.used.Forget(usedids.Of(req.ID))
	}
}

// refuse answers a request whose id was used meanwhile.
func (i *idRegistry) refuse(req *request) {
	conn := i.downstream.conns.ByConn[req.client]
	i.dispatchNeeded = true
	i.balancer.RequestAbandoned(i.now, req.id)
	for _, att := range append([]*attempt(nil), req.running...) {
		i.attempts.end(att, ReasonRequestOver, nil)
	}
	if answered, _ := i.requests.concludeForAnswer(req.id, resultFailed); answered == nil || conn == nil {
		return
	}
	i.logMalformed(conn, req.ID, statusBadRequest, "the id of a request at the other process")
	i.downstream.answer(req, conn, downstream.DuplicateIDResponse(i.downstream.finishRequest(conn)))
}
