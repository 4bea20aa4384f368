package raft

import (
	"encoding/json"
	"fmt"
	"time"

	"thymebend/internal/lease"
)

// maxPendingProposals is the maximum number of unanswered proposals of one replica.
const maxPendingProposals = 1000

// Answer is the answer to a lease command that this replica proposed.
type Answer struct {
	Client      string
	Incarnation uint64
	Seq         uint64
	lease.Answer
}

// Output holds the messages and answers that the caller must send.
type Output struct {
	Messages []Message
	Answers  []Answer
}

// proposal identifies a command that this replica has proposed and not answered yet.
type proposal struct {
	client      string
	incarnation uint64
	seq         uint64
}

func proposalOf(c lease.Command) proposal { return proposal{c.Client, c.Incarnation, c.Seq} }

// leaseMachine is the StateMachine that applies log entries to a lease table.
type leaseMachine struct {
	table          *lease.Table
	leadingSince   time.Duration // when this replica became the leader, on its own clock
	logTimeAtStart time.Duration // log time at leadingSince: the time of the last applied command
	pending        map[proposal]bool
	answers        []Answer
}

// Apply implements StateMachine.
func (l *leaseMachine) Apply(e Entry) error {
	var c lease.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return err
	}
	answer := l.table.Apply(c)
	if key := proposalOf(c); l.pending[key] {
		delete(l.pending, key)
		l.answers = append(l.answers, Answer{c.Client, c.Incarnation, c.Seq, answer})
	}
	return nil
}

// Snapshot implements StateMachine.
func (l *leaseMachine) Snapshot() ([]byte, error) { return l.table.Snapshot() }

// Restore implements StateMachine.
func (l *leaseMachine) Restore(data []byte) error {
	table, err := lease.Restore(data)
	if err == nil {
		l.table = table
	}
	return err
}

// Validate implements StateMachine.
func (l *leaseMachine) Validate(data []byte) error {
	_, err := lease.Restore(data)
	return err
}

// LeadershipChanged implements StateMachine. A new leader continues the log's time from the last applied command.
func (l *leaseMachine) LeadershipChanged(now time.Duration, isLeader bool) {
	if isLeader {
		l.leadingSince, l.logTimeAtStart = now, l.table.Now()
	} else {
		clear(l.pending)
	}
}

// Node is a replica of the lease log: a voter, or a learner that will become one.
type Node struct {
	*Replica
	leases *leaseMachine
}

// New starts a replica of the lease log.
func New(cfg Config, now time.Duration) (*Node, error) {
	l := &leaseMachine{table: lease.NewTable(), pending: make(map[proposal]bool)}
	replica, err := NewReplica(cfg, l, now)
	if err != nil {
		return nil, err
	}
	return &Node{Replica: replica, leases: l}, nil
}

// Propose appends a command to the log, with the log's current time. ProcessReady returns its answer once the command
// is committed. If the command is lost, no answer follows and the client sends the command again with the same
// sequence number.
func (n *Node) Propose(now time.Duration, c lease.Command) error {
	if err := n.CheckLeader(now); err != nil {
		return err
	}
	if len(n.leases.pending) >= maxPendingProposals {
		return ErrBusy
	}
	c.At = n.leases.logTimeAtStart + n.now - n.leases.leadingSince
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("raft: %w", err)
	}
	if err := n.Replica.Propose(now, data); err != nil {
		return err
	}
	n.leases.pending[proposalOf(c)] = true
	return nil
}

// ProcessReady processes everything that is ready, as Replica.Ready does, and also returns the answers to commands.
func (n *Node) ProcessReady(persist func(PersistentState) error) (Output, error) {
	messages, err := n.Ready(persist)
	answers := n.leases.answers
	n.leases.answers = nil
	return Output{Messages: messages, Answers: answers}, err
}

// LeaseStatus is the status of a replica of the lease log.
type LeaseStatus struct {
	Status
	Leases    int           // number of leases that have a holder or a queue
	LastToken uint64        // highest fencing token issued
	Time      time.Duration // log time
}

// Status returns the status of this replica.
func (n *Node) Status() LeaseStatus {
	table := n.leases.table
	return LeaseStatus{
		Status: n.Replica.Status(), Leases: table.Len(), LastToken: table.LastToken(), Time: table.Now(),
	}
}

// Holders returns the clients that hold a lease according to the entries this replica has applied. The list may be
// outdated: it is for operators, and no effect may be based on it.
func (n *Node) Holders(name string) []string { return n.leases.table.Holders(name) }
