// Package raft wraps go.etcd.io/raft as a reducer that maintains one member's replica of a replicated log. Its inputs
// are times, messages and commands; its outputs are the state to persist, messages to send and answers to commands.
// The log replicates a StateMachine. Node is a replica whose state machine is the lease table.
//
// The package does no I/O and does not read a clock. The running gateway does not use it yet. docs/design/leases.md
// gives the reasons for the design.
package raft
