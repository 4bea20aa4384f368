package raft

import (
	"encoding/json"
	"fmt"
	"time"

	"thymebend/internal/lease"
)

// mostWaiting bounds the proposals of one voter that have no answer yet.
const mostWaiting = 1000

// Answer is one to a command that this voter proposed.
type Answer struct {
	Client string
	Start  uint64
	Seq    uint64
	lease.Answer
}

// Output is what is to be done now.
type Output struct {
	Messages []Message
	Answers  []Answer
}

// waiting is a command of this voter's that has no answer yet.
type waiting struct {
	client string
	start  uint64
	seq    uint64
}

// leases is the Machine of a table of leases.
type leases struct {
	table   *lease.Table
	since   time.Duration // this voter leads
	base    time.Duration // the log's time then
	waiting map[waiting]bool
	answers []Answer
}

// Apply implements Machine.
func (l *leases) Apply(e Entry) error {
	var c lease.Command
	if err := json.Unmarshal(e.Data, &c); err != nil {
		return err
	}
	answer := l.table.Apply(c)
	if w := (waiting{c.Client, c.Incarnation, c.Seq}); l.waiting[w] {
		delete(l.waiting, w)
		l.answers = append(l.answers, Answer{c.Client, c.Incarnation, c.Seq, answer})
	}
	return nil
}

// Snapshot implements Machine.
func (l *leases) Snapshot() ([]byte, error) { return l.table.Snapshot() }

// Restore implements Machine.
func (l *leases) Restore(data []byte) error {
	table, err := lease.Restore(data)
	if err == nil {
		l.table = table
	}
	return err
}

// Validate implements Machine.
func (l *leases) Validate(data []byte) error {
	_, err := lease.Restore(data)
	return err
}

// Lead implements Machine. The log's time goes on from the last command applied.
func (l *leases) Lead(now time.Duration, leads bool) {
	if leads {
		l.since, l.base = now, l.table.Now()
	} else {
		clear(l.waiting)
	}
}

// Node is one voter of the log of leases, or a learner that is to become one.
type Node struct {
	*Replica
	leases *leases
}

// New starts a voter of the log of leases.
func New(cfg Config, now time.Duration) (*Node, error) {
	l := &leases{table: lease.NewTable(), waiting: make(map[waiting]bool)}
	log, err := NewReplica(cfg, l, now)
	if err != nil {
		return nil, err
	}
	return &Node{Replica: log, leases: l}, nil
}

// Propose puts a command into the log. Its answer comes out of Take once most voters have it, or never: then the client asks again, with
// the same number.
func (n *Node) Propose(now time.Duration, c lease.Command) error {
	if err := n.IsLeader(now); err != nil {
		return err
	}
	if len(n.leases.waiting) >= mostWaiting {
		return ErrBusy
	}
	c.At = n.leases.base + n.now - n.leases.since
	raw, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("consensus: %w", err)
	}
	if err := n.Replica.Propose(now, raw); err != nil {
		return err
	}
	n.leases.waiting[waiting{c.Client, c.Incarnation, c.Seq}] = true
	return nil
}

// Take does all that is ready; see Log.Take.
func (n *Node) Take(keep func(PersistentState) error) (Output, error) {
	messages, err := n.Replica.Ready(keep)
	answers := n.leases.answers
	n.leases.answers = nil
	return Output{Messages: messages, Answers: answers}, err
}

// LeaseStatus is how a voter of the log of leases stands.
type LeaseStatus struct {
	Status
	Held  int           // duties held or waited for
	Fence uint64        // highest number given
	Time  time.Duration // of the log
}

// Status tells how this voter stands.
func (n *Node) Status() LeaseStatus {
	table := n.leases.table
	return LeaseStatus{Status: n.Replica.Status(), Held: table.Len(), Fence: table.LastToken(), Time: table.Now()}
}

// Holders lists who holds a duty, as far as this voter has applied the log: hearsay for operators, no ground for an effect.
func (n *Node) Holders(duty string) []string { return n.leases.table.Holders(duty) }
