// Package raft is one voter's replica of a replicated log over go.etcd.io/raft, as a reducer. Times, messages and
// commands go in; what has to be persisted, messages and answers come out. What the log replicates is a
// StateMachine; Node is the log of the lease table.
//
// It does no I/O and has no clock. The running gateway does not use it yet. docs/design/leases.md says why it is
// as it is.
package raft
