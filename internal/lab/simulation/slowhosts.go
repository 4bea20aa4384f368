package simulation

import (
	"time"

	"golang.org/x/sys/unix"
)

// slowHostsProfile plays hosts that write long answers slowly, in chunks, so that an answer is known to be long only late. No
// seed selects it by default, so that each seed keeps its plan.
const slowHostsProfile = "slow-hosts"

// The pads of long answers in this profile, in bytes. At slowRate the longest takes 2.3 s.
const (
	minSlowPad = 70_000
	maxSlowPad = 150_000
)

// drawSlowAnswer makes the long answers of a run with slow hosts ones in chunks.
func (d *planDrawer) drawSlowAnswer(r *Request) {
	if r.Behaviour == "" && r.Pad > 0 {
		r.Unsafe, r.Body, r.Chunks, r.Pad, r.Retries = false, 0, true, d.between(minSlowPad, maxSlowPad), 0
	}
}

// writeSlowly writes an answer at slowRate. The client may wait for its end for as long as that takes.
func (h *host) writeSlowly(c *hostConn, id string, answer []byte) {
	s := h.run
	_, begun := s.slowAnswers[id]
	if !begun {
		s.slowAnswers[id] = s.sim.Now()
	}
	n, err := c.end.Write(answer[:min(slowPiece, len(answer))])
	switch {
	case err != nil && err != unix.EAGAIN:
		return // the gateway has closed the connection
	case n == len(answer):
		s.sim.After(0, func() { h.onReadable(c) })
		return
	}
	pause := slowInterval
	if !begun {
		pause = h.pauseAfter(n)
	}
	s.sim.After(pause, func() {
		if h.up {
			h.writeSlowly(c, id, answer[n:])
		}
	})
}

// slowAnswerMargin is how long before the end of a client's time a long answer must have begun, so that its first bytes
// reach the client in time.
const slowAnswerMargin = 400 * time.Millisecond

// isGettingSlowAnswer reports whether the first bytes of an answer that its host writes slowly have come in time.
func (c *client) isGettingSlowAnswer() bool {
	_, slow := c.run.slowAnswers[c.id]
	return slow && len(c.inbox) > 0
}

// checkSlowAnswer records a finding for a client that got another answer, or none, although a host had begun to write a
// long one in time and went on.
func (c *client) checkSlowAnswer(status int) {
	begunAt, slow := c.run.slowAnswers[c.id]
	if profile := c.run.plan.Profile; !slow || status == 200 || profile != slowHostsProfile && profile != blockedPeersProfile {
		return
	}
	if left := c.sentAt + msec(c.req.TimeoutMS) - begunAt; left > slowAnswerMargin {
		c.run.addFinding(AnswerCutOff, c.id, "%s answered %d though a host had begun a long answer %v before the client's time was over",
			c.gateway.name, status, left)
	}
}
