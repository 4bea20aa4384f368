package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// Clients is how clients act.
type Clients struct {
	Retries     float64       // further tries at the most; 1.5 means one for half of them, two for the others
	Backoff     string        // "fixed" or "exp", doubling
	Wait        time.Duration // before the first retry
	Honour      float64       // share that waits as long as Retry-After tells
	MostAfter   time.Duration // the longest Retry-After that is followed; beyond it the client gives up. 0: no limit
	TryShare    float64       // a client leaves after a share between this and 1 of its patience; 0 means 1
	Marks       bool          // retries are marked as such
	Connections int           // open from the start, dealt out among the targets
	KeepFor     int           // requests on one connection; 0 means no limit
	SlowShare   float64       // share of the unsafe requests whose body comes in pieces
	SlowFor     time.Duration // over this time
	Silent      int           // connections more that are opened and say nothing
}

// Options of a run.
type Options struct {
	Targets  []string
	Front    *Front // over the targets; a new one if nil
	Classes  []Class
	Schedule Schedule
	Clients  Clients
	Notice   time.Duration // the front leaves out a target whose connects fail after this long
	Seed     uint64
	Prefix   string                      // of the ids
	Ledger   *requestrecord.ClientRecord // a new one if nil
	Clock    func() time.Duration        // of the run; a new one if nil. The schedule begins when Run is called
	Progress func(Progress)              // called about four times a second; may be nil
	MostOpen int                         // connections; 0: as many descriptors as the process may have, less a reserve
}

// Progress is how far a run is.
type Progress struct {
	At                                           time.Duration
	Scheduled, OK, Refused, Failed, Open, Flight int
}

// grace is how much longer than its patience a client looks for an answer, to tell a late one from none. The
// rules on sockets give every time limit as much.
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
	if o.Ledger == nil {
		o.Ledger = requestrecord.NewClients()
	}
	if o.Clock == nil {
		began := time.Now()
		o.Clock = func() time.Duration { return time.Since(began) }
	}
	if o.Prefix == "" {
		o.Prefix = fmt.Sprintf("%08x", uint32(o.Seed))
	}
	if o.Clients.TryShare <= 0 || o.Clients.TryShare > 1 {
		o.Clients.TryShare = 1
	}
	limit := descriptors()
	if o.MostOpen <= 0 || o.MostOpen > limit-reserve {
		o.MostOpen = limit - reserve
	}
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

// tried is a try's end.
type tried struct {
	fate     Fate
	after    time.Duration // Retry-After
	ended    time.Duration
	answered bool
	cause    string
}

// try sends a request once. If the link closes without having read it, it is sent once more on a new one.
func (g *generator) try(ctx context.Context, r *request, number int, patience time.Duration) (out tried) {
	class := &g.Classes[r.Class]
	id := fmt.Sprintf("%s%08x", g.Prefix, g.ids.Add(1))
	target := g.Front.pick()
	err := g.Ledger.Add(requestrecord.Attempt{ID: id, Request: r.number, Number: number, Class: class.Name, Unsafe: class.Unsafe, Keyed: class.Keyed,
		Target: target.addr, Body: r.Body, Due: g.began + r.At, Patience: patience})
	if err != nil {
		return tried{fate: Unsent, cause: err.Error()}
	}
	var whole bool
	defer func() {
		g.Ledger.Update(id, func(t *requestrecord.Attempt) { t.Ended, t.Whole, t.Cause = g.now(), whole, out.cause })
	}()
	for again := 0; ; again++ {
		l, used, err := g.linkTo(ctx, target, patience, again > 0)
		if errors.Is(err, errNoRoom) {
			return tried{fate: Unsent, cause: "no descriptor left for a connection"}
		}
		if err != nil {
			return tried{fate: Failed, cause: "connect: " + cause(err)}
		}
		wait := l.ask(id)
		if wait == nil {
			_ = l.Close()
			continue // it ended just now, before anything was written on it
		}
		if err := g.write(l, id, class, r, number, patience); err != nil {
			_ = l.Close()
			a := <-wait
			if used && again == 0 {
				continue
			}
			return tried{fate: Failed, ended: a.at, cause: "write: " + cause(err)}
		}
		sent := g.now()
		whole = true
		g.Ledger.Update(id, func(t *requestrecord.Attempt) { t.Sent, t.Whole = sent, true })
		if number == 0 && again == 0 {
			g.rec.count(r.Class, r.At, func(s *Second) { s.Sent++ })
		}
		timer := time.NewTimer(patience + grace)
		select {
		case a := <-wait:
			timer.Stop()
			if a.err != nil && a.crossed && used && again == 0 {
				whole = false
				continue
			}
			return g.judge(l, target, id, a, sent+patience)
		case <-timer.C:
			_ = l.Close()
			g.Ledger.Update(id, func(t *requestrecord.Attempt) { t.Left = true })
			return tried{fate: Unanswered, ended: g.now(), cause: "silence"}
		}
	}
}

