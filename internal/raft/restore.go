package raft

import (
	"fmt"
	"math"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// PersistentState is all that a voter has to find again after a restart. Without it the voter has forgotten its vote
// and must not use its id again.
type PersistentState struct {
	State    raftpb.HardState
	Snapshot raftpb.Snapshot
	Entries  []raftpb.Entry
}

// Config is what a voter starts from.
type Config struct {
	// ID is above 0; a process that has nothing restored needs one that was never used.
	ID uint64
	// Voters of the first start of all: the same at each, and none for one that is to be admitted.
	Voters []uint64
	// Learners of the first start of all: they have the log and do not vote.
	Learners []uint64
	// Restored is what the process before has persisted, or nil.
	Restored *PersistentState
	Seed     uint64
	// MaxSnapshot is how many bytes a machine's snapshot may have beyond an ordinary message.
	MaxSnapshot int
	// SnapshotEvery so many applied entries, of which twice as many are kept; 0 is 1,000.
	SnapshotEvery int
}

// check holds the first members to their rules: an odd number of voters, nobody twice, and this one among them.
func (c *Config) check() error {
	if c.ID == 0 || c.ID == math.MaxUint64 {
		return fault(ErrConfig, "id %d is none", c.ID)
	}
	all := slices.Concat(c.Voters, c.Learners)
	if len(all) == 0 {
		return nil
	}
	distinct := len(slices.Compact(slices.Sorted(slices.Values(all)))) == len(all)
	if len(c.Voters)%2 == 0 || !slices.Contains(all, c.ID) || !distinct {
		return fault(ErrConfig, "voters %v, learners %v: an odd number of voters, each once, with %d among them",
			c.Voters, c.Learners, c.ID)
	}
	return nil
}

// restore takes what the process before has persisted, or begins a log with its first voters in it.
func (r *Replica) restore(cfg Config) error {
	switch {
	case cfg.Restored != nil:
		return r.restoreState(cfg.Restored)
	case len(cfg.Voters) > 0:
		return r.bootstrap(cfg)
	}
	return nil
}

func (r *Replica) restoreState(p *PersistentState) error {
	if !raft.IsEmptySnap(p.Snapshot) {
		if err := r.storage.ApplySnapshot(p.Snapshot); err != nil {
			return fault(ErrConfig, "kept snapshot: %w", err)
		}
		if err := r.installSnapshot(p.Snapshot); err != nil {
			return err
		}
	}
	if err := r.storage.SetHardState(p.State); err != nil {
		return fault(ErrConfig, "kept state: %w", err)
	}
	if last, _ := r.storage.LastIndex(); len(p.Entries) > 0 && p.Entries[0].Index > last+1 {
		return fault(ErrConfig, "kept entries begin at %d, the log ends at %d", p.Entries[0].Index, last)
	}
	if err := r.storage.Append(p.Entries); err != nil {
		return fault(ErrConfig, "kept entries: %w", err)
	}
	first, _ := r.storage.FirstIndex()
	last, _ := r.storage.LastIndex()
	if committed := p.State.Commit; committed+1 < first || committed > last {
		return fault(ErrConfig, "kept state is committed to %d, the log is %d to %d", committed, first, last)
	}
	return nil
}

// bootstrap begins the log. All begin with the same snapshot: an empty machine and who votes.
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
	r.initial = &PersistentState{State: raftpb.HardState{Term: 1, Commit: 1}, Snapshot: first}
	err = r.storage.ApplySnapshot(first)
	if err == nil {
		err = r.storage.SetHardState(r.initial.State)
	}
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	return r.installSnapshot(first)
}

// installSnapshot has the machine be what a snapshot says.
func (r *Replica) installSnapshot(s raftpb.Snapshot) error {
	if err := r.machine.Restore(s.Data); err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	r.members, r.applied, r.lastSnapshot = s.Metadata.ConfState, s.Metadata.Index, s.Metadata.Index
	return nil
}
