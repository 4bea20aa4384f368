// Package emulation plays the gateway's peers on real loopback sockets: hosts that run the fleet's
// model, with every failure that sockets have, and discovery. Everything can be changed while it runs.
package emulation

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"thymebend/internal/lab/hostmodel"
	"thymebend/internal/lab/requestrecord"
)

// Clock tells the time of the run.
type Clock func() time.Duration

// NewClock starts a clock at zero.
func NewClock() Clock {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}

// The modes.
const (
	Up      Mode = "up"
	Refuse  Mode = "refuse"  // the process has ended: its connections are reset, new ones refused
	Silent  Mode = "silent"  // the machine is cut off: connections come up or stand, nothing is read or answered
	Hung    Mode = "hung"    // the process is stopped: it holds what it has and begins nothing
	NoReply Mode = "noreply" // requests run, answers stay inside
)

// The faults.
const (
	ResetBefore Fault = "reset-before" // reset instead of the answer
	ResetMiddle Fault = "reset-middle" // reset in the middle of the answer
	Trickle     Fault = "trickle"      // the answer comes byte by byte
	ShortLength Fault = "short-length" // Content-Length below the body: the rest lies on the connection
	LongLength  Fault = "long-length"  // Content-Length above the body, then the end
	ExtraBytes  Fault = "extra-bytes"  // a second copy of the answer follows the first
	Interim     Fault = "interim"      // 1xx answers in front
	Garbage     Fault = "garbage"      // no HTTP at all
	Endless     Fault = "endless"      // an answer that does not end
	CloseIdle   Fault = "close-idle"   // the connection closes soon after the answer
	HalfClose   Fault = "half-close"   // the host ends its sending after the answer and goes on reading
	NoLength    Fault = "no-length"    // the answer's end is the connection's
)

// Fields names what a host reports: requests waiting, requests held, errors a second.
type Fields struct{ Queue, InFlight, Errors string }

// DefaultFields are the names that our gateway's settings use.
func DefaultFields() Fields {
	return Fields{Queue: "pending", InFlight: "busy_reqs", Errors: "failed_ps"}
}

// Limits of what a host reads and of how long it plays dead.
const (
	maxBody         = 64 << 10
	trickleInterval = 20 * time.Millisecond
	closeIdleDelay  = 15 * time.Millisecond
	endlessInterval = 10 * time.Millisecond
)

// Arrived is told of every request as its first byte came, before the host runs it.
type Arrived func(host, via, id string, first time.Duration)

// Host is a host on sockets. Each gateway reaches it through a door of its own, so that what came from whom
// is known.
type Host struct {
	Name        string
	fields      Fields
	idleTimeout time.Duration
	clock       Clock
	onArrival   Arrived

	mu           sync.Mutex
	model        *hostmodel.Host
	record       *requestrecord.EndpointRecord
	rand         *rand.Rand
	mode         Mode
	listeners    []*hostListener
	conns        map[*conn]bool
	replyWaiters map[uint64]chan hostmodel.Reply
	timer        *time.Timer
	faults       map[Fault]faultShare
	probes       int
	modeChanged  *sync.Cond // a change of mode
	closed       bool
	running      sync.WaitGroup
}

type hostListener struct {
	gateway string
	addr    string
	ln      net.Listener
}

type conn struct {
	net.Conn
	gateway string
	model   *hostmodel.Host // that took it: a host that restarts has a new one
}

// Options of a host.
type Options struct {
	Fields  Fields
	Idle    time.Duration // a connection idle for this long is closed; 0 means never
	Arrived Arrived       // may be nil
	Seed    uint64
	Cold    bool
	Cell    int // of the hosts that drop one another's repeats
}

// NewHost starts a host's model; doors are opened one by one.
func NewHost(spec hostmodel.Spec, clock Clock, o Options) (*Host, error) {
	l := requestrecord.NewEndpointRecord(spec.Name)
	l.Cell = o.Cell
	model, err := hostmodel.New(spec, o.Seed, clock(), o.Cold, l)
	if err != nil {
		return nil, err
	}
	if o.Fields == (Fields{}) {
		o.Fields = DefaultFields()
	}
	h := &Host{Name: spec.Name, fields: o.Fields, idleTimeout: o.Idle, clock: clock, onArrival: o.Arrived, model: model,
		record: l, rand: rand.New(rand.NewPCG(o.Seed, 1)), mode: Up, conns: make(map[*conn]bool),
		replyWaiters: make(map[uint64]chan hostmodel.Reply), faults: make(map[Fault]faultShare)}
	h.modeChanged = sync.NewCond(&h.mu)
	h.timer = time.AfterFunc(time.Hour, h.onTimer)
	return h, nil
}

// Open opens a door for a gateway at an address; port 0 takes a free one. It returns the address.
func (h *Host) Open(gateway, addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("host %s: %w", h.Name, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := &hostListener{gateway: gateway, addr: ln.Addr().String(), ln: ln}
	h.listeners = append(h.listeners, l)
	h.running.Go(func() { h.accept(l, ln) })
	return l.addr, nil
}

func (h *Host) accept(l *hostListener, ln net.Listener) {
	for {
		raw, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond) // out of descriptors
			continue
		}
		h.mu.Lock()
		h.waitWhileSilent()
		c := &conn{Conn: raw, gateway: l.gateway, model: h.model}
		if h.closed || h.mode == Refuse || !h.model.Connected(h.clock()) {
			h.mu.Unlock()
			resetConn(raw)
			continue
		}
		h.conns[c] = true
		h.running.Go(func() { h.serve(c) })
		h.mu.Unlock()
	}
}

