package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// MaxClockDrift is by how much two clocks may differ in rate, as a part of the time: a holder counts its lease
// shorter by it.
const MaxClockDrift = 0.05

const (
	// renewFraction of a grant's time, as the client counts it, has passed when it renews the grant.
	renewFraction = 0.5
	// retryInterval is the pause before a client that waits in a queue, or was rejected, asks again.
	retryInterval = 500 * time.Millisecond
	// answerTimeout is how long a command may have no answer before it goes out again, the same.
	answerTimeout = time.Second
)

// ErrTwice is the cause where a lease is requested twice.
var ErrTwice = errors.New("is wanted twice")

// Request is a lease that a client is to hold.
type Request struct {
	Name     string
	Slots    int           // how many may hold it at once
	Duration time.Duration // of each grant
}

// clientLease is a client's own side of one lease.
type clientLease struct {
	Request
	wanted        bool
	token         uint64        // 0: not held
	expires       time.Duration // on the client's clock
	nextCommand   time.Duration
	queuePosition int
	reason        string // of a rejection
}

// heldAt reports whether the grant has not expired on the client's clock.
func (l *clientLease) heldAt(now time.Duration) bool { return l.token > 0 && now < l.expires }

// Client asks for leases and knows which it holds. It has one command in flight at a time: commands are numbered,
// and the table keeps only the last answer. Times are of one clock that never goes back, however fast it runs within
// MaxClockDrift, and that goes on while the process stands still.
type Client struct {
	name        string
	incarnation uint64
	seq         uint64 // of the last command
	leases      map[string]*clientLease

	inFlight *Command
	sentAt   time.Duration // when it went out first: its grant counts from then
	resendAt time.Duration
}

// NewClient begins for a process. A later process of the same name has a higher incarnation.
func NewClient(name string, incarnation uint64) *Client {
	return &Client{name: name, incarnation: incarnation, leases: make(map[string]*clientLease)}
}

// SetRequests says which leases the client is to hold from now on. Those that it holds and should not are released.
func (c *Client) SetRequests(now time.Duration, requests []Request) error {
	for i, r := range requests {
		probe := Command{
			Kind: Acquire, Client: c.name, Incarnation: 1, Seq: 1, Lease: r.Name, Slots: r.Slots, Duration: r.Duration,
		}
		if err := probe.check(); err != nil {
			return fmt.Errorf("lease: %s: %w", r.Name, err)
		}
		if slices.ContainsFunc(requests[:i], func(other Request) bool { return other.Name == r.Name }) {
			return fmt.Errorf("lease: %s %w", r.Name, ErrTwice)
		}
	}
	for _, l := range c.leases {
		l.wanted = false
	}
	for _, r := range requests {
		l := c.leases[r.Name]
		if l == nil {
			l = &clientLease{nextCommand: now}
			c.leases[r.Name] = l
		}
		if !l.wanted && l.token == 0 {
			l.nextCommand = now
		}
		l.Request, l.wanted = r, true
	}
	for _, l := range c.leases {
		if !l.wanted {
			l.nextCommand = now // to be released
		}
	}
	return nil
}

// Token reports whether the client holds a lease at this moment, and its fencing token. It is to be asked before
// each effect of the leased task, with a clock that was read for it: a process that stood still learns here that its
// time is over.
func (c *Client) Token(now time.Duration, name string) (token uint64, held bool) {
	l := c.leases[name]
	if l == nil || !l.heldAt(now) || !l.wanted {
		return 0, false
	}
	return l.token, true
}

// Remaining is for how long the client holds a lease yet.
func (c *Client) Remaining(now time.Duration, name string) time.Duration {
	if l := c.leases[name]; l != nil && l.token > 0 {
		return max(0, l.expires-now)
	}
	return 0
}

// Held lists the leases that the client holds now.
func (c *Client) Held(now time.Duration) (names []string) {
	for _, name := range sortedKeys(c.leases) {
		if _, held := c.Token(now, name); held {
			names = append(names, name)
		}
	}
	return names
}

