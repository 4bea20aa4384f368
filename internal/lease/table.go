package lease

import (
	"slices"
	"time"
)

const (
	// reservation is how long a free slot is kept for the client at the head of the queue.
	reservation = 2 * time.Second
	// queueTimeout is how long one that waits may say nothing.
	queueTimeout = 10 * time.Second
	// sweepInterval is how often everything is looked through for what has expired.
	sweepInterval = 10 * time.Second
)

// holder is one grant.
type holder struct {
	Client       string        `json:"Client"`
	Incarnation  uint64        `json:"Start"`
	FencingToken uint64        `json:"Fence"`
	Expires      time.Duration `json:"Until"`
}

// waiter is a client in a lease's queue.
type waiter struct {
	Client      string        `json:"Client"`
	Incarnation uint64        `json:"Start"`
	LastSeen    time.Duration `json:"Heard"`
}

// leaseState is a lease that is held or waited for.
type leaseState struct {
	Name          string        `json:"Name"`
	Slots         int           `json:"Places"`
	Holders       []holder      `json:"Holders"` // by fencing token
	Queue         []waiter      `json:"Line"`
	ReservedUntil time.Duration `json:"Reserved"` // for the head of the queue; 0 if no slot is
}

// client is what is remembered of one that has commanded.
type client struct {
	Name        string        `json:"Name"`
	Incarnation uint64        `json:"Start"`
	Seq         uint64        `json:"Seq"`
	Answer      Answer        `json:"Answer"` // to the command Seq
	LastSeen    time.Duration `json:"Heard"`
}

// Table is the state. The same commands in the same order give the same table.
type Table struct {
	now       time.Duration // the log's time
	lastToken uint64
	leases    map[string]*leaseState
	clients   map[string]*client
	lastSweep time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{leases: make(map[string]*leaseState), clients: make(map[string]*client)}
}

// Now is the log's time: that of the last command.
func (t *Table) Now() time.Duration { return t.now }

// LastToken is the highest fencing token given.
func (t *Table) LastToken() uint64 { return t.lastToken }

// Len is how many leases are held or waited for.
func (t *Table) Len() int { return len(t.leases) }

// Holders lists who holds a lease now, by the age of their grants.
func (t *Table) Holders(name string) (clients []string) {
	l := t.leases[name]
	if l == nil {
		return nil
	}
	for _, h := range l.Holders {
		if h.Expires > t.now {
			clients = append(clients, h.Client)
		}
	}
	return clients
}

// Apply applies a command. Time never goes back: a command with an earlier one is applied at the present.
func (t *Table) Apply(c Command) Answer {
	t.now = max(t.now, c.At)
	t.sweep()
	if err := c.check(); err != nil {
		return rejected("%v", err)
	}
	k := t.clients[c.Client]
	switch {
	case k == nil:
		if len(t.clients) >= MaxClients {
			return rejected("too many clients")
		}
		k = &client{Name: c.Client, Incarnation: c.Incarnation}
		t.clients[c.Client] = k
	case c.Incarnation < k.Incarnation || c.Incarnation == k.Incarnation && c.Seq < k.Seq:
		return Answer{Verdict: Stale}
	case c.Incarnation == k.Incarnation && c.Seq == k.Seq:
		return k.Answer // a proposal that came twice
	case c.Incarnation > k.Incarnation:
		// What the process before held stays held until it expires: that process may still act on it. Its places
		// in queues go.
		k.Incarnation = c.Incarnation
		for _, l := range t.sorted() {
			l.dequeue(c.Client)
		}
	}
	k.Seq, k.LastSeen = c.Seq, t.now
	k.Answer = t.execute(c)
	return k.Answer
}

func (t *Table) execute(c Command) Answer {
	l := t.leases[c.Lease]
	if l != nil {
		t.expire(l)
	}
	switch c.Kind {
	case Acquire:
		return t.acquire(l, c)
	case Renew:
		return t.renew(l, c)
	}
	return t.release(l, c)
}

func (t *Table) renew(l *leaseState, c Command) Answer {
	h := l.grantOf(c)
	if h == nil {
		return Answer{Verdict: Expired}
	}
	return t.extend(h, c.Duration)
}

// extend lets a grant hold from now on.
func (t *Table) extend(h *holder, duration time.Duration) Answer {
	h.Expires = t.now + duration
	return Answer{Verdict: Granted, FencingToken: h.FencingToken, Duration: duration}
}

func (t *Table) release(l *leaseState, c Command) Answer {
	if l != nil {
		l.dequeue(c.Client)
		if l.grantOf(c) != nil {
			released := func(h holder) bool { return h.FencingToken == c.FencingToken }
			l.Holders = slices.DeleteFunc(l.Holders, released)
		}
		t.expire(l)
	}
	return Answer{Verdict: Released}
}

