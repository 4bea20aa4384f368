package simulation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"thymebend/internal/lab/requestrecord"
)

// slack is how much later than its client timeout a client still looks, as for every time limit on
// sockets.
const slack = 50 * time.Millisecond

// noticeDead is how long the front goes on sending to a gateway that has died.
const noticeDead = time.Second

// client is one try of one request.
type client struct {
	w       *simulator
	req     Request
	number  int // of the request
	try     int
	id      string
	gw      *gatewayNode
	end     *End
	used    bool // the connection carried a request before
	inbox   []byte
	over    bool
	sent    bool // its last byte is written
	crossed bool // it was sent anew because the link closed without reading it
	waited  bool // for the reset that may follow an end
	strict  bool // asks as for an unsafe view
	out     []byte
}

func (w *simulator) arrive(n int, r Request, try int) {
	w.lastID++
	c := &client{w: w, req: r, number: n, try: try, id: fmt.Sprintf("%08x", w.lastID)}
	if c.gw = w.front(); c.gw == nil {
		return
	}
	class := "tender-view"
	if r.Unsafe {
		class = "bid-lodge"
	}
	c.strict = w.strict
	_ = w.clients.Add(requestrecord.Attempt{ID: c.id, Request: n, Number: try, Class: class, Unsafe: r.Unsafe ||
		c.strict, Target: c.gw.name,
		Due: w.sim.Now()})
	w.sim.Note("client %s asks %s", c.id, c.gw.name)
	w.asked++
	if r.Act == "" && !r.Fresh || r.Act == "stop" && r.Pieces%2 == 0 {
		if l := w.rest(c.gw); l != nil {
			c.end, c.used = l.end, true
			c.end.ready = c.received
			c.write()
			return
		}
	}
	c.dial()
}

// rest takes an idle connection to a gateway.
func (w *simulator) rest(gw *gatewayNode) *link {
	for i, l := range w.idle {
		if l.gw == gw && !l.end.Gone() && len(l.end.inbox) == 0 {
			w.idle = append(w.idle[:i:i], w.idle[i+1:]...)
			return l
		}
	}
	return nil
}

func (c *client) dial() {
	c.used, c.inbox = false, nil
	c.end = c.w.net.Dial(c.gw.addr, nil, func(err error) {
		if c.over {
			return
		}
		if err != nil {
			c.finish("connect refused")
			return
		}
		c.end.ready = c.received
		c.write()
	})
	end := c.end
	c.w.sim.After(msec(c.req.Patient), func() {
		if !c.over && !c.sent && c.end == end {
			c.finish("never connected")
		}
	})
}

func (c *client) text() []byte {
	mark := ""
	if c.try > 0 {
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
		path, class, body = "/bid-lodge", "bid-lodge", fmt.Appendf(nil, "%040d", c.number)
		body = append(body, bytes.Repeat([]byte{'b'}, c.req.Body)...)
	}
	if !c.req.Unsafe && !c.strict {
		return fmt.Appendf(nil,
			"GET %s%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n%s\r\n",
			path, query, c.id, class, c.req.Patient, mark)
	}
	head := fmt.Appendf(nil, "POST %s%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n%s",
		path, query, c.id, class, c.req.Patient, mark)
	if c.req.Chunks && len(body) > 0 {
		return append(append(head, "Transfer-Encoding: chunked\r\n\r\n"...), chunked(body)...)
	}
	return append(fmt.Appendf(head, "Content-Length: %d\r\n\r\n", len(body)), body...)
}

// chunked words a body in chunks.
func chunked(body []byte) (out []byte) {
	for len(body) > 0 {
		n := min(len(body), 9973)
		out = append(append(fmt.Appendf(out, "%x;n=%d\r\n", n, n), body[:n]...), "\r\n"...)
		body = body[n:]
	}
	return append(out, "0\r\n\r\n"...)
}

// pump writes what is left of a large request as there is room.
func (c *client) pump() {
	n, err := c.end.Write(c.out)
	switch {
	case err == unix.EAGAIN || err == nil && n < len(c.out):
		c.out = c.out[n:]
	case err != nil:
		c.out = nil // what has come is read
	default:
		c.out = nil
		c.wasSent()
	}
}

