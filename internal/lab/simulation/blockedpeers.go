package simulation

import (
	"bytes"
	"time"
)

// blockedPeersProfile plays bytes and closes that wait in a client's kernel because the gateway's receive buffer is full: of
// clients that write long bodies while hosts read nothing, and of clients that send far ahead and leave. Its hosts that
// write slowly pause within their answers. No seed selects it by default, so that each seed keeps its plan.
const blockedPeersProfile = "blocked-peers"

// farAhead is the behaviour of clients that send far ahead of the answer and leave, which only this profile draws.
const farAhead = "far-ahead"

// Figures of this profile. A body exceeds the buffers to its host and of the gateway; what is sent ahead exceeds what
// the gateway holds and its receive buffer.
const (
	minBlockedBody   = 450_000
	maxBlockedBody   = 900_000
	farAheadBytes    = 600_000
	farAheadMaxStay  = 200 * time.Millisecond
	answerPause      = 1200 * time.Millisecond
	bytesBeforePause = slowPiece
)

// blockedBuffers are the buffers of a client whose kernel takes a whole body at once, while the gateway's receive buffer
// holds little of it.
func blockedBuffers() buffers {
	return buffers{send: 4 << 20, receive: 128 << 10, windowed: true}
}

// drawBlockedPeer makes some requests those of this profile.
func (d *planDrawer) drawBlockedPeer(r *Request) {
	switch {
	case r.Behaviour == farAhead:
		r.Unsafe, r.Body, r.Pad, r.Chunks = true, 0, 0, false
	case r.Behaviour != "":
	case d.rng.IntN(12) == 0:
		r.Unsafe, r.Body, r.Pad, r.Retries = true, d.between(minBlockedBody, maxBlockedBody), 0, 0
	case d.rng.IntN(12) == 0:
		r.Pad = minSlowPad
		d.drawSlowAnswer(r)
	default:
		r.Body, r.Pad = 0, 0
	}
}

// sendFarAhead sends a request with bytes behind it that begin no further request, and leaves after a while.
func (c *client) sendFarAhead(text []byte) {
	ahead := append(bytes.Clone(text), bytes.Repeat([]byte{'z'}, farAheadBytes)...)
	if n, err := c.end.Write(ahead); err == nil && n == len(ahead) {
		c.sent = true
	}
	c.run.sim.After(c.run.sim.Between(time.Millisecond, farAheadMaxStay), func() { c.finish("left") })
}

// pauseAfter returns how long a host that writes slowly waits for its next piece.
func (h *host) pauseAfter(written int) time.Duration {
	if h.run.plan.Profile == blockedPeersProfile && written == bytesBeforePause {
		return answerPause
	}
	return slowInterval
}

// unread returns the number of bytes in the receive buffer of this end, and whether the peer's kernel holds more.
func (e *End) unread() (size int, full bool) {
	if !e.buffers.windowed {
		return len(e.inbox), e.peer != nil && e.peer.space <= 0
	}
	e.refill()
	return e.window, len(e.inbox) > e.window
}

// refill lets more bytes of the peer into the receive buffer. As in the kernel that happens only once half of it is free:
// a segment uses its memory until its last byte is read.
func (e *End) refill() {
	if e.window <= e.buffers.receive/2 {
		e.window = min(len(e.inbox), e.buffers.receive)
	}
}
