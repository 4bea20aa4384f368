// Package turns divides what a cold host bears among the gateways that use it, in whole requests, by the common clock and
// without a word between them. It does no I/O and has no clock. docs/design/shares.md says why it is so.
package tokenschedule

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// Rule is what the settings say of cold hosts.
type Rule struct {
	From     float64       // share of its capacity at which a host starts, above 0
	Warm     time.Duration // until it is warm, above 0
	Multiple float64       // of what it can do at the moment, over Window
	Window   time.Duration
	Skew     time.Duration // by which clocks differ at most
}

// goodFor is the part of the window for which a turn is good.
const goodFor = 4

// Usable reports whether there can be turns at all: hosts start with something and warm up, and what is left of the window is
// longer than clocks differ by.
func (r Rule) Usable() bool {
	return r.From > 0 && r.Warm > 0 && r.Multiple > 0 && r.Good() >= leastGood
}

// leastGood is the least for which a turn is worth giving.
const leastGood = 10 * time.Millisecond

// Good is for how long a turn may be used from its begin on.
func (r Rule) Good() time.Duration { return r.Window/goodFor - 2*r.Skew }

// rate is by what the capacity is multiplied, so that turns of any window, with those that are still good from before it and
// one that is cut by each end, come to no more than the multiple allows.
func (r Rule) rate() float64 {
	w := r.Window.Seconds()
	return r.Multiple * w / (w + (r.Good() + 2*r.Skew).Seconds())
}

// Host is a cold host.
type Host struct {
	ID       uint64
	Born     time.Duration // Unix time
	Capacity float64       // requests a second that it can do when it is warm
}

// reached is how many turns have begun by a time since the host's start: the budget along its warming, less one, for which
// windows are cut at both ends.
func (r Rule) reached(h Host, since time.Duration) float64 {
	if since <= 0 {
		return 0
	}
	t, w := since.Seconds(), r.Warm.Seconds()
	at := min(t, w)
	n := r.From*at + (1-r.From)*at*at/(2*w)
	n += max(0, t-w)
	return n * r.rate() * h.Capacity
}

// begins is when a turn begins, since the host's start: the inverse of reached.
func (r Rule) begins(h Host, turn float64) time.Duration {
	n, w := turn/(r.rate()*h.Capacity), r.Warm.Seconds()
	ramp := (1 + r.From) / 2 * w
	if n >= ramp {
		return seconds(w + n - ramp)
	}
	if r.From >= 1 {
		return seconds(n)
	}
	a := (1 - r.From) / (2 * w)
	return seconds((math.Sqrt(r.From*r.From+4*a*n) - r.From) / (2 * a))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Part is one user's share of a host. Parts of a host come in an order that all know (by name) and add up to 1.
type Part struct {
	Name  string
	Share float64
}

// Owner is whose a turn is; empty where there are no parts.
func Owner(host uint64, turn uint64, parts []Part) string {
	if len(parts) == 0 {
		return ""
	}
	var b [8]byte
	for i := range b {
		b[i] = byte(host >> (8 * i))
	}
	offset := float64(xxh3.Hash(b[:])>>11) / (1 << 53)
	_, at := math.Modf(offset + float64(turn)*math.Phi) // multiples of the golden ratio: each share's turns come evenly
	for _, p := range parts {
		if at -= p.Share; at < 0 {
			return p.Name
		}
	}
	return parts[len(parts)-1].Name
}

// Holder is one process's use of its turns. It remembers one number a cold host.
type Holder struct {
	rule  Rule
	name  string
	start time.Duration // of this process, Unix time
	next  map[uint64]used
}

// used is how far the turns of one start of a host are used up.
type used struct {
	born time.Duration
	next uint64
}

// NewHolder begins for a process. Turns from before its start may have been used by the one before.
func NewHolder(r Rule, name string, start time.Duration) *Holder {
	return &Holder{rule: r, name: name, start: start, next: make(map[uint64]used)}
}

// Take uses one turn if there is one now, and reports until when it is good. Where several divisions may hold, all are given,
// and a turn must be owned in each.
func (o *Holder) Take(now time.Duration, h Host, divisions ...[]Part) (until time.Duration, ok bool) {
	r := o.rule
	u := o.next[h.ID]
	if u.born != h.Born {
		u = used{born: h.Born}
	}
	// The oldest turn that is still good, and that this process cannot have used before it was started.
	from := max(now-r.Good(), o.start+r.Skew) - h.Born
	first := uint64(math.Ceil(r.reached(h, from)))
	last := uint64(math.Floor(r.reached(h, now-r.Skew-h.Born)))
	for turn := max(u.next, first, 1); turn <= last; turn++ {
		begins := r.begins(h, float64(turn))
		mine := begins >= from && len(divisions) > 0
		for _, parts := range divisions {
			mine = mine && Owner(h.ID, turn, parts) == o.name
		}
		if mine {
			u.next = turn + 1
			o.next[h.ID] = u
			return h.Born + begins + r.Good(), true
		}
	}
	return 0, false
}

// Next is when this process's next turn begins, at most a stated time ahead; ok is false if there is none until then.
func (o *Holder) Next(now time.Duration, h Host, most time.Duration, divisions ...[]Part) (at time.Duration, ok bool) {
	last := uint64(math.Floor(o.rule.reached(h, now+most-h.Born)))
	for turn := uint64(math.Floor(o.rule.reached(h, now-o.rule.Skew-h.Born))) + 1; turn <= last; turn++ {
		mine := len(divisions) > 0
		for _, parts := range divisions {
			mine = mine && Owner(h.ID, turn, parts) == o.name
		}
		if mine {
			return h.Born + o.rule.begins(h, float64(turn)) + o.rule.Skew, true
		}
	}
	return 0, false
}

// Forget drops what is remembered of hosts other than those that are cold now.
func (o *Holder) Forget(cold func(host uint64) bool) {
	for id := range o.next {
		if !cold(id) {
			delete(o.next, id)
		}
	}
}
