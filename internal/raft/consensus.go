// Package raft is one voter's part in a replicated log: raft, as a reducer. Times, messages and commands go in; what has to be kept, messages
// and answers come out. What the log replicates is a Machine; Node is the log of leases. It does no I/O and has no clock. docs/design/duties.md says why it is so.
package raft

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Times and sizes.
const (
	// TickEvery is how often Tick is to be called.
	TickEvery     = 100 * time.Millisecond
	electionTicks = 10   // without a leader's word before it is doubted; each voter waits up to twice that
	snapshotEvery = 1000 // applied entries
	keepEntries   = 2 * snapshotEvery
	mostMessage   = 1 << 20
	caughtUp      = 100 // entries that a learner may lack before it is promoted
)

// Errors that a caller can act on.
var (
	ErrNotLeader = errors.New("consensus: another leads, or nobody")
	ErrBusy      = errors.New("consensus: too many commands wait")
	ErrFailed    = errors.New("consensus: what has to be kept could not be; this voter takes no more part")
)

// PersistentState is all that a voter has to find again after a restart. Without it the voter has forgotten its vote and must not use its id again.
type PersistentState struct {
	State    raftpb.HardState
	Snapshot raftpb.Snapshot
	Entries  []raftpb.Entry
}

// Machine is the state that a log replicates. The same entries in the same order give the same state at each replica.
type Machine interface {
	// Apply applies one committed entry. An error means that the entry can be no command at all: the voter takes no more part.
	Apply(Entry) error
	// Snapshot words the state.
	Snapshot() ([]byte, error)
	// Restore takes a worded state in place of its own; with an error nothing has changed.
	Restore(data []byte) error
	// Validate reports whether Restore would take it.
	Validate(data []byte) error
	// Lead is told when this voter begins and ceases to lead.
	Lead(now time.Duration, leads bool)
}

// Entry is one committed command.
type Entry struct {
	Index, Term uint64
	Data        []byte
}

// Config is what a voter starts from.
type Config struct {
	ID           uint64           // above 0; a process that has kept nothing needs one that was never used
	Voters       []uint64         // of the first start of all; the same at each, and none for one that is to be admitted
	Learners     []uint64         // of the first start of all: they have the log and do not vote
	Restored     *PersistentState // of the process before, or nil
	Seed         uint64
	MostSnapshot int // bytes that a machine's snapshot may have beyond an ordinary message
	SnapshotEach int // entries applied between two snapshots, of which twice as many are kept; 0: 1,000
}

// Message is one to be sent.
type Message struct {
	To   uint64
	Data []byte
}

// Replica is one voter's, or that of a learner.
type Replica struct {
	id      uint64
	raw     *raft.RawNode
	store   *raft.MemoryStorage
	rng     *rand.Rand
	machine Machine
	conf    raftpb.ConfState
	applied uint64
	kept    uint64 // applied index of the last snapshot
	most    int    // bytes of a message
	each    uint64 // entries between two snapshots

	now     time.Duration
	silent  int // ticks without a leader's word
	waits   int // until it campaigns
	leads   bool
	failed  bool
	changed bool             // the voters have, since the last snapshot
	begin   *PersistentState // of the first start, to be kept before anything else

	replace map[uint64]uint64 // learner to whom it replaces once it has caught up
}

// NewReplica starts a voter, or a learner, whose log is applied to a machine that is empty.
func NewReplica(cfg Config, machine Machine, now time.Duration) (*Replica, error) {
	if cfg.ID == 0 || cfg.ID == math.MaxUint64 {
		return nil, fmt.Errorf("consensus: id %d is none", cfg.ID)
	}
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n := &Replica{id: cfg.ID, store: raft.NewMemoryStorage(), rng: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)), machine: machine, now: now,
		most: 2*mostMessage + cfg.MostSnapshot, each: uint64(cmp.Or(cfg.SnapshotEach, snapshotEvery)), replace: make(map[uint64]uint64)}
	if err := n.restore(cfg); err != nil {
		return nil, err
	}
	var err error
	n.raw, err = raft.NewRawNode(&raft.Config{ID: cfg.ID, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: n.store, Applied: n.applied,
		MaxSizePerMsg: mostMessage / 4, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: mostMessage, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: silence()})
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	n.patience()
	return n, nil
}

