// Package configdist distributes versions of a configuration from a replicated log to all gateways. The log is
// replicated among control machines, the hosts to which the gateways subscribe. Store is the state that the log
// replicates. Controller runs on each control machine. It contains the coordinator, which moves a rollout (the
// distribution of one version in stages) from one canary gateway to the canary's zone and then to all gateways.
// Agent runs in each gateway.
//
// All three are reducers: they take events and return effects, and use neither a clock nor I/O. The running gateway
// does not use them yet. docs/design/configuration.md gives the reasons for the design.
package configdist
