package raft

import (
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// PersistentState is everything that a replica must restore after a restart. A replica that has lost it no longer
// knows its vote and must not use its id again.
type PersistentState struct {
	State    raftpb.HardState
	Snapshot raftpb.Snapshot
	Entries  []raftpb.Entry
}

// Config configures a replica.
type Config struct {
	// ID is greater than 0. A process without Restored state needs an id that was never used before.
	ID uint64
	// Voters are the initial voters of the cluster: the same at every initial member, and empty at a member that is
	// added later.
	Voters []uint64
	// Learners are the initial members of the cluster that receive the log and do not vote.
	Learners []uint64
	// Restored is the state that the previous process persisted, or nil.
	Restored *PersistentState
	Seed     uint64 // seeds the random election timeouts
	// MaxSnapshotBytes is the number of bytes by which a message with a snapshot may exceed the size of other messages.
	MaxSnapshotBytes int
	// SnapshotInterval is the number of applied entries between two snapshots. Twice as many entries remain in the log.
	// 0 selects the default of 1,000.
	SnapshotInterval int
}

// validate checks the id and the initial members: the number of voters is odd, no member is listed twice, and this
// one is listed.
func (c *Config) validate() error {
	if c.ID == 0 || c.ID == math.MaxUint64 {
		return newError(ErrConfig, "invalid id %d", c.ID)
	}
	all := slices.Concat(c.Voters, c.Learners)
	if len(all) == 0 {
		return nil
	}
	distinct := len(slices.Compact(slices.Sorted(slices.Values(all)))) == len(all)
	if len(c.Voters)%2 == 0 || !slices.Contains(all, c.ID) || !distinct {
		return newError(ErrConfig,
			"voters %v, learners %v: need an odd number of voters, each once, with %d among them",
			c.Voters, c.Learners, c.ID)
	}
	return nil
}

// restore restores the state that the previous process persisted, or starts a log with the initial members. A member
// that is added later starts empty.
func (r *Replica) restore(cfg Config) error {
	switch {
	case cfg.Restored != nil:
		return r.restoreState(cfg.Restored)
	case len(cfg.Voters) > 0:
		return r.bootstrap(cfg)
	}
	return nil
}

func (r *Replica) restoreState(saved *PersistentState) error {
	if !raft.IsEmptySnap(saved.Snapshot) {
		if err := r.storage.ApplySnapshot(saved.Snapshot); err != nil {
			return newError(ErrConfig, "restored snapshot: %w", err)
		}
		if err := r.installSnapshot(saved.Snapshot); err != nil {
			return err
		}
	}
	if err := r.storage.SetHardState(saved.State); err != nil {
		return newError(ErrConfig, "restored hard state: %w", err)
	}
	if last, _ := r.storage.LastIndex(); len(saved.Entries) > 0 && saved.Entries[0].Index > last+1 {
		return newError(ErrConfig, "gap in the log: restored entries start at %d, the snapshot ends at %d",
			saved.Entries[0].Index, last)
	}
	if err := r.storage.Append(saved.Entries); err != nil {
		return newError(ErrConfig, "restored entries: %w", err)
	}
	first, _ := r.storage.FirstIndex()
	last, _ := r.storage.LastIndex()
	if committed := saved.State.Commit; committed+1 < first || committed > last {
		return newError(ErrConfig, "restored hard state is committed to %d, outside the log of %d to %d",
			committed, first, last)
	}
	return nil
}

// bootstrap starts the log. All initial members start from the same snapshot, which holds an empty state machine and
// the initial members.
func (r *Replica) bootstrap(cfg Config) error {
	data, err := r.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	members := raftpb.ConfState{
		Voters:   slices.Sorted(slices.Values(cfg.Voters)),
		Learners: slices.Sorted(slices.Values(cfg.Learners)),
	}
	first := raftpb.Snapshot{
		Data: data, Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1, ConfState: members},
	}
	r.initialState = &PersistentState{State: raftpb.HardState{Term: 1, Commit: 1}, Snapshot: first}
	err = r.storage.ApplySnapshot(first)
	if err == nil {
		err = r.storage.SetHardState(r.initialState.State)
	}
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	return r.installSnapshot(first)
}

// installSnapshot restores the state machine and the members from a snapshot.
func (r *Replica) installSnapshot(s raftpb.Snapshot) error {
	if err := r.machine.Restore(s.Data); err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	r.members, r.applied, r.lastSnapshot = s.Metadata.ConfState, s.Metadata.Index, s.Metadata.Index
	return nil
}
