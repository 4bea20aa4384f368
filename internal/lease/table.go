// Package lease decides who holds which duty: a table of leases, applied as a state machine in one order everywhere; the client that asks for
// them and looks at its clock before each effect; the guard of who receives effects; and who should hold which shard. It does no I/O and has no
// clock. docs/design/duties.md says why it is so.
package lease

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of a table.
const (
	MostName    = 64 // bytes of a duty's or a client's name
	MostDuties  = 20_000
	MostHolders = 100 // of one duty
	MostWaiters = 500 // in one line
	MostClients = 2_000
	// LeastLease and MostLease bound how long a grant holds.
	LeastLease = 100 * time.Millisecond
	MostLease  = 10 * time.Minute
)

// reservedFor is how long a free place is kept for the one at the head of the line, and how long one that waits may say nothing.
const (
	reservedFor = 2 * time.Second
	waitsFor    = 10 * time.Second
)

// Kind is what a command asks.
type Kind uint8

// The kinds of commands.
const (
	Acquire Kind = iota + 1
	Renew
	Release
)

// Command is one entry of the log. At is the log's time, which the leader gives it.
type Command struct {
	Kind   Kind
	Client string // who asks
	Start  uint64 // of its process: an earlier one's commands change nothing any more
	Seq    uint64 // of the client's commands, from 1; a repeat of the last one has the same answer
	Duty   string
	Places int           // with Acquire: holders at most; the first to ask for a duty that nobody holds or waits for settles it
	Lease  time.Duration // with Acquire and Renew: for how long
	Fence  uint64        // with Renew and Release: of the grant
	At     time.Duration
}

// Verdict is what a command came to.
type Verdict uint8

// The verdicts. Taken means that the client waits in line; Lapsed that the grant is no longer its own; Stale that the command is of an earlier process, or
// older than one that was applied; Refused that it cannot be.
const (
	Granted Verdict = iota + 1
	Taken
	Released
	Lapsed
	Stale
	Refused
)

// String words a verdict.
func (v Verdict) String() string {
	return [...]string{"none", "granted", "taken", "released", "lapsed", "stale", "refused"}[min(v, Refused)]
}

// Answer is what the client is told.
type Answer struct {
	Verdict Verdict
	Fence   uint64        // of the grant
	Lease   time.Duration // for which it holds, from before the client asked
	Ahead   int           // with Taken: how many stand before it in line
	Why     string        // with Refused
}

// holder is one grant.
type holder struct {
	Client string
	Start  uint64
	Fence  uint64
	Until  time.Duration
}

// waiter is one in line.
type waiter struct {
	Client string
	Start  uint64
	Heard  time.Duration
}

// duty is one that is held or waited for.
type duty struct {
	Name     string
	Places   int
	Holders  []holder // by fence
	Line     []waiter
	Reserved time.Duration // for the head of the line, until then; 0 if it is not
}

// client is what is remembered of one that has commanded.
type client struct {
	Name   string
	Start  uint64
	Seq    uint64
	Answer Answer
	Heard  time.Duration
}

// Table is the state. The same commands in the same order give the same table.
type Table struct {
	now     time.Duration
	fence   uint64
	duties  map[string]*duty
	clients map[string]*client
	swept   time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{duties: make(map[string]*duty), clients: make(map[string]*client)}
}

// Now is the log's time: that of the last command.
func (t *Table) Now() time.Duration { return t.now }

// Fence is the highest number given.
func (t *Table) Fence() uint64 { return t.fence }

// Len is how many duties are held or waited for.
func (t *Table) Len() int { return len(t.duties) }

// Holders lists who holds a duty now, by the age of their grants.
func (t *Table) Holders(name string) (clients []string) {
	d := t.duties[name]
	if d == nil {
		return nil
	}
	for _, h := range d.Holders {
		if h.Until > t.now {
			clients = append(clients, h.Client)
		}
	}
	return clients
}

func (c *Command) check() error {
	switch {
	case c.Client == "" || len(c.Client) > MostName || c.Duty == "" || len(c.Duty) > MostName:
		return fmt.Errorf("names of 1 to %d bytes are needed", MostName)
	case c.Kind < Acquire || c.Kind > Release:
		return fmt.Errorf("kind %d is none", c.Kind)
	case c.Seq == 0 || c.Start == 0:
		return fmt.Errorf("start and number must be above 0")
	case c.Kind == Acquire && (c.Places < 1 || c.Places > MostHolders):
		return fmt.Errorf("places must be 1 to %d", MostHolders)
	case c.Kind != Release && (c.Lease < LeastLease || c.Lease > MostLease):
		return fmt.Errorf("a lease must be %v to %v", LeastLease, MostLease)
	}
	return nil
}

// Apply applies a command. Time never goes back: a command with an earlier one is applied at the present.
func (t *Table) Apply(c Command) Answer {
	t.now = max(t.now, c.At)
	t.sweep()
	if err := c.check(); err != nil {
		return Answer{Verdict: Refused, Why: err.Error()}
	}
	k := t.clients[c.Client]
	switch {
	case k == nil:
		if len(t.clients) >= MostClients {
			return Answer{Verdict: Refused, Why: "too many clients"}
		}
		k = &client{Name: c.Client, Start: c.Start}
		t.clients[c.Client] = k
	case c.Start < k.Start || c.Start == k.Start && c.Seq < k.Seq:
		return Answer{Verdict: Stale}
	case c.Start == k.Start && c.Seq == k.Seq:
		return k.Answer // a proposal that came twice
	case c.Start > k.Start:
		// What the process before held stays held until it lapses: that process may still be at it. Its places in line go.
		k.Start = c.Start
		for _, d := range t.sorted() {
			d.Line = slices.DeleteFunc(d.Line, func(w waiter) bool { return w.Client == c.Client })
		}
	}
	k.Seq, k.Heard = c.Seq, t.now
	k.Answer = t.command(c)
	return k.Answer
}

