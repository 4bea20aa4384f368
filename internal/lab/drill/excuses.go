package drill

import (
	"time"

	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/membershipcheck"
	"thymebend/internal/lab/requestrecord"
)

// excuse is a period in which the rig's faults may have prevented a gateway from answering its clients.
type excuse struct {
	gateway  int
	from, to time.Duration // to is 0 while the period lasts
}

// setExcused starts or ends a period in which clients of a gateway may get no answer.
func (r *rig) setExcused(g int, at time.Duration, on bool) {
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
func (r *rig) Excuses(gateway string, attempt requestrecord.Attempt) bool {
	n, began := r.index[gateway], r.began()
	overlaps := func(from, to time.Duration) bool {
		return attempt.Sent-began <= to+excuseMargin && attempt.Ended-began >= from || to == 0 && attempt.Ended-began >= from
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.excuses {
		if e.gateway == n && overlaps(e.from, e.to) {
			return true
		}
	}
	for _, e := range r.refusals { // the gateway's process had ended; that end is recorded slightly later
		if e.gateway == n && attempt.Sent-began <= e.to+processEndTolerance &&
			attempt.Ended-began >= e.from-processEndTolerance &&
			r.history.Absent(n, e.to+processEndTolerance) {
			return true
		}
	}
	return r.history.StoppedDuring(n, attempt.Sent-began, attempt.Ended-began, excuseMargin)
}

// pathChanged is called after each change of a path. It records the change in the history and in the excuses.
func (r *rig) pathChanged(change pathChange) {
	from, to, c := change.from, change.to, change.condition
	at := r.now() - time.Since(change.at) // time of the change; this call may have waited for the history's lock
	a, fromGateway := r.index[from]
	b, toGateway := r.index[to]
	blocked := c.cut || c.stall
	switch {
	case fromGateway && toGateway:
		r.history.RecordPath(a, b, membershipcheck.PathState{At: at,
			Cut: blocked || c.Delay.Duration+c.Jitter.Duration > answerTimeout, Loss: c.Loss})
	case from == experiment.NodeClients && toGateway:
		r.setExcused(b, at, blocked || c.Delay.Duration > 0 || c.Loss > 0)
	case to == experiment.NodeClients && fromGateway:
		r.setExcused(a, at, blocked || c.Delay.Duration > 0 || c.Loss > 0)
	}
}

// connectionRefused records that a relay accepted a connection although its target was not listening. Without
// the relay, the machine of the ended process would have refused the connection.
func (r *rig) connectionRefused(from, to string) {
	if g, ok := r.index[to]; ok && from == experiment.NodeClients {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.refusals = append(r.refusals, excuse{g, r.now(), r.now()})
	}
}
