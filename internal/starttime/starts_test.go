package starttime

import (
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// trueTime is the time when a process begins, by right clocks.
const trueTime = 1_000_000 * time.Second

// heard is a list that a process hears, at a true time, of servers with their starts.
type heard struct {
	at   time.Duration
	kind balancer.EndpointUpdate
	born map[balancer.EndpointID]time.Duration // before at
}

// ages plays lists to a process whose clock is wrong and returns how old it takes each server to be after the last.
func ages(clockError time.Duration, lists ...heard) map[balancer.EndpointID]time.Duration {
	var s StartTimes
	out := make(map[balancer.EndpointID]time.Duration)
	var now time.Duration
	believed := make(map[balancer.EndpointID]time.Duration)
	for _, l := range lists {
		now = trueTime + l.at + clockError
		for id, ago := range l.born {
			entries := []balancer.Endpoint{{ID: id, State: balancer.EndpointReady, StartedAt: trueTime + l.at - ago}}
			kind := l.kind
			if len(l.born) > 1 && kind == balancer.Snapshot {
				kind = balancer.Delta // entries one by one; whole lists are in TestWholeListsForget
			}
			s.Adjust(now, kind, entries)
			believed[id] = entries[0].StartedAt
		}
	}
	for id, at := range believed {
		out[id] = now - at
	}
	return out
}

const hour = time.Hour

// Whatever a machine's clock says, a server that starts while the list is followed is taken to be no older than 6 s and no
// younger than just started, and one of the first list is not taken to be warm that may be cold.
func TestWrongClocks(t *testing.T) {
	first := heard{0, balancer.Snapshot, map[balancer.EndpointID]time.Duration{1: 20 * time.Second}}
	fresh := heard{30 * time.Second, balancer.Delta, map[balancer.EndpointID]time.Duration{2: 2 * time.Second}}
	for name, c := range map[string]struct {
		clockError  time.Duration
		lists       []heard
		id          balancer.EndpointID
		least, most time.Duration
	}{
		"right, of the first list":           {0, []heard{first}, 1, 20 * time.Second, 20 * time.Second},
		"right, of a change":                 {0, []heard{first, fresh}, 2, 2 * time.Second, 2 * time.Second},
		"right, of a change heard late":      {0, []heard{first, {30 * time.Second, balancer.Delta, map[balancer.EndpointID]time.Duration{2: 9 * time.Second}}}, 2, 6 * time.Second, 6 * time.Second},
		"an hour ahead, of the first list":   {hour, []heard{first}, 1, 0, 0},
		"an hour ahead, of a change":         {hour, []heard{first, fresh}, 2, 0, 6 * time.Second},
		"an hour behind, of the first list":  {-hour, []heard{first}, 1, 0, 0},
		"an hour behind, of a change":        {-hour, []heard{first, fresh}, 2, 0, 6 * time.Second},
		"seconds ahead, of a change":         {7 * time.Second, []heard{first, fresh}, 2, 2 * time.Second, 6 * time.Second},
		"seconds behind, of a change":        {-7 * time.Second, []heard{first, fresh}, 2, 0, 2 * time.Second},
		"an hour behind, a first list empty": {-hour, []heard{{0, balancer.Snapshot, nil}, fresh}, 2, 0, 0},
		"long ago":                           {hour, []heard{{0, balancer.CachedSnapshot, map[balancer.EndpointID]time.Duration{1: trueTime}}}, 1, trueTime, 2 * trueTime},
	} {
		if got := ages(c.clockError, c.lists...)[c.id]; got < c.least || got > c.most {
			t.Errorf("%s: taken to be %v old, want %v to %v", name, got, c.least, c.most)
		}
	}
}

// A start keeps the time that was believed first, so that a server in slow start goes on with it, and a new start gets its own.
func TestStartsKeepTheirTimes(t *testing.T) {
	var s StartTimes
	believe := func(now, born time.Duration) time.Duration {
		entries := []balancer.Endpoint{{ID: 1, State: balancer.EndpointReady, StartedAt: born}}
		s.Adjust(now, balancer.Delta, entries)
		return entries[0].StartedAt
	}
	first := believe(100*time.Second, 5000*time.Second)
	if again := believe(110*time.Second, 5000*time.Second); again != first || first != 100*time.Second {
		t.Errorf("believed %v and then %v", first, again)
	}
	if next := believe(120*time.Second, 5018*time.Second); next < 114*time.Second || next > 120*time.Second {
		t.Errorf("the next start is believed at %v", next)
	}
}

// What a whole list leaves out is forgotten: memory stays with the list.
func TestWholeListsForget(t *testing.T) {
	var s StartTimes
	for id := range balancer.EndpointID(100) {
		s.Adjust(trueTime, balancer.Delta, []balancer.Endpoint{{ID: id + 1, State: balancer.EndpointReady, StartedAt: trueTime - time.Second}})
	}
	s.Adjust(trueTime, balancer.Snapshot, []balancer.Endpoint{{ID: 1, State: balancer.EndpointReady, StartedAt: trueTime - time.Second}})
	s.Adjust(trueTime, balancer.Delta, []balancer.Endpoint{{ID: 1, State: balancer.EndpointRemoved, StartedAt: trueTime - time.Second}})
	if len(s.known) != 0 {
		t.Errorf("%d starts are kept", len(s.known))
	}
}
