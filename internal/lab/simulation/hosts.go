package simulation

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"thymebend/internal/lab/emulation"
	"thymebend/internal/lab/hostmodel"
	"thymebend/internal/lab/requestrecord"
)

// parseRequest parses one complete request from the bytes that a connection has received, and returns the bytes
// after it. ok is false while the request is incomplete.
func parseRequest(in []byte) (r *http.Request, body []byte, remaining []byte, ok bool, err error) {
	at := bytes.Index(in, []byte("\r\n\r\n"))
	if at < 0 {
		return nil, nil, in, false, nil
	}
	src := bytes.NewReader(in)
	buffered := bufio.NewReaderSize(src, 16)
	if r, err = http.ReadRequest(buffered); err != nil {
		return nil, nil, in, false, err
	}
	if body, err = io.ReadAll(r.Body); err != nil {
		return nil, nil, in, false, nil // more bytes follow
	}
	unread := src.Len() + buffered.Buffered()
	return r, body, in[len(in)-unread:], true, nil
}

// host is a host on the simulated network: the laboratory's host model behind one listener for each gateway.
type host struct {
	run             *simulator
	index           int
	name            string
	spec            hostmodel.Spec
	model           *hostmodel.Host
	record          *requestrecord.EndpointRecord
	listeners       []*Listener
	addrs           []netip.AddrPort
	conns           []*hostConn          // open connections, oldest first
	waiting         map[uint64]*hostConn // connections whose request is being served, by the model's token
	timerNumber     uint64               // number of the current timer; earlier ones are ignored
	deaf            bool                 // it reads nothing from its connections
	writesSlowly    bool                 // it writes long answers in chunks at slowRate
	silent          bool                 // its machine neither sends nor receives
	up              bool
	faultShares     map[string]float64 // share of faulty responses, by kind of fault
	removed         bool
	draining        bool // it drains and will not come back
	peakConnections int  // most connections at one time
	slowStart       slowStartArrivals
}

// maxConnections is how many connections all gateways of a cluster together may have to one host. By the
// assignments, twelve gateways use a host. Three times as many connections are allowed, since further gateways
// reach the host at times and one gateway may need several connections.
const maxConnections = 36

// hostConn is a connection that a host has accepted from a gateway.
type hostConn struct {
	end         *End
	gateway     int
	inbox       []byte
	firstByteAt time.Duration // when the gateway sent the first byte of the current request
	busy        bool
	model       *hostmodel.Host
	closing     bool
	pad         int
	chunks      bool
	pending     []byte // rest of a response, not yet accepted by the connection
}

// zone returns the number of the host's zone.
func (h *host) zone() int { return zoneOfHost(h.index, h.run.plan.hostZones()) }

func (h *host) start(cold bool) {
	model, err := hostmodel.New(h.spec, h.run.sim.Rand.Uint64(), h.run.sim.Now(), cold, h.record)
	if err != nil {
		panic(err) // plans contain no invalid spec
	}
	h.model, h.up, h.waiting = model, true, make(map[uint64]*hostConn)
	h.listeners = nil
	for g, addr := range h.addrs {
		var l *Listener
		l = h.run.net.Listen(addr, 128, &h.silent, func() { h.accept(l, g) })
		h.listeners = append(h.listeners, l)
	}
}

func (h *host) accept(l *Listener, gateway int) {
	for e := l.Accept(); e != nil; e = l.Accept() {
		c := &hostConn{end: e, gateway: gateway, model: h.model}
		h.run.rates.countConnect(h)
		if !h.model.Connected(h.run.sim.Now()) { // the host holds no more connections
			// No finding if the host holds fewer connections, since it has crashed then, or if few hosts of its zone
			// are serving.
			fewServing := h.run.loadFactor(h.zone()) > 1
			if len(h.conns) >= maxConnections && !fewServing {
				by := make(map[int]int)
				for _, x := range h.conns {
					by[x.gateway]++
				}
				h.run.addFinding(HostConnectionsExceeded, h.name, "one more than %d connections, of %d gateways",
					len(h.conns), len(by))
			}
			e.Reset()
			continue
		}
		h.conns = append(h.conns, c)
		h.peakConnections = max(h.peakConnections, len(h.conns))
		e.ready = func() { h.onReadable(c) }
		h.onReadable(c)
	}
}

