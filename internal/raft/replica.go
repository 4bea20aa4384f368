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
	// TickInterval is the interval at which the caller must call Tick.
	TickInterval = 100 * time.Millisecond
	// electionTicks is the minimum number of ticks without a leader's message after which a voter starts an election.
	// Each voter waits a random time from this up to twice as long.
	electionTicks = 10
	// maxMessageBytes bounds the uncommitted entries of a leader, in bytes. An append message carries up to a quarter
	// of it. A received message may take up to twice as much, plus the configured size of a snapshot.
	maxMessageBytes = 1 << 20
	// maxInFlight is the maximum number of unanswered append messages to one follower.
	maxInFlight = 64
)

// StateMachine is the state that a log replicates. It is deterministic: the same entries in the same order result in
// the same state at each replica.
type StateMachine interface {
	// Apply applies one committed entry. An error means that the entry is not a command; the replica stops.
	Apply(Entry) error
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by an encoded one. If it returns an error, the state is unchanged.
	Restore(data []byte) error
	// Validate returns the error that Restore would return, without changing the state.
	Validate(data []byte) error
	// LeadershipChanged is called when this replica becomes the leader and when it no longer is.
	LeadershipChanged(now time.Duration, leads bool)
}

// Entry is one committed command.
type Entry struct {
	Index, Term uint64
	Data        []byte
}

// Message is an encoded raft message to send to another replica.
type Message struct {
	To   uint64
	Data []byte
}

// Replica is one member's copy of a replicated log and of its state machine. The member is a voter or a learner.
type Replica struct {
	id               uint64
	node             *raft.RawNode
	storage          *raft.MemoryStorage
	rng              *rand.Rand
	machine          StateMachine
	members          raftpb.ConfState
	applied          uint64 // index of the last applied entry
	lastSnapshot     uint64 // index of the last entry in the last snapshot
	maxMessageBytes  int    // maximum size of a received message, with a snapshot
	snapshotInterval uint64 // entries between two snapshots

	now                     time.Duration
	ticksSinceLeaderMessage int // ticks since the last message of a leader
	electionTimeoutTicks    int // ticks without a leader's message until it starts an election
	leading                 bool
	failed                  bool
	membersChanged          bool             // members have changed since the last snapshot
	initialState            *PersistentState // of a new log, to be persisted before anything else; nil once persisted

	replacements map[uint64]uint64 // by learner id: the voter that it replaces once it has caught up
}

// NewReplica starts a replica. machine must be empty; the restored state and the log are applied to it.
func NewReplica(cfg Config, machine StateMachine, now time.Duration) (*Replica, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	r := &Replica{
		id:               cfg.ID,
		storage:          raft.NewMemoryStorage(),
		rng:              rand.New(rand.NewPCG(cfg.Seed, cfg.ID)),
		machine:          machine,
		now:              now,
		maxMessageBytes:  2*maxMessageBytes + cfg.MaxSnapshotBytes,
		snapshotInterval: uint64(cmp.Or(cfg.SnapshotInterval, defaultSnapshotInterval)),
		replacements:     make(map[uint64]uint64),
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
		MaxSizePerMsg:             maxMessageBytes / 4,
		MaxInflightMsgs:           maxInFlight,
		MaxUncommittedEntriesSize: maxMessageBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    discardLogger(),
	})
	if err != nil {
		return nil, newError(ErrConfig, "%w", err)
	}
	r.resetElectionTimer()
	return r, nil
}

// discardLogger returns a logger for raft that discards its output. Status reports the same information.
func discardLogger() raft.Logger { return &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)} }

// resetElectionTimer restarts the wait for a leader's message with a new random timeout. The random timeout of the
// raft library is not used because it differs between runs with the same seed.
func (r *Replica) resetElectionTimer() {
	r.ticksSinceLeaderMessage, r.electionTimeoutTicks = 0, electionTicks+r.rng.IntN(electionTicks)
}

// Tick advances the election and heartbeat timers. The caller must call it every TickInterval.
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
	if r.ticksSinceLeaderMessage++; r.ticksSinceLeaderMessage >= r.electionTimeoutTicks && r.isVoter() {
		r.resetElectionTimer()
		_ = r.node.Campaign() // raft ignores it if this voter may not start an election
	}
}

// isVoter reports whether this replica votes.
func (r *Replica) isVoter() bool {
	return slices.Contains(r.members.Voters, r.id) || slices.Contains(r.members.VotersOutgoing, r.id)
}

// Step processes a received message. It returns an ErrMessage, and changes nothing, if the message cannot be decoded
// or is not addressed to this replica.
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

// decode decodes a message and verifies that another member may send it.
func (r *Replica) decode(from uint64, data []byte) (m raftpb.Message, err error) {
	if len(data) > r.maxMessageBytes {
		return m, newError(ErrMessage, "message of %d bytes exceeds the maximum of %d bytes",
			len(data), r.maxMessageBytes)
	}
	if err := m.Unmarshal(data); err != nil {
		return m, newError(ErrMessage, "decoding a message: %w", err)
	}
	switch {
	case m.From != from || m.To != r.id:
		return m, newError(ErrMessage, "message from %d to %d was received from %d by %d", m.From, m.To, from, r.id)
	case raft.IsLocalMsg(m.Type) || m.Type == raftpb.MsgProp:
		return m, newError(ErrMessage, "message type %v is not allowed from another member", m.Type)
	case m.Type == raftpb.MsgSnap && m.Snapshot == nil:
		return m, newError(ErrMessage, "snapshot message without a snapshot")
	case m.Type == raftpb.MsgSnap:
		return m, r.machine.Validate(m.Snapshot.Data)
	}
	return m, nil
}

// CheckLeader returns nil if this replica leads and can accept proposals, and otherwise ErrFailed or ErrNotLeader.
func (r *Replica) CheckLeader(now time.Duration) error {
	r.now = max(r.now, now)
	r.updateLeadership()
	switch {
	case r.failed:
		return ErrFailed
	case !r.leading:
		return ErrNotLeader
	}
	return nil
}

// Propose appends a command to the log. The state machine applies it once a majority of the voters has it; a command
// that is lost is never applied.
func (r *Replica) Propose(now time.Duration, data []byte) error {
	if err := r.CheckLeader(now); err != nil {
		return err
	}
	if err := r.node.Propose(data); err != nil {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return nil
}

// updateLeadership detects whether this replica has gained or lost leadership and notifies the state machine.
func (r *Replica) updateLeadership() {
	isLeader := r.node.BasicStatus().RaftState == raft.StateLeader
	if isLeader == r.leading {
		return
	}
	if !isLeader {
		clear(r.replacements)
	}
	r.leading = isLeader
	r.machine.LeadershipChanged(r.now, isLeader)
}

// Status is the status of a replica, for operators and other gateways.
type Status struct {
	ID, Leader       uint64 // Leader is 0 if unknown
	IsLeader         bool
	Quorum           bool // a leader is known and has sent a message recently; a leader without a majority steps down
	Term, Applied    uint64
	Voters, Learners []uint64
	Failed           bool
}

// Status returns the status of this replica.
func (r *Replica) Status() Status {
	b := r.node.BasicStatus()
	isLeader := b.RaftState == raft.StateLeader
	return Status{
		ID:       r.id,
		Leader:   b.Lead,
		IsLeader: isLeader,
		Quorum:   isLeader || b.Lead != 0 && r.ticksSinceLeaderMessage < electionTicks,
		Term:     b.Term,
		Applied:  r.applied,
		Voters:   slices.Clone(r.members.Voters),
		Learners: slices.Clone(r.members.Learners),
		Failed:   r.failed,
	}
}
