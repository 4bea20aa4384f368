package raft

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// MemoryStorage stores a replica's persistent state in memory instead of on a disk, for tests and simulations in
// virtual time.
type MemoryStorage struct {
	state    raftpb.HardState
	snapshot raftpb.Snapshot
	entries  []raftpb.Entry
	writes   int
}

// Save stores an update of the persistent state. It is meant to be the persist function of Replica.Ready.
func (m *MemoryStorage) Save(saved PersistentState) error {
	m.writes++
	if !raft.IsEmptyHardState(saved.State) {
		m.state = saved.State
	}
	if !raft.IsEmptySnap(saved.Snapshot) {
		m.snapshot = saved.Snapshot
		m.drop(func(index uint64) bool { return index <= saved.Snapshot.Metadata.Index })
	}
	if len(saved.Entries) > 0 {
		m.drop(func(index uint64) bool { return index >= saved.Entries[0].Index })
		m.entries = append(m.entries, saved.Entries...)
	}
	return nil
}

// drop removes the entries whose index matches. Slices that Load has returned are not modified.
func (m *MemoryStorage) drop(matches func(index uint64) bool) {
	m.entries = slices.DeleteFunc(slices.Clone(m.entries), func(e raftpb.Entry) bool { return matches(e.Index) })
}

// Load returns the state that the next process restores, or nil if nothing was saved.
func (m *MemoryStorage) Load() *PersistentState {
	if m.writes == 0 {
		return nil
	}
	return &PersistentState{State: m.state, Snapshot: m.snapshot, Entries: slices.Clone(m.entries)}
}
