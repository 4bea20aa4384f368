package drill

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"thymebend/internal/admin"
	"thymebend/internal/lab/experiment"
	"thymebend/internal/lab/membershipcheck"
)

// watch asks a process for its view until it ends.
func (r *rig) watch(n, pid int, control string) {
	told := make(map[string]bool)
	for asked := r.now(); experiment.Sleep(r.watching, lookEvery); {
		r.mu.Lock()
		_, lives := r.control[pid]
		r.mu.Unlock()
		if !lives {
			return
		}
		if r.now() >= asked+askEvery {
			asked = r.now()
			r.askGuard(n, control, told)
		}
		v, err := r.view(control)
		at := r.now() // an answer that comes late holds what was known late
		if err != nil {
			continue
		}
		l := membershipcheck.Observation{At: at, Gateway: n, PID: pid, Speaking: v.Active, Join: v.Joined,
			Settled: v.Converged, Majority: v.Majority, DuplicateName: v.DuplicateName, Alive: v.Alive,
			Sent: v.SentBytes, Beliefs: make([]membershipcheck.Belief, len(r.names))}
		for _, m := range v.Members {
			i, ok := r.index[m.Name]
			if !ok {
				l.Strangers++
			} else {
				l.Beliefs[i] = membershipcheck.Belief{State: m.State, Start: m.StartMS, Incarnation: m.Incarnation,
					Since:    at - time.Duration(m.SinceMS)*time.Millisecond,
					Previous: m.Previous, SuspectedBy: m.SuspectedBy}
			}
		}
		l.Assignment = portionOf(v.Assignment)
		if v.Active && at >= 0 {
			r.history.Observe(l)
		}
	}
}

func (r *rig) view(control string) (v admin.Cluster, err error) {
	answer, err := r.client.Get("http://" + control + "/ops/fleet")
	if err != nil {
		return v, err
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
	if err == nil {
		err = json.Unmarshal(raw, &v)
	}
	return v, err
}

// ready tells whether a process takes clients.
func (r *rig) ready(pid int) bool {
	r.mu.Lock()
	control := r.control[pid]
	r.mu.Unlock()
	if control == "" {
		return false
	}
	answer, err := r.client.Get("http://" + control + "/ops/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
