package raft

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// MemoryStorage keeps what a voter persists, in place of a disk: for tests and runs with virtual time.
type MemoryStorage struct {
	state    raftpb.HardState
	snapshot raftpb.Snapshot
	entries  []raftpb.Entry
	writes   int
}

// Save persists what Ready gives it.
func (m *MemoryStorage) Save(p PersistentState) error {
	m.writes++
	if !raft.IsEmptyHardState(p.State) {
		m.state = p.State
	}
	if !raft.IsEmptySnap(p.Snapshot) {
		m.snapshot = p.Snapshot
		m.drop(func(index uint64) bool { return index <= p.Snapshot.Metadata.Index })
	}
	if len(p.Entries) > 0 {
		m.drop(func(index uint64) bool { return index >= p.Entries[0].Index })
		m.entries = append(m.entries, p.Entries...)
	}
	return nil
}

// drop removes entries by their index. What Load has returned stays.
func (m *MemoryStorage) drop(dropped func(index uint64) bool) {
	m.entries = slices.DeleteFunc(slices.Clone(m.entries), func(e raftpb.Entry) bool { return dropped(e.Index) })
}

// Load is what the next process starts from, nil where nothing was saved.
func (m *MemoryStorage) Load() *PersistentState {
	if m.writes == 0 {
		return nil
	}
	return &PersistentState{State: m.state, Snapshot: m.snapshot, Entries: slices.Clone(m.entries)}
}
