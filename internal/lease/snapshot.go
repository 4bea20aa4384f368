package lease

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"thymebend/internal/fielderror"
)

// ErrSnapshot is the cause where a text is no snapshot of a table.
var ErrSnapshot = errors.New("unusable snapshot")

// snapshotVersion is that of the form below.
const snapshotVersion = 1

// snapshot is a table as it is kept and sent.
type snapshot struct {
	Version   int           `json:"version"`
	Now       time.Duration `json:"now_ns"`
	LastSweep time.Duration `json:"swept_ns"`
	LastToken uint64        `json:"fence"`
	Leases    []*leaseState `json:"duties"`
	Clients   []*client     `json:"clients"`
}

// Snapshot encodes the table. Equal tables have equal snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{
		Version: snapshotVersion, Now: t.now, LastSweep: t.lastSweep, LastToken: t.lastToken, Leases: t.sorted(),
	}
	for _, name := range sortedKeys(t.clients) {
		s.Clients = append(s.Clients, t.clients[name])
	}
	return json.Marshal(s)
}

// Restore reads a table back. What no table encodes is an error that wraps ErrSnapshot.
func Restore(raw []byte) (*Table, error) {
	var s snapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("lease: %w", snapshotError("snapshot: %w", err))
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("lease: %w", err)
	}
	t := NewTable()
	t.now, t.lastSweep, t.lastToken = s.Now, s.LastSweep, s.LastToken
	for _, l := range s.Leases {
		if l == nil || l.Name == "" || t.leases[l.Name] != nil {
			return nil, fmt.Errorf("lease: %w", snapshotError("snapshot with a lease that has no name, or twice"))
		}
		if err := l.check(s.LastToken); err != nil {
			return nil, fmt.Errorf("lease: %w", err)
		}
		t.leases[l.Name] = l
	}
	for _, c := range s.Clients {
		if c == nil || c.Name == "" || t.clients[c.Name] != nil {
			return nil, fmt.Errorf("lease: %w", snapshotError("snapshot with a client that has no name, or twice"))
		}
		t.clients[c.Name] = c
	}
	return t, nil
}

func (s *snapshot) check() error {
	if s.Version != snapshotVersion {
		return snapshotError("snapshot of version %d, %d is known", s.Version, snapshotVersion)
	}
	if s.Now < 0 || len(s.Leases) > MaxLeases || len(s.Clients) > MaxClients {
		return snapshotError("snapshot of %d leases and %d clients at %v", len(s.Leases), len(s.Clients), s.Now)
	}
	return nil
}

// check holds a lease that was read to the bounds, and its grants to their order.
func (l *leaseState) check(lastToken uint64) error {
	switch {
	case l.Slots < 1 || l.Slots > MaxSlots || len(l.Holders) > l.Slots || len(l.Queue) > MaxQueue:
		return snapshotError("snapshot: %s has %d slots, %d holders, %d waiting",
			l.Name, l.Slots, len(l.Holders), len(l.Queue))
	case !slices.IsSortedFunc(l.Holders, func(a, b holder) int { return cmp.Compare(a.FencingToken, b.FencingToken) }):
		return snapshotError("snapshot: %s has grants out of order", l.Name)
	}
	for _, h := range l.Holders {
		if h.FencingToken > lastToken || h.FencingToken == 0 {
			return snapshotError("snapshot: %s has a grant with token %d of %d", l.Name, h.FencingToken, lastToken)
		}
	}
	return nil
}

func snapshotError(format string, args ...any) error {
	return fielderror.CauseWithText(ErrSnapshot, format, args...)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
