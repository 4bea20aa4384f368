// Package membership maintains one gateway's view of its cluster: which other gateways are alive, and how reliable
// that view is. It implements SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips,
// Currey 2017) and an anti-entropy exchange, as a reducer: its inputs are times and received datagrams, its outputs
// are datagrams to send and the time of the next wake-up. It does no I/O, reads no clock and has no state outside a
// [Membership].
//
// # Use
//
// The owner of the socket calls [Membership.Receive] with each datagram and [Membership.Advance] at the time that
// [Membership.NextWake] returns. After either call it sends the datagrams that [Membership.Take] returns. All times
// are Unix time on one clock that never goes back. [Membership.Members] and [Membership.Status] return the view. Only
// one goroutine may use a Membership.
//
// # Parts
//
//   - claims.go: claims, each of which states what a gateway assumes about one process of one member; which claim
//     supersedes which, and how a gateway refutes claims about itself.
//   - table.go: the known members, sorted by name, and the digest over them.
//   - probe.go, probe_schedule.go: SWIM's failure detector with direct and indirect pings, and the choice of the
//     member to probe next.
//   - suspicion.go: Lifeguard's suspicion, which independent confirmations shorten, and the last probe before a
//     removal.
//   - awareness.go: Lifeguard's local health awareness, which stretches this gateway's timeouts.
//   - dissemination.go, broadcast_queue.go: claims piggybacked on datagrams, each a bounded number of times.
//   - antientropy.go: digests in each datagram, and the repair of memberships that differ.
//   - seeds.go: seed peers, joining, and reconnecting to members that are considered gone.
//   - receive.go, send.go: received and sent datagrams, and the rate limit on sending.
//   - ablation.go: disables a refinement for experiments in the laboratory (internal/lab).
//
// docs/design/membership.md gives the reasons for the design.
package membership
