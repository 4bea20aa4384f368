package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// snapshotVersion is that of the form below.
const snapshotVersion = 1

// snapshot is a table as it is kept and sent.
type snapshot struct {
	Version int           `json:"version"`
	Now     time.Duration `json:"now_ns"`
	Swept   time.Duration `json:"swept_ns"`
	Fence   uint64        `json:"fence"`
	Duties  []*duty       `json:"duties"`
	Clients []*client     `json:"clients"`
}

// Snapshot words the table. Equal tables have equal words.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{Version: snapshotVersion, Now: t.now, Swept: t.swept, Fence: t.fence, Duties: t.sorted()}
	for _, name := range sortedKeys(t.clients) {
		s.Clients = append(s.Clients, t.clients[name])
	}
	return json.Marshal(s)
}

// Restore reads a table back. What no table words is an error.
func Restore(raw []byte) (*Table, error) {
	var s snapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("duties: snapshot: %w", err)
	}
	if s.Version != snapshotVersion {
		return nil, fmt.Errorf("duties: snapshot of version %d, %d is known", s.Version, snapshotVersion)
	}
	if s.Now < 0 || len(s.Duties) > MostDuties || len(s.Clients) > MostClients {
		return nil, fmt.Errorf("duties: snapshot of %d duties and %d clients at %v", len(s.Duties), len(s.Clients), s.Now)
	}
	t := NewTable()
	t.now, t.swept, t.fence = s.Now, s.Swept, s.Fence
	for _, d := range s.Duties {
		switch {
		case d == nil || d.Name == "" || t.duties[d.Name] != nil:
			return nil, fmt.Errorf("duties: snapshot with a duty that has no name, or twice")
		case d.Places < 1 || d.Places > MostHolders || len(d.Holders) > d.Places || len(d.Line) > MostWaiters:
			return nil, fmt.Errorf("duties: snapshot: %s has %d places, %d holders, %d waiting", d.Name, d.Places, len(d.Holders), len(d.Line))
		case !slices.IsSortedFunc(d.Holders, func(a, b holder) int { return cmp.Compare(a.Fence, b.Fence) }):
			return nil, fmt.Errorf("duties: snapshot: %s has grants out of order", d.Name)
		}
		for _, h := range d.Holders {
			if h.Fence > s.Fence || h.Fence == 0 {
				return nil, fmt.Errorf("duties: snapshot: %s has a grant with number %d of %d", d.Name, h.Fence, s.Fence)
			}
		}
		t.duties[d.Name] = d
	}
	for _, c := range s.Clients {
		if c == nil || c.Name == "" || t.clients[c.Name] != nil {
			return nil, fmt.Errorf("duties: snapshot with a client that has no name, or twice")
		}
		t.clients[c.Name] = c
	}
	return t, nil
}
