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

// pollViews polls a process for its view until the process ends.
func (r *rig) pollViews(n, pid int, control string) {
	reported := make(map[string]bool)
	for polled := r.now(); experiment.Sleep(r.watchContext, viewInterval); {
		r.mu.Lock()
		_, running := r.adminAddrs[pid]
		r.mu.Unlock()
		if !running {
			return
		}
		if r.now() >= polled+statsInterval {
			polled = r.now()
			r.collectViolations(n, control, reported)
		}
		v, err := r.clusterView(control)
		at := r.now() // time of the answer: if it is delayed, the view in it is later than the request
		if err != nil {
			continue
		}
		o := membershipcheck.Observation{At: at, Gateway: n, PID: pid, Active: v.Active, JoinCount: v.Joined,
			Converged: v.Converged, Majority: v.Majority, DuplicateName: v.DuplicateName, Alive: v.Alive,
			SentBytes: v.SentBytes, Members: make([]membershipcheck.MemberView, len(r.names))}
		for _, m := range v.Members {
			i, ok := r.index[m.Name]
			if !ok {
				o.UnknownMembers++
			} else {
				o.Members[i] = membershipcheck.MemberView{State: m.State, Start: m.StartMS, Incarnation: m.Incarnation,
					Since:    at - time.Duration(m.SinceMS)*time.Millisecond,
					Previous: m.Previous, SuspectedBy: m.SuspectedBy}
			}
		}
		o.Assignment = assignmentOf(v.Assignment)
		if v.Active && at >= 0 {
			r.history.Observe(o)
		}
	}
}

func (r *rig) clusterView(control string) (v admin.Cluster, err error) {
	response, err := r.client.Get("http://" + control + "/ops/fleet")
	if err != nil {
		return v, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err == nil {
		err = json.Unmarshal(raw, &v)
	}
	return v, err
}

// ready reports whether a process accepts clients.
func (r *rig) ready(pid int) bool {
	r.mu.Lock()
	control := r.adminAddrs[pid]
	r.mu.Unlock()
	if control == "" {
		return false
	}
	response, err := r.client.Get("http://" + control + "/ops/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
