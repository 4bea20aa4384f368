package gateway

import (
	"slices"
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
	"thymebend/internal/upstream"
)

// A client that has left must not get an attempt, but while its connection is not read the end of its sending may wait
// in its own kernel, behind bytes for which the receive buffer has no room. Before an attempt is written for such a
// client, the gateway sends it one byte of the status line, which begins alike in every response: the machine of a client
// that has closed the connection answers with a reset, and for any other client the byte is the begin of its response.
// A client whose body is streamed is not verified: it may take the byte for a response before it has sent its body.

// presenceTimeout is the time in which the reset of a client that has left arrives. The attempt waits for it.
const presenceTimeout = 20 * time.Millisecond

// presenceValid is how long a client counts as present once that was verified.
const presenceValid = 50 * time.Millisecond

// verifyClient makes an attempt wait until it is known whether its client is still there, and returns true, if the end
// of the client's sending may be hidden. The state of the receive buffer is reported in the same turn of the loop.
func (a *attemptTable) verifyClient(att *attempt) bool {
	client := a.downstream.conns.ByConn[att.request.client]
	if client == nil || !client.ReadingPaused || client.Upload || client.VerifiedAt != 0 && a.now-client.VerifiedAt < presenceValid {
		return false
	}
	client.VerifiedAt, att.awaitsLook = a.now, true
	att.conn.Phase = upstream.Quiet
	a.setTimer(timerUpstream, uint64(att.conn.ID), a.now+presenceTimeout)
	a.emit(loop.Effect{Op: loop.ReportQueues, Conn: client.ID})
	return true
}

// clientObserved continues the attempts that wait for the state of their client's receive buffer. With room in it the
// end of the client's sending would have been reported.
func (a *attemptTable) clientObserved(client *downstream.Conn, queues loop.QueueSizes) {
	req := a.requests.byID[client.RequestID]
	if client.RequestID == 0 || req == nil {
		return
	}
	for _, att := range slices.Clone(req.running) {
		if !att.awaitsLook {
			continue
		}
		att.awaitsLook = false
		if queues.ReceiveFull && a.downstream.writeStatusLineByte(client) {
			continue
		}
		a.stopTimer(timerUpstream, uint64(att.conn.ID))
		a.quietTimeOver(att.conn)
	}
}
