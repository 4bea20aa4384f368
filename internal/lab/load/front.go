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

// Front deals requests out among the targets, as the plain layer before the gateways does. It takes a
// target in once its health has answered 200, and notices only after a time that one has died.
type Front struct {
	mu      sync.Mutex
	targets []*target
	turn    int
	notice  time.Duration
	now     func() time.Duration
	heavy   []*target // get this share of all; empty: all alike
	share   float64
	owed    float64 // to the heavy ones
	dealt   int     // among them
}

type target struct {
	addr string
	out  bool
	fail time.Duration // since when connects have failed; 0 while they come up
	pool pool
}

// healthEvery is how often a target that is out is asked whether it is back.
const healthEvery = 100 * time.Millisecond

// NewFront returns a front over targets. now tells the time of the run.
func NewFront(addrs []string, notice time.Duration, now func() time.Duration) *Front {
	f := &Front{notice: notice, now: now}
	for _, a := range addrs {
		f.targets = append(f.targets, &target{addr: a})
	}
	return f
}

// pick returns the next target in turn. Where all are out it deals on as if none were.
func (f *Front) pick() *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.owed += f.share; len(f.heavy) > 0 && f.owed >= 1 {
		f.owed--
		f.dealt++
		if t := f.heavy[f.dealt%len(f.heavy)]; !t.out {
			return t
		}
	}
	for range f.targets {
		f.turn++
		if t := f.targets[f.turn%len(f.targets)]; !t.out {
			return t
		}
	}
	return f.targets[f.turn%len(f.targets)]
}

// Heavy has some targets get a share of all requests beside their turns, as where a site has most of
// the clients. None, or a share of 0, deals alike again.
func (f *Front) Heavy(addrs []string, share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heavy, f.share, f.owed = nil, share, 0
	for _, t := range f.targets {
		if slices.Contains(addrs, t.addr) {
			f.heavy = append(f.heavy, t)
		}
	}
}

// connected tells whether a connect came up. A target whose connects have failed for the notice time is out.
func (f *Front) connected(t *target, up bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	switch {
	case up:
		t.fail = 0
	case t.fail == 0:
		t.fail = max(1, now)
	case now-t.fail >= f.notice:
		t.out = true
	}
}

// Leave takes a target out, as before a planned restart. It comes back once its health is good again.
func (f *Front) Leave(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.addr == addr {
			t.out = true
		}
	}
}

// watch asks those that are out whether they are back, until the end.
func (f *Front) watch(ctx context.Context) {
	tick := time.NewTicker(healthEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		f.mu.Lock()
		var out []*target
		for _, t := range f.targets {
			if t.out {
				out = append(out, t)
			}
		}
		f.mu.Unlock()
		for _, t := range out {
			if Healthy(ctx, t.addr) {
				f.mu.Lock()
				t.out, t.fail = false, 0
				f.mu.Unlock()
			}
		}
	}
}

// Healthy asks a gateway once whether it is ready.
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
