package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Drift is by how much two clocks may differ in rate: a holder counts its lease shorter by it.
const Drift = 0.05

// Times of a client, as parts of a lease or as they are.
const (
	renewAt  = 0.5 // of what is left of a lease when it is granted: then it is renewed
	askAgain = 500 * time.Millisecond
	answerIn = time.Second // a command that has no answer by then goes out again, the same
)

// Request is a duty that a client is to hold.
type Request struct {
	Lease    string
	Index    int
	Duration time.Duration
}

// held is a client's own side of one duty.
type held struct {
	Request
	wanted bool
	fence  uint64        // 0: not held
	until  time.Duration // on the client's clock
	next   time.Duration // when it asks next
	ahead  int
	why    string
}

// Client asks for duties and knows which it holds. It has one command under way at a time: commands are numbered, and the table keeps only the last
// answer. Times are of one clock that never goes back, however fast it runs within Drift, and that goes on while the process stands still.
type Client struct {
	name  string
	start uint64
	seq   uint64
	duty  map[string]*held

	out   *Command      // under way
	asked time.Duration // when it went out first: its grant counts from then
	again time.Duration
}

// NewClient begins for a process.
func NewClient(name string, start uint64) *Client {
	return &Client{name: name, start: start, duty: make(map[string]*held)}
}

// Want says which duties the client is to hold from now on. Those that it holds and should not are released.
func (c *Client) Want(now time.Duration, wants []Request) error {
	for i, w := range wants {
		probe := Command{Kind: Acquire, Client: c.name, Start: 1, Seq: 1, Duty: w.Lease, Places: w.Index, Lease: w.Duration}
		if err := probe.check(); err != nil {
			return fmt.Errorf("duties: %s: %w", w.Lease, err)
		}
		if slices.ContainsFunc(wants[:i], func(o Request) bool { return o.Lease == w.Lease }) {
			return fmt.Errorf("duties: %s is wanted twice", w.Lease)
		}
	}
	for _, h := range c.duty {
		h.wanted = false
	}
	for _, w := range wants {
		h := c.duty[w.Lease]
		if h == nil {
			h = &held{next: now}
			c.duty[w.Lease] = h
		}
		if !h.wanted && h.fence == 0 {
			h.next = now
		}
		h.Request, h.wanted = w, true
	}
	for _, name := range sortedKeys(c.duty) {
		if h := c.duty[name]; !h.wanted {
			h.next = now // to be released
		}
	}
	return nil
}

// MayAct reports whether the client holds a duty at this moment, and with which number. It is to be asked before each effect of
// the duty, with a clock that was read for it: a process that stood still learns here that its time is over.
func (c *Client) MayAct(now time.Duration, name string) (fence uint64, ok bool) {
	h := c.duty[name]
	if h == nil || h.fence == 0 || now >= h.until || !h.wanted {
		return 0, false
	}
	return h.fence, true
}

// Left is for how long the client holds a duty yet.
func (c *Client) Left(now time.Duration, name string) time.Duration {
	if h := c.duty[name]; h != nil && h.fence > 0 {
		return max(0, h.until-now)
	}
	return 0
}

// Holds lists the duties that it holds now.
func (c *Client) Holds(now time.Duration) (names []string) {
	for _, name := range sortedKeys(c.duty) {
		if _, ok := c.MayAct(now, name); ok {
			names = append(names, name)
		}
	}
	return names
}