// fail ends the host's process: its connections are reset, new ones are refused.
func (h *host) fail() {
	if !h.up {
		return
	}
	h.up = false
	h.model.Crash(h.run.sim.Now())
	for _, l := range h.listeners {
		l.Close()
	}
	for _, c := range h.conns {
		c.end.Reset()
	}
	h.conns = nil
	h.advance()
}

func (h *host) drop(c *hostConn) {
	for i, x := range h.conns {
		if x == c {
			h.conns = append(h.conns[:i:i], h.conns[i+1:]...)
			c.model.Disconnected(h.run.sim.Now())
			return
		}
	}
}

func (h *host) onReadable(c *hostConn) {
	h.write(c, nil)
	if h.deaf {
		return
	}
	begun := c.end.firstSentAt
	if data := c.end.Read(1 << 20); len(data) > 0 {
		if len(c.inbox) == 0 {
			c.firstByteAt = begun // a send is timed at its first byte, however long the bytes take
		}
		c.inbox = append(c.inbox, data...)
	}
	if !c.busy && !c.closing {
		r, body, remaining, whole, err := parseRequest(c.inbox)
		switch {
		// the body is still incomplete
		case err == nil && !whole && len(c.inbox) > 20_000 && h.run.sim.Chance(h.faultShares["host-cut"]/20):
			c.end.Reset()
			h.drop(c)
			return
		case err != nil:
			h.run.addFinding("garbled request", h.name, "a host was sent what cannot be read: %v", err)
			c.end.Close()
			h.drop(c)
			return
		case whole && r.URL.Path == "/bid-lodge" && (len(body) < 40 || strings.Trim(string(body[:40]),
			"0123456789") != ""):
			h.run.addFinding("garbled request", h.name, "a bid came without the beginning of its body")
			c.end.Close()
			h.drop(c)
			return
		case whole:
			c.inbox, c.busy = remaining, true
			h.handleRequest(c, r)
		}
	}
	if c.end.ReadEnded() {
		c.end.Close()
		h.drop(c)
	}
}

// handleRequest passes a request to the host model, and checks it against the rules first.
func (h *host) handleRequest(c *hostConn, r *http.Request) {
	id, class := r.Header.Get("X-Trace-Id"), r.Header.Get("X-Qos")
	now := h.run.sim.Now()
	h.run.checkArrival(h, c.gateway, id, c.firstByteAt)
	h.run.checkClientPresent(h, id, c.firstByteAt)
	h.run.countSlowStart(h, h.run.sim.Now())
	token := h.model.Arrive(now, hostmodel.Request{ID: id, Class: class})
	h.run.sim.Note("host %s got %s from %d", h.name, id, c.gateway)
	h.waiting[token] = c
	c.pad, _ = strconv.Atoi(r.URL.Query().Get("pad"))
	c.chunks = r.URL.Query().Get("how") == "chunks"
	h.advance()
}

// write writes as much of a response as the connection accepts, and keeps the rest for later.
func (h *host) write(c *hostConn, data []byte) {
	c.pending = append(c.pending, data...)
	if n, err := c.end.Write(c.pending); len(c.pending) > 0 && err != unix.EAGAIN {
		c.pending = c.pending[n:]
		if err != nil {
			c.pending = nil // a closed connection accepts nothing
		}
	}
}

// advance answers the requests that are done and sets a timer for the next one.
func (h *host) advance() {
	now := h.run.sim.Now()
	for _, r := range h.model.Advance(now) {
		if c := h.waiting[r.Token]; c != nil {
			delete(h.waiting, r.Token)
			h.answer(c, r)
		}
	}
	h.timerNumber++
	number := h.timerNumber
	if at, ok := h.model.Next(); ok {
		h.run.sim.At(at, func() {
			if number == h.timerNumber && h.up {
				h.advance()
			}
		})
	}
}

