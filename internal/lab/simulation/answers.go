package simulation

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"thymebend/internal/lab/requestrecord"
)

// parseResponse reads a complete response and skips the interim (1xx) ones before it. closed says that the
// gateway has closed the connection. keep reports that the connection stays open after the response, extra that
// bytes follow the response; whole is false while the response is incomplete.
func parseResponse(in []byte, closed bool) (status int, body []byte, keep, extra, whole bool) {
	src := bytes.NewReader(in)
	buffered := bufio.NewReader(src)
	for {
		r, err := http.ReadResponse(buffered, nil)
		if err != nil {
			return 0, nil, false, false, false
		}
		if r.StatusCode < 200 {
			continue
		}
		if r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !closed {
			return 0, nil, false, false, false
		}
		body, err = io.ReadAll(r.Body)
		if err != nil {
			return 0, nil, false, false, false
		}
		return r.StatusCode, body, !r.Close, src.Len()+buffered.Buffered() > 0, true
	}
}

// handleResponse records a complete response and ends the attempt; a request that was not served may be retried.
func (c *client) handleResponse(status int, body []byte, keep bool) {
	if status == 200 {
		body = trimPadding(body, c.req.Pad)
	}
	c.checkSlowAnswer(status)
	if (status == 400 || status == 404 || status == 405 || status == 413) &&
		(c.req.Behaviour == "" || c.req.Behaviour == "trickle") {
		c.run.addFinding(ValidRequestRefused, c.id, "a good request got %d", status)
	}
	c.run.sim.Note("client %s got %d %x", c.id, status, requestrecord.Hash(body))
	c.run.clients.Update(c.id, func(t *requestrecord.Attempt) {
		t.Answers++
		t.Status, t.Hash = status, requestrecord.Hash(body)
	})
	c.run.statuses[status]++
	c.ended = true
	now := c.run.sim.Now()
	c.run.clients.Update(c.id, func(t *requestrecord.Attempt) { t.Ended = now })
	if keep {
		c.keepAlive()
	} else {
		c.end.ready = nil
		c.end.Close()
	}
	if status != 200 {
		c.retry()
	}
}

// trimPadding returns a body without the n bytes of padding that the host was asked to add. Other padding is kept,
// so that the comparison of bodies reports it.
func trimPadding(body []byte, n int) []byte {
	if at := len(body) - n; at >= 0 && bytes.Equal(body[at:], bytes.Repeat([]byte{'p'}, n)) {
		return body[:at]
	}
	return body
}

// keepAlive adds the client's connection to the idle ones. Whatever arrives on an idle connection is counted as
// an unsolicited response.
func (c *client) keepAlive() {
	l := &idleLink{end: c.end, gateway: c.gateway}
	c.run.idle = append(c.run.idle, l)
	id := c.id
	c.end.ready = func() {
		if len(l.end.inbox) > 0 {
			l.end.Read(1 << 20)
			c.run.clients.Update(id, func(t *requestrecord.Attempt) { t.Answers++ })
		}
		if l.end.ReadEnded() {
			// The time at which the gateway closed the connection decides, not the time at which the client
			// notices.
			if p := l.end.peer; p != nil && !l.end.cutByNetwork && p.endedAt > 0 && p.endedAt >= l.gateway.upgradeFrom &&
				p.endedAt <= l.gateway.upgradeUntil {
				c.run.addFinding(IdleClosedDuringUpgrade, id, "%s closed a link at rest during an upgrade", l.gateway.name)
			}
			l.end.Close()
			for i, x := range c.run.idle {
				if x == l {
					c.run.idle = append(c.run.idle[:i:i], c.run.idle[i+1:]...)
					break
				}
			}
		}
	}
}

func (c *client) onReadable() {
	if c.ended {
		return
	}
	if len(c.pending) > 0 && !c.end.reset {
		c.writePending()
	}
	if c.req.Behaviour == slowRead {
		c.readSlowly()
		return
	}
	c.inbox = append(c.inbox, c.end.Read(1<<20)...)
	c.handleInbox()
}

// handleInbox handles a response that has arrived completely, or the end of the connection.
func (c *client) handleInbox() {
	if len(c.inbox) > 0 {
		if status, body, keep, extra, whole := parseResponse(c.inbox, c.end.fin); whole {
			if c.req.Behaviour == farAhead { // what it sent behind its request is answered with an error
				c.finish("left")
				return
			}
			if extra { // an unsolicited response
				c.run.clients.Update(c.id, func(t *requestrecord.Attempt) { t.Answers++ })
			}
			c.handleResponse(status, body, keep && !extra)
			return
		}
	}
	if c.end.ReadEnded() {
		if c.req.Behaviour == "stop" {
			c.finish("closed")
			return
		}
		c.handleBroken("closed")
	}
}
