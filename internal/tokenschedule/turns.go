// Package tokenschedule divides what a cold host bears among the gateways that use it, in whole requests, by the common clock and
// without a word between them. It does no I/O and has no clock. docs/design/shares.md says why it is so.
package tokenschedule

import (
	"fmt"
	"math"
	"time"

	"github.com/zeebo/xxh3"
)

// Rule is what the settings say of cold hosts.
type Rule struct {
	InitialFraction  float64       // share of its capacity at which a host starts, above 0
	Duration         time.Duration // until it is warm, above 0
	OverloadMultiple float64       // of what it can do at the moment, over Window
	Window           time.Duration
	ClockSkew        time.Duration // by which clocks differ at most
}

// Canonical is the text of the rule whose hash gateways exchange to find out whether they have the same
// settings. It must not change: gateways of different versions compare it.
func (r Rule) Canonical() string {
	return fmt.Sprintf("{From:%v Warm:%v Multiple:%v Window:%v Skew:%v}",
		r.InitialFraction, r.Duration, r.OverloadMultiple, r.Window, r.ClockSkew)
}

// goodFor is the part of the window for which a turn is good.
const goodFor = 4

// Usable reports whether there can be turns at all: hosts start with something and warm up, and what is left of the window is
// longer than clocks differ by.
func (r Rule) Usable() bool {
	return r.InitialFraction > 0 && r.Duration > 0 && r.OverloadMultiple > 0 && r.ValidFor() >= leastGood
}

// leastGood is the least for which a turn is worth giving.
const leastGood = 10 * time.Millisecond

// ValidFor is for how long a turn may be used from its begin on.
func (r Rule) ValidFor() time.Duration { return r.Window/goodFor - 2*r.ClockSkew }

// rate is by what the capacity is multiplied, so that turns of any window, with those that are still good from before it and
// one that is cut by each end, come to no more than the multiple allows.
func (r Rule) rate() float64 {
	w := r.Window.Seconds()
	return r.OverloadMultiple * w / (w + (r.ValidFor() + 2*r.ClockSkew).Seconds())
}

// Endpoint is a cold host.
type Endpoint struct {
	ID        uint64
	StartedAt time.Duration // Unix time
	Capacity  float64       // requests a second that it can do when it is warm
}

// reached is how many turns have begun by a time since the host's start: the budget along its warming, less one, for which
// windows are cut at both ends.
func (r Rule) reached(h Endpoint, since time.Duration) float64 {
	if since <= 0 {
		return 0
	}
	t, w := since.Seconds(), r.Duration.Seconds()
	at := min(t, w)
	n := r.InitialFraction*at + (1-r.InitialFraction)*at*at/(2*w)
	n += max(0, t-w)
	return n * r.rate() * h.Capacity
}

// begins is when a turn begins, since the host's start: the inverse of reached.
func (r Rule) begins(h Endpoint, turn float64) time.Duration {
	n, w := turn/(r.rate()*h.Capacity), r.Duration.Seconds()
	ramp := (1 + r.InitialFraction) / 2 * w
	if n >= ramp {
		return seconds(w + n - ramp)
	}
	if r.InitialFraction >= 1 {
		return seconds(n)
	}
	a := (1 - r.InitialFraction) / (2 * w)
	return seconds((math.Sqrt(r.InitialFraction*r.InitialFraction+4*a*n) - r.InitialFraction) / (2 * a))
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

// Taker is one process's use of its turns. It remembers one number a cold host.
type Taker struct {
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

// NewTaker begins for a process. Turns from before its start may have been used by the one before.
func NewTaker(r Rule, name string, start time.Duration) *Taker {
	return &Taker{rule: r, name: name, start: start, next: make(map[uint64]used)}
}

// Take uses one turn if there is one now, and reports until when it is good. Where several divisions may hold, all are given,
// and a turn must be owned in each.
func (o *Taker) Take(now time.Duration, h Endpoint, divisions ...[]Part) (until time.Duration, ok bool) {
	r := o.rule
	u := o.next[h.ID]
	if u.born != h.StartedAt {
		u = used{born: h.StartedAt}
	}
	// The oldest turn that is still good, and that this process cannot have used before it was started.
	from := max(now-r.ValidFor(), o.start+r.ClockSkew) - h.StartedAt
	first := uint64(math.Ceil(r.reached(h, from)))
	last := uint64(math.Floor(r.reached(h, now-r.ClockSkew-h.StartedAt)))
	for turn := max(u.next, first, 1); turn <= last; turn++ {
		begins := r.begins(h, float64(turn))
		mine := begins >= from && len(divisions) > 0
		for _, parts := range divisions {
			mine = mine && Owner(h.ID, turn, parts) == o.name
		}
		if mine {
			u.next = turn + 1
			o.next[h.ID] = u
			return h.StartedAt + begins + r.ValidFor(), true
		}
	}
	return 0, false
}

// Next is when this process's next turn begins, at most a stated time ahead; ok is false if there is none until then.
func (o *Taker) Next(now time.Duration, h Endpoint, most time.Duration, divisions ...[]Part) (at time.Duration, ok bool) {
	last := uint64(math.Floor(o.rule.reached(h, now+most-h.StartedAt)))
	for turn := uint64(math.Floor(o.rule.reached(h, now-o.rule.ClockSkew-h.StartedAt))) + 1; turn <= last; turn++ {
		mine := len(divisions) > 0
		for _, parts := range divisions {
			mine = mine && Owner(h.ID, turn, parts) == o.name
		}
		if mine {
			return h.StartedAt + o.rule.begins(h, float64(turn)) + o.rule.ClockSkew, true
		}
	}
	return 0, false
}

// Forget drops what is remembered of hosts other than those that are cold now.
func (o *Taker) Forget(cold func(host uint64) bool) {
	for id := range o.next {
		if !cold(id) {
			delete(o.next, id)
		}
	}
}
