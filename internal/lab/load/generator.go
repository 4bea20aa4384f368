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

// grace is how much longer than its client timeout a client looks for an answer, to tell a late one
// from none. The rules on sockets give every time limit as much.
const grace = 50 * time.Millisecond

// reserve of descriptors is left for all but client connections.
const reserve = 256

type generator struct {
	Options
	now    func() time.Duration
	began  time.Duration
	rec    *recorder
	rand   *rand.Rand // of the scheduling goroutine alone
	ids    atomic.Uint64
	open   atomic.Int64
	most   atomic.Int64
	flight atomic.Int64
	dials  atomic.Int64
	strays struct {
		sync.Mutex
		ids []string
	}
}

// Run sends what the schedule gives until it is over, or until ctx is done, and waits for the last answers.
func Run(ctx context.Context, o Options) (Result, error) {
	if len(o.Targets) == 0 {
		return Result{}, fmt.Errorf("load: no target")
	}
	o.defaults()
	g := &generator{Options: o, now: o.Clock, rec: newRecorder(o.Classes), rand: rand.New(rand.NewPCG(o.Seed, 3))}
	if g.Front == nil {
		g.Front = NewFront(o.Targets, max(o.Notice, 100*time.Millisecond), g.now)
	}
	watching, stop := context.WithCancel(context.Background())
	defer stop()
	go g.Front.watch(watching)
	silent := g.connect(ctx)
	defer func() {
		for _, c := range silent {
			_ = c.Close()
		}
	}()
	g.began = g.now()
	used := processorTime()
	if o.Progress != nil {
		go g.progress(watching)
	}
	early := g.send(ctx)
	res := g.rec.result()
	res.PartialInput = early
	for _, t := range g.Front.targets {
		for _, l := range t.pool.drain() {
			_ = l.Close()
		}
	}
	g.strays.Lock()
	res.Stray = append(res.Stray, g.strays.ids...)
	g.strays.Unlock()
	res.MostOpen, res.Connects = int(g.most.Load()), int(g.dials.Load())
	res.Lasted = (g.now() - g.began).Seconds()
	res.CPU = (processorTime() - used).Seconds() / max(0.001, res.Lasted)
	return res, nil
}

// connect opens the connections that stand from the start, and those that say nothing.
func (g *generator) connect(ctx context.Context) (silent []net.Conn) {
	var mu sync.Mutex
	var all sync.WaitGroup
	turn := make(chan bool, 64) // at once, so that no accept queue overflows
	for i := range g.Clients.Connections + g.Clients.Silent {
		turn <- true
		all.Go(func() {
			defer func() { <-turn }()
			t := g.Front.targets[i%len(g.Front.targets)]
			if g.open.Add(1) > int64(g.MostOpen) {
				g.open.Add(-1)
				return
			}
			c, err := dial(ctx, t.addr, 2*time.Second)
			if err != nil {
				g.open.Add(-1)
				return
			}
			if i >= g.Clients.Connections {
				mu.Lock()
				silent = append(silent, c)
				mu.Unlock()
				return
			}
			t.pool.give(g.link(c))
		})
	}
	all.Wait()
	return silent
}

// link takes a connection that is counted in open already.
func (g *generator) link(c net.Conn) *link {
	g.dials.Add(1)
	for n := g.open.Load(); ; {
		m := g.most.Load()
		if n <= m || g.most.CompareAndSwap(m, n) {
			break
		}
	}
	return newLink(c, func() { g.open.Add(-1) }, g.now, func(id, text string) {
		g.strays.Lock()
		g.strays.ids = append(g.strays.ids, id)
		g.strays.Unlock()
		// An answer that nobody waits for is a second one to the link's last request.
		g.Ledger.Update(id, func(t *requestrecord.Attempt) { t.Answers++ })
	})
}

// send starts each request when it falls due and reports whether it was stopped early.
func (g *generator) send(ctx context.Context) bool {
	var all sync.WaitGroup
	defer all.Wait()
	for n := 0; ; n++ {
		a, ok := g.Schedule.Next()
		if !ok {
			return false
		}
		if wait := g.began + a.At - g.now(); wait > 0 {
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
		g.flight.Add(1)
		all.Go(func() {
			defer g.flight.Add(-1)
			g.request(ctx, &r)
		})
	}
}

type request struct {
	Arrival
	number int
	rand   *rand.Rand
	slow   bool // its body comes in pieces
}

// request sends a request and, as its client would, its retries. It is one end for all of them.
func (g *generator) request(ctx context.Context, r *request) {
	due := g.began + r.At
	class := &g.Classes[r.Class]
	r.slow = class.Unsafe && r.rand.Float64() < g.Clients.SlowShare
	obeys := r.rand.Float64() < g.Clients.Honour
	tries := 1 + int(g.Clients.Retries)
	if r.rand.Float64() < g.Clients.Retries-float64(int(g.Clients.Retries)) {
		tries++
	}
	patience := time.Duration(float64(r.Patience) * (g.Clients.TryShare + (1-g.Clients.TryShare)*r.rand.Float64()))
	g.rec.count(r.Class, r.At, func(s *Second) { s.Scheduled++ })
	g.rec.lateness(g.now() - due)
	wait := g.Clients.Wait
	var t tried
	for n := 0; n < tries; n++ {
		if n > 0 {
			pause := wait
			if t.after > 0 && obeys {
				if g.Clients.MostAfter > 0 && t.after > g.Clients.MostAfter {
					break
				}
				pause = max(pause, t.after)
			}
			if g.Clients.Backoff == "exp" {
				wait *= 2
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
			g.rec.count(r.Class, g.now()-g.began, func(s *Second) { s.Retries++ })
		}
		g.rec.count(r.Class, g.now()-g.began, func(s *Second) { s.Tries++ })
		t = g.try(ctx, r, n, patience)
		if t.fate == OK || t.fate == Unsent {
			break
		}
	}
	took := g.now() - due
	if t.ended > 0 {
		took = t.ended - due
	}
	g.rec.end(r.Class, r.At, t.fate, took, t.answered, t.cause)
}

var errNoRoom = errors.New("no descriptor left")

func (g *generator) progress(ctx context.Context) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p := Progress{At: g.now() - g.began, Open: int(g.open.Load()), Flight: int(g.flight.Load())}
		g.rec.mu.Lock()
		for _, class := range g.rec.seconds {
			for i := range class {
				p.Scheduled += class[i].Scheduled
				p.OK += class[i].OK
				p.Refused += class[i].Refused
				p.Failed += class[i].Failed + class[i].Unanswered
			}
		}
		g.rec.mu.Unlock()
		g.Progress(p)
	}
}
