// Package configdist distributes versions of a configuration from a replicated log to all gateways. Store is the
// state that the log replicates. Controller runs on each control machine; it contains the coordinator, which moves a
// rollout from one canary gateway to the canary's zone and then to all gateways. Agent runs in each gateway.
//
// All three are reducers: they take events and return effects, and use neither a clock nor I/O. The running gateway
// does not use them yet. docs/design/configuration.md gives the reasons for the design.
package configdist
