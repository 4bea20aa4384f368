// Package emulation emulates the gateway's peers on real loopback sockets: hosts that run the model of package
// hostmodel, with failures of the host and faults of its connections, and the discovery service. All failures and
// settings can be changed during a run.
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

// Clock returns the time since the start of the run.
type Clock func() time.Duration

// NewClock returns a clock that starts at zero now.
func NewClock() Clock {
	began := time.Now()
	return func() time.Duration { return time.Since(began) }
}

// The modes of a host.
const (
	Up      Mode = "up"
	Refuse  Mode = "refuse"  // the process has ended: its connections are reset, new ones are refused
	Silent  Mode = "silent"  // the machine is unreachable: connections open and stay open, nothing is read or answered
	Hung    Mode = "hung"    // the process is suspended: it executes nothing and keeps the requests that it holds
	NoReply Mode = "noreply" // requests are executed, no response is sent
)

// The faults of a response.
const (
	ResetBefore Fault = "reset-before" // reset instead of the response
	ResetMiddle Fault = "reset-middle" // reset in the middle of the response
	Trickle     Fault = "trickle"      // the response is written byte by byte
	ShortLength Fault = "short-length" // Content-Length below the body's length: the other bytes follow the response
	LongLength  Fault = "long-length"  // Content-Length above the body's length, then the connection closes
	ExtraBytes  Fault = "extra-bytes"  // a second copy of the response follows the first
	Interim     Fault = "interim"      // an interim (1xx) response before the response
	Garbage     Fault = "garbage"      // random bytes instead of HTTP
	Endless     Fault = "endless"      // a response that does not end
	CloseIdle   Fault = "close-idle"   // the connection closes closeIdleDelay after the response
	HalfClose   Fault = "half-close"   // the host closes its sending side after the response and continues to read
	NoLength    Fault = "no-length"    // no Content-Length: the end of the connection ends the response
	LateCopy    Fault = "late-copy"    // a second copy of the response, also of a rejection, up to maxLate after it
	LateBytes   Fault = "late-bytes"   // random bytes up to maxLate after the response, also after a rejection
)

// Fields has the names under which a host's load report gives its values: Queue for the requests waiting, InFlight
// for the requests held, Errors for the errors per second.
type Fields struct{ Queue, InFlight, Errors string }

// DefaultFields returns the names that the settings of the laboratory's gateways use.
func DefaultFields() Fields {
	return Fields{Queue: "pending", InFlight: "busy_reqs", Errors: "failed_ps"}
}

// The limit of a request's body, and the times of the faults that delay a response.
const (
	maxBody         = 64 << 10
	trickleInterval = 20 * time.Millisecond
	closeIdleDelay  = 15 * time.Millisecond
	endlessInterval = 10 * time.Millisecond
	maxLate         = 25 * time.Millisecond
)

// ArrivalFunc is called with every request before the host's model gets the request. via is the name of the gateway
// that sent it, id is the request's id, and first is the time at which its first byte arrived.
type ArrivalFunc func(host, via, id string, first time.Duration)

// Host is an emulated host on sockets. Each gateway connects to a separate listener, so that the host knows which
// gateway sent a request. Its methods may be called from several goroutines.
type Host struct {
	Name        string
	fields      Fields
	idleTimeout time.Duration
	clock       Clock
	onArrival   ArrivalFunc

	mu           sync.Mutex
	model        *hostmodel.Host
	record       *requestrecord.EndpointRecord
	rand         *rand.Rand
	mode         Mode
	listeners    []*hostListener
	conns        map[*conn]bool
	held         int // connections that came up while the host was silent, and are reset once it is reachable
	replyWaiters map[uint64]chan hostmodel.Reply
	timer        *time.Timer
	faults       map[Fault]faultShare
	probes       int
	modeChanged  *sync.Cond // signals a change of mode, or Close
	closed       bool
	running      sync.WaitGroup
}

// hostListener is the listener for one gateway.
type hostListener struct {
	gateway string
	addr    string
	ln      net.Listener
}

// conn is a connection from a gateway.
type conn struct {
	net.Conn
	gateway string
	model   *hostmodel.Host // the model that counts this connection; a restart of the host makes a new model
}

// Options are the settings of a Host.
type Options struct {
	Fields      Fields
	IdleTimeout time.Duration // idle timeout of connections; 0 means none
	OnArrival   ArrivalFunc   // may be nil
	Seed        uint64
	SlowStart   bool
	Cell        int // number of the cell; its hosts drop repeats of each other's keyed requests
}

