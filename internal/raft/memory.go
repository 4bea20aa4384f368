package raft

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// MemoryStorage keeps what a voter gives it, in place of a disk: for tests and runs on a virtual clock.
type MemoryStorage struct {
	state    raftpb.HardState
	snapshot raftpb.Snapshot
	entries  []raftpb.Entry
	writes   int
}

// Save keeps what Take gives it.
func (d *MemoryStorage) Save(k PersistentState) error {
	d.writes++
	if !raft.IsEmptyHardState(k.State) {
		d.state = k.State
	}
	if !raft.IsEmptySnap(k.Snapshot) {
		d.snapshot = k.Snapshot
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e raftpb.Entry) bool { return e.Index <= k.Snapshot.Metadata.Index })
	}
	if len(k.Entries) > 0 {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e raftpb.Entry) bool { return e.Index >= k.Entries[0].Index })
		d.entries = append(d.entries, k.Entries...)
	}
	return nil
}

// Load is what the next process starts from, nil where nothing was kept.
func (d *MemoryStorage) Load() *PersistentState {
	if d.writes == 0 {
		return nil
	}
	return &PersistentState{State: d.state, Snapshot: d.snapshot, Entries: slices.Clone(d.entries)}
}