func (t *Table) command(c Command) Answer {
	d := t.duties[c.Duty]
	if d != nil {
		t.tidy(d)
	}
	switch c.Kind {
	case Acquire:
		return t.acquire(d, c)
	case Renew:
		if h := d.grant(c); h != nil {
			h.Until = t.now + c.Lease
			return Answer{Verdict: Granted, Fence: h.Fence, Lease: c.Lease}
		}
		return Answer{Verdict: Lapsed}
	}
	if d != nil {
		d.Line = slices.DeleteFunc(d.Line, func(w waiter) bool { return w.Client == c.Client })
		if d.grant(c) != nil {
			d.Holders = slices.DeleteFunc(d.Holders, func(h holder) bool { return h.Fence == c.Fence })
		}
		t.tidy(d)
	}
	return Answer{Verdict: Released}
}

// grant is the grant that a command names, if it has not lapsed.
func (d *duty) grant(c Command) *holder {
	if d == nil {
		return nil
	}
	at := slices.IndexFunc(d.Holders, func(h holder) bool { return h.Client == c.Client && h.Start == c.Start && h.Fence == c.Fence })
	if at < 0 {
		return nil
	}
	return &d.Holders[at]
}

func (t *Table) acquire(d *duty, c Command) Answer {
	if d == nil {
		if len(t.duties) >= MostDuties {
			return Answer{Verdict: Refused, Why: "too many duties"}
		}
		d = &duty{Name: c.Duty, Places: c.Places}
		t.duties[c.Duty] = d
	}
	if d.Places != c.Places {
		return Answer{Verdict: Refused, Why: fmt.Sprintf("%s has %d places, not %d", c.Duty, d.Places, c.Places)}
	}
	// One that holds it already, by an answer that was lost: the same grant for longer. Only its own process may have it so.
	if at := slices.IndexFunc(d.Holders, func(h holder) bool { return h.Client == c.Client && h.Start == c.Start }); at >= 0 {
		h := &d.Holders[at]
		h.Until = t.now + c.Lease
		return Answer{Verdict: Granted, Fence: h.Fence, Lease: c.Lease}
	}
	at := slices.IndexFunc(d.Line, func(w waiter) bool { return w.Client == c.Client })
	if at < 0 {
		if len(d.Line) >= MostWaiters {
			return Answer{Verdict: Refused, Why: "too many wait"}
		}
		at = len(d.Line)
		d.Line = append(d.Line, waiter{Client: c.Client})
	}
	d.Line[at].Start, d.Line[at].Heard = c.Start, t.now
	t.tidy(d) // it may be at the head now
	if free := d.Places - len(d.Holders); at >= free {
		return Answer{Verdict: Taken, Ahead: at}
	}
	d.Line = slices.Delete(d.Line, at, at+1)
	t.fence++
	d.Holders = append(d.Holders, holder{Client: c.Client, Start: c.Start, Fence: t.fence, Until: t.now + c.Lease})
	d.Reserved = 0
	t.tidy(d)
	return Answer{Verdict: Granted, Fence: t.fence, Lease: c.Lease}
}

// tidy drops what has lapsed, and those at the head of the line who have let a free place pass. A duty that nobody holds or waits for is
// forgotten.
func (t *Table) tidy(d *duty) {
	d.Holders = slices.DeleteFunc(d.Holders, func(h holder) bool { return h.Until <= t.now })
	d.Line = slices.DeleteFunc(d.Line, func(w waiter) bool { return t.now-w.Heard > waitsFor })
	switch {
	case len(d.Holders) >= d.Places || len(d.Line) == 0:
		d.Reserved = 0
	case d.Reserved == 0:
		d.Reserved = t.now + reservedFor
	case t.now >= d.Reserved && t.now-d.Line[0].Heard > reservedFor && len(d.Line) > 1:
		// It has been its turn, and it has not asked: it goes to the end.
		d.Line = append(d.Line[1:], d.Line[0])
		d.Reserved = t.now + reservedFor
	}
	if len(d.Holders) == 0 && len(d.Line) == 0 {
		delete(t.duties, d.Name)
	} else {
		t.duties[d.Name] = d
	}
}

// sweepEvery is how often everything is looked through for what has lapsed.
const sweepEvery = 10 * time.Second

// sweep keeps the table bounded by what is in use.
func (t *Table) sweep() {
	if t.now-t.swept < sweepEvery {
		return
	}
	t.swept = t.now
	busy := make(map[string]bool)
	for _, d := range t.sorted() {
		t.tidy(d)
		for _, h := range d.Holders {
			busy[h.Client] = true
		}
		for _, w := range d.Line {
			busy[w.Client] = true
		}
	}
	for _, name := range sortedKeys(t.clients) {
		if !busy[name] && t.now-t.clients[name].Heard > MostLease {
			delete(t.clients, name)
		}
	}
}

func (t *Table) sorted() []*duty {
	out := make([]*duty, 0, len(t.duties))
	for _, name := range sortedKeys(t.duties) {
		out = append(out, t.duties[name])
	}
	return out
}
