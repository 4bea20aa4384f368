package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// tried is a try's end.
type tried struct {
	fate     Fate
	after    time.Duration // Retry-After
	ended    time.Duration
	answered bool
	cause    string
}

// attempt is one sending of a request, perhaps on a second link.
type attempt struct {
	id       string
	request  *request
	class    *Class
	number   int
	patience time.Duration
	target   *target
	whole    bool // it was written whole
}

// try sends a request once. If the link closes without having read it, it is sent once more on a new one.
func (g *generator) try(ctx context.Context, r *request, number int, patience time.Duration) (out tried) {
	class := &g.Classes[r.Class]
	a := attempt{id: fmt.Sprintf("%s%08x", g.Prefix, g.ids.Add(1)), request: r, class: class, number: number,
		patience: patience, target: g.Front.pick()}
	err := g.Ledger.Add(requestrecord.Attempt{ID: a.id, Request: r.number, Number: number, Class: class.Name,
		Unsafe: class.Unsafe, Keyed: class.Keyed, Target: a.target.addr, Body: r.Body, Due: g.began + r.At,
		Patience: patience})
	if err != nil {
		return tried{fate: Unsent, cause: err.Error()}
	}
	defer func() {
		g.Ledger.Update(a.id, func(t *requestrecord.Attempt) {
			t.Ended, t.Whole, t.Cause = g.now(), a.whole,
				out.cause
		})
	}()
	for again := 0; ; again++ {
		if result, ended := g.sendOn(ctx, &a, again); ended {
			return result
		}
	}
}

// sendOn sends an attempt on a link to its target. ended is false where the link closed without having
// read it.
func (g *generator) sendOn(ctx context.Context, a *attempt, again int) (result tried, ended bool) {
	l, used, err := g.linkTo(ctx, a.target, a.patience, again > 0)
	if errors.Is(err, errNoRoom) {
		return tried{fate: Unsent, cause: "no descriptor left for a connection"}, true
	}
	if err != nil {
		return tried{fate: Failed, cause: "connect: " + cause(err)}, true
	}
	wait := l.ask(a.id)
	if wait == nil {
		_ = l.Close()
		return tried{}, false // it ended just now, before anything was written on it
	}
	if err := g.write(l, a.id, a.class, a.request, a.number, a.patience); err != nil {
		_ = l.Close()
		reply := <-wait
		if used && again == 0 {
			return tried{}, false
		}
		return tried{fate: Failed, ended: reply.at, cause: "write: " + cause(err)}, true
	}
	sent := g.now()
	a.whole = true
	g.Ledger.Update(a.id, func(t *requestrecord.Attempt) { t.Sent, t.Whole = sent, true })
	if a.number == 0 && again == 0 {
		g.rec.count(a.request.Class, a.request.At, func(s *Second) { s.Sent++ })
	}
	timer := time.NewTimer(a.patience + grace)
	select {
	case reply := <-wait:
		timer.Stop()
		if reply.err != nil && reply.crossed && used && again == 0 {
			a.whole = false
			return tried{}, false
		}
		return g.judge(l, a.target, a.id, reply, sent+a.patience), true
	case <-timer.C:
		_ = l.Close()
		g.Ledger.Update(a.id, func(t *requestrecord.Attempt) { t.Left = true })
		return tried{fate: Unanswered, ended: g.now(), cause: "silence"}, true
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
	for _, known := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE,
		os.ErrDeadlineExceeded, net.ErrClosed} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	if text := err.Error(); !strings.Contains(text, "127.") {
		return text
	}
	return "connection failed"
}

// linkTo returns a link to a target, an idle one unless fresh.
func (g *generator) linkTo(ctx context.Context, t *target, within time.Duration, fresh bool) (l *link,
	used bool, err error) {
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
	b = fmt.Appendf(b, "%s %s HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Expires-In: %dm\r\n",
		method, path, id,
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