func (c *client) write() {
	text := c.text()
	switch c.req.Act {
	case "silent": // connects and says nothing
		c.w.sim.After(msec(c.req.Patient), func() { c.finish("said nothing") })
		return
	case "half":
		_, _ = c.end.Write(text[:len(text)/2])
		c.w.sim.After(50*time.Millisecond, func() { c.finish("half a request") })
		return
	case "garbage":
		_, _ = c.end.Write([]byte("\x00\x01nonsense\r\n\r\nContent-Length: -1\r\n\r\n"))
		c.w.sim.After(3*time.Second, func() {
			if !c.over {
				c.w.find("rude client not answered", c.id, "neither an error nor a close within 3 s")
			}
			c.finish("garbage")
		})
		return
	case "stop":
		c.stop(text[:int(c.req.Sends*float64(len(text)))], max(1, c.req.Pieces))
		return
	case "trickle":
		c.trickle(text)
		return
	case "leave":
		c.w.sim.After(c.w.sim.Between(time.Millisecond, 300*time.Millisecond), func() { c.finish("left") })
	}
	if c.req.Body > 0 {
		c.out = text
		c.pump()
		return
	}
	n, err := c.end.Write(text)
	if err != nil || n < len(text) {
		c.broken("write")
		return
	}
	c.wasSent()
}

// owedWithin is how soon a client that stops in the middle of a request is owed an error or a close.
const owedWithin = 3 * time.Second

// stop sends a part of a request in pieces, and then nothing more. Its client is owed an error or a
// close from then on.
func (c *client) stop(text []byte, pieces int) {
	if c.over {
		return
	}
	part := text[:len(text)/pieces]
	n, err := c.end.Write(part)
	switch {
	case err != nil && err != unix.EAGAIN:
		c.finish("closed")
		return
	case err == unix.EAGAIN || n < len(part): // there is no room: it has sent all that it can for now
		c.w.sim.After(10*time.Millisecond, func() { c.stop(text[n:], pieces) })
		return
	case pieces > 1:
		c.w.sim.After(msec(c.req.PauseMS), func() { c.stop(text[n:], pieces-1) })
		return
	}
	c.w.sim.After(owedWithin+slack, func() {
		if !c.over {
			c.w.find(NotHeard, c.id, "%s told a client that stopped neither an error nor a close within %v",
				c.gw.name, owedWithin)
			c.finish("not heard")
		}
	})
}

func (c *client) trickle(text []byte) {
	if c.over {
		return
	}
	n := min(len(text), 1+len(text)/6)
	if _, err := c.end.Write(text[:n]); err != nil {
		c.finish("write")
		return
	}
	if n == len(text) {
		c.wasSent()
		return
	}
	c.w.sim.After(40*time.Millisecond, func() { c.trickle(text[n:]) })
}

func (c *client) wasSent() {
	c.sent = true
	now := c.w.sim.Now()
	c.w.clients.Update(c.id, func(t *requestrecord.Attempt) { t.Whole, t.Sent = true, now })
	c.w.sim.After(msec(c.req.Patient)+slack, func() { c.finish("silence") })
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

// broken ends a try whose link broke. What the gateway has not read is sent once more on a new link: a reset
// without a byte of an answer tells so, unless the network was to blame.
func (c *client) broken(why string) {
	if c.used && !c.crossed && !c.waited && len(c.inbox) == 0 && c.end.fin && !c.end.reset {
		// The end may have crossed the request; the reset that says so is a round trip behind it.
		c.waited = true
		end := c.end
		c.w.sim.After(3*(c.w.net.Latency+c.w.net.Jitter)+time.Millisecond, func() {
			if !c.over && c.end == end {
				c.broken(why)
			}
		})
		return
	}
	if c.used && !c.crossed && len(c.inbox) == 0 && c.end.reset && !c.end.cut {
		c.crossed, c.sent = true, false
		c.w.clients.Update(c.id, func(t *requestrecord.Attempt) { t.Whole = false })
		c.end.Close()
		c.dial()
		return
	}
	if c.end.cut {
		why = "cut by the network"
	}
	if c.req.Pad > 0 && bytes.HasPrefix(c.inbox, []byte("HTTP/1.1 200")) && len(c.w.plan.Faults) > 0 {
		why = "half a large answer" // a host or gateway had its troubles, and the client can tell
	}
	c.finish(why)
}

// finish ends a try without an answer.
func (c *client) finish(why string) {
	if c.over {
		return
	}
	c.over = true
	c.w.sim.Note("client %s ends: %s", c.id, why)
	now := c.w.sim.Now()
	c.w.clients.Update(c.id, func(t *requestrecord.Attempt) { t.Ended, t.Cause = now, why })
	if c.end != nil {
		c.end.ready = nil
		c.end.Close()
	}
	if why != "left" && c.req.Act == "" {
		c.again()
	}
}

func (c *client) again() {
	if c.try < c.req.Retries {
		r, n, try := c.req, c.number, c.try+1
		c.w.sim.After(c.w.sim.Between(40*time.Millisecond, 300*time.Millisecond), func() { c.w.arrive(n, r, try) })
	}
}

// front deals requests out in turn among the gateways that it does not know to be dead.
func (w *simulator) front() *gatewayNode {
	for range w.gateways {
		w.turn++
		m := w.gateways[w.turn%len(w.gateways)]
		if !m.left && (m.up || w.sim.Now()-m.died < noticeDead) {
			return m
		}
	}
	return nil
}
