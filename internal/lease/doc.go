// Package lease decides who holds which leased task: Table is the lease table, a state machine that is applied in
// one order everywhere; Client asks for leases and looks at its clock before each effect; Guard stands where the
// effects arrive and admits them by their fencing tokens; AssignShards says who should hold which shard.
//
// It does no I/O and has no clock. The running gateway does not use it yet. docs/design/leases.md says why it is
// as it is.
package lease
