package simulation

import (
	"bytes"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"thymebend/internal/lab/requestrecord"
)

// timeoutSlack is how long a client waits for a response after its timeout; every time limit on sockets has this
// slack.
const timeoutSlack = 50 * time.Millisecond

// deathNoticeDelay is how long the front load balancer keeps sending to a gateway that has died.
const deathNoticeDelay = time.Second

// client is one attempt by a client to make one request.
type client struct {
	run          *simulator
	req          Request
	requestIndex int // index of the request in the plan
	attempt      int // 0 for the first attempt at the request
	id           string
	gateway      *gatewayNode
	end          *End
	reused       bool // the connection carried a request before
	inbox        []byte
	ended        bool
	sentAt       time.Duration // when the last byte of the request was written
	sent         bool          // the last byte of the request is written
	resent       bool          // the request was sent a second time because the connection closed without reading it
	awaitedReset bool          // the client has waited for the reset that may follow a close
	repeated     bool          // the client has left before and sends the same id again
	unsafeViews  bool          // the client used settings in which the class tender-view is unsafe (not idempotent)
	pending      []byte        // rest of a large request, not yet accepted by the connection
}

// startRequest starts one attempt at request n of the plan, on an idle connection or on a new one.
func (s *simulator) startRequest(n int, r Request, try int) {
	s.lastID++
	c := &client{run: s, req: r, requestIndex: n, attempt: try, id: fmt.Sprintf("%08x", s.lastID)}
	if c.gateway = s.pickGateway(); c.gateway == nil {
		return
	}
	class := "tender-view"
	if r.Unsafe {
		class = "bid-lodge"
	}
	c.unsafeViews = s.unsafeViews
	_ = s.clients.Add(requestrecord.Attempt{ID: c.id, Request: n, Number: try, Class: class, Unsafe: r.Unsafe ||
		c.unsafeViews, Target: c.gateway.name,
		Due: s.sim.Now()})
	s.sim.Note("client %s asks %s", c.id, c.gateway.name)
	s.attempts++
	if r.Behaviour == "" && !r.NewConnection || r.Behaviour == "stop" && r.Pieces%2 == 0 {
		if l := s.takeIdle(c.gateway); l != nil {
			c.end, c.reused = l.end, true
			c.end.ready = c.onReadable
			c.write()
			return
		}
	}
	c.dial()
}

// takeIdle removes an idle connection to a gateway from the idle ones and returns it, or nil.
func (s *simulator) takeIdle(gw *gatewayNode) *idleLink {
	for i, l := range s.idle {
		if l.gateway == gw && !l.end.ReadEnded() && len(l.end.inbox) == 0 {
			s.idle = append(s.idle[:i:i], s.idle[i+1:]...)
			return l
		}
	}
	return nil
}

func (c *client) dial() {
	c.reused, c.inbox = false, nil
	c.end = c.run.net.DialBuffered(c.gateway.addr, nil, c.run.clientBuffers(), func(err error) {
		if c.ended {
			return
		}
		if err != nil {
			c.finish("connect refused")
			return
		}
		c.end.ready = c.onReadable
		c.write()
	})
	end := c.end
	c.run.sim.After(msec(c.req.TimeoutMS), func() {
		if !c.ended && !c.sent && c.end == end {
			c.finish("never connected")
		}
	})
}

func (c *client) encode() []byte {
	mark := ""
	if c.attempt > 0 {
		mark = "X-Second-Try: 1\r\n"
	}
	query := ""
	if c.req.Pad > 0 {
		query = fmt.Sprintf("?pad=%d", c.req.Pad)
		if c.req.Chunks {
			query += "&how=chunks"
		}
	}
	path, class, body := "/tender-view/7", "tender-view", []byte(nil)
	if c.req.Unsafe {
		path, class, body = "/bid-lodge", "bid-lodge", fmt.Appendf(nil, "%040d", c.requestIndex)
		body = append(body, bytes.Repeat([]byte{'b'}, c.req.Body)...)
	}
	if !c.req.Unsafe && !c.unsafeViews {
		return fmt.Appendf(nil,
			"GET %s%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n%s\r\n",
			path, query, c.id, class, c.req.TimeoutMS, mark)
	}
	head := fmt.Appendf(nil, "POST %s%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n%s",
		path, query, c.id, class, c.req.TimeoutMS, mark)
	if c.req.Chunks && len(body) > 0 {
		return append(append(head, "Transfer-Encoding: chunked\r\n\r\n"...), chunked(body)...)
	}
	return append(fmt.Appendf(head, "Content-Length: %d\r\n\r\n", len(body)), body...)
}

