package lease

import (
	"slices"
	"time"
)

const (
	// reservationPeriod is how long a free slot is reserved for the client at the head of the queue.
	reservationPeriod = 2 * time.Second
	// queueTimeout is how long a waiting client may send no Acquire before it is removed from the queue.
	queueTimeout = 10 * time.Second
	// sweepInterval is the interval at which the whole table is searched for expired grants, waiters and clients.
	sweepInterval = 10 * time.Second
)

// holder is one grant of a lease.
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
	Holders       []holder      `json:"Holders"` // sorted by fencing token
	Queue         []waiter      `json:"Line"`
	ReservedUntil time.Duration `json:"Reserved"` // for the head of the queue; 0 if no slot is reserved
}

// client is the record of a client that has sent commands.
type client struct {
	Name        string        `json:"Name"`
	Incarnation uint64        `json:"Start"`
	Seq         uint64        `json:"Seq"`
	Answer      Answer        `json:"Answer"` // answer to command number Seq
	LastSeen    time.Duration `json:"Heard"`
}

// Table is the lease table. The same commands in the same order result in the same table.
type Table struct {
	now       time.Duration // log time
	lastToken uint64
	leases    map[string]*leaseState
	clients   map[string]*client
	lastSweep time.Duration
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{leases: make(map[string]*leaseState), clients: make(map[string]*client)}
}

// Now returns the log time, which is that of the last command.
func (t *Table) Now() time.Duration { return t.now }

// LastToken returns the highest fencing token issued.
func (t *Table) LastToken() uint64 { return t.lastToken }

// Len returns the number of leases that have a holder or a queue.
func (t *Table) Len() int { return len(t.leases) }

// Holders returns the clients that hold a lease now, the oldest grant first.
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

// Apply applies a command and returns its answer. Log time never goes back: a command with an earlier time is applied
// at the current log time.
func (t *Table) Apply(c Command) Answer {
	t.now = max(t.now, c.At)
	t.sweep()
	if err := c.validate(); err != nil {
		return rejected("%v", err)
	}
	record := t.clients[c.Client]
	switch {
	case record == nil:
		if len(t.clients) >= MaxClients {
			return rejected("too many clients")
		}
		record = &client{Name: c.Client, Incarnation: c.Incarnation}
		t.clients[c.Client] = record
	case c.Incarnation < record.Incarnation || c.Incarnation == record.Incarnation && c.Seq < record.Seq:
		return Answer{Verdict: Stale}
	case c.Incarnation == record.Incarnation && c.Seq == record.Seq:
		return record.Answer // the command was proposed twice
	case c.Incarnation > record.Incarnation:
		// Leases of the previous process stay held until they expire, because it may still act on them. Its positions
		// in queues are removed.
		record.Incarnation = c.Incarnation
		for _, l := range t.sortedLeases() {
			l.dequeue(c.Client)
		}
	}
	record.Seq, record.LastSeen = c.Seq, t.now
	record.Answer = t.execute(c)
	return record.Answer
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

// extend lets a grant expire after duration from now.
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
	// If this process already holds the lease, because the answer to an earlier Acquire was lost, the same grant is
	// extended. Another process of the same client does not get the grant.
	sameProcess := func(h holder) bool { return h.Client == c.Client && h.Incarnation == c.Incarnation }
	if index := slices.IndexFunc(l.Holders, sameProcess); index >= 0 {
		return t.extend(&l.Holders[index], c.Duration)
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
	t.expire(l) // the client may be at the head of the queue now
	if free := l.Slots - len(l.Holders); position >= free {
		return Answer{Verdict: Queued, QueuePosition: position}
	}
	return t.grant(l, position, c)
}

// grant gives a free slot to the client at a position in the queue, with a new fencing token.
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

// grantOf returns the grant that a command names, or nil if there is none any more.
func (l *leaseState) grantOf(c Command) *holder {
	if l == nil {
		return nil
	}
	index := slices.IndexFunc(l.Holders, func(h holder) bool {
		return h.Client == c.Client && h.Incarnation == c.Incarnation && h.FencingToken == c.FencingToken
	})
	if index < 0 {
		return nil
	}
	return &l.Holders[index]
}

func (l *leaseState) dequeue(client string) {
	l.Queue = slices.DeleteFunc(l.Queue, func(w waiter) bool { return w.Client == client })
}

// expire removes expired grants and waiters of a lease. If the client at the head of the queue has not used its
// reservation of a free slot, it is moved to the end. A lease without holders and queue is deleted.
func (t *Table) expire(l *leaseState) {
	l.Holders = slices.DeleteFunc(l.Holders, func(h holder) bool { return h.Expires <= t.now })
	l.Queue = slices.DeleteFunc(l.Queue, func(w waiter) bool { return t.now-w.LastSeen > queueTimeout })
	switch {
	case len(l.Holders) >= l.Slots || len(l.Queue) == 0:
		l.ReservedUntil = 0
	case l.ReservedUntil == 0:
		l.ReservedUntil = t.now + reservationPeriod
	case t.now >= l.ReservedUntil && t.now-l.Queue[0].LastSeen > reservationPeriod && len(l.Queue) > 1:
		// The reservation has expired and the client has sent no Acquire during it.
		l.Queue = append(l.Queue[1:], l.Queue[0])
		l.ReservedUntil = t.now + reservationPeriod
	}
	if len(l.Holders) == 0 && len(l.Queue) == 0 {
		delete(t.leases, l.Name)
	} else {
		t.leases[l.Name] = l
	}
}

// sweep removes expired grants and waiters, and clients that neither hold nor wait for a lease and have sent no
// command for MaxDuration, so that the size of the table is bounded by what is in use.
func (t *Table) sweep() {
	if t.now-t.lastSweep < sweepInterval {
		return
	}
	t.lastSweep = t.now
	inUse := make(map[string]bool)
	for _, l := range t.sortedLeases() {
		t.expire(l)
		for _, h := range l.Holders {
			inUse[h.Client] = true
		}
		for _, w := range l.Queue {
			inUse[w.Client] = true
		}
	}
	for _, name := range sortedKeys(t.clients) {
		if !inUse[name] && t.now-t.clients[name].LastSeen > MaxDuration {
			delete(t.clients, name)
		}
	}
}

// sortedLeases returns the leases sorted by name.
func (t *Table) sortedLeases() []*leaseState {
	list := make([]*leaseState, 0, len(t.leases))
	for _, name := range sortedKeys(t.leases) {
		list = append(list, t.leases[name])
	}
	return list
}
