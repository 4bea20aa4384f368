package raft

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// TickInterval is how often Tick is to be called.
	TickInterval = 100 * time.Millisecond
	// electionTicks without a leader's message are the least before a voter campaigns; each waits up to twice that.
	electionTicks = 10
	// maxMessage is how many bytes a message has at most, beside a snapshot.
	maxMessage = 1 << 20
	// maxInFlight bounds the messages to one follower that have no answer yet.
	maxInFlight = 64
)

// StateMachine is what a log replicates. The same entries in the same order give the same state at each replica.
type StateMachine interface {
	// Apply applies one committed entry. An error means that the entry can be no command at all: the voter takes
	// no more part.
	Apply(Entry) error
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore takes an encoded state in place of its own; with an error nothing has changed.
	Restore(data []byte) error
	// Validate reports whether Restore would take it.
	Validate(data []byte) error
	// LeadershipChanged is told when this voter begins and ceases to lead.
	LeadershipChanged(now time.Duration, leads bool)
}

// Entry is one committed command.
type Entry struct {
	Index, Term uint64
	Data        []byte
}

// Message is one to be sent.
type Message struct {
	To   uint64
	Data []byte
}

// Replica is that of one voter, or of a learner.
type Replica struct {
	id            uint64
	node          *raft.RawNode
	storage       *raft.MemoryStorage
	rng           *rand.Rand
	machine       StateMachine
	members       raftpb.ConfState
	applied       uint64 // index
	lastSnapshot  uint64 // applied index of it
	maxMessage    int    // bytes, with a snapshot
	snapshotEvery uint64 // entries between two snapshots

	now             time.Duration
	silentTicks     int // without a leader's message
	electionTimeout int // ticks of silence until it campaigns
	leading         bool
	failed          bool
	membersChanged  bool             // since the last snapshot
	initial         *PersistentState // of the first start, to be persisted before anything else

	replacements map[uint64]uint64 // by learner: whom it replaces once it has caught up
}

// NewReplica starts a voter, or a learner, whose log is applied to a machine that is empty.
func NewReplica(cfg Config, machine StateMachine, now time.Duration) (*Replica, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Replica{
		id:            cfg.ID,
		storage:       raft.NewMemoryStorage(),
		rng:           rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		machine:       machine,
		now:           now,
		maxMessage:    2*maxMessage + cfg.MaxSnapshot,
		snapshotEvery: uint64(cmp.Or(cfg.SnapshotEvery, defaultSnapshotEvery)),
		replacements:  make(map[uint64]uint64),
	}
	if err := r.restore(cfg); err != nil {
		return nil, err
	}
	var err error
	r.node, err = raft.NewRawNode(&raft.Config{
		ID:                        cfg.ID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             1,
		Storage:                   r.storage,
		Applied:                   r.applied,
		MaxSizePerMsg:             maxMessage / 4,
		MaxInflightMsgs:           maxInFlight,
		MaxUncommittedEntriesSize: maxMessage,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    discardLogger(),
	})
	if err != nil {
		return nil, fault(ErrConfig, "%w", err)
	}
	r.resetElectionTimer()
	return r, nil
}

// discardLogger is raft's logger: what it has to say is in the status.
func discardLogger() raft.Logger { return &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)} }

// resetElectionTimer draws how long this voter waits for a leader's message. Raft's own draw would be another in
// each run of the same seed.
func (r *Replica) resetElectionTimer() {
	r.silentTicks, r.electionTimeout = 0, electionTicks+r.rng.IntN(electionTicks)
}

// Tick is to be called every TickInterval.
func (r *Replica) Tick(now time.Duration) {
	if r.failed {
		return
	}
	r.now = max(r.now, now)
	if r.node.BasicStatus().RaftState == raft.StateLeader {
		r.node.Tick()
		r.promoteLearner()
		return
	}
	r.node.TickQuiesced()
	if r.silentTicks++; r.silentTicks >= r.electionTimeout && r.isVoter() {
		r.resetElectionTimer()
		_ = r.node.Campaign() // raft refuses where it may not
	}
}

