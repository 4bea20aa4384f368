package tokenschedule

import (
	"math"
	"time"
)

// Taker uses the tokens that one process of a gateway owns. For each endpoint in slow start it stores the number of
// the next unused token.
type Taker struct {
	rule     Rule
	name     string
	start    time.Duration // when this process started, Unix time
	progress map[uint64]progress
}

// progress records the next unused token of an endpoint. The tokens are numbered from one start of the endpoint.
type progress struct {
	startedAt time.Duration
	next      uint64 // every token below this number has been used or skipped
}

// NewTaker returns a Taker for the process of the gateway called name that started at start. It uses no tokens from
// before then, because the previous process may have used them.
func NewTaker(r Rule, name string, start time.Duration) *Taker {
	return &Taker{rule: r, name: name, start: start, progress: make(map[uint64]progress)}
}

// owns reports whether this gateway owns a token in each of the ownerships. Without any ownership it owns none.
func (t *Taker) owns(e Endpoint, token uint64, ownerships [][]OwnerShare) bool {
	for _, shares := range ownerships {
		if Owner(e.ID, token, shares) != t.name {
			return false
		}
	}
	return len(ownerships) > 0
}

// Take uses one token for an endpoint if there is an unused valid one now, and returns until when the request may be
// sent. ownerships are all the ownerships that gateways may use now; this gateway must own the token in each of them.
func (t *Taker) Take(now time.Duration, e Endpoint, ownerships ...[]OwnerShare) (until time.Duration, ok bool) {
	r := t.rule
	p := t.progress[e.ID]
	if p.startedAt != e.StartedAt {
		p = progress{startedAt: e.StartedAt}
	}
	// The earliest begin of a token that is still valid and that no previous process can have used.
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

// Next returns when this gateway can use its next token. It considers only the tokens that begin up to the duration
// ahead from now; ok is false if this gateway owns none of them.
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

// Forget drops the stored progress of endpoints that are no longer in slow start.
func (t *Taker) Forget(inSlowStart func(endpoint uint64) bool) {
	for id := range t.progress {
		if !inSlowStart(id) {
			delete(t.progress, id)
		}
	}
}
