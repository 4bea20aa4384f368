// Package configsim simulates configuration distribution: it puts control machines and the agents of gateways on
// virtual time and a virtual network, and holds them to the invariants of a rollout. Play draws a run of some tens of
// gateways with faults by a seed; Measure plays a cluster of the whole size.
//
// A Cluster can be put on another Clock and Network: New, StartControl and StartGateway for each endpoint, Submit for
// changes, InForce for how many have a version, Config.Installed to be told of each, and Sent, Received and CPUTime
// of each endpoint for what it cost.
package configsim
