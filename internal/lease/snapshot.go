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

// ErrSnapshot is returned by Restore if its input is not a valid snapshot of a table.
var ErrSnapshot = errors.New("invalid snapshot")

// snapshotVersion is the version of the encoded form of snapshot.
const snapshotVersion = 1

// snapshot is the encoded form of a table, which is stored and sent to other replicas.
type snapshot struct {
	Version   int           `json:"version"`
	Now       time.Duration `json:"now_ns"`
	LastSweep time.Duration `json:"swept_ns"`
	LastToken uint64        `json:"fence"`
	Leases    []*leaseState `json:"duties"`
	Clients   []*client     `json:"clients"`
}

// Snapshot encodes the table. Equal tables have byte-identical snapshots.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{
		Version: snapshotVersion, Now: t.now, LastSweep: t.lastSweep, LastToken: t.lastToken, Leases: t.sortedLeases(),
	}
	for _, name := range sortedKeys(t.clients) {
		s.Clients = append(s.Clients, t.clients[name])
	}
	return json.Marshal(s)
}

// Restore decodes a snapshot into a new table. An invalid snapshot is an error that wraps ErrSnapshot.
func Restore(raw []byte) (*Table, error) {
	var s snapshot
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, fmt.Errorf("lease: %w", snapshotError("decoding the snapshot: %w", err))
	}
	if err := s.validate(); err != nil {
		return nil, fmt.Errorf("lease: %w", err)
	}
	t := NewTable()
	t.now, t.lastSweep, t.lastToken = s.Now, s.LastSweep, s.LastToken
	for _, l := range s.Leases {
		if l == nil || l.Name == "" || t.leases[l.Name] != nil {
			return nil, fmt.Errorf("lease: %w",
				snapshotError("snapshot has a lease without a name, or the same lease twice"))
		}
		if err := l.validate(s.LastToken); err != nil {
			return nil, fmt.Errorf("lease: %w", err)
		}
		t.leases[l.Name] = l
	}
	for _, c := range s.Clients {
		if c == nil || c.Name == "" || t.clients[c.Name] != nil {
			return nil, fmt.Errorf("lease: %w",
				snapshotError("snapshot has a client without a name, or the same client twice"))
		}
		t.clients[c.Name] = c
	}
	return t, nil
}

func (s *snapshot) validate() error {
	if s.Version != snapshotVersion {
		return snapshotError("unsupported snapshot version %d, expected %d", s.Version, snapshotVersion)
	}
	if s.Now < 0 || len(s.Leases) > MaxLeases || len(s.Clients) > MaxClients {
		return snapshotError("snapshot out of bounds: %d leases, %d clients, log time %v",
			len(s.Leases), len(s.Clients), s.Now)
	}
	return nil
}

// validate checks that a decoded lease is within the bounds and that its grants are ordered by valid fencing tokens.
func (l *leaseState) validate(lastToken uint64) error {
	switch {
	case l.Slots < 1 || l.Slots > MaxSlots || len(l.Holders) > l.Slots || len(l.Queue) > MaxQueue:
		return snapshotError("snapshot out of bounds: lease %s has %d slots, %d holders and %d waiting clients",
			l.Name, l.Slots, len(l.Holders), len(l.Queue))
	case !slices.IsSortedFunc(l.Holders, func(a, b holder) int { return cmp.Compare(a.FencingToken, b.FencingToken) }):
		return snapshotError("snapshot: the grants of lease %s are not sorted by fencing token", l.Name)
	}
	for _, h := range l.Holders {
		if h.FencingToken > lastToken || h.FencingToken == 0 {
			return snapshotError("snapshot: lease %s has a grant with token %d, the last issued token is %d",
				l.Name, h.FencingToken, lastToken)
		}
	}
	return nil
}

func snapshotError(format string, args ...any) error {
	return fielderror.CauseWithText(ErrSnapshot, format, args...)
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
