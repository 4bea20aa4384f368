package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Front distributes requests over the targets in round-robin order, as the simple load balancer in front of the
// gateways does. It removes a target whose connects have failed for the detection delay, and adds it again when
// its health check returns 200. Its methods may be called from several goroutines.
type Front struct {
	mu              sync.Mutex
	targets         []*target
	lastIndex       int // counts round-robin steps; modulo the number of targets
	detectionDelay  time.Duration
	now             func() time.Duration
	preferred       []*target // targets that receive preferredShare of all requests; empty: all are equal
	preferredShare  float64
	preferredCredit float64 // requests due to the preferred targets, with fractions; at 1 the next request is theirs
	preferredCount  int     // requests sent to the preferred targets; selects the next of them
}

// target is a gateway's address with the state of its health and its idle connections.
type target struct {
	addr         string
	removed      bool          // receives no requests until its health check succeeds
	leaving      bool          // receives requests on its open connections only, until it is removed
	failingSince time.Duration // run time of the first failed connect since the last success; 0 while connects succeed
	pool         pool
}

// healthProbeInterval is the interval between health checks of a removed target.
const healthProbeInterval = 100 * time.Millisecond

// NewFront returns a Front for the targets at addrs. It removes a target whose connects have failed for
// detectionDelay. now returns the time since the start of the run.
func NewFront(addrs []string, detectionDelay time.Duration, now func() time.Duration) *Front {
	f := &Front{detectionDelay: detectionDelay, now: now}
	for _, a := range addrs {
		f.targets = append(f.targets, &target{addr: a})
	}
	return f
}

// usable reports whether the target may receive a request. It must be called with the front's mutex held.
func (t *target) usable() bool { return !t.removed && (!t.leaving || t.pool.hasOpen()) }

// pick returns the target of the next request. If the preferred targets are due a request, it is the next of them;
// otherwise, or if that one is not usable, it is the next usable target of all in round-robin order. If none is usable,
// pick returns the next one.
func (f *Front) pick() *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.preferredCredit += f.preferredShare; len(f.preferred) > 0 && f.preferredCredit >= 1 {
		f.preferredCredit--
		f.preferredCount++
		if t := f.preferred[f.preferredCount%len(f.preferred)]; t.usable() {
			return t
		}
	}
	for range f.targets {
		f.lastIndex++
		if t := f.targets[f.lastIndex%len(f.targets)]; t.usable() {
			return t
		}
	}
	return f.targets[f.lastIndex%len(f.targets)]
}

// pickAccepting returns the next target in round-robin order that accepts new connections, or nil if there is none.
func (f *Front) pickAccepting() *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range f.targets {
		f.lastIndex++
		if t := f.targets[f.lastIndex%len(f.targets)]; !t.removed && !t.leaving {
			return t
		}
	}
	return nil
}

// SetPreferred gives the targets at addrs the given share of all requests, in addition to their round-robin turns, as
// when one site has most of the clients. Without addresses, or with a share of 0, all targets are equal again.
func (f *Front) SetPreferred(addrs []string, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.preferred, f.preferredShare, f.preferredCredit = nil, share, 0
	for _, t := range f.targets {
		if slices.Contains(addrs, t.addr) {
			f.preferred = append(f.preferred, t)
		}
	}
}

// recordDial records whether a connect to t succeeded. It removes a target whose connects have failed for the
// detection delay.
func (f *Front) recordDial(t *target, succeeded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	switch {
	case succeeded:
		t.failingSince = 0
	case t.failingSince == 0:
		t.failingSince = max(1, now)
	case now-t.failingSince >= f.detectionDelay:
		t.removed = true
	}
}

// Leave restricts the target at addr to its open connections, as after the SIGTERM of a planned restart, until Remove.
func (f *Front) Leave(addr string) {
	f.change(addr, func(t *target) { t.leaving = !t.removed })
}

// Remove removes the target at addr until its health check succeeds.
func (f *Front) Remove(addr string) {
	f.change(addr, func(t *target) { t.removed, t.leaving = true, false })
}

// change applies a change to the target at addr.
func (f *Front) change(addr string, apply func(t *target)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.addr == addr {
			apply(t)
		}
	}
}

// isLeaving reports whether the target receives requests on its open connections only.
func (f *Front) isLeaving(t *target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return t.leaving
}

// probeRemoved checks the health of removed targets every healthProbeInterval until ctx is done, and adds those
// that are healthy again.
func (f *Front) probeRemoved(ctx context.Context) {
	tick := time.NewTicker(healthProbeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.mu.Lock()
		var removed []*target
		for _, t := range f.targets {
			if t.removed {
				removed = append(removed, t)
			}
		}
		f.mu.Unlock()
		for _, t := range removed {
			if Healthy(ctx, t.addr) {
				f.mu.Lock()
				t.removed, t.failingSince = false, 0
				f.mu.Unlock()
			}
		}
	}
}

// Healthy sends one GET /healthz to the gateway at addr and reports whether it answers 200 within a second.
func Healthy(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	if end, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(end)
	}
	if _, err := fmt.Fprintf(c, "GET /healthz HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", addr); err != nil {
		return false
	}
	line := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(c, line)
	return err == nil && string(line[9:]) == fmt.Sprint(http.StatusOK)
}
