// Package configdist distributes versions of a configuration from a replicated log to all gateways. Store is the
// state that the log replicates; Controller is a control machine's part, with the coordinator that moves a rollout from
// one canary to its zone and to all; Agent is a gateway's part.
//
// All are reducers: events in, effects out, no clock and no I/O. The running gateway does not use them yet.
// docs/design/configuration.md says why it is as it is.
package configdist
