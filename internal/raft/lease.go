package raft

import (
	"encoding/json"
	"fmt"
	"time"

	"thymebend/internal/lease"
)

// maxPending bounds the proposals of one voter that have no answer yet.
const maxPending = 1000

// Answer is one to a command that this voter proposed.
type Answer struct {
	Client      string
	Incarnation uint64
	Seq         uint64
	lease.Answer
}

// Output is what is to be done now.
type Output struct {
	Messages []Message
	Answers  []Answer
}

// proposal is a command of this voter's that has no answer yet.
type proposal struct {
	client      string
	incarnation uint64
	seq         uint64
}

func proposalOf(c lease.Command) proposal { return proposal{c.Client, c.Incarnation, c.Seq} }

// leaseMachine is the StateMachine of a lease table.
type leaseMachine struct {
	table        *lease.Table
	leadingSince time.Duration // on this voter's clock
	timeAtStart  time.Duration // the log's time then
	pending      map[proposal]bool
	answers      []Answer
}

// Apply implements StateMachine.
func (l *leaseMachine) Apply(e Entry) error {
	var c lease.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return err
	}
	answer := l.table.Apply(c)
	if p := proposalOf(c); l.pending[p] {
		delete(l.pending, p)
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

// LeadershipChanged implements StateMachine. The log's time goes on from the last command applied.
func (l *leaseMachine) LeadershipChanged(now time.Duration, leads bool) {
	if leads {
		l.leadingSince, l.timeAtStart = now, l.table.Now()
	} else {
		clear(l.pending)
	}
}

// Node is one voter of the log of leases, or a learner that is to become one.
type Node struct {
	*Replica
	leases *leaseMachine
}

// New starts a voter of the log of leases.
func New(cfg Config, now time.Duration) (*Node, error) {
	l := &leaseMachine{table: lease.NewTable(), pending: make(map[proposal]bool)}
	replica, err := NewReplica(cfg, l, now)
	if err != nil {
		return nil, err
	}
	return &Node{Replica: replica, leases: l}, nil
}

// Propose puts a command into the log. Its answer comes out of Take once most voters have it, or never: then the
// client asks again, with the same number.
func (n *Node) Propose(now time.Duration, c lease.Command) error {
	if err := n.CheckLeader(now); err != nil {
		return err
	}
	if len(n.leases.pending) >= maxPending {
		return ErrBusy
	}
	c.At = n.leases.timeAtStart + n.now - n.leases.leadingSince
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

// Take does all that is ready; see Replica.Ready.
func (n *Node) Take(persist func(PersistentState) error) (Output, error) {
	messages, err := n.Ready(persist)
	answers := n.leases.answers
	n.leases.answers = nil
	return Output{Messages: messages, Answers: answers}, err
}

// LeaseStatus is how a voter of the log of leases stands.
type LeaseStatus struct {
	Status
	Leases    int           // held or waited for
	LastToken uint64        // highest fencing token given
	Time      time.Duration // of the log
}

// Status tells how this voter stands.
func (n *Node) Status() LeaseStatus {
	table := n.leases.table
	return LeaseStatus{
		Status: n.Replica.Status(), Leases: table.Len(), LastToken: table.LastToken(), Time: table.Now(),
	}
}

// Holders lists who holds a lease, as far as this voter has applied the log: for operators, no ground for an effect.
func (n *Node) Holders(name string) []string { return n.leases.table.Holders(name) }
