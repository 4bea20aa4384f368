package gateway

import (
	"thymebend/internal/downstream"
	"thymebend/internal/hotrestart"
	"thymebend/internal/invariant"
	"thymebend/internal/usedids"
)

// idRegistry keeps the id of a request that must not run twice from being forwarded again, also after its client has left
// and by the other process of an upgrade.
type idRegistry struct {
	*core
	attempts   *attemptTable
	downstream *downstreamConns
	requests   *requestTable
	restart    *hotRestart

	used   usedids.Set
	unsaid []usedids.ID // ids that the other process of an upgrade has not been told
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

// claim records that a request is about to be forwarded for the first time. It returns false if its id was used meanwhile,
// at the other process of an upgrade.
func (i *idRegistry) claim(req *request) bool {
	if req.claimed || req.invariants.Repeatable() {
		return true
	}
	id := usedids.Of(req.ID)
	if !i.used.Add(id) {
		return false
	}
	req.claimed = true
	if !i.restart.isOnlyProcess() {
		i.unsaid = append(i.unsaid, id)
	}
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

// encoded returns all ids for a process that begins to serve.
func (i *idRegistry) encoded() []byte {
	i.unsaid = nil
	return usedids.Encode(i.used.Recent())
}

// learn adds the ids that the other process has told.
func (i *idRegistry) learn(encoded []byte) {
	for _, id := range usedids.Decode(encoded) {
		i.used.Add(id)
	}
}

// share tells the other process of an upgrade the ids that are new. It is called at the end of each turn of the loop.
func (i *idRegistry) share() {
	if len(i.unsaid) == 0 {
		return
	}
	message := hotrestart.Message{Kind: hotrestart.UsedIDs, IDs: usedids.Encode(i.unsaid)}
	i.unsaid = i.unsaid[:0]
	for _, peer := range []*hotrestart.Conn{i.restart.predecessor, i.restart.successor} {
		if peer != nil && peer.SharesIDs {
			i.restart.send(peer, message, nil)
		}
	}
}
