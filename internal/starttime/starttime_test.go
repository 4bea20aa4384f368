package starttime

import (
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// processStart is the time when a process begins, by right clocks.
const processStart = 1_000_000 * time.Second

// list is what a process hears, at a true time since its begin, of endpoints with their ages.
type list struct {
	at   time.Duration
	kind balancer.EndpointUpdate
	ages map[balancer.EndpointID]time.Duration
}

func endpoint(id balancer.EndpointID, startedAt time.Duration) []balancer.Endpoint {
	return []balancer.Endpoint{{ID: id, State: balancer.EndpointReady, StartedAt: startedAt}}
}

// adjustedAges plays lists to a process whose clock is wrong and returns how old it takes each endpoint to be after the
// last.
func adjustedAges(clockError time.Duration, lists ...list) map[balancer.EndpointID]time.Duration {
	var s StartTimes
	var now time.Duration
	believed := make(map[balancer.EndpointID]time.Duration)
	for _, l := range lists {
		now = processStart + l.at + clockError
		for id, age := range l.ages {
			endpoints := endpoint(id, processStart+l.at-age)
			kind := l.kind
			if len(l.ages) > 1 && kind == balancer.Snapshot {
				kind = balancer.Delta // one by one; whole lists are in TestSnapshotsForget
			}
			s.Adjust(now, kind, endpoints)
			believed[id] = endpoints[0].StartedAt
		}
	}
	ages := make(map[balancer.EndpointID]time.Duration)
	for id, at := range believed {
		ages[id] = now - at
	}
	return ages
}

// Guards against a wrong clock by which an endpoint that starts while the list is followed is taken to be older than
// 6 s or not yet started, and one of the first list to be warm that may be in slow start.
func TestAdjustWithWrongClock(t *testing.T) {
	type ages = map[balancer.EndpointID]time.Duration
	first := list{0, balancer.Snapshot, ages{1: 20 * time.Second}}
	change := list{30 * time.Second, balancer.Delta, ages{2: 2 * time.Second}}
	lateChange := list{30 * time.Second, balancer.Delta, ages{2: 9 * time.Second}}
	empty := list{0, balancer.Snapshot, nil}
	cached := list{0, balancer.CachedSnapshot, ages{1: processStart}}
	for _, test := range []struct {
		name        string
		clockError  time.Duration
		lists       []list
		id          balancer.EndpointID
		least, most time.Duration
	}{
		{"right, of the first list", 0, []list{first}, 1, 20 * time.Second, 20 * time.Second},
		{"right, of a change", 0, []list{first, change}, 2, 2 * time.Second, 2 * time.Second},
		{"right, of a change heard late", 0, []list{first, lateChange}, 2, 6 * time.Second, 6 * time.Second},
		{"an hour ahead, of the first list", time.Hour, []list{first}, 1, 0, 0},
		{"an hour ahead, of a change", time.Hour, []list{first, change}, 2, 0, 6 * time.Second},
		{"an hour behind, of the first list", -time.Hour, []list{first}, 1, 0, 0},
		{"an hour behind, of a change", -time.Hour, []list{first, change}, 2, 0, 6 * time.Second},
		{"seconds ahead, of a change", 7 * time.Second, []list{first, change}, 2, 2 * time.Second, 6 * time.Second},
		{"seconds behind, of a change", -7 * time.Second, []list{first, change}, 2, 0, 2 * time.Second},
		{"an hour behind, a first list empty", -time.Hour, []list{empty, change}, 2, 0, 0},
		{"long ago", time.Hour, []list{cached}, 1, processStart, 2 * processStart},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := adjustedAges(test.clockError, test.lists...)[test.id]; got < test.least || got > test.most {
				t.Errorf("taken to be %v old, want %v to %v", got, test.least, test.most)
			}
		})
	}
}

// Guards against an endpoint in slow start whose start moves with each list, and against a new start that gets the time
// of the one before.
func TestAdjustedStartIsStable(t *testing.T) {
	var s StartTimes
	believe := func(now, startedAt time.Duration) time.Duration {
		endpoints := endpoint(1, startedAt)
		s.Adjust(now, balancer.Delta, endpoints)
		return endpoints[0].StartedAt
	}
	first := believe(100*time.Second, 5000*time.Second)
	if again := believe(110*time.Second, 5000*time.Second); again != first || first != 100*time.Second {
		t.Errorf("believed %v and then %v", first, again)
	}
	if next := believe(120*time.Second, 5018*time.Second); next < 114*time.Second || next > 120*time.Second {
		t.Errorf("the next start is believed at %v", next)
	}
}

// Guards against memory that grows with every endpoint ever listed.
func TestSnapshotForgetsUnlistedEndpoints(t *testing.T) {
	var s StartTimes
	for id := range balancer.EndpointID(100) {
		s.Adjust(processStart, balancer.Delta, endpoint(id+1, processStart-time.Second))
	}
	s.Adjust(processStart, balancer.Snapshot, endpoint(1, processStart-time.Second))
	removed := endpoint(1, processStart-time.Second)
	removed[0].State = balancer.EndpointRemoved
	s.Adjust(processStart, balancer.Delta, removed)
	if len(s.starts) != 0 {
		t.Errorf("%d starts are kept", len(s.starts))
	}
}
