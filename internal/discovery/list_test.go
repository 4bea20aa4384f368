package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// encodedList returns an object in discovery's format: a snapshot or a delta.
func encodedList(seq int, snapshot bool, entries ...string) []byte {
	return fmt.Appendf(nil, `{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, snapshot, strings.Join(entries, ","))
}

// encodedEntry returns one entry of an object, with its start time in milliseconds.
func encodedEntry(name, health string, born int) string {
	return fmt.Sprintf(`{"host":%q,"dial":"10.0.0.%d:80","site":"a","class":"m","block":1,"health":%q,`+
		`"share":1,"born_ms":%d}`, name, name[0], health, born)
}

// states returns name, state and start time in milliseconds of the endpoints a, b and c, as "a1/5 b2/5".
func states(endpoints *Endpoints) string {
	var out []string
	for _, name := range []string{"a", "b", "c"} {
		if ep := endpoints.Find(EndpointIDFromName(name)); ep != nil {
			out = append(out, fmt.Sprintf("%s%d/%d", name, ep.State, ep.StartedAt.Milliseconds()))
		}
	}
	return strings.Join(out, " ")
}

// mustApply applies an object and fails the test if it is rejected.
func mustApply(t *testing.T, endpoints *Endpoints, raw []byte) Update {
	t.Helper()
	update, err := endpoints.Apply(raw)
	if err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
	return update
}

// Guards against a balancer that ends up with other endpoints or start times than the list, after an object with
// several entries for one endpoint or with another start time than the one in force.
func TestContradictoryEntries(t *testing.T) {
	for name, c := range map[string]struct {
		snapshot bool
		entries  []string
		want     string
	}{
		"delta: the last entry applies, up": {false,
			[]string{encodedEntry("a", "draining", 5), encodedEntry("a", "up", 5)},
			"a1/5 b1/5"},
		"delta: the last entry applies, draining": {false,
			[]string{encodedEntry("a", "up", 5), encodedEntry("a", "draining", 5)},
			"a2/5 b1/5"},
		"delta: removed, then up with a later start": {false,
			[]string{encodedEntry("a", "removed", 5), encodedEntry("a", "up", 9)},
			"a1/9 b1/5"},
		"delta: up with a later start, then removed": {false,
			[]string{encodedEntry("a", "up", 9), encodedEntry("a", "removed", 5)},
			"b1/5"},
		"snapshot: draining and up": {true,
			[]string{encodedEntry("a", "draining", 5), encodedEntry("a", "up", 5), encodedEntry("b", "up", 5)},
			"a2/5 b1/5"},
		"snapshot: up and draining": {true,
			[]string{encodedEntry("a", "up", 5), encodedEntry("b", "up", 5), encodedEntry("a", "draining", 5)},
			"a2/5 b1/5"},
		"snapshot: up with two starts": {true, []string{encodedEntry("a", "up", 5), encodedEntry("a", "up", 9)},
			"a1/9"},
		"delta: removed, earlier start":     {false, []string{encodedEntry("a", "removed", 2)}, "b1/5"},
		"delta: removed, later start":       {false, []string{encodedEntry("a", "removed", 9)}, "b1/5"},
		"delta: removed, invalid start":     {false, []string{encodedEntry("a", "removed", -1)}, "b1/5"},
		"delta: draining, earlier start":    {false, []string{encodedEntry("a", "draining", 2)}, "a2/2 b1/5"},
		"delta: draining, later start":      {false, []string{encodedEntry("a", "draining", 9)}, "a2/9 b1/5"},
		"snapshot: draining, earlier start": {true, []string{encodedEntry("a", "draining", 2)}, "a2/2"},
		"snapshot: only a removed entry":    {true, []string{encodedEntry("a", "removed", 5)}, ""},
	} {
		endpoints := NewEndpoints([]string{"a"})
		mustApply(t, endpoints, encodedList(4, true, encodedEntry("a", "up", 5), encodedEntry("b", "up", 5)))
		bal := newBalancer(t)
		balancerList := NewEndpoints([]string{"a"})
		first := mustApply(t, balancerList,
			encodedList(4, true, encodedEntry("a", "up", 5), encodedEntry("b", "up", 5)))
		bal.UpdateEndpoints(time.Second, balancer.Snapshot, first.Entries)
		update := mustApply(t, endpoints, encodedList(5, c.snapshot, c.entries...))
		if got := states(endpoints); got != c.want {
			t.Errorf("%s: the list has %q, want %q", name, got, c.want)
		}
		kind := balancer.Delta
		if c.snapshot {
			kind = balancer.Snapshot
		}
		bal.UpdateEndpoints(2*time.Second, kind, update.Entries)
		balancerStarts := make(map[balancer.EndpointID]time.Duration)
		for _, s := range bal.State(2 * time.Second).Endpoints {
			balancerStarts[s.ID] = s.StartedAt
		}
		if len(balancerStarts) != endpoints.Len() {
			t.Errorf("%s: the balancer has %d endpoints, the list %d", name, len(balancerStarts), endpoints.Len())
		}
		for _, ep := range endpoints.All() {
			if start := balancerStarts[ep.ID]; start != ep.StartedAt {
				t.Errorf("%s: %s started at %v in the balancer, at %v in the list", name, ep.Name, start, ep.StartedAt)
			}
		}
	}
}

// A faulty object is rejected with an error and adds no endpoint. The endpoints that it reports as draining or removed
// still change, because discovery has sent that. The version stays, so that the next watch delivers the rest.
func TestFaultyObjectStillAppliesDrainingAndRemoved(t *testing.T) {
	leaving := encodedEntry("a", "draining", 5) + "," + encodedEntry("b", "removed", 5)
	faulty := map[string]string{
		"unknown health":    `{"host":"c","dial":"10.0.0.1:80","health":"resting"}`,
		"no dial":           `{"host":"c","health":"up"}`,
		"no name":           `{"dial":"10.0.0.1:80","health":"up"}`,
		"negative start":    encodedEntry("c", "up", -1),
		"start is a string": `{"host":"c","dial":"10.0.0.1:80","health":"up","born_ms":"now"}`,
		"entry is a number": `17`,
	}
	for name, entry := range faulty {
		for _, snapshot := range []bool{false, true} {
			for _, raw := range [][]byte{
				encodedList(5, snapshot, leaving, entry), encodedList(5, snapshot, entry, leaving),
			} {
				endpoints := NewEndpoints([]string{"a"})
				mustApply(t, endpoints, encodedList(4, true,
					encodedEntry("a", "up", 5), encodedEntry("b", "up", 5), encodedEntry("c", "up", 5)))
				update, err := endpoints.Apply(raw)
				if err == nil {
					t.Fatalf("%s: %s was accepted", name, raw)
				}
				if got := states(endpoints); got != "a2/5 c1/5" || endpoints.version != 4 {
					t.Errorf("%s, snapshot %v: the list has %q at version %d", name, snapshot, got, endpoints.version)
				}
				if len(update.Changed) != 2 || len(update.Entries) != 2 || update.Snapshot ||
					update.Entries[0].State == balancer.EndpointReady ||
					update.Entries[1].State == balancer.EndpointReady {
					t.Errorf("%s: update %+v", name, update)
				}
			}
		}
	}
	for name, raw := range map[string][]byte{
		"truncated JSON":               encodedList(5, false, leaving)[:80],
		"unknown endpoint is draining": encodedList(5, false, encodedEntry("x", "draining", 5), `17`),
		"last entry of the endpoint is up": encodedList(5, false,
			encodedEntry("a", "draining", 5), encodedEntry("a", "up", 5), `17`),
	} {
		endpoints := NewEndpoints([]string{"a"})
		mustApply(t, endpoints, encodedList(4, true, encodedEntry("a", "up", 5), encodedEntry("b", "up", 5)))
		update, err := endpoints.Apply(raw)
		if err == nil || states(endpoints) != "a1/5 b1/5" || len(update.Changed)+len(update.Entries) > 0 {
			t.Errorf("%s: %v, update %+v, the list has %q", name, err, update, states(endpoints))
		}
	}
}

// A delta with an earlier version than the one in force describes an older state of some endpoints; it comes from a
// second watch or from a discovery instance that lags. Its draining and removed endpoints change to that state, and
// none becomes up. The deltas after it are applied, whether their versions continue from there or restart. A snapshot
// with an earlier version is complete and is applied.
func TestDeltaWithEarlierVersion(t *testing.T) {
	endpoints := NewEndpoints([]string{"a"})
	mustApply(t, endpoints, encodedList(9, true, encodedEntry("a", "draining", 5), encodedEntry("b", "up", 5)))
	update := mustApply(t, endpoints, encodedList(7, false,
		encodedEntry("a", "up", 5), encodedEntry("b", "draining", 5), encodedEntry("c", "up", 5)))
	if got := states(endpoints); got != "a2/5 b2/5" || len(update.Entries) != 1 || endpoints.version != 7 {
		t.Errorf("the list has %q at version %d, update %+v", got, endpoints.version, update)
	}
	mustApply(t, endpoints, encodedList(8, false, encodedEntry("c", "up", 9)))
	// A second delta with version 8 is applied too: some sources repeat a version.
	mustApply(t, endpoints, encodedList(8, false, encodedEntry("b", "up", 9)))
	if got := states(endpoints); got != "a2/5 b1/9 c1/9" {
		t.Errorf("after the following deltas the list has %q", got)
	}
	mustApply(t, endpoints, encodedList(3, true, encodedEntry("c", "up", 9)))
	if got := states(endpoints); got != "c1/9" || endpoints.version != 3 {
		t.Errorf("after a snapshot with an earlier version the list has %q at version %d", got, endpoints.version)
	}
}
