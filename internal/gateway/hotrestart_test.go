package gateway

import (
	"math"
	"strings"
	"testing"

	"thymebend/internal/hotrestart"
	"thymebend/internal/loop"
)

// If an older list of the predecessor were applied, the changes between the two lists would never be received.
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
			r := newRig(t, "subscribe", listLine(9, true, listEntry(1, "up", 0)))
			r.g.restart.inherit(stateMessage(listLine(c.version, true, listEntry(1, "up", 0), listEntry(2, "up", 0))))
			if got := r.g.discovery.endpoints.Len(); got != c.want {
				t.Errorf("%d endpoints, want %d", got, c.want)
			}
		})
	}
}

// The limit on messages must allow 8,000 endpoints with long names and a value in every field of their
// statistics.
func TestLongListsAreHandedOver(t *testing.T) {
	for _, count := range []int{1024, 8000} {
		entries := make([]string, count)
		for i := range entries {
			long := strings.Repeat("instance-", 16) + "s-"
			entries[i] = strings.Replace(listEntry(i+1, "up", 1_700_000_000_000), "s-", long, 1)
		}
		r := newRig(t, "subscribe", listLine(1, true, entries...))
		learned := r.g.balancer.State(r.now)
		for i := range learned.Endpoints {
			s := &learned.Endpoints[i]
			s.Limit, s.GainMS, s.BaselineMS, s.ServiceMS = math.Pi, math.Pi, math.Pi, math.Pi
			s.FailureRate, s.SlowStartTokens = 1/math.Pi, -math.Pi
			s.Answers, s.Ejections, s.ProbeIn = 1<<40, 1<<20, 1<<40
		}
		m := stateMessage(string(r.g.discovery.endpoints.Encode()))
		m.Balancer = &learned
		encoded, err := m.Encode()
		if err != nil {
			t.Fatalf("%d endpoints: %v", count, err)
		}
		t.Logf("%d endpoints: %d bytes", count, len(encoded))
		successor := newRig(t, "subscribe", `{"seq":0,"whole":true,"hosts":[]}`)
		successor.g.restart.inherit(m)
		if successor.g.discovery.endpoints.Len() != count {
			t.Errorf("the successor has %d of %d endpoints", successor.g.discovery.endpoints.Len(), count)
		}
	}
}

// A message that is too large must not stall an upgrade: it is logged, and the predecessor continues alone.
func TestOversizedHandoverMessageIsLogged(t *testing.T) {
	r := newRig(t, "subscribe", listLine(1, true, listEntry(1, "up", 0)))
	r.g.restart.successor = &hotrestart.Conn{ID: 5}
	m := stateMessage(`"` + strings.Repeat("x", 17<<20) + `"`)
	r.g.restart.send(r.g.restart.successor, m, nil)
	if r.g.restart.successor != nil || !strings.Contains(r.log.String(), "a hand-over message of 17") {
		t.Errorf("the successor was not dropped, or the message not logged: %.300s", r.log.String())
	}
}

// Guards against a successor that goes on sending to an endpoint whose drain discovery has told its predecessor, while the
// successor's own watch is closed.
func TestSuccessorIsToldWhatItsPredecessorIsTold(t *testing.T) {
	list := listLine(1, true, listEntry(1, "up", 0), listEntry(2, "up", 0))
	predecessor := newRig(t, "subscribe", list)
	w := predecessor.connectWatch()
	predecessor.sendLine(w, list)
	const link = loop.Conn(1<<63 + 90)
	predecessor.g.restart.successor, predecessor.g.restart.handover = &hotrestart.Conn{ID: link}, successorServes
	predecessor.sendLine(w, listLine(2, false, listEntry(1, "draining", 0)))
	if len(predecessor.written[link]) == 0 {
		t.Fatal("nothing is passed to the successor")
	}
	for _, watching := range []bool{false, true} {
		successor := newRig(t, "subscribe", list)
		if watching {
			successor.sendLine(successor.connectWatch(), listLine(3, true, listEntry(1, "up", 0), listEntry(2, "up", 0)))
		}
		successor.g.restart.predecessor = &hotrestart.Conn{ID: link}
		successor.step(loop.Event{Kind: loop.Data, Conn: link, Data: predecessor.written[link]})
		ready := 0
		for _, ep := range successor.g.discovery.endpoints.All() {
			if successor.g.discovery.isReady(ep.ID) {
				ready++
			}
		}
		if want := map[bool]int{false: 1, true: 2}[watching]; ready != want {
			t.Errorf("own watch open %v: %d endpoints ready, want %d", watching, ready, want)
		}
		if successor.g.restart.predecessor == nil || len(successor.written[link]) > 0 {
			t.Errorf("own watch open %v: the predecessor was dropped, or the list acknowledged", watching)
		}
	}
}