// NextCommand returns the command that is to go out now, if there is one: a new one, or again one that has had no answer.
func (c *Client) NextCommand(now time.Duration) (Command, bool) {
	if c.out != nil {
		if now < c.again {
			return Command{}, false
		}
		c.again = now + answerIn
		return *c.out, true
	}
	h := c.due(now)
	if h == nil {
		return Command{}, false
	}
	cmd := Command{Client: c.name, Start: c.start, Seq: c.seq + 1, Duty: h.Lease, Places: h.Index, Lease: h.Duration, Fence: h.fence}
	switch {
	case !h.wanted:
		cmd.Kind = Release
		h.until = 0 // nothing more is done under it, whatever becomes of the command
	case h.fence > 0 && now < h.until:
		cmd.Kind = Renew
	default:
		cmd.Kind, h.fence = Acquire, 0
	}
	c.seq++
	c.out, c.asked, c.again = &cmd, now, now+answerIn
	return cmd, true
}

// due is the duty whose command is most overdue, or nil.
func (c *Client) due(now time.Duration) (first *held) {
	for _, name := range sortedKeys(c.duty) {
		if h := c.duty[name]; h.next <= now && (first == nil || h.next < first.next) {
			first = h
		}
	}
	return first
}

// Next is when Ask has something to say at the latest; ok is false if nothing is wanted.
func (c *Client) Next() (at time.Duration, ok bool) {
	if c.out != nil {
		return c.again, true
	}
	for _, h := range c.duty {
		if !ok || h.next < at {
			at, ok = h.next, true
		}
	}
	return at, ok
}

// Receive takes the answer to a command. One to another command than that under way is passed over: its time is over.
func (c *Client) Receive(now time.Duration, seq uint64, a Answer) {
	if c.out == nil || c.out.Seq != seq {
		return
	}
	cmd, asked := *c.out, c.asked
	c.out = nil
	h := c.duty[cmd.Duty]
	if h == nil {
		return
	}
	h.why, h.ahead = a.Why, a.Ahead
	switch {
	case cmd.Kind == Release:
		h.fence = 0
		if !h.wanted {
			delete(c.duty, cmd.Duty)
		}
	case a.Verdict == Granted:
		// From before it asked, shorter by what two clocks may differ.
		whole := time.Duration(float64(a.Lease) * (1 - Drift))
		h.fence, h.until = a.Fence, asked+whole
		h.next = asked + time.Duration(float64(whole)*renewAt)
		if !h.wanted {
			h.next = now
		}
	case a.Verdict == Lapsed:
		h.fence, h.until, h.next = 0, 0, now
	default:
		h.fence, h.until, h.next = 0, 0, now+askAgain
	}
}

// Lost tells that the command under way got no answer and never will on this path: it goes out again at once, the same.
func (c *Client) Lost(now time.Duration) { c.again = min(c.again, now) }

// State is what operators read of one duty.
type State struct {
	Duty  string
	Held  bool
	Fence uint64
	Left  time.Duration
	Ahead int
	Why   string
}

// States lists all that the client wants or still holds, by name.
func (c *Client) States(now time.Duration) (out []State) {
	for _, name := range sortedKeys(c.duty) {
		h := c.duty[name]
		fence, ok := c.MayAct(now, name)
		out = append(out, State{Duty: name, Held: ok, Fence: fence, Left: c.Left(now, name), Ahead: h.ahead, Why: h.why})
	}
	return out
}

// Guard is the side of who receives effects: it admits a duty's effects only with the highest number that it has seen, or a higher one.
// It is bounded: of more duties than it has room for it forgets the one with the lowest number, whose holder is likely long gone.
type Guard struct {
	most int
	seen map[string]uint64
}

// NewGuard has room for so many duties.
func NewGuard(most int) *Guard { return &Guard{most: max(1, most), seen: make(map[string]uint64)} }

// Admit reports whether an effect may happen. A number of 0 is none.
func (g *Guard) Admit(duty string, fence uint64) bool {
	high, known := g.seen[duty]
	if fence == 0 || fence < high {
		return false
	}
	if !known && len(g.seen) >= g.most {
		old := slices.MinFunc(sortedKeys(g.seen), func(a, b string) int { return cmp.Compare(g.seen[a], g.seen[b]) })
		delete(g.seen, old)
	}
	g.seen[duty] = fence
	return true
}
