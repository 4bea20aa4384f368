package raft

import (
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Memory keeps what a voter gives it, in place of a disk: for tests and runs on a virtual clock.
type Memory struct {
	state    raftpb.HardState
	snapshot raftpb.Snapshot
	entries  []raftpb.Entry
	writes   int
}

// Keep keeps what Take gives it.
func (d *Memory) Keep(k Kept) error {
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

// Kept is what the next process starts from, nil where nothing was kept.
func (d *Memory) Kept() *Kept {
	if d.writes == 0 {
		return nil
	}
	return &Kept{State: d.state, Snapshot: d.snapshot, Entries: slices.Clone(d.entries)}
}