// check holds the first members to their rules: an odd number of voters, nobody twice, and this one among them.
func (c *Config) check() error {
	n := len(c.Voters)
	all := slices.Concat(c.Voters, c.Learners)
	switch {
	case n == 0 && len(c.Learners) == 0:
		return nil
	case n%2 == 0 || !slices.Contains(all, c.ID) || len(slices.Compact(slices.Sorted(slices.Values(all)))) != len(all):
		return fmt.Errorf("consensus: voters %v, learners %v: an odd number of voters, each once, with %d among them", c.Voters, c.Learners, c.ID)
	}
	return nil
}

// silence is raft's logger: what it has to say is in the status.
func silence() raft.Logger { return &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)} }

// restore takes what the process before has kept, or begins a log with its first voters in it.
func (n *Replica) restore(cfg Config) error {
	switch {
	case cfg.Restored != nil:
		if !raft.IsEmptySnap(cfg.Restored.Snapshot) {
			if err := n.store.ApplySnapshot(cfg.Restored.Snapshot); err != nil {
				return fmt.Errorf("consensus: kept snapshot: %w", err)
			}
			if err := n.takeSnapshot(cfg.Restored.Snapshot); err != nil {
				return err
			}
		}
		if err := n.store.SetHardState(cfg.Restored.State); err != nil {
			return fmt.Errorf("consensus: kept state: %w", err)
		}
		if last, _ := n.store.LastIndex(); len(cfg.Restored.Entries) > 0 && cfg.Restored.Entries[0].Index > last+1 {
			return fmt.Errorf("consensus: kept entries begin at %d, the log ends at %d", cfg.Restored.Entries[0].Index, last)
		}
		if err := n.store.Append(cfg.Restored.Entries); err != nil {
			return fmt.Errorf("consensus: kept entries: %w", err)
		}
		first, _ := n.store.FirstIndex()
		last, _ := n.store.LastIndex()
		if at := cfg.Restored.State.Commit; at+1 < first || at > last {
			return fmt.Errorf("consensus: kept state is committed to %d, the log is %d to %d", at, first, last)
		}
	case len(cfg.Voters) > 0:
		// All begin with the same snapshot: an empty machine and who votes.
		words, err := n.machine.Snapshot()
		if err != nil {
			return fmt.Errorf("consensus: %w", err)
		}
		first := raftpb.Snapshot{Data: words, Metadata: raftpb.SnapshotMetadata{Index: 1, Term: 1,
			ConfState: raftpb.ConfState{Voters: slices.Sorted(slices.Values(cfg.Voters)), Learners: slices.Sorted(slices.Values(cfg.Learners))}}}
		n.begin = &PersistentState{State: raftpb.HardState{Term: 1, Commit: 1}, Snapshot: first}
		err = n.store.ApplySnapshot(first)
		if err == nil {
			err = n.store.SetHardState(n.begin.State)
		}
		if err != nil {
			return fmt.Errorf("consensus: %w", err)
		}
		return n.takeSnapshot(first)
	}
	return nil
}

// takeSnapshot has the machine be what a snapshot says.
func (n *Replica) takeSnapshot(s raftpb.Snapshot) error {
	if err := n.machine.Restore(s.Data); err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	n.conf, n.applied, n.kept = s.Metadata.ConfState, s.Metadata.Index, s.Metadata.Index
	return nil
}

// patience draws how long this voter waits for a leader's word. Raft's own draw would be another in each run of the same seed.
func (n *Replica) patience() { n.silent, n.waits = 0, electionTicks+n.rng.IntN(electionTicks) }

// Tick is to be called every TickEvery.
func (n *Replica) Tick(now time.Duration) {
	if n.failed {
		return
	}
	n.now = max(n.now, now)
	if n.raw.BasicStatus().RaftState == raft.StateLeader {
		n.raw.Tick()
		n.promote()
		return
	}
	n.raw.TickQuiesced()
	if n.silent++; n.silent >= n.waits && n.votes() {
		n.patience()
		_ = n.raw.Campaign() // raft refuses where it may not
	}
}

// votes reports whether this node is a voter.
func (n *Replica) votes() bool {
	return slices.Contains(n.conf.Voters, n.id) || slices.Contains(n.conf.VotersOutgoing, n.id)
}

