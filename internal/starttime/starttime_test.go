package starttime

import (
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// processStart is the start time of the process by a correct clock.
const processStart = 1_000_000 * time.Second

// list is an endpoint list that the process receives.
type list struct {
	at   time.Duration // true time since the start of the process
	kind balancer.EndpointUpdate
	ages map[balancer.EndpointID]time.Duration // true ages of the endpoints at that time
}

// endpoint returns a list of one ready endpoint.
func endpoint(id balancer.EndpointID, startedAt time.Duration) []balancer.Endpoint {
	return []balancer.Endpoint{{ID: id, State: balancer.EndpointReady, StartedAt: startedAt}}
}

// adjustedAges passes lists to a process whose clock is wrong by clockError. It returns the ages of the endpoints by
// their adjusted start times, at the time of the last list.
func adjustedAges(clockError time.Duration, lists ...list) map[balancer.EndpointID]time.Duration {
	var s StartTimes
	var now time.Duration
	adjusted := make(map[balancer.EndpointID]time.Duration)
	for _, l := range lists {
		now = processStart + l.at + clockError
		for id, age := range l.ages {
			endpoints := endpoint(id, processStart+l.at-age)
			kind := l.kind
			if len(l.ages) > 1 && kind == balancer.Snapshot {
				kind = balancer.Delta // one endpoint at a time; TestSnapshotForgetsUnlistedEndpoints covers whole lists
			}
			s.Adjust(now, kind, endpoints)
			adjusted[id] = endpoints[0].StartedAt
		}
	}
	ages := make(map[balancer.EndpointID]time.Duration)
	for id, startedAt := range adjusted {
		ages[id] = now - startedAt
	}
	return ages
}

// Guards against wrong results of a wrong clock: an endpoint that starts after a list was received must be taken to be
// started, at most 6 s ago, and an endpoint of the first list that may be in slow start must not be taken to be warm.
func TestAdjustWithWrongClock(t *testing.T) {
	type ages = map[balancer.EndpointID]time.Duration
	first := list{0, balancer.Snapshot, ages{1: 20 * time.Second}}
	change := list{30 * time.Second, balancer.Delta, ages{2: 2 * time.Second}}
	delayedChange := list{30 * time.Second, balancer.Delta, ages{2: 9 * time.Second}}
	empty := list{0, balancer.Snapshot, nil}
	cached := list{0, balancer.CachedSnapshot, ages{1: processStart}}
	for _, test := range []struct {
		name           string // error of the process's clock, and the list that contains the endpoint
		clockError     time.Duration
		lists          []list
		id             balancer.EndpointID
		minAge, maxAge time.Duration
	}{
		{"correct, first list", 0, []list{first}, 1, 20 * time.Second, 20 * time.Second},
		{"correct, change", 0, []list{first, change}, 2, 2 * time.Second, 2 * time.Second},
		{"correct, change received late", 0, []list{first, delayedChange}, 2, 6 * time.Second, 6 * time.Second},
		{"an hour ahead, first list", time.Hour, []list{first}, 1, 0, 0},
		{"an hour ahead, change", time.Hour, []list{first, change}, 2, 0, 6 * time.Second},
		{"an hour behind, first list", -time.Hour, []list{first}, 1, 0, 0},
		{"an hour behind, change", -time.Hour, []list{first, change}, 2, 0, 6 * time.Second},
		{"seconds ahead, change", 7 * time.Second, []list{first, change}, 2, 2 * time.Second, 6 * time.Second},
		{"seconds behind, change", -7 * time.Second, []list{first, change}, 2, 0, 2 * time.Second},
		{"an hour behind, change after an empty first list", -time.Hour, []list{empty, change}, 2, 0, 0},
		{"an hour ahead, started long ago", time.Hour, []list{cached}, 1, processStart, 2 * processStart},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := adjustedAges(test.clockError, test.lists...)[test.id]; got < test.minAge || got > test.maxAge {
				t.Errorf("adjusted age %v, want %v to %v", got, test.minAge, test.maxAge)
			}
		})
	}
}

// Guards against an endpoint in slow start whose adjusted start time changes with each list, and against a restarted
// endpoint that keeps the adjusted time of its previous start.
func TestAdjustedStartIsStable(t *testing.T) {
	var s StartTimes
	adjust := func(now, startedAt time.Duration) time.Duration {
		endpoints := endpoint(1, startedAt)
		s.Adjust(now, balancer.Delta, endpoints)
		return endpoints[0].StartedAt
	}
	first := adjust(100*time.Second, 5000*time.Second)
	if again := adjust(110*time.Second, 5000*time.Second); again != first || first != 100*time.Second {
		t.Errorf("adjusted to %v and then to %v, want 100 s both times", first, again)
	}
	if next := adjust(120*time.Second, 5018*time.Second); next < 114*time.Second || next > 120*time.Second {
		t.Errorf("the next start is adjusted to %v, want 114 s to 120 s", next)
	}
}

// Guards against memory that grows with each endpoint ever listed: snapshots and removals must delete entries.
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
		t.Errorf("%d start times remain, want none", len(s.starts))
	}
}
