package simulation

import (
	"bytes"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// slowPeersProfile plays clients that read or write slowly, that send only empty lines, or that leave behind a long body,
// and hosts that read nothing, on connections with the kernel's buffers. No seed selects it by default, so that each seed
// keeps its plan.
const slowPeersProfile = "slow-peers"

// The behaviours of clients that only this profile draws.
const (
	slowRead   = "slow-read"  // reads a long answer at slowRate
	slowWrite  = "slow-write" // sends a long body at slowRate
	emptyLines = "empty"      // sends only line ends, as fast as the connection takes them
	gone       = "gone"       // sends a long request at once and leaves
)

// A slow client reads or writes slowPiece bytes at each slowInterval, which is slowRate bytes a second.
const (
	slowPiece    = 3200
	slowInterval = 50 * time.Millisecond
	slowRate     = 64_000
)

// slowReadLatestMS is when a client that reads slowly asks at the latest, in ms after the start of the traffic: reading takes
// long, and the run ends after it.
const slowReadLatestMS = 1500

// drawSlowPeer makes some requests those of slow clients.
func (d *planDrawer) drawSlowPeer(r *Request) {
	switch {
	case r.Behaviour == gone:
		r.Unsafe, r.Body = true, d.between(200_000, 400_000)
	case r.Behaviour != "":
	case d.enabled["slow-read"] && r.AtMS < slowReadLatestMS && d.rng.IntN(12) == 0:
		r.Unsafe, r.Behaviour, r.Body, r.Pad, r.Retries = false, slowRead, 0, d.between(2_300_000, 2_600_000), 0
	case d.enabled["slow-write"] && d.rng.IntN(10) == 0:
		r.Unsafe, r.Behaviour, r.Body, r.Pad, r.Retries = true, slowWrite, d.between(70_000, 200_000), 0, 0
	}
}

// slowMS returns for how many ms a slow client reads or writes.
func (r Request) slowMS() int {
	switch r.Behaviour {
	case slowRead:
		return r.Pad*1000/slowRate + 2*r.TimeoutMS
	case slowWrite:
		return r.Body*1000/slowRate + 2*r.TimeoutMS
	}
	return 0
}

// clientBuffers returns the buffers of the clients' connections.
func (s *simulator) clientBuffers() buffers {
	if s.plan.Profile == blockedPeersProfile {
		return blockedBuffers()
	}
	if s.plan.KernelBuffers {
		return kernelBuffers()
	}
	return buffers{}
}

// isReadingSlowly reports whether the first bytes of an answer have come in time to a client that reads slowly. The rest of
// a long answer has no time of its own.
func (c *client) isReadingSlowly() bool { return c.req.Behaviour == slowRead && len(c.inbox) > 0 }

// hasSlowReader reports whether a client still reads a long answer of a gateway: a process cannot end before.
func (s *simulator) hasSlowReader(g *gatewayNode) bool {
	return slices.ContainsFunc(s.slowReaders, func(c *client) bool { return c.gateway == g && !c.ended })
}

// readSlowly reads a piece of the answer, and the next one after slowInterval.
func (c *client) readSlowly() {
	if c.end.ready != nil {
		c.end.ready = nil
		c.run.slowReaders = append(c.run.slowReaders, c)
	}
	c.inbox = append(c.inbox, c.end.Read(slowPiece)...)
	// Shorter bytes are a whole answer only if it is no answer of a host; parsing a long one at each piece would take the
	// square of its pieces.
	if served := bytes.HasPrefix(c.inbox, []byte("HTTP/1.1 200")); !served || len(c.inbox) > c.req.Pad || c.end.ReadEnded() {
		c.handleInbox()
	}
	if !c.ended {
		c.run.sim.After(slowInterval, func() {
			if !c.ended {
				c.readSlowly()
			}
		})
	}
}

// checkCutOff records a finding for an answer that ends before its last byte, unless its gateway was told to end or was
// killed: nothing else in this profile ends an answer.
func (c *client) checkCutOff() {
	if c.req.Behaviour != slowRead || !bytes.HasPrefix(c.inbox, []byte("HTTP/1.1 200")) {
		return
	}
	g := c.gateway
	if len(g.stops) == 0 && len(g.kills) == 0 && g.upgradeUntil == 0 {
		c.run.addFinding(AnswerCutOff, c.id, "%s ended an answer after %d bytes that its client was reading", g.name, len(c.inbox))
	}
}

// sendSlowly sends a request at slowRate. Its connection is an open one for a gateway that is told to end meanwhile.
func (c *client) sendSlowly(text []byte) {
	if c.ended {
		return
	}
	n, err := c.end.Write(text[:min(slowPiece, len(text))])
	switch {
	case err != nil && err != unix.EAGAIN:
		return // an answer that has arrived is still read
	case n == len(text):
		c.markSent()
		return
	}
	c.run.sim.After(slowInterval, func() { c.sendSlowly(text[n:]) })
}

// floodEmptyLines sends line ends as fast as the connection takes them, and verifies that the client receives an error or a
// close within stoppedClientDeadline.
func (c *client) floodEmptyLines() {
	block := bytes.Repeat([]byte("\r\n"), 8<<10)
	var send func()
	send = func() {
		if c.ended {
			return
		}
		if _, err := c.end.Write(block); err == nil || err == unix.EAGAIN {
			c.run.sim.After(time.Millisecond, send)
		}
	}
	send()
	c.expectErrorOrClose("that sent only empty lines")
}

// sendAndLeave sends a request at once and closes the connection.
func (c *client) sendAndLeave(text []byte) {
	if n, err := c.end.Write(text); err == nil && n == len(text) {
		c.sent = true
	}
	c.finish("left")
}

// leftClientGrace is how long after its client has left an attempt may begin.
const leftClientGrace = 100 * time.Millisecond

// checkClientPresent verifies that a host does not get the whole request of a client that had left before the attempt
// began. The end of a client's sending takes its time on the network.
func (s *simulator) checkClientPresent(h *host, id string, firstByteAt time.Duration) {
	leftAt, left := s.leftAt[id]
	if noticed := leftAt + leftClientGrace + s.net.Latency + s.net.Jitter; left && firstByteAt > noticed {
		s.addFinding(LeftClientServed, id, "%s got it whole, sent %v after its client had left", h.name, firstByteAt-leftAt)
	}
}

// hearAgain makes a host that has read nothing read what has arrived.
func (h *host) hearAgain() {
	h.deaf = false
	for _, c := range slices.Clone(h.conns) {
		h.onReadable(c)
	}
}