func (t *Table) acquire(l *leaseState, c Command) Answer {
	if l == nil {
		if len(t.leases) >= MaxLeases {
			return rejected("too many duties")
		}
		l = &leaseState{Name: c.Lease, Slots: c.Slots}
		t.leases[c.Lease] = l
	}
	if l.Slots != c.Slots {
		return rejected("%s has %d places, not %d", c.Lease, l.Slots, c.Slots)
	}
	// One that holds it already, by an answer that was lost: the same grant for longer. Only its own process may
	// have it so.
	own := func(h holder) bool { return h.Client == c.Client && h.Incarnation == c.Incarnation }
	if at := slices.IndexFunc(l.Holders, own); at >= 0 {
		return t.extend(&l.Holders[at], c.Duration)
	}
	position := slices.IndexFunc(l.Queue, func(w waiter) bool { return w.Client == c.Client })
	if position < 0 {
		if len(l.Queue) >= MaxQueue {
			return rejected("too many wait")
		}
		position = len(l.Queue)
		l.Queue = append(l.Queue, waiter{Client: c.Client})
	}
	l.Queue[position].Incarnation, l.Queue[position].LastSeen = c.Incarnation, t.now
	t.expire(l) // it may be at the head now
	if free := l.Slots - len(l.Holders); position >= free {
		return Answer{Verdict: Queued, QueuePosition: position}
	}
	return t.grant(l, position, c)
}

// grant gives a free slot to a client in the queue, under a new fencing token.
func (t *Table) grant(l *leaseState, position int, c Command) Answer {
	l.Queue = slices.Delete(l.Queue, position, position+1)
	t.lastToken++
	l.Holders = append(l.Holders, holder{
		Client: c.Client, Incarnation: c.Incarnation, FencingToken: t.lastToken, Expires: t.now + c.Duration,
	})
	l.ReservedUntil = 0
	t.expire(l)
	return Answer{Verdict: Granted, FencingToken: t.lastToken, Duration: c.Duration}
}

// grantOf is the grant that a command names, if it has not expired.
func (l *leaseState) grantOf(c Command) *holder {
	if l == nil {
		return nil
	}
	at := slices.IndexFunc(l.Holders, func(h holder) bool {
		return h.Client == c.Client && h.Incarnation == c.Incarnation && h.FencingToken == c.FencingToken
	})
	if at < 0 {
		return nil
	}
	return &l.Holders[at]
}

func (l *leaseState) dequeue(client string) {
	l.Queue = slices.DeleteFunc(l.Queue, func(w waiter) bool { return w.Client == client })
}

// expire drops what has expired, and moves back those at the head of the queue who have let a free slot pass. A
// lease that nobody holds or waits for is forgotten.
func (t *Table) expire(l *leaseState) {
	l.Holders = slices.DeleteFunc(l.Holders, func(h holder) bool { return h.Expires <= t.now })
	l.Queue = slices.DeleteFunc(l.Queue, func(w waiter) bool { return t.now-w.LastSeen > queueTimeout })
	switch {
	case len(l.Holders) >= l.Slots || len(l.Queue) == 0:
		l.ReservedUntil = 0
	case l.ReservedUntil == 0:
		l.ReservedUntil = t.now + reservation
	case t.now >= l.ReservedUntil && t.now-l.Queue[0].LastSeen > reservation && len(l.Queue) > 1:
		// It has been its turn, and it has not asked: it goes to the end.
		l.Queue = append(l.Queue[1:], l.Queue[0])
		l.ReservedUntil = t.now + reservation
	}
	if len(l.Holders) == 0 && len(l.Queue) == 0 {
		delete(t.leases, l.Name)
	} else {
		t.leases[l.Name] = l
	}
}

// sweep keeps the table bounded by what is in use.
func (t *Table) sweep() {
	if t.now-t.lastSweep < sweepInterval {
		return
	}
	t.lastSweep = t.now
	busy := make(map[string]bool)
	for _, l := range t.sorted() {
		t.expire(l)
		for _, h := range l.Holders {
			busy[h.Client] = true
		}
		for _, w := range l.Queue {
			busy[w.Client] = true
		}
	}
	for _, name := range sortedKeys(t.clients) {
		if !busy[name] && t.now-t.clients[name].LastSeen > MaxDuration {
			delete(t.clients, name)
		}
	}
}

// sorted lists the leases by name.
func (t *Table) sorted() []*leaseState {
	list := make([]*leaseState, 0, len(t.leases))
	for _, name := range sortedKeys(t.leases) {
		list = append(list, t.leases[name])
	}
	return list
}
