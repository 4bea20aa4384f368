package lease

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// MaxClockDrift is the maximum difference between the rates of two clocks, as a fraction. A holder shortens the
// duration of its lease by this fraction.
const MaxClockDrift = 0.05

const (
	// renewFraction is the fraction of a grant's usable duration after which the client renews the grant.
	renewFraction = 0.5
	// retryInterval is the interval after which a client that is queued, or was rejected, sends the command again.
	retryInterval = 500 * time.Millisecond
	// answerTimeout is the time after which an unanswered command is resent unchanged.
	answerTimeout = time.Second
)

// ErrDuplicateRequest is returned by SetRequests if a lease is requested twice.
var ErrDuplicateRequest = errors.New("is requested twice")

// Request is a lease that a client should hold.
type Request struct {
	Name     string
	Slots    int           // maximum number of simultaneous holders
	Duration time.Duration // duration of each grant
}

// clientLease is a client's state of one lease.
type clientLease struct {
	Request
	requested     bool
	token         uint64        // fencing token; 0 if not held
	expires       time.Duration // when the grant expires on the client's clock
	nextCommand   time.Duration // when the next command is due
	queuePosition int
	reason        string // reason of the last rejection
}

// heldAt reports whether there is a grant that has not expired on the client's clock.
func (l *clientLease) heldAt(now time.Duration) bool { return l.token > 0 && now < l.expires }

// Client requests leases and records which ones it holds. It has at most one command in flight, because the table
// stores only the answer to a client's last command. All times passed to it are of one clock that never goes back,
// whose rate is within MaxClockDrift, and which continues to run while the process is paused.
type Client struct {
	name        string
	incarnation uint64
	seq         uint64 // number of the last command
	leases      map[string]*clientLease

	inFlight *Command
	sentAt   time.Duration // when it was first sent: the duration of its grant starts then
	resendAt time.Duration // when it is sent again if unanswered
}

// NewClient returns the client of a process. A later process of the same name must have a higher incarnation.
func NewClient(name string, incarnation uint64) *Client {
	return &Client{name: name, incarnation: incarnation, leases: make(map[string]*clientLease)}
}

// SetRequests sets the leases that the client should hold from now on. Other leases that it holds are released.
func (c *Client) SetRequests(now time.Duration, requests []Request) error {
	for i, r := range requests {
		command := Command{
			Kind: Acquire, Client: c.name, Incarnation: 1, Seq: 1, Lease: r.Name, Slots: r.Slots, Duration: r.Duration,
		}
		if err := command.validate(); err != nil {
			return fmt.Errorf("lease: %s: %w", r.Name, err)
		}
		if slices.ContainsFunc(requests[:i], func(other Request) bool { return other.Name == r.Name }) {
			return fmt.Errorf("lease: %s %w", r.Name, ErrDuplicateRequest)
		}
	}
	for _, l := range c.leases {
		l.requested = false
	}
	for _, r := range requests {
		l := c.leases[r.Name]
		if l == nil {
			l = &clientLease{nextCommand: now}
			c.leases[r.Name] = l
		}
		if !l.requested && l.token == 0 {
			l.nextCommand = now
		}
		l.Request, l.requested = r, true
	}
	for _, l := range c.leases {
		if !l.requested {
			l.nextCommand = now // release it now
		}
	}
	return nil
}

// Token reports whether the client holds a lease at now, and returns its fencing token. It must be called before each
// effect of the leased task, with a clock reading taken for that call: this is how a process that was paused detects
// that its lease has expired.
func (c *Client) Token(now time.Duration, name string) (token uint64, held bool) {
	l := c.leases[name]
	if l == nil || !l.heldAt(now) || !l.requested {
		return 0, false
	}
	return l.token, true
}

// Remaining returns how much longer the client holds a lease; 0 if it does not hold it.
func (c *Client) Remaining(now time.Duration, name string) time.Duration {
	if l := c.leases[name]; l != nil && l.token > 0 {
		return max(0, l.expires-now)
	}
	return 0
}

// Held returns the names of the leases that the client holds at now.
func (c *Client) Held(now time.Duration) (names []string) {
	for _, name := range sortedKeys(c.leases) {
		if _, held := c.Token(now, name); held {
			names = append(names, name)
		}
	}
	return names
}

// NextCommand returns the command to send now, if there is one: a new command, or the one in flight again if it has
// not been answered in time.
func (c *Client) NextCommand(now time.Duration) (Command, bool) {
	if c.inFlight != nil {
		if now < c.resendAt {
			return Command{}, false
		}
		c.resendAt = now + answerTimeout
		return *c.inFlight, true
	}
	l := c.mostOverdue(now)
	if l == nil {
		return Command{}, false
	}
	command := Command{
		Client: c.name, Incarnation: c.incarnation, Seq: c.seq + 1,
		Lease: l.Name, Slots: l.Slots, Duration: l.Duration, FencingToken: l.token,
	}
	switch {
	case !l.requested:
		command.Kind = Release
		l.expires = 0 // no effect may use the lease from now on, even if the command is lost
	case l.heldAt(now):
		command.Kind = Renew
	default:
		command.Kind, l.token = Acquire, 0
	}
	c.seq++
	c.inFlight, c.sentAt, c.resendAt = &command, now, now+answerTimeout
	return command, true
}

// mostOverdue returns the lease whose next command has been due for longest, or nil if none is due.
func (c *Client) mostOverdue(now time.Duration) (oldest *clientLease) {
	for _, name := range sortedKeys(c.leases) {
		if l := c.leases[name]; l.nextCommand <= now && (oldest == nil || l.nextCommand < oldest.nextCommand) {
			oldest = l
		}
	}
	return oldest
}

// NextWake returns the time at which NextCommand must be called next. ok is false if there is nothing to do.
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

// Receive processes the answer to the command with number seq. An answer to any command other than the one in flight
// is outdated and ignored.
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
		if !l.requested {
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

// grant records a grant. Its duration starts when the command was first sent and is shortened by the possible
// difference between two clocks.
func (l *clientLease) grant(now, sentAt time.Duration, a Answer) {
	usable := time.Duration(float64(a.Duration) * (1 - MaxClockDrift))
	l.token, l.expires = a.FencingToken, sentAt+usable
	l.nextCommand = sentAt + time.Duration(float64(usable)*renewFraction)
	if !l.requested {
		l.nextCommand = now
	}
}

// Undelivered reports to the client that the command in flight will not be answered on the path it was sent on.
// NextCommand then returns it again immediately, unchanged.
func (c *Client) Undelivered(now time.Duration) { c.resendAt = min(c.resendAt, now) }

// State is a client's state of one lease, for operators.
type State struct {
	Lease         string
	Held          bool
	Token         uint64
	Remaining     time.Duration
	QueuePosition int
	Reason        string // reason of the last rejection
}

// States returns the states of all leases that the client requests or still holds, sorted by name.
func (c *Client) States(now time.Duration) (states []State) {
	for _, name := range sortedKeys(c.leases) {
		l := c.leases[name]
		token, held := c.Token(now, name)
		states = append(states, State{Lease: name, Held: held, Token: token, Remaining: c.Remaining(now, name),
			QueuePosition: l.queuePosition, Reason: l.reason})
	}
	return states
}