// Step takes a message. What cannot be read, or is not for this voter, is an error and changes nothing.
func (n *Replica) Step(now time.Duration, from uint64, data []byte) error {
	if n.failed {
		return ErrFailed
	}
	n.now = max(n.now, now)
	if len(data) > n.most {
		return fmt.Errorf("consensus: a message of %d bytes, %d at most", len(data), n.most)
	}
	var m raftpb.Message
	if err := m.Unmarshal(data); err != nil {
		return fmt.Errorf("consensus: message: %w", err)
	}
	switch {
	case m.From != from || m.To != n.id:
		return fmt.Errorf("consensus: a message of %d to %d came from %d to %d", m.From, m.To, from, n.id)
	case raft.IsLocalMsg(m.Type) || m.Type == raftpb.MsgProp:
		return fmt.Errorf("consensus: a message of kind %v from another", m.Type)
	case m.Type == raftpb.MsgSnap && m.Snapshot == nil:
		return errors.New("consensus: a snapshot without one")
	case m.Type == raftpb.MsgSnap:
		if err := n.machine.Validate(m.Snapshot.Data); err != nil {
			return err
		}
	}
	if err := n.raw.Step(m); err != nil && !errors.Is(err, raft.ErrProposalDropped) {
		return fmt.Errorf("consensus: %w", err)
	}
	if m.Type == raftpb.MsgApp || m.Type == raftpb.MsgHeartbeat || m.Type == raftpb.MsgSnap {
		if n.raw.BasicStatus().Lead == from {
			n.patience()
		}
	}
	return nil
}

// IsLeader reports why nothing can be proposed here, or nil.
func (n *Replica) IsLeader(now time.Duration) error {
	n.now = max(n.now, now)
	n.lead()
	switch {
	case n.failed:
		return ErrFailed
	case !n.leads:
		return ErrNotLeader
	}
	return nil
}

// Propose puts a command into the log. The machine applies it once most voters have it, or never does.
func (n *Replica) Propose(now time.Duration, data []byte) error {
	if err := n.IsLeader(now); err != nil {
		return err
	}
	if err := n.raw.Propose(data); err != nil {
		return fmt.Errorf("%w: %w", ErrBusy, err)
	}
	return nil
}

// lead notes when this voter begins and ceases to lead.
func (n *Replica) lead() {
	leads := n.raw.BasicStatus().RaftState == raft.StateLeader
	if leads == n.leads {
		return
	}
	if !leads {
		clear(n.replace)
	}
	n.leads = leads
	n.machine.Lead(n.now, leads)
}

// AddLearner has a voter that has forgotten everything come back under a new id, or one take another's place for good: it learns first, and votes in the old
// one's place once it has caught up.
func (n *Replica) AddLearner(now time.Duration, learner, replaces uint64) error {
	if err := n.IsLeader(now); err != nil {
		return err
	}
	switch {
	case learner == 0 || learner == replaces || slices.Contains(n.conf.Voters, learner):
		return fmt.Errorf("consensus: %d cannot learn to replace %d", learner, replaces)
	case !slices.Contains(n.conf.Voters, replaces):
		return fmt.Errorf("consensus: %d is no voter", replaces)
	}
	n.replace[learner] = replaces
	if slices.Contains(n.conf.Learners, learner) {
		return nil
	}
	return n.raw.ProposeConfChange(raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddLearnerNode, NodeID: learner}}})
}

// promote gives a learner that has caught up the place of whom it replaces, in one change of two majorities.
func (n *Replica) promote() {
	if len(n.replace) == 0 || len(n.conf.VotersOutgoing) > 0 {
		return
	}
	status := n.raw.Status()
	for _, learner := range slices.Sorted(keys(n.replace)) {
		p, ok := status.Progress[learner]
		if !ok || !p.IsLearner || p.Match+caughtUp < status.Commit || p.Match == 0 {
			continue
		}
		err := n.raw.ProposeConfChange(raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionJointImplicit, Changes: []raftpb.ConfChangeSingle{
			{Type: raftpb.ConfChangeAddNode, NodeID: learner}, {Type: raftpb.ConfChangeRemoveNode, NodeID: n.replace[learner]}}})
		if err == nil {
			delete(n.replace, learner)
		}
		return
	}
}