// isVoter reports whether this replica votes.
func (r *Replica) isVoter() bool {
	return slices.Contains(r.members.Voters, r.id) || slices.Contains(r.members.VotersOutgoing, r.id)
}

// Step takes a message. What cannot be read, or is not for this voter, is an ErrMessage and changes nothing.
func (r *Replica) Step(now time.Duration, from uint64, data []byte) error {
	if r.failed {
		return ErrFailed
	}
	r.now = max(r.now, now)
	m, err := r.decode(from, data)
	if err != nil {
		return err
	}
	if err := r.node.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("raft: %w", err)
	}
	if m.Type == raftpb.MsgApp || m.Type == raftpb.MsgHeartbeat || m.Type == raftpb.MsgSnap {
		if r.node.BasicStatus().Lead == from {
			r.resetElectionTimer()
		}
	}
	return nil
}

// decode reads a message and holds it to what another voter may send.
func (r *Replica) decode(from uint64, data []byte) (m raftpb.Message, err error) {
	if len(data) > r.maxMessage {
		return m, fault(ErrMessage, "a message of %d bytes, %d at most", len(data), r.maxMessage)
	}
	if err := m.Unmarshal(data); err != nil {
		return m, fault(ErrMessage, "message: %w", err)
	}
	switch {
	case m.From != from || m.To != r.id:
		return m, fault(ErrMessage, "a message of %d to %d came from %d to %d", m.From, m.To, from, r.id)
	case raft.IsLocalMsg(m.Type) || m.Type == raftpb.MsgProp:
		return m, fault(ErrMessage, "a message of kind %v from another", m.Type)
	case m.Type == raftpb.MsgSnap && m.Snapshot == nil:
		return m, fault(ErrMessage, "a snapshot without one")
	case m.Type == raftpb.MsgSnap:
		return m, r.machine.Validate(m.Snapshot.Data)
	}
	return m, nil
}

// CheckLeader reports why nothing can be proposed here, or nil.
func (r *Replica) CheckLeader(now time.Duration) error {
	r.now = max(r.now, now)
	r.noteLeadership()
	switch {
	case r.failed:
		return ErrFailed
	case !r.leading:
		return ErrNotLeader
	}
	return nil
}

// Propose puts a command into the log. The machine applies it once most voters have it, or never does.
func (r *Replica) Propose(now time.Duration, data []byte) error {
	if err := r.CheckLeader(now); err != nil {
		return err
	}
	if err := r.node.Propose(data); err != nil {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return nil
}

// noteLeadership notes when this voter begins and ceases to lead.
func (r *Replica) noteLeadership() {
	leads := r.node.BasicStatus().RaftState == raft.StateLeader
	if leads == r.leading {
		return
	}
	if !leads {
		clear(r.replacements)
	}
	r.leading = leads
	r.machine.LeadershipChanged(r.now, leads)
}

// Status is what operators and other gateways are told.
type Status struct {
	ID, Leader       uint64 // Leader is 0 where none is known
	IsLeader         bool
	Quorum           bool // a leader is known and heard of lately; one that hears no majority leads no more
	Term, Applied    uint64
	Voters, Learners []uint64
	Failed           bool
}

// Status tells how this replica stands.
func (r *Replica) Status() Status {
	b := r.node.BasicStatus()
	leads := b.RaftState == raft.StateLeader
	return Status{
		ID:       r.id,
		Leader:   b.Lead,
		IsLeader: leads,
		Quorum:   leads || b.Lead != 0 && r.silentTicks < electionTicks,
		Term:     b.Term,
		Applied:  r.applied,
		Voters:   slices.Clone(r.members.Voters),
		Learners: slices.Clone(r.members.Learners),
		Failed:   r.failed,
	}
}
