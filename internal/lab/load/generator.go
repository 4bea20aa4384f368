package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// responseGrace is how long a client keeps waiting after its client timeout, to distinguish a late response from
// none. The laboratory's rules allow the same tolerance for every time limit that is measured on sockets.
const responseGrace = 50 * time.Millisecond

// reservedDescriptors is the number of file descriptors that client connections must leave free for other uses.
const reservedDescriptors = 256

// generator is the state of one run.
type generator struct {
	Options
	now           func() time.Duration
	startedAt     time.Duration
	recorder      *recorder
	rand          *rand.Rand // used by the scheduling goroutine only
	lastID        atomic.Uint64
	openConns     atomic.Int64
	peakOpenConns atomic.Int64
	inFlight      atomic.Int64
	connects      atomic.Int64
	// unsolicited has an id for each connection on which bytes arrived that no request expected: the id of the
	// last request sent on the connection.
	unsolicited struct {
		sync.Mutex
		ids []string
	}
}

// Run sends the requests of the schedule until its end, or until ctx is done, waits for the outstanding responses
// and returns what it measured. A target that is down is part of the result, no error.
func Run(ctx context.Context, o Options) (Result, error) {
	if len(o.Targets) == 0 {
		return Result{}, fmt.Errorf("load: no target")
	}
	o.defaults()
	g := &generator{Options: o, now: o.Clock, recorder: newRecorder(o.Classes), rand: rand.New(rand.NewPCG(o.Seed, 3))}
	if g.Front == nil {
		g.Front = NewFront(o.Targets, max(o.DetectionDelay, 100*time.Millisecond), g.now)
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	go g.Front.probeRemoved(background)
	silentConns := g.openConnections(ctx)
	defer func() {
		for _, c := range silentConns {
			_ = c.Close()
		}
	}()
	g.startedAt = g.now()
	cpuBefore := cpuTime()
	if o.Progress != nil {
		go g.progress(background)
	}
	stoppedEarly := g.sendScheduled(ctx)
	res := g.recorder.result()
	res.StoppedEarly = stoppedEarly
	for _, t := range g.Front.targets {
		for _, conn := range t.pool.drain() {
			_ = conn.Close()
		}
	}
	g.unsolicited.Lock()
	res.UnsolicitedIDs = append(res.UnsolicitedIDs, g.unsolicited.ids...)
	g.unsolicited.Unlock()
	res.PeakOpenConns, res.Connects = int(g.peakOpenConns.Load()), int(g.connects.Load())
	res.DurationSeconds = (g.now() - g.startedAt).Seconds()
	res.CPU = (cpuTime() - cpuBefore).Seconds() / max(0.001, res.DurationSeconds)
	return res, nil
}

// openConnections opens the connections that exist before the first request and puts them into the pools. It also
// opens the silent connections, on which nothing is sent, and returns these.
func (g *generator) openConnections(ctx context.Context) (silentConns []net.Conn) {
	var mu sync.Mutex
	var all sync.WaitGroup
	slots := make(chan bool, 64) // limits concurrent dials, so that no accept queue overflows
	for i := range g.Clients.Connections + g.Clients.SilentConns {
		slots <- true
		all.Go(func() {
			defer func() { <-slots }()
			t := g.Front.targets[i%len(g.Front.targets)]
			if g.openConns.Add(1) > int64(g.MaxOpenConns) {
				g.openConns.Add(-1)
				return
			}
			c, err := dial(ctx, t.addr, 2*time.Second)
			if err != nil {
				g.openConns.Add(-1)
				return
			}
			if i >= g.Clients.Connections {
				mu.Lock()
				silentConns = append(silentConns, c)
				mu.Unlock()
				return
			}
			t.pool.put(g.trackConn(c))
		})
	}
	all.Wait()
	return silentConns
}

// trackConn starts the reader of a new connection. It counts the connect and updates the peak of open connections;
// the caller has already added the connection to openConns.
func (g *generator) trackConn(c net.Conn) *clientConn {
	g.connects.Add(1)
	for n := g.openConns.Load(); ; {
		m := g.peakOpenConns.Load()
		if n <= m || g.peakOpenConns.CompareAndSwap(m, n) {
			break
		}
	}
	return newClientConn(c, func() { g.openConns.Add(-1) }, g.now, func(id, text string) {
		g.unsolicited.Lock()
		g.unsolicited.ids = append(g.unsolicited.ids, id)
		g.unsolicited.Unlock()
		// A response that no request waits for counts as a second response to the connection's last request.
		g.Record.Update(id, func(t *requestrecord.Attempt) { t.Answers++ })
	})
}

// sendScheduled starts a goroutine for each request when it is due and waits for all of them. It reports whether
// ctx ended it before the end of the schedule.
func (g *generator) sendScheduled(ctx context.Context) bool {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		a, ok := g.Schedule.Next()
		if !ok {
			return false
		}
		if wait := g.startedAt + a.At - g.now(); wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-ctx.Done():
				timer.Stop()
				return true
			case <-timer.C:
			}
		} else if ctx.Err() != nil {
			return true
		}
		r := request{Arrival: a, number: n, rand: rand.New(rand.NewPCG(g.rand.Uint64(), uint64(n)))}
		g.inFlight.Add(1)
		all.Go(func() {
			defer g.inFlight.Add(-1)
			g.sendRequest(ctx, &r)
		})
	}
}

