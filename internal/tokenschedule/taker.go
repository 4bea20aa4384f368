package tokenschedule

import (
	"math"
	"time"
)

// Taker is one process's use of the tokens that it owns. It remembers one number for each endpoint in slow start.
type Taker struct {
	rule     Rule
	name     string
	start    time.Duration // of this process, Unix time
	progress map[uint64]progress
}

// progress is how far the tokens of one start of an endpoint are used up.
type progress struct {
	startedAt time.Duration
	next      uint64
}

// NewTaker begins for a process of a gateway. Tokens from before its start may have been used by the process before.
func NewTaker(r Rule, name string, start time.Duration) *Taker {
	return &Taker{rule: r, name: name, start: start, progress: make(map[uint64]progress)}
}

// owns reports whether a token is this gateway's in each of the ownerships that may hold.
func (t *Taker) owns(e Endpoint, token uint64, ownerships [][]OwnerShare) bool {
	for _, shares := range ownerships {
		if Owner(e.ID, token, shares) != t.name {
			return false
		}
	}
	return len(ownerships) > 0
}

// Take uses one token if there is one now, and reports until when it is good. Where several ownerships may hold, all
// are given, and a token must be owned in each.
func (t *Taker) Take(now time.Duration, e Endpoint, ownerships ...[]OwnerShare) (until time.Duration, ok bool) {
	r := t.rule
	p := t.progress[e.ID]
	if p.startedAt != e.StartedAt {
		p = progress{startedAt: e.StartedAt}
	}
	// The oldest token that is still good, and that no process before this one can have used.
	earliest := max(now-r.ValidFor(), t.start+r.ClockSkew) - e.StartedAt
	first := uint64(math.Ceil(r.issued(e, earliest)))
	last := uint64(math.Floor(r.issued(e, now-r.ClockSkew-e.StartedAt)))
	for token := max(p.next, first, 1); token <= last; token++ {
		begins := r.issuedAt(e, float64(token))
		if begins >= earliest && t.owns(e, token, ownerships) {
			p.next = token + 1
			t.progress[e.ID] = p
			return e.StartedAt + begins + r.ValidFor(), true
		}
	}
	return 0, false
}

// Next is when this process's next token begins, at most a stated time ahead; ok is false if there is none until
// then.
func (t *Taker) Next(now time.Duration, e Endpoint, ahead time.Duration, ownerships ...[]OwnerShare) (at time.Duration,
	ok bool) {
	r := t.rule
	last := uint64(math.Floor(r.issued(e, now+ahead-e.StartedAt)))
	for token := uint64(math.Floor(r.issued(e, now-r.ClockSkew-e.StartedAt))) + 1; token <= last; token++ {
		if t.owns(e, token, ownerships) {
			return e.StartedAt + r.issuedAt(e, float64(token)) + r.ClockSkew, true
		}
	}
	return 0, false
}

// Forget drops what is remembered of endpoints other than those that are in slow start now.
func (t *Taker) Forget(inSlowStart func(endpoint uint64) bool) {
	for id := range t.progress {
		if !inSlowStart(id) {
			delete(t.progress, id)
		}
	}
}
