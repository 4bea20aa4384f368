package simulation

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"thymebend/internal/lab/requestrecord"
)

// answer reads a whole answer; extra tells that bytes came past it.
func answer(in []byte, ended bool) (status int, body []byte, keep, extra, whole bool) {
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
		if r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !ended {
			return 0, nil, false, false, false
		}
		body, err = io.ReadAll(r.Body)
		if err != nil {
			return 0, nil, false, false, false
		}
		return r.StatusCode, body, !r.Close, src.Len()+buffered.Buffered() > 0, true
	}
}

func (c *client) answered(status int, body []byte, keep bool) {
	if status == 200 {
		body = unpadded(body, c.req.Pad)
	}
	if (status == 400 || status == 404 || status == 405 || status == 413) &&
		(c.req.Act == "" || c.req.Act == "trickle") {
		c.w.find(Wronged, c.id, "a good request got %d", status)
	}
	c.w.sim.Note("client %s got %d %x", c.id, status, requestrecord.Hash(body))
	c.w.clients.Update(c.id, func(t *requestrecord.Attempt) {
		t.Answers++
		t.Status, t.Hash = status, requestrecord.Hash(body)
	})
	c.w.statuses[status]++
	c.over = true
	now := c.w.sim.Now()
	c.w.clients.Update(c.id, func(t *requestrecord.Attempt) { t.Ended = now })
	if keep {
		c.keepAlive()
	} else {
		c.end.ready = nil
		c.end.Close()
	}
	if status != 200 {
		c.again()
	}
}

// unpadded is a body without what the host was asked to add. One that is added otherwise is left, and found.
func unpadded(body []byte, n int) []byte {
	if at := len(body) - n; at >= 0 && bytes.Equal(body[at:], bytes.Repeat([]byte{'p'}, n)) {
		return body[:at]
	}
	return body
}

// keepAlive rests the link. What comes on it now is an answer that nobody asked for.
func (c *client) keepAlive() {
	l := &link{end: c.end, gw: c.gw}
	c.w.idle = append(c.w.idle, l)
	id := c.id
	c.end.ready = func() {
		if len(l.end.inbox) > 0 {
			l.end.Read(1 << 20)
			c.w.clients.Update(id, func(t *requestrecord.Attempt) { t.Answers++ })
		}
		if l.end.Gone() {
			// What counts is when the gateway ended it, not when that shows.
			if p := l.end.peer; p != nil && !l.end.cut && p.ended > 0 && p.ended >= l.gw.since &&
				p.ended <= l.gw.until {
				c.w.find(ShutDoor, id, "%s closed a link at rest during an upgrade", l.gw.name)
			}
			l.end.Close()
			for i, x := range c.w.idle {
				if x == l {
					c.w.idle = append(c.w.idle[:i:i], c.w.idle[i+1:]...)
					break
				}
			}
		}
	}
}

func (c *client) received() {
	if c.over {
		return
	}
	if len(c.out) > 0 && !c.end.reset {
		c.pump()
	}
	c.inbox = append(c.inbox, c.end.Read(1<<20)...)
	if len(c.inbox) > 0 {
		if status, body, keep, extra, whole := answer(c.inbox, c.end.fin); whole {
			if extra { // an answer that nobody asked for
				c.w.clients.Update(c.id, func(t *requestrecord.Attempt) { t.Answers++ })
			}
			c.answered(status, body, keep && !extra)
			return
		}
	}
	if c.end.Gone() {
		if c.req.Act == "stop" {
			c.finish("closed")
			return
		}
		c.broken("closed")
	}
}