// NextCommand returns the command that is to go out now, if there is one: a new one, or again one that has had no
// answer.
func (c *Client) NextCommand(now time.Duration) (Command, bool) {
	if c.inFlight != nil {
		if now < c.resendAt {
			return Command{}, false
		}
		c.resendAt = now + answerTimeout
		return *c.inFlight, true
	}
	l := c.due(now)
	if l == nil {
		return Command{}, false
	}
	command := Command{
		Client: c.name, Incarnation: c.incarnation, Seq: c.seq + 1,
		Lease: l.Name, Slots: l.Slots, Duration: l.Duration, FencingToken: l.token,
	}
	switch {
	case !l.wanted:
		command.Kind = Release
		l.expires = 0 // nothing more is done under it, whatever becomes of the command
	case l.heldAt(now):
		command.Kind = Renew
	default:
		command.Kind, l.token = Acquire, 0
	}
	c.seq++
	c.inFlight, c.sentAt, c.resendAt = &command, now, now+answerTimeout
	return command, true
}

// due is the lease whose command is most overdue, or nil.
func (c *Client) due(now time.Duration) (first *clientLease) {
	for _, name := range sortedKeys(c.leases) {
		if l := c.leases[name]; l.nextCommand <= now && (first == nil || l.nextCommand < first.nextCommand) {
			first = l
		}
	}
	return first
}

// NextWake is when NextCommand has a command at the latest; ok is false if nothing is requested.
func (c *Client) NextWake() (at time.Duration, ok bool) {
	if c.inFlight != nil {
		return c.resendAt, true
	}
	for _, l := range c.leases {
		if !ok || l.nextCommand < at {
			at, ok = l.nextCommand, true
		}
	}
	return at, ok
}

// Receive takes the answer to a command. One to another command than that in flight is passed over: its time is
// over.
func (c *Client) Receive(now time.Duration, seq uint64, a Answer) {
	if c.inFlight == nil || c.inFlight.Seq != seq {
		return
	}
	command, sentAt := *c.inFlight, c.sentAt
	c.inFlight = nil
	l := c.leases[command.Lease]
	if l == nil {
		return
	}
	l.reason, l.queuePosition = a.Reason, a.QueuePosition
	switch {
	case command.Kind == Release:
		l.token = 0
		if !l.wanted {
			delete(c.leases, command.Lease)
		}
	case a.Verdict == Granted:
		l.grant(now, sentAt, a)
	case a.Verdict == Expired:
		l.token, l.expires, l.nextCommand = 0, 0, now
	default:
		l.token, l.expires, l.nextCommand = 0, 0, now+retryInterval
	}
}

// grant counts a grant from before the client asked, shorter by what two clocks may differ.
func (l *clientLease) grant(now, sentAt time.Duration, a Answer) {
	usable := time.Duration(float64(a.Duration) * (1 - MaxClockDrift))
	l.token, l.expires = a.FencingToken, sentAt+usable
	l.nextCommand = sentAt + time.Duration(float64(usable)*renewFraction)
	if !l.wanted {
		l.nextCommand = now
	}
}

// Undelivered tells that the command in flight got no answer and never will on this path: it goes out again at
// once, the same.
func (c *Client) Undelivered(now time.Duration) { c.resendAt = min(c.resendAt, now) }

// State is what operators read of one lease.
type State struct {
	Lease         string
	Held          bool
	Token         uint64
	Remaining     time.Duration
	QueuePosition int
	Reason        string // of a rejection
}

// States lists all that the client requests or still holds, by name.
func (c *Client) States(now time.Duration) (states []State) {
	for _, name := range sortedKeys(c.leases) {
		l := c.leases[name]
		token, held := c.Token(now, name)
		states = append(states, State{Lease: name, Held: held, Token: token, Remaining: c.Remaining(now, name),
			QueuePosition: l.queuePosition, Reason: l.reason})
	}
	return states
}