// NewHost starts a host's model. The host listens only after Open.
func NewHost(spec hostmodel.Spec, clock Clock, o Options) (*Host, error) {
	l := requestrecord.NewEndpointRecord(spec.Name)
	l.Cell = o.Cell
	model, err := hostmodel.New(spec, o.Seed, clock(), o.SlowStart, l)
	if err != nil {
		return nil, err
	}
	if o.Fields == (Fields{}) {
		o.Fields = DefaultFields()
	}
	h := &Host{Name: spec.Name, fields: o.Fields, idleTimeout: o.IdleTimeout, clock: clock, onArrival: o.OnArrival, model: model,
		record: l, rand: rand.New(rand.NewPCG(o.Seed, 1)), mode: Up, conns: make(map[*conn]bool),
		replyWaiters: make(map[uint64]chan hostmodel.Reply), faults: make(map[Fault]faultShare)}
	h.modeChanged = sync.NewCond(&h.mu)
	h.timer = time.AfterFunc(time.Hour, h.onTimer)
	return h, nil
}

// Open starts to listen for a gateway at an address and returns the address. Port 0 selects a free port.
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

// accept serves each connection of a listener until the listener is closed.
func (h *Host) accept(l *hostListener, ln net.Listener) {
	for {
		raw, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond) // no descriptor is free
			continue
		}
		h.mu.Lock()
		if h.mode == Silent {
			h.held++
			h.running.Go(func() { h.resetOnceReachable(raw) })
			h.mu.Unlock()
			continue
		}
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

// resetOnceReachable resets a connection that came up while the host was silent. To an unreachable machine no connection
// comes up; the kernel of this one accepts it, and what it carries must not arrive when the host is reachable again.
func (h *Host) resetOnceReachable(raw net.Conn) {
	h.mu.Lock()
	h.waitWhileSilent()
	h.held--
	h.mu.Unlock()
	resetConn(raw)
}

// heldConns returns the number of connections that are to be reset once the host is reachable.
func (h *Host) heldConns() int { h.mu.Lock(); defer h.mu.Unlock(); return h.held }

// waitWhileSilent waits while the mode is Silent, until the machine is reachable again or the host is closed. h.mu
// must be held.
func (h *Host) waitWhileSilent() {
	for h.mode == Silent && !h.closed {
		h.modeChanged.Wait()
	}
}

// serve reads and answers the requests of a connection, one after another, until the connection ends.
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

// handleRequest answers a request that was read whole, and reports whether the connection stays open. first is
// the time at which the request's first byte arrived.
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
	case reply.Kind == hostmodel.Rejected:
		rejection := []byte("turned away\n")
		rejectionFields := load + "X-Never-Ran: 1\r\n"
		if fault == LateCopy || fault == LateBytes {
			return h.writeWithLateBytes(c, fault, buildResponse(503, rejectionFields, len(rejection), rejection))
		}
		return writeResponse(c, 503, rejectionFields, rejection)
	case reply.Kind == hostmodel.Errored:
		return writeResponse(c, 500, load, []byte("error\n"))
	case fault != "":
		return h.writeFaulty(c, fault, load, reply.Body)
	}
	return writeResponse(c, 200, load, reply.Body)
}

// loadHeader returns the load report as a header line, or an empty string if there is none. h.mu must be held.
func (h *Host) loadHeader(now time.Duration) string {
	l, ok := h.model.Report(now)
	if !ok {
		return ""
	}
	return fmt.Sprintf("Endpoint-Load-Metrics: TEXT %s=%.3g, %s=%.3g, %s=%.3g\r\n", h.fields.InFlight, l.InFlight,
		h.fields.Queue, l.Queue, h.fields.Errors, l.Errors)
}

// writeResponse writes a response and reports whether all of it was written. fields has further header lines.
func writeResponse(c net.Conn, status int, fields string, body []byte) bool {
	_, err := c.Write(buildResponse(status, fields, len(body), body))
	return err == nil
}

// buildResponse returns a response whose Content-Length is length, which may differ from the length of body.
func buildResponse(status int, fields string, length int, body []byte) []byte {
	head := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n", status, http.StatusText(status),
		fields, length)
	return append(head, body...)
}

// deliverReplies passes the replies that are due to the waiting connections and sets the timer for the next. h.mu
// must be held.
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

// onTimer delivers replies when the model's next change is due.
func (h *Host) onTimer() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.closed {
		h.deliverReplies(h.clock())
	}
}

// Do calls f with the present time and the model under the host's lock, then delivers the replies that are due.
func (h *Host) Do(f func(now time.Duration, m *hostmodel.Host)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	f(now, h.model)
	h.deliverReplies(now)
}

// Addr returns the address of the listener for a gateway, or an empty string if there is none.
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

// Probes returns the number of requests for its health or load that the host received.
func (h *Host) Probes() int { h.mu.Lock(); defer h.mu.Unlock(); return h.probes }

// Conns returns the number of open connections from gateways.
func (h *Host) Conns() int { h.mu.Lock(); defer h.mu.Unlock(); return len(h.conns) }

// Close closes all listeners and connections, waits for their goroutines and returns the host's record, which
// does not change any more.
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
