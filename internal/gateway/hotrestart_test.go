package gateway

import (
	"math"
	"strings"
	"testing"

	"thymebend/internal/hotrestart"
)

// Guards against an older list of the predecessor, after which what changed between the two would never come.
func TestOlderPredecessorListIsIgnored(t *testing.T) {
	for _, c := range []struct {
		name    string
		version int // of the predecessor's list; this process has version 9
		want    int // endpoints
	}{
		{"older", 8, 1},
		{"the same", 9, 2},
		{"newer", 10, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, "subscribe", object(9, true, entry(1, "up", 0)))
			r.g.restart.inherit(stateMessage(object(c.version, true, entry(1, "up", 0), entry(2, "up", 0))))
			if got := r.g.discovery.endpoints.Len(); got != c.want {
				t.Errorf("%d endpoints, want %d", got, c.want)
			}
		})
	}
}

// Guards against a limit on messages that is below 8,000 endpoints with long names and all that can be
// learned.
func TestLongListsAreHandedOver(t *testing.T) {
	for _, hosts := range []int{1024, 8000} {
		entries := make([]string, hosts)
		for i := range entries {
			long := strings.Repeat("instance-", 16) + "s-"
			entries[i] = strings.Replace(entry(i+1, "up", 1_700_000_000_000), "s-", long, 1)
		}
		r := newRig(t, "subscribe", object(1, true, entries...))
		learned := r.g.balancer.State(r.now)
		for i := range learned.Endpoints {
			s := &learned.Endpoints[i]
			s.Limit, s.Gain, s.BaselineMS, s.ServiceMS = math.Pi, math.Pi, math.Pi, math.Pi
			s.FailureRate, s.SlowStartTokens = 1/math.Pi, -math.Pi
			s.Answers, s.Ejections, s.ProbeIn = 1<<40, 1<<20, 1<<40
		}
		m := stateMessage(string(r.g.discovery.endpoints.Encode()))
		m.Balancer = &learned
		words, err := m.Encode()
		if err != nil {
			t.Fatalf("%d endpoints: %v", hosts, err)
		}
		t.Logf("%d endpoints: %d bytes", hosts, len(words))
		next := newRig(t, "subscribe", `{"seq":0,"whole":true,"hosts":[]}`)
		next.g.restart.inherit(m)
		if next.g.discovery.endpoints.Len() != hosts {
			t.Errorf("the successor has %d endpoints of %d", next.g.discovery.endpoints.Len(), hosts)
		}
	}
}

// Guards against an upgrade that stalls on a message that is too large: it is logged, and the predecessor
// goes on.
func TestTooLargeHandoverIsLogged(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	r.g.restart.successor = &hotrestart.Conn{ID: 5}
	m := stateMessage(`"` + strings.Repeat("x", 17<<20) + `"`)
	r.g.restart.send(r.g.restart.successor, m, nil)
	if r.g.restart.successor != nil || !strings.Contains(r.log.String(), "a hand-over message of 17") {
		t.Errorf("the log is %.300s", r.log.String())
	}
}
