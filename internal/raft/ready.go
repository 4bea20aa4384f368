package raft

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// defaultSnapshotEvery is how many entries are applied between two snapshots.
	defaultSnapshotEvery = 1000
	// keptIntervals is how many intervals' entries stay in the log after a snapshot, for followers that lag.
	keptIntervals = 2
)

// Ready does all that is ready, and returns the messages to be sent. What has to be persisted is given to persist
// before anything that rests on it comes out; if persist fails this voter takes no more part, for what it has said
// would not be found again.
func (r *Replica) Ready(persist func(PersistentState) error) (messages []Message, err error) {
	if r.initial != nil && !r.failed {
		if err := persist(*r.initial); err != nil {
			r.failed = true
			return nil, failed(err)
		}
		r.initial = nil
	}
	for !r.failed && r.node.HasReady() {
		ready := r.node.Ready()
		if !raft.IsEmptyHardState(ready.HardState) || len(ready.Entries) > 0 || !raft.IsEmptySnap(ready.Snapshot) {
			state := PersistentState{State: ready.HardState, Entries: ready.Entries, Snapshot: ready.Snapshot}
			if err := persist(state); err != nil {
				r.failed = true
				return nil, failed(err)
			}
		}
		if messages, err = r.process(ready, messages); err != nil {
			r.failed = true
			return nil, err
		}
		r.node.Advance(ready)
		r.noteLeadership()
	}
	return messages, r.compact(persist)
}

// process takes what is ready into the storage and the machine, and appends the messages to be sent.
func (r *Replica) process(ready raft.Ready, messages []Message) ([]Message, error) {
	if err := r.store(ready); err != nil {
		return nil, err
	}
	for i := range ready.Messages {
		m := &ready.Messages[i]
		data, err := m.Marshal()
		if err != nil {
			return nil, fmt.Errorf("raft: message: %w", err)
		}
		messages = append(messages, Message{To: m.To, Data: data})
		if m.Type == raftpb.MsgSnap {
			r.node.ReportSnapshot(m.To, raft.SnapshotFinish) // whether it came shows in what is answered
		}
	}
	for i := range ready.CommittedEntries {
		if err := r.apply(&ready.CommittedEntries[i]); err != nil {
			return nil, err
		}
	}
	return messages, nil
}

// store takes what was persisted into the storage that raft reads.
func (r *Replica) store(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := r.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return fmt.Errorf("raft: snapshot: %w", err)
		}
		if err := r.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		if err := r.storage.SetHardState(ready.HardState); err != nil {
			return fmt.Errorf("raft: state: %w", err)
		}
	}
	if err := r.storage.Append(ready.Entries); err != nil {
		return fmt.Errorf("raft: entries: %w", err)
	}
	return nil
}

// errOldConfChange is a change of voters that no voter of this program makes.
var errOldConfChange = errors.New("raft: a change of voters of the old form")

func (r *Replica) apply(e *raftpb.Entry) error {
	r.applied = e.Index
	switch {
	case e.Type == raftpb.EntryConfChangeV2:
		var change raftpb.ConfChangeV2
		if err := change.Unmarshal(e.Data); err != nil {
			return fmt.Errorf("raft: change of voters: %w", err)
		}
		r.members = *r.node.ApplyConfChange(change)
		r.membersChanged = true
	case e.Type == raftpb.EntryConfChange:
		return errOldConfChange
	case len(e.Data) > 0: // a new leader's first entry is empty
		if err := r.machine.Apply(Entry{Index: e.Index, Term: e.Term, Data: e.Data}); err != nil {
			return fmt.Errorf("raft: command: %w", err)
		}
	}
	return nil
}

// compact has the log begin later, where it has grown; and after each change of the voters, for who is new takes no
// snapshot that does not know it.
func (r *Replica) compact(persist func(PersistentState) error) error {
	if r.failed || !r.membersChanged && r.applied < r.lastSnapshot+r.snapshotEvery {
		return nil
	}
	r.membersChanged = false
	data, err := r.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	snapshot, err := r.storage.CreateSnapshot(r.applied, &r.members, data)
	if err == nil {
		err = persist(PersistentState{Snapshot: snapshot})
	}
	if err != nil {
		r.failed = true
		return failed(err)
	}
	r.lastSnapshot = r.applied
	kept := keptIntervals * r.snapshotEvery
	if first, _ := r.storage.FirstIndex(); r.applied > kept && r.applied-kept >= first {
		_ = r.storage.Compact(r.applied - kept) // within what is there
	}
	return nil
}