// judge takes the answer, or the link's end, and gives the link back.
func (g *generator) judge(l *link, t *target, id string, a answer, deadline time.Duration) tried {
	if a.err != nil {
		_ = l.Close()
		return tried{fate: Failed, ended: a.at, cause: "link: " + cause(a.err)}
	}
	g.Ledger.Update(id, func(t *requestrecord.Attempt) {
		t.Answers++
		t.Status, t.Hash = a.status, requestrecord.Hash(a.body)
	})
	l.served++
	switch {
	case a.close:
		_ = l.Close()
	case g.Clients.KeepFor > 0 && l.served >= g.Clients.KeepFor:
		_ = l.Close()
	default:
		t.pool.give(l)
	}
	out := tried{ended: a.at, after: a.after, answered: a.at <= deadline}
	switch {
	case a.at > deadline:
		out.fate, out.cause = Failed, "answered late"
	case a.status == 200:
		out.fate = OK
	case a.status == 429 || a.status == 503:
		out.fate, out.cause = Refused, fmt.Sprint(a.status)
	default:
		out.fate, out.cause = Failed, fmt.Sprint(a.status)
	}
	return out
}

// cause words an error without what differs from one connection to the next.
func cause(err error) string {
	for _, known := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, os.ErrDeadlineExceeded, net.ErrClosed} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	if text := err.Error(); !strings.Contains(text, "127.") {
		return text
	}
	return "connection failed"
}

var errNoRoom = errors.New("no descriptor left")

// linkTo returns a link to a target, an idle one unless fresh.
func (g *generator) linkTo(ctx context.Context, t *target, within time.Duration, fresh bool) (l *link, used bool, err error) {
	if !fresh {
		if l := t.pool.take(); l != nil {
			return l, true, nil
		}
	}
	if g.open.Add(1) > int64(g.MostOpen) {
		g.open.Add(-1)
		return nil, false, errNoRoom
	}
	c, err := dial(ctx, t.addr, within)
	if err != nil {
		g.open.Add(-1)
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL) {
			return nil, false, errNoRoom // ours, not the target's
		}
		g.Front.connected(t, false)
		return nil, false, err
	}
	g.Front.connected(t, true)
	return g.link(c), false, nil
}

// write writes a request whole.
func (g *generator) write(l *link, id string, c *Class, r *request, number int, patience time.Duration) error {
	method, path := "GET", "/"+c.Name+"/item"
	if c.Unsafe || c.Keyed {
		method, path = "POST", "/"+c.Name
	}
	b := make([]byte, 0, 256+r.Body)
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n", method, path, id,
		c.Name, patience.Milliseconds())
	if number > 0 && g.Clients.Marks {
		b = append(b, "X-Second-Try: 1\r\n"...)
	}
	if c.Keyed {
		b = fmt.Appendf(b, "Idempotency-Key: %032x\r\n", r.number) // the same for a client's retry
	}
	if !c.Unsafe && !c.Keyed {
		b = append(b, "\r\n"...)
		_, err := l.Write(b)
		return err
	}
	b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", r.Body)
	head := len(b)
	for len(b) < head+r.Body {
		b = append(b, 'a'+byte(len(b)%26))
	}
	if !r.slow || r.Body < 2 {
		_, err := l.Write(b)
		return err
	}
	const pieces = 5
	if _, err := l.Write(b[:head]); err != nil {
		return err
	}
	rest := b[head:]
	for i := range pieces {
		time.Sleep(g.Clients.SlowFor / pieces)
		if _, err := l.Write(rest[len(rest)*i/pieces : len(rest)*(i+1)/pieces]); err != nil {
			return err
		}
	}
	return nil
}

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

// descriptors is how many this process may have; the soft limit is raised to the hard one.
func descriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 1024
	}
	if l.Cur < l.Max {
		raised := l
		raised.Cur = l.Max
		if syscall.Setrlimit(syscall.RLIMIT_NOFILE, &raised) == nil {
			l = raised
		}
	}
	return int(min(l.Cur, 1<<20))
}

// processorTime is what this process has used, in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
