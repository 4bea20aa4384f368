// Package lease decides which gateway holds which leased task. Table is the lease table, a state machine to which
// every replica applies the same commands in the same order. Client requests leases for a gateway and checks its
// clock before each effect of a leased task. Guard admits effects at their receiver by their fencing tokens.
// AssignShards computes which gateway should hold which shard.
//
// The package does no I/O and does not read a clock. The running gateway does not use it yet. docs/design/leases.md
// gives the reasons for the design.
package lease