// chunked encodes a body in chunks.
func chunked(body []byte) (out []byte) {
	for len(body) > 0 {
		n := min(len(body), 9973)
		out = append(append(fmt.Appendf(out, "%x;n=%d\r\n", n, n), body[:n]...), "\r\n"...)
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

// writePending writes as much of a large request as there is room for.
func (c *client) writePending() {
	n, err := c.end.Write(c.pending)
	switch {
	case err == unix.EAGAIN || err == nil && n < len(c.pending):
		c.pending = c.pending[n:]
	case err != nil:
		c.pending = nil // a response that has arrived is still read
	default:
		c.pending = nil
		c.markSent()
	}
}

func (c *client) write() {
	text := c.encode()
	switch c.req.Behaviour {
	case "silent": // connects and sends nothing
		c.run.sim.After(msec(c.req.TimeoutMS), func() { c.finish("said nothing") })
		return
	case "half":
		_, _ = c.end.Write(text[:len(text)/2])
		c.run.sim.After(50*time.Millisecond, func() { c.finish("half a request") })
		return
	case "garbage":
		_, _ = c.end.Write([]byte("\x00\x01nonsense\r\n\r\nContent-Length: -1\r\n\r\n"))
		c.run.sim.After(3*time.Second, func() {
			if !c.ended {
				c.run.addFinding("rude client not answered", c.id, "neither an error nor a close within 3 s")
			}
			c.finish("garbage")
		})
		return
	case "stop":
		c.sendPart(text[:int(c.req.SentShare*float64(len(text)))], max(1, c.req.Pieces))
		return
	case "trickle":
		c.trickle(text)
		return
	case slowWrite:
		c.sendSlowly(text)
		return
	case emptyLines:
		c.floodEmptyLines()
		return
	case gone:
		c.sendAndLeave(text)
		return
	case farAhead:
		c.sendFarAhead(text)
		return
	case hoard:
		c.sendPart(text[:len(text)-1], 1)
		return
	case again:
		if !c.repeated {
			c.run.sim.After(c.run.sim.Between(time.Millisecond, 300*time.Millisecond), c.leaveAndComeAgain)
		}
	case "leave":
		c.run.sim.After(c.run.sim.Between(time.Millisecond, 300*time.Millisecond), func() { c.finish("left") })
	}
	if c.req.Body > 0 {
		c.pending = text
		c.writePending()
		return
	}
	n, err := c.end.Write(text)
	if err != nil || n < len(text) {
		c.handleBroken("write")
		return
	}
	c.markSent()
}

// stoppedClientDeadline is how soon a client that stops in the middle of a request must receive an error or a
// close.
const stoppedClientDeadline = 3 * time.Second

// sendPart sends part of a request in the given number of pieces, then nothing more. After the last piece it
// verifies that the client receives an error or a close within stoppedClientDeadline.
func (c *client) sendPart(text []byte, pieces int) {
	if c.ended {
		return
	}
	part := text[:len(text)/pieces]
	n, err := c.end.Write(part)
	switch {
	case err != nil && err != unix.EAGAIN:
		c.finish("closed")
		return
	case err == unix.EAGAIN || n < len(part): // no room: everything that can be sent for now is sent
		c.run.sim.After(10*time.Millisecond, func() { c.sendPart(text[n:], pieces) })
		return
	case pieces > 1:
		c.run.sim.After(msec(c.req.PauseMS), func() { c.sendPart(text[n:], pieces-1) })
		return
	}
	c.expectErrorOrClose("that stopped")
}

// expectErrorOrClose verifies that the client, of which behaviour says what it does, receives an error or a close within
// stoppedClientDeadline from now.
func (c *client) expectErrorOrClose(behaviour string) {
	c.run.sim.After(stoppedClientDeadline+timeoutSlack, func() {
		if !c.ended {
			c.run.addFinding(StoppedClientUnanswered, c.id, "%s told a client %s neither an error nor a close within %v",
				c.gateway.name, behaviour, stoppedClientDeadline)
			c.finish("not heard")
		}
	})
}

func (c *client) trickle(text []byte) {
	if c.ended {
		return
	}
	n := min(len(text), 1+len(text)/6)
	if _, err := c.end.Write(text[:n]); err != nil {
		c.finish("write")
		return
	}
	if n == len(text) {
		c.markSent()
		return
	}
	c.run.sim.After(40*time.Millisecond, func() { c.trickle(text[n:]) })
}

func (c *client) markSent() {
	c.sent = true
	now := c.run.sim.Now()
	c.sentAt = now
	c.run.clients.Update(c.id, func(t *requestrecord.Attempt) { t.FullyWritten, t.Sent = true, now })
	c.run.sim.After(msec(c.req.TimeoutMS)+timeoutSlack, func() {
		if !c.isReadingSlowly() && !c.isGettingSlowAnswer() {
			c.checkSlowAnswer(0)
			c.finish("silence")
		}
	})
}

// handleBroken ends an attempt whose connection broke, or sends its request once more on a new connection if
// the gateway has not read it. The gateway has not read a request on a reused connection if the connection is
// reset before the first byte of a response, unless the network caused the reset.
func (c *client) handleBroken(cause string) {
	if c.reused && !c.resent && !c.awaitedReset && len(c.inbox) == 0 && c.end.fin && !c.end.reset {
		// The close may have crossed the request on the way; the reset that shows this arrives a round trip later.
		c.awaitedReset = true
		end := c.end
		c.run.sim.After(3*(c.run.net.Latency+c.run.net.Jitter)+time.Millisecond, func() {
			if !c.ended && c.end == end {
				c.handleBroken(cause)
			}
		})
		return
	}
	if c.reused && !c.resent && len(c.inbox) == 0 && c.end.reset && !c.end.cutByNetwork {
		c.resent, c.sent = true, false
		c.run.clients.Update(c.id, func(t *requestrecord.Attempt) { t.FullyWritten = false })
		c.end.Close()
		c.dial()
		return
	}
	if c.end.cutByNetwork {
		cause = "cut by the network"
	}
	c.checkCutOff()
	if c.req.Pad > 0 && bytes.HasPrefix(c.inbox, []byte("HTTP/1.1 200")) && len(c.run.plan.Faults) > 0 {
		cause = "half a large answer" // hosts or gateways had faults, and the client can detect the truncation
	}
	c.finish(cause)
}

// finish ends an attempt that got no response.
func (c *client) finish(cause string) {
	if c.ended {
		return
	}
	c.ended = true
	if cause == "left" {
		c.run.leftAt[c.id] = c.run.sim.Now()
	}
	c.run.sim.Note("client %s ends: %s", c.id, cause)
	now := c.run.sim.Now()
	if !c.repeated { // otherwise the record says that the client has left
		c.run.clients.Update(c.id, func(t *requestrecord.Attempt) { t.Ended, t.Cause = now, cause })
	}
	if c.end != nil {
		c.end.ready = nil
		c.end.Close()
	}
	if cause != "left" && c.req.Behaviour == "" {
		c.retry()
	}
}

func (c *client) retry() {
	if c.attempt < c.req.Retries {
		r, n, try := c.req, c.requestIndex, c.attempt+1
		c.run.sim.After(c.run.sim.Between(40*time.Millisecond, 300*time.Millisecond),
			func() { c.run.startRequest(n, r, try) })
	}
}

// pickGateway selects, round-robin, a gateway that the front load balancer does not know to be dead or restarting.
func (s *simulator) pickGateway() *gatewayNode {
	for range s.gateways {
		s.lastPicked++
		g := s.gateways[s.lastPicked%len(s.gateways)]
		if !g.withdrawn && (g.up || s.sim.Now()-g.diedAt < deathNoticeDelay) {
			return g
		}
	}
	return nil
}
