package gateway

import (
	"math"
	"strings"
	"testing"

	"thymebend/internal/hotrestart"
)

// A newcomer's call to discovery asks for what changed since its own list. An elder's list that is older must not take that
// one's place: what changed between the two would never be told.
func TestAnEldersOlderListIsPassedOver(t *testing.T) {
	for seq, want := range map[int]int{8: 1, 9: 2, 10: 2} {
		r := newRig(t, "subscribe", object(9, true, entry(1, "up", 0)))
		r.g.restart.inherit(stateMessage(object(seq, true, entry(1, "up", 0), entry(2, "up", 0))))
		if r.g.discovery.endpoints.Len() != want {
			t.Errorf("an elder's list of version %d: %d hosts, want %d", seq, r.g.discovery.endpoints.Len(), want)
		}
	}
}

// An elder hands over what it knows of 8,000 hosts, also where names are as long as those of virtual machines are and all that
// there is to learn of a host is learnt.
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
			s.Limit, s.Gain, s.UncrowdedMS, s.ServiceMS, s.FailureRate, s.SlowStartTokens = math.Pi, math.Pi, math.Pi, math.Pi, 1/math.Pi, -math.Pi
			s.Answers, s.Ejections, s.ProbeIn = 1<<40, 1<<20, 1<<40
		}
		m := stateMessage(string(r.g.discovery.endpoints.Encode()))
		m.Balancer = &learned
		words, err := m.Encode()
		if err != nil {
			t.Fatalf("%d hosts: %v", hosts, err)
		}
		t.Logf("%d hosts: %d bytes", hosts, len(words))
		next := newRig(t, "subscribe", `{"seq":0,"whole":true,"hosts":[]}`)
		next.g.restart.inherit(m)
		if next.g.discovery.endpoints.Len() != hosts {
			t.Errorf("the newcomer has %d hosts of %d", next.g.discovery.endpoints.Len(), hosts)
		}
	}
}

// What is too long to be handed over is logged with its size, and the elder goes on alone.
func TestTooMuchToHandOver(t *testing.T) {
	r := newRig(t, "subscribe", object(1, true, entry(1, "up", 0)))
	r.g.restart.successor = &hotrestart.Conn{ID: 5}
	m := stateMessage(`"` + strings.Repeat("x", 17<<20) + `"`)
	r.g.restart.send(r.g.restart.successor, m, nil)
	if r.g.restart.successor != nil || !strings.Contains(r.log.String(), "a hand-over message of 17") {
		t.Errorf("the log is %.300s", r.log.String())
	}
}