func (h *host) answer(c *hostConn, r hostmodel.Reply) {
	c.busy = false
	load := ""
	if l, ok := h.model.Report(h.run.sim.Now()); ok {
		f := emulation.DefaultFields()
		load = fmt.Sprintf("Endpoint-Load-Metrics: TEXT %s=%.3g, %s=%.3g\r\n", f.InFlight, l.InFlight, f.Queue, l.Queue)
	}
	encode := func(status int, fields string, body []byte) []byte {
		return append(fmt.Appendf(nil, "HTTP/1.1 %d X\r\n%s%sContent-Length: %d\r\n\r\n", status, load, fields,
			len(body)), body...)
	}
	var out []byte
	switch r.Kind {
	case hostmodel.Lost:
		c.end.Reset()
		return
	case hostmodel.Rejected:
		out = encode(503, "X-Never-Ran: 1\r\n", nil)
	case hostmodel.Errored:
		out = encode(500, "", nil)
	default:
		out = encode(200, "", r.Body)
		if c.pad > 0 {
			body := append(append([]byte(nil), r.Body...), bytes.Repeat([]byte{'p'}, c.pad)...)
			if out = encode(200, "", body); c.chunks {
				out = append(fmt.Appendf(nil, "HTTP/1.1 200 X\r\n%sTransfer-Encoding: chunked\r\n\r\n", load),
					chunked(body)...)
			}
			break
		}
		for _, s := range responseFaults() {
			if h.run.sim.Chance(h.faultShares[s]) {
				h.run.sim.Note("host %s spoils %s: %s", h.name, r.ID, s)
				if h.writeFaultyResponse(c, s, out, r.Body) {
					return
				}
				break
			}
		}
	}
	if c.pad > 0 && r.Kind != hostmodel.Rejected && h.run.sim.Chance(h.faultShares["host-half"]) {
		h.write(c, out[:len(out)/2])
		c.closing = true
		h.run.sim.After(20*time.Millisecond, func() { c.end.Close(); h.drop(c) })
		return
	}
	if h.writesSlowly && c.pad > 0 && c.chunks && r.Kind == hostmodel.Served {
		h.writeSlowly(c, r.ID, out)
		return
	}
	h.write(c, out)
	h.sendLate(c, out)
	h.run.sim.After(0, func() { h.onReadable(c) })
}

// writeFaultyResponse writes a faulty response of the given kind and returns true. It returns false if the correct
// response is still to be written.
func (h *host) writeFaultyResponse(c *hostConn, how string, whole, body []byte) bool {
	switch how {
	case "reset-before":
		c.end.Reset()
	case "reset-middle":
		_, _ = c.end.Write(whole[:len(whole)-1-len(body)/2])
		c.end.Reset()
	case "garbage":
		noise := make([]byte, 200)
		for i := range noise {
			noise[i] = byte(h.run.sim.Rand.Uint32())
		}
		_, _ = c.end.Write(noise)
		c.closing = true
	case "extra":
		_, _ = c.end.Write(append(whole[:len(whole):len(whole)], whole...))
		h.run.sim.After(0, func() { h.onReadable(c) })
	case "bare-503": // the request has run; only a rejection with X-Never-Ran says that it has not
		_, _ = c.end.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
		h.run.sim.After(0, func() { h.onReadable(c) })
	case "interim":
		_, _ = c.end.Write([]byte("HTTP/1.1 103 Early Hints\r\n\r\n"))
		return false
	case "endless-1xx":
		c.closing = true
		var more func()
		more = func() {
			if _, err := c.end.Write([]byte("HTTP/1.1 102 Processing\r\n\r\n")); err == nil && h.up {
				h.run.sim.After(20*time.Millisecond, more)
			}
		}
		more()
	case "long-length":
		_, _ = c.end.Write(append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
			len(body)+50), body...))
		c.end.Close()
		h.drop(c)
	case "close-after":
		_, _ = c.end.Write(whole)
		c.closing = true
		h.run.sim.After(5*time.Millisecond, func() { c.end.Close(); h.drop(c) })
	default:
		return false
	}
	return true
}

// setSilent disconnects the host's machine from the network or, with on false, connects it again and delivers
// what the network has held back in both directions.
func (h *host) setSilent(on bool) {
	if h.silent = on; !on {
		for _, c := range append([]*hostConn(nil), h.conns...) {
			c.end.DeliverHeld()
			c.end.peer.DeliverHeld()
		}
	}
}
