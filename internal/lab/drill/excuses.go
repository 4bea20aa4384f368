package drill

import (
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/lab/requestrecord"
)

// excuse is a time in which a gateway's clients may have got no answer by what the rig did.
type excuse struct {
	gateway  int
	from, to time.Duration // to is 0 while it lasts
}

// excuse begins or ends a time in which clients of a gateway may wait in vain.
func (r *rig) excuse(g int, at time.Duration, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.excuses {
		if e := &r.excuses[i]; e.gateway == g && e.to == 0 && !on {
			e.to = at
		}
	}
	if on {
		r.excuses = append(r.excuses, excuse{gateway: g, from: at})
	}
}

// Excuses implements experiment.Rig.
func (r *rig) Excuses(gateway string, t requestrecord.Attempt) bool {
	n, began := r.index[gateway], r.began()
	over := func(from, to time.Duration) bool {
		return t.Sent-began <= to+excuseAfter && t.Ended-began >= from || to == 0 && t.Ended-began >= from
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.excuses {
		if e.gateway == n && over(e.from, e.to) {
			return true
		}
	}
	for _, e := range r.shuts { // the process was dead: its end is known a moment later
		if e.gateway == n && t.Sent-began <= e.to+shutSpread && t.Ended-began >= e.from-shutSpread &&
			r.history.Absent(n, e.to+shutSpread) {
			return true
		}
	}
	return r.history.StoppedDuring(n, t.Sent-began, t.Ended-began, excuseAfter)
}

// changed is told of every path that changes.
func (r *rig) changed(change pathChange) {
	from, to, c := change.from, change.to, change.now
	at := r.now() - time.Since(change.at) // the history may be in use for a while
	a, fromGateway := r.index[from]
	b, toGateway := r.index[to]
	bad := c.cut || c.stall
	switch {
	case fromGateway && toGateway:
		r.history.Path(a, b, membershipcheck.PathState{At: at,
			Cut: bad || c.Delay.Duration+c.Jitter.Duration > slowest, Loss: c.Loss})
	case from == experiment.NodeClients && toGateway:
		r.excuse(b, at, bad || c.Delay.Duration > 0 || c.Loss > 0)
	case to == experiment.NodeClients && fromGateway:
		r.excuse(a, at, bad || c.Delay.Duration > 0 || c.Loss > 0)
	}
}

// shut notes that a relay took a connection for somebody who was not there, as a dead process's machine
// would not have.
func (r *rig) shut(from, to string) {
	if g, ok := r.index[to]; ok && from == experiment.NodeClients {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.shuts = append(r.shuts, excuse{g, r.now(), r.now()})
	}
}