func keys[V any](m map[uint64]V) func(func(uint64) bool) {
	return func(yield func(uint64) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// Ready does all that is ready. What has to be kept is given to keep before anything that rests on it comes out; if keep fails this voter takes no
// more part, for what it has said would not be found again.
func (n *Replica) Ready(keep func(PersistentState) error) (out []Message, err error) {
	if n.begin != nil && !n.failed {
		if err := keep(*n.begin); err != nil {
			n.failed = true
			return out, fmt.Errorf("%w: %w", ErrFailed, err)
		}
		n.begin = nil
	}
	for !n.failed && n.raw.HasReady() {
		rd := n.raw.Ready()
		if !raft.IsEmptyHardState(rd.HardState) || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
			if err := keep(PersistentState{State: rd.HardState, Entries: rd.Entries, Snapshot: rd.Snapshot}); err != nil {
				n.failed = true
				return nil, fmt.Errorf("%w: %w", ErrFailed, err)
			}
		}
		if err := n.digest(rd, &out); err != nil {
			n.failed = true
			return nil, err
		}
		n.raw.Advance(rd)
		n.lead()
	}
	return out, n.snapshot(keep)
}

// digest takes what is ready into the store and the machine.
func (n *Replica) digest(rd raft.Ready, out *[]Message) error {
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := n.store.ApplySnapshot(rd.Snapshot); err != nil {
			return fmt.Errorf("consensus: snapshot: %w", err)
		}
		if err := n.takeSnapshot(rd.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := n.store.SetHardState(rd.HardState); err != nil {
			return fmt.Errorf("consensus: state: %w", err)
		}
	}
	if err := n.store.Append(rd.Entries); err != nil {
		return fmt.Errorf("consensus: entries: %w", err)
	}
	for i := range rd.Messages {
		m := &rd.Messages[i]
		raw, err := m.Marshal()
		if err != nil {
			return fmt.Errorf("consensus: message: %w", err)
		}
		*out = append(*out, Message{To: m.To, Data: raw})
		if m.Type == raftpb.MsgSnap {
			n.raw.ReportSnapshot(m.To, raft.SnapshotFinish) // whether it came shows in what is answered
		}
	}
	for i := range rd.CommittedEntries {
		if err := n.apply(&rd.CommittedEntries[i]); err != nil {
			return err
		}
	}
	return nil
}

func (n *Replica) apply(e *raftpb.Entry) error {
	n.applied = e.Index
	switch {
	case e.Type == raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := cc.Unmarshal(e.Data); err != nil {
			return fmt.Errorf("consensus: change of voters: %w", err)
		}
		n.conf = *n.raw.ApplyConfChange(cc)
		n.changed = true
	case e.Type == raftpb.EntryConfChange:
		return errors.New("consensus: a change of voters of the old form")
	case len(e.Data) > 0: // a new leader's first entry is empty
		if err := n.machine.Apply(Entry{Index: e.Index, Term: e.Term, Data: e.Data}); err != nil {
			return fmt.Errorf("consensus: command: %w", err)
		}
	}
	return nil
}

// snapshot has the log begin later, where it has grown; and after each change of the voters, for who is new takes no snapshot that does not know it.
func (n *Replica) snapshot(keep func(PersistentState) error) error {
	if n.failed || !n.changed && n.applied < n.kept+n.each {
		return nil
	}
	n.changed = false
	words, err := n.machine.Snapshot()
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	s, err := n.store.CreateSnapshot(n.applied, &n.conf, words)
	if err == nil {
		err = keep(PersistentState{Snapshot: s})
	}
	if err != nil {
		n.failed = true
		return fmt.Errorf("%w: %w", ErrFailed, err)
	}
	n.kept = n.applied
	if first, _ := n.store.FirstIndex(); n.applied > 2*n.each && n.applied-2*n.each >= first {
		_ = n.store.Compact(n.applied - 2*n.each) // within what is there
	}
	return nil
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

// Status tells how this voter stands.
func (n *Replica) Status() Status {
	b := n.raw.BasicStatus()
	leads := b.RaftState == raft.StateLeader
	return Status{ID: n.id, Leader: b.Lead, IsLeader: leads, Quorum: leads || b.Lead != 0 && n.silent < electionTicks, Term: b.Term, Applied: n.applied,
		Voters: slices.Clone(n.conf.Voters), Learners: slices.Clone(n.conf.Learners), Failed: n.failed}
}
