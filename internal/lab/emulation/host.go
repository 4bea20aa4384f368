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
	mostBody     = 64 << 10
	trickleEvery = 20 * time.Millisecond
	closeSoon    = 15 * time.Millisecond
	endlessEvery = 10 * time.Millisecond
)

// Arrived is told of every request as its first byte came, before the host runs it.
type Arrived func(host, via, id string, first time.Duration)

// Host is a host on sockets. Each gateway reaches it through a door of its own, so that what came from whom
// is known.
type Host struct {
	Name    string
	fields  Fields
	idle    time.Duration
	clock   Clock
	arrived Arrived

	mu     sync.Mutex
	model  *hostmodel.Host
	ledger *requestrecord.EndpointRecord
	rand   *rand.Rand
	mode   Mode
	doors  []*door
	conns  map[*conn]bool
	waits  map[uint64]chan hostmodel.Reply
	timer  *time.Timer
	spoil  map[Fault]spoilt
	probes int
	wake   *sync.Cond // a change of mode
	closed bool
	served sync.WaitGroup
}

type door struct {
	via  string
	addr string
	ln   net.Listener
}

type conn struct {
	net.Conn
	via   string
	model *hostmodel.Host // that took it: a host that restarts has a new one
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
	h := &Host{Name: spec.Name, fields: o.Fields, idle: o.Idle, clock: clock, arrived: o.Arrived, model: model,
		ledger: l, rand: rand.New(rand.NewPCG(o.Seed, 1)), mode: Up, conns: make(map[*conn]bool),
		waits: make(map[uint64]chan hostmodel.Reply), spoil: make(map[Fault]spoilt)}
	h.wake = sync.NewCond(&h.mu)
	h.timer = time.AfterFunc(time.Hour, h.tick)
	return h, nil
}

// Open opens a door for a gateway at an address; port 0 takes a free one. It returns the address.
func (h *Host) Open(via, addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("host %s: %w", h.Name, err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	d := &door{via: via, addr: ln.Addr().String(), ln: ln}
	h.doors = append(h.doors, d)
	h.served.Go(func() { h.accept(d, ln) })
	return d.addr, nil
}

func (h *Host) accept(d *door, ln net.Listener) {
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
		h.untilHeard()
		c := &conn{Conn: raw, via: d.via, model: h.model}
		if h.closed || h.mode == Refuse || !h.model.Connected(h.clock()) {
			h.mu.Unlock()
			reset(raw)
			continue
		}
		h.conns[c] = true
		h.served.Go(func() { h.serve(c) })
		h.mu.Unlock()
	}
}

// untilHeard waits while the machine is cut off. It is called with the lock held.
func (h *Host) untilHeard() {
	for h.mode == Silent && !h.closed {
		h.wake.Wait()
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
		if h.idle > 0 {
			_ = c.SetReadDeadline(time.Now().Add(h.idle))
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
		body, err := io.ReadAll(io.LimitReader(r.Body, mostBody+1))
		if err != nil {
			return
		}
		if len(body) > mostBody || !h.answer(c, r, first) {
			return
		}
	}
}

// answer answers a whole request and reports whether the connection goes on.
func (h *Host) answer(c *conn, r *http.Request, first time.Duration) bool {
	h.mu.Lock()
	h.untilHeard()
	if h.closed {
		h.mu.Unlock()
		return false
	}
	now := h.clock()
	load := h.report(now)
	if r.URL.Path == "/healthz" || r.URL.Path == "/load" {
		h.probes++
		h.mu.Unlock()
		return write(c, 200, load, []byte(load+"\n"))
	}
	id, class := r.Header.Get("X-Trace-Id"), r.Header.Get("X-Qos")
	if id == "" {
		h.mu.Unlock()
		return write(c, 404, load, nil)
	}
	if h.arrived != nil {
		h.arrived(h.Name, c.via, id, first)
	}
	token := h.model.Arrive(now, hostmodel.Request{ID: id, Class: class})
	wait := make(chan hostmodel.Reply, 1)
	h.waits[token] = wait
	h.settle(now)
	h.mu.Unlock()

	reply := <-wait
	h.mu.Lock()
	for (h.mode == Silent || h.mode == NoReply) && !h.closed {
		h.wake.Wait()
	}
	load = h.report(h.clock())
	fault := h.draw(class)
	gone := h.closed || h.mode == Refuse
	h.mu.Unlock()
	switch {
	case gone || reply.Kind == hostmodel.Lost:
		reset(c.Conn)
		return false
	case reply.Kind == hostmodel.TurnedAway:
		return write(c, 503, load+"X-Never-Ran: 1\r\n", []byte("turned away\n"))
	case reply.Kind == hostmodel.Errored:
		return write(c, 500, load, []byte("error\n"))
	case fault != "":
		return h.spoiled(c, fault, load, reply.Body)
	}
	return write(c, 200, load, reply.Body)
}

// report words the load report as a header line; empty if there is none.
func (h *Host) report(now time.Duration) string {
	l, ok := h.model.Report(now)
	if !ok {
		return ""
	}
	return fmt.Sprintf("Endpoint-Load-Metrics: TEXT %s=%.3g, %s=%.3g, %s=%.3g\r\n", h.fields.InFlight, l.InFlight,
		h.fields.Queue, l.Queue, h.fields.Errors, l.Errors)
}

func write(c net.Conn, status int, fields string, body []byte) bool {
	_, err := c.Write(message(status, fields, len(body), body))
	return err == nil
}

func message(status int, fields string, length int, body []byte) []byte {
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status),
		fields, length)
	return append(head, body...)
}

// settle hands out the replies that are due and sets the timer for the next. It is called with the lock held.
func (h *Host) settle(now time.Duration) {
	for _, r := range h.model.Advance(now) {
		if w := h.waits[r.Token]; w != nil {
			delete(h.waits, r.Token)
			w <- r
		}
	}
	if at, ok := h.model.Next(); ok {
		h.timer.Reset(max(0, at-h.clock()))
	} else {
		h.timer.Stop()
	}
}

func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.settle(h.clock())
	}
}

// Do changes or reads the model under the host's lock.
func (h *Host) Do(f func(now time.Duration, m *hostmodel.Host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	f(now, h.model)
	h.settle(now)
}

// Addr is the address of a gateway's door.
func (h *Host) Addr(via string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.doors {
		if d.via == via {
			return d.addr
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
	for _, d := range h.doors {
		_ = d.ln.Close()
	}
	for c := range h.conns {
		reset(c.Conn)
	}
	for token, w := range h.waits {
		delete(h.waits, token)
		w <- hostmodel.Reply{Kind: hostmodel.Lost}
	}
	h.wake.Broadcast()
	h.mu.Unlock()
	h.served.Wait()
	return h.ledger
}
