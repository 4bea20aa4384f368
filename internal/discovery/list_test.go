package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// encodedList returns one object in discovery's format.
func encodedList(seq int, whole bool, entries ...string) []byte {
	return fmt.Appendf(nil, `{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(entries, ","))
}

// entryText returns one entry of an object.
func entryText(name, health string, born int) string {
	return fmt.Sprintf(`{"host":%q,"dial":"10.0.0.1:80","site":"a","class":"m","block":1,"health":%q,`+
		`"share":1,"born_ms":%d}`, name, health, born)
}

// states returns the names and states of the endpoints of a list, for comparison.
func states(endpoints *Endpoints) string {
	var out []string
	for _, name := range []string{"a", "b", "c"} {
		if h := endpoints.Find(Identity(name)); h != nil {
			out = append(out, fmt.Sprintf("%s%d/%d", name, h.State, h.StartedAt.Milliseconds()))
		}
	}
	return strings.Join(out, " ")
}

// take applies an object that must be valid.
func take(t *testing.T, endpoints *Endpoints, raw []byte) Update {
	t.Helper()
	update, err := endpoints.Apply(raw)
	if err != nil {
		t.Fatalf("%s: %v", raw, err)
	}
	return update
}

// Several entries of one object for an endpoint, or entries for another start of it than the one in force, have the
// same result in the list and, by the entries of the update, in the balancer.
func TestContradictoryEntries(t *testing.T) {
	for name, c := range map[string]struct {
		whole   bool
		entries []string
		want    string
	}{
		"a delta's last entry holds, up": {false, []string{entryText("a", "draining", 5), entryText("a", "up", 5)},
			"a1/5 b1/5"},
		"a delta's last entry holds, draining": {false,
			[]string{entryText("a", "up", 5), entryText("a", "draining", 5)},
			"a2/5 b1/5"},
		"a delta removes and starts anew": {false, []string{entryText("a", "removed", 5), entryText("a", "up", 9)},
			"a1/9 b1/5"},
		"a delta starts anew and removes": {false, []string{entryText("a", "up", 9), entryText("a", "removed", 5)},
			"b1/5"},
		"a whole list drains and has it up": {true,
			[]string{entryText("a", "draining", 5), entryText("a", "up", 5), entryText("b", "up", 5)},
			"a2/5 b1/5"},
		"a whole list has it up and drains": {true,
			[]string{entryText("a", "up", 5), entryText("b", "up", 5), entryText("a", "draining", 5)},
			"a2/5 b1/5"},
		"a whole list names two starts": {true, []string{entryText("a", "up", 5), entryText("a", "up", 9)},
			"a1/9"},
		"removed, of an earlier start":            {false, []string{entryText("a", "removed", 2)}, "b1/5"},
		"removed, of a later start":               {false, []string{entryText("a", "removed", 9)}, "b1/5"},
		"removed, of no start that can be":        {false, []string{entryText("a", "removed", -1)}, "b1/5"},
		"draining, of an earlier start":           {false, []string{entryText("a", "draining", 2)}, "a2/2 b1/5"},
		"draining, of a later start":              {false, []string{entryText("a", "draining", 9)}, "a2/9 b1/5"},
		"draining in a whole list, other start":   {true, []string{entryText("a", "draining", 2)}, "a2/2"},
		"removed in a whole list, where nobody's": {true, []string{entryText("a", "removed", 5)}, ""},
	} {
		endpoints := NewEndpoints([]string{"a"})
		take(t, endpoints, encodedList(4, true, entryText("a", "up", 5), entryText("b", "up", 5)))
		module := newModule(t)
		other := NewEndpoints([]string{"a"})
		first := take(t, other, encodedList(4, true, entryText("a", "up", 5), entryText("b", "up", 5)))
		module.UpdateEndpoints(time.Second, balancer.Snapshot, first.Entries)
		update := take(t, endpoints, encodedList(5, c.whole, c.entries...))
		if got := states(endpoints); got != c.want {
			t.Errorf("%s: the list has %q, want %q", name, got, c.want)
		}
		kind := balancer.Delta
		if c.whole {
			kind = balancer.Snapshot
		}
		module.UpdateEndpoints(2*time.Second, kind, update.Entries)
		learned := make(map[balancer.EndpointID]time.Duration)
		for _, s := range module.State(2 * time.Second).Endpoints {
			learned[s.ID] = s.StartedAt
		}
		if len(learned) != endpoints.Len() {
			t.Errorf("%s: the module has %d hosts, the list %d", name, len(learned), endpoints.Len())
		}
		for _, h := range endpoints.All() {
			if learned[h.ID] != h.StartedAt {
				t.Errorf("%s: the module has %s from %v, the list from %v", name, h.Name, learned[h.ID], h.StartedAt)
			}
		}
	}
}

// A faulty object is an error and adds nothing, but no endpoint stays up that it reports as draining or removed:
// discovery has sent that. The version stays, so that the next watch brings the rest.
func TestFaultyObjectStillTellsWhoLeaves(t *testing.T) {
	leaving := entryText("a", "draining", 5) + "," + entryText("b", "removed", 5)
	faulty := map[string]string{
		"unknown health":   `{"host":"c","dial":"10.0.0.1:80","health":"resting"}`,
		"no dial":          `{"host":"c","health":"up"}`,
		"no name":          `{"dial":"10.0.0.1:80","health":"up"}`,
		"a start below 0":  entryText("c", "up", -1),
		"a start as text":  `{"host":"c","dial":"10.0.0.1:80","health":"up","born_ms":"now"}`,
		"no object at all": `17`,
	}
	for name, entry := range faulty {
		for _, whole := range []bool{false, true} {
			for _, raw := range [][]byte{encodedList(5, whole, leaving, entry), encodedList(5, whole, entry, leaving)} {
				endpoints := NewEndpoints([]string{"a"})
				take(t, endpoints, encodedList(4, true,
					entryText("a", "up", 5), entryText("b", "up", 5), entryText("c", "up", 5)))
				update, err := endpoints.Apply(raw)
				if err == nil {
					t.Fatalf("%s: %s was taken", name, raw)
				}
				if got := states(endpoints); got != "a2/5 c1/5" || endpoints.version != 4 {
					t.Errorf("%s, whole %v: the list has %q at version %d", name, whole, got, endpoints.version)
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
		"cut short":               encodedList(5, false, leaving)[:80],
		"of hosts nobody has":     encodedList(5, false, entryText("x", "draining", 5), `17`),
		"which it has up at last": encodedList(5, false, entryText("a", "draining", 5), entryText("a", "up", 5), `17`),
	} {
		endpoints := NewEndpoints([]string{"a"})
		take(t, endpoints, encodedList(4, true, entryText("a", "up", 5), entryText("b", "up", 5)))
		update, err := endpoints.Apply(raw)
		if err == nil || states(endpoints) != "a1/5 b1/5" || len(update.Changed)+len(update.Entries) > 0 {
			t.Errorf("%s: %v, update %+v, the list has %q", name, err, update, states(endpoints))
		}
	}
}

// A delta with an earlier version than the one in force is an older state of some endpoints, from a second watch or
// a discovery that lags: it marks none as up, and its draining and removed ones become so. The lines after it are
// applied, whether the versions go on from there or began anew. An earlier snapshot is complete, and is applied.
func TestVersionThatGoesBack(t *testing.T) {
	endpoints := NewEndpoints([]string{"a"})
	take(t, endpoints, encodedList(9, true, entryText("a", "draining", 5), entryText("b", "up", 5)))
	update := take(t, endpoints, encodedList(7, false,
		entryText("a", "up", 5), entryText("b", "draining", 5), entryText("c", "up", 5)))
	if got := states(endpoints); got != "a2/5 b2/5" || len(update.Entries) != 1 || endpoints.version != 7 {
		t.Errorf("the list has %q at version %d, update %+v", got, endpoints.version, update)
	}
	take(t, endpoints, encodedList(8, false, entryText("c", "up", 9)))
	take(t, endpoints, encodedList(8, false, entryText("b", "up", 9))) // once more: some lists repeat a version
	if got := states(endpoints); got != "a2/5 b1/9 c1/9" {
		t.Errorf("after the lines that follow the list has %q", got)
	}
	take(t, endpoints, encodedList(3, true, entryText("c", "up", 9)))
	if got := states(endpoints); got != "c1/9" || endpoints.version != 3 {
		t.Errorf("after an earlier whole list the list has %q at version %d", got, endpoints.version)
	}
}
