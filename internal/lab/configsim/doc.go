// Package configsim simulates configuration distribution: it runs control machines and the agents of gateways on
// virtual time and a virtual network, and checks the invariants of a rollout. Play runs some tens of gateways with
// faults that are drawn from a seed. Measure runs a cluster of full size and reports its figures.
//
// A Cluster can also run on another Clock and Network. New creates it, StartControl and StartGateway start each
// process, and Submit proposes a change. InForce counts the gateways that have a version in force, and
// Config.Installed is called for each installation. Sent, Received and CPUTime of each process give its traffic and
// processor time.
package configsim