// request is an Arrival of the schedule with its number in the run and its own source of random numbers.
type request struct {
	Arrival
	number   int
	rand     *rand.Rand
	slowBody bool // its body is written in pieces
}

// sendRequest makes the attempts of a request as its client would, first attempt and retries, and records a
// single outcome for all of them, that of the last attempt.
func (g *generator) sendRequest(ctx context.Context, r *request) {
	due := g.startedAt + r.At
	class := &g.Classes[r.Class]
	r.slowBody = class.Unsafe && r.rand.Float64() < g.Clients.SlowShare
	honoursRetryAfter := r.rand.Float64() < g.Clients.HonourShare
	maxAttempts := 1 + int(g.Clients.Retries)
	if r.rand.Float64() < g.Clients.Retries-float64(int(g.Clients.Retries)) {
		maxAttempts++
	}
	clientTimeout := time.Duration(float64(r.ClientTimeout) * (g.Clients.MinTimeoutShare + (1-g.Clients.MinTimeoutShare)*r.rand.Float64()))
	g.recorder.count(r.Class, r.At, func(s *Second) { s.Scheduled++ })
	g.recorder.recordLateness(g.now() - due)
	delay := g.Clients.RetryDelay
	var result attemptResult
	for n := 0; n < maxAttempts; n++ {
		if n > 0 {
			pause := delay
			if result.retryAfter > 0 && honoursRetryAfter {
				if g.Clients.MaxRetryAfter > 0 && result.retryAfter > g.Clients.MaxRetryAfter {
					break
				}
				pause = max(pause, result.retryAfter)
			}
			if g.Clients.Backoff == "exp" {
				delay *= 2
			}
			timer := time.NewTimer(pause)
			select {
			case <-ctx.Done():
				timer.Stop()
			case <-timer.C:
			}
			if ctx.Err() != nil {
				break
			}
			g.recorder.count(r.Class, g.now()-g.startedAt, func(s *Second) { s.Retries++ })
		}
		g.recorder.count(r.Class, g.now()-g.startedAt, func(s *Second) { s.Attempts++ })
		result = g.try(ctx, r, n, clientTimeout)
		if result.outcome == OK || result.outcome == Unsent {
			break
		}
	}
	took := g.now() - due
	if result.endedAt > 0 {
		took = result.endedAt - due
	}
	g.recorder.recordOutcome(r.Class, r.At, result.outcome, took, result.answered, result.cause)
}

// errNoDescriptor is returned by connTo when this process may open no further connection.
var errNoDescriptor = errors.New("no descriptor left")

// errLeaving is returned by connTo when the target is about to end and has no open connection left.
var errLeaving = errors.New("the gateway is about to end")

// progress calls Options.Progress every 250 ms until ctx is done.
func (g *generator) progress(ctx context.Context) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p := Progress{At: g.now() - g.startedAt, Open: int(g.openConns.Load()), InFlight: int(g.inFlight.Load())}
		g.recorder.mu.Lock()
		for _, class := range g.recorder.seconds {
			for i := range class {
				p.Scheduled += class[i].Scheduled
				p.OK += class[i].OK
				p.Refused += class[i].Refused
				p.Failed += class[i].Failed + class[i].Unanswered
			}
		}
		g.recorder.mu.Unlock()
		g.Progress(p)
	}
}
