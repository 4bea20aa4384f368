package raft

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// defaultSnapshotInterval is the default number of entries applied between two snapshots.
	defaultSnapshotInterval = 1000
	// retainedIntervals is the number of snapshot intervals whose entries remain in the log after a snapshot, so that
	// lagging followers can catch up without a snapshot.
	retainedIntervals = 2
)

// Ready processes everything that raft has ready and returns the messages to send. It calls persist with new state
// before it returns messages or applies entries that depend on that state. If persist fails, this replica stops
// permanently: after a restart it could not restore the votes and acknowledgements that it has sent.
func (r *Replica) Ready(persist func(PersistentState) error) (messages []Message, err error) {
	if r.initialState != nil && !r.failed {
		if err := persist(*r.initialState); err != nil {
			r.failed = true
			return nil, wrapFailure(err)
		}
		r.initialState = nil
	}
	for !r.failed && r.node.HasReady() {
		ready := r.node.Ready()
		if !raft.IsEmptyHardState(ready.HardState) || len(ready.Entries) > 0 || !raft.IsEmptySnap(ready.Snapshot) {
			state := PersistentState{State: ready.HardState, Entries: ready.Entries, Snapshot: ready.Snapshot}
			if err := persist(state); err != nil {
				r.failed = true
				return nil, wrapFailure(err)
			}
		}
		if messages, err = r.processReady(ready, messages); err != nil {
			r.failed = true
			return nil, err
		}
		r.node.Advance(ready)
		r.updateLeadership()
	}
	return messages, r.compact(persist)
}

// processReady stores what raft has ready, applies the committed entries to the state machine, and appends the
// messages to send to messages.
func (r *Replica) processReady(ready raft.Ready, messages []Message) ([]Message, error) {
	if err := r.store(ready); err != nil {
		return nil, err
	}
	for i := range ready.Messages {
		m := &ready.Messages[i]
		data, err := m.Marshal()
		if err != nil {
			return nil, fmt.Errorf("raft: encoding a message: %w", err)
		}
		messages = append(messages, Message{To: m.To, Data: data})
		if m.Type == raftpb.MsgSnap {
			r.node.ReportSnapshot(m.To, raft.SnapshotFinish) // the follower's responses show whether it arrived
		}
	}
	for i := range ready.CommittedEntries {
		if err := r.apply(&ready.CommittedEntries[i]); err != nil {
			return nil, err
		}
	}
	return messages, nil
}

// store copies what was persisted to the in-memory storage that raft reads.
func (r *Replica) store(ready raft.Ready) error {
	if !raft.IsEmptySnap(ready.Snapshot) {
		if err := r.storage.ApplySnapshot(ready.Snapshot); err != nil {
			return fmt.Errorf("raft: storing a snapshot: %w", err)
		}
		if err := r.installSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(ready.HardState) {
		if err := r.storage.SetHardState(ready.HardState); err != nil {
			return fmt.Errorf("raft: storing the hard state: %w", err)
		}
	}
	if err := r.storage.Append(ready.Entries); err != nil {
		return fmt.Errorf("raft: storing log entries: %w", err)
	}
	return nil
}

// errConfChangeV1 is returned for a membership change in raft's old form, which this program never proposes.
var errConfChangeV1 = errors.New("raft: unsupported V1 membership change in the log")

func (r *Replica) apply(e *raftpb.Entry) error {
	r.applied = e.Index
	switch {
	case e.Type == raftpb.EntryConfChangeV2:
		var change raftpb.ConfChangeV2
		if err := change.Unmarshal(e.Data); err != nil {
			return fmt.Errorf("raft: decoding a membership change: %w", err)
		}
		r.members = *r.node.ApplyConfChange(change)
		r.membersChanged = true
	case e.Type == raftpb.EntryConfChange:
		return errConfChangeV1
	case len(e.Data) > 0: // a new leader's first entry is empty
		if err := r.machine.Apply(Entry{Index: e.Index, Term: e.Term, Data: e.Data}); err != nil {
			return fmt.Errorf("raft: applying a command: %w", err)
		}
	}
	return nil
}

// compact takes a snapshot and discards old entries, after each snapshot interval and after each membership change: a
// new member rejects a snapshot whose configuration does not include it.
func (r *Replica) compact(persist func(PersistentState) error) error {
	if r.failed || !r.membersChanged && r.applied < r.lastSnapshot+r.snapshotInterval {
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
		return wrapFailure(err)
	}
	r.lastSnapshot = r.applied
	retained := retainedIntervals * r.snapshotInterval
	if first, _ := r.storage.FirstIndex(); r.applied > retained && r.applied-retained >= first {
		_ = r.storage.Compact(r.applied - retained) // cannot fail: the index is within the log
	}
	return nil
}