// waitWhileSilent waits while the machine is cut off. It is called with the lock held.
func (h *Host) waitWhileSilent() {
	for h.mode == Silent && !h.closed {
		h.modeChanged.Wait()
	}
}

// serve takes one request after another from a connection.
func (h *Host) serve(c *conn) {
	defer func() {
		_ = c.Close()
		h.mu.Lock()
		delete(h.conns, c)
		c.model.Disconnected(h.clock())
		h.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		if h.idleTimeout > 0 {
			_ = c.SetReadDeadline(time.Now().Add(h.idleTimeout))
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := h.clock()
		_ = c.SetReadDeadline(time.Time{})
		r, err := http.ReadRequest(in)
		if err != nil {
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
		if err != nil {
			return
		}
		if len(body) > maxBody || !h.handleRequest(c, r, first) {
			return
		}
	}
}

// handleRequest answers a whole request and reports whether the connection goes on.
func (h *Host) handleRequest(c *conn, r *http.Request, first time.Duration) bool {
	h.mu.Lock()
	h.waitWhileSilent()
	if h.closed {
		h.mu.Unlock()
		return false
	}
	now := h.clock()
	load := h.loadHeader(now)
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		h.probes++
		h.mu.Unlock()
		return writeResponse(c, 200, load, []byte(load+"\n"))
	}
	id, class := r.Header.Get("X-Trace-Id"), r.Header.Get("X-Qos")
	if id == "" {
		h.mu.Unlock()
		return writeResponse(c, 404, load, nil)
	}
	if h.onArrival != nil {
		h.onArrival(h.Name, c.gateway, id, first)
	}
	token := h.model.Arrive(now, hostmodel.Request{ID: id, Class: class})
	wait := make(chan hostmodel.Reply, 1)
	h.replyWaiters[token] = wait
	h.deliverReplies(now)
	h.mu.Unlock()

	reply := <-wait
	h.mu.Lock()
	for (h.mode == Silent || h.mode == NoReply) && !h.closed {
		h.modeChanged.Wait()
	}
	load = h.loadHeader(h.clock())
	fault := h.drawFault(class)
	unreachable := h.closed || h.mode == Refuse
	h.mu.Unlock()
	switch {
	case unreachable || reply.Kind == hostmodel.Lost:
		resetConn(c.Conn)
		return false
	case reply.Kind == hostmodel.TurnedAway:
		return writeResponse(c, 503, load+"X-Never-Ran: 1\r\n", []byte("turned away\n"))
	case reply.Kind == hostmodel.Errored:
		return writeResponse(c, 500, load, []byte("error\n"))
	case fault != "":
		return h.writeFaulty(c, fault, load, reply.Body)
	}
	return writeResponse(c, 200, load, reply.Body)
}

// loadHeader words the load report as a header line; empty if there is none.
func (h *Host) loadHeader(now time.Duration) string {
	l, ok := h.model.Report(now)
	if !ok {
		return ""
	}
	return fmt.Sprintf("Endpoint-Load-Metrics: TEXT %s=%.3g, %s=%.3g, %s=%.3g\r\n", h.fields.InFlight, l.InFlight,
		h.fields.Queue, l.Queue, h.fields.Errors, l.Errors)
}

func writeResponse(c net.Conn, status int, fields string, body []byte) bool {
	_, err := c.Write(buildResponse(status, fields, len(body), body))
	return err == nil
}

func buildResponse(status int, fields string, length int, body []byte) []byte {
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status),
		fields, length)
	return append(head, body...)
}

// deliverReplies hands out the replies that are due and sets the timer for the next. It is called with the lock held.
func (h *Host) deliverReplies(now time.Duration) {
	for _, r := range h.model.Advance(now) {
		if w := h.replyWaiters[r.Token]; w != nil {
			delete(h.replyWaiters, r.Token)
			w <- r
		}
	}
	if at, ok := h.model.Next(); ok {
		h.timer.Reset(max(0, at-h.clock()))
	} else {
		h.timer.Stop()
	}
}

func (h *Host) onTimer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.deliverReplies(h.clock())
	}
}

// Do changes or reads the model under the host's lock.
func (h *Host) Do(f func(now time.Duration, m *hostmodel.Host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	f(now, h.model)
	h.deliverReplies(now)
}

// Addr is the address of a gateway's door.
func (h *Host) Addr(gateway string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.listeners {
		if l.gateway == gateway {
			return l.addr
		}
	}
	return ""
}

// Probes is how many times the host was asked for its health or load.
func (h *Host) Probes() int { h.mu.Lock(); defer h.mu.Unlock(); return h.probes }

// Conns is the number of open connections.
func (h *Host) Conns() int { h.mu.Lock(); defer h.mu.Unlock(); return len(h.conns) }

// Close ends the host and returns its record, at rest.
func (h *Host) Close() *requestrecord.EndpointRecord {
	h.mu.Lock()
	h.closed = true
	h.timer.Stop()
	for _, l := range h.listeners {
		_ = l.ln.Close()
	}
	for c := range h.conns {
		resetConn(c.Conn)
	}
	for token, w := range h.replyWaiters {
		delete(h.replyWaiters, token)
		w <- hostmodel.Reply{Kind: hostmodel.Lost}
	}
	h.modeChanged.Broadcast()
	h.mu.Unlock()
	h.running.Wait()
	return h.record
}
