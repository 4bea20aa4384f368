// Package membership tells one gateway which other gateways of its cluster are alive, and how far that knowledge may
// be trusted. It is SWIM (Das, Gupta, Motivala 2002) with the refinements of Lifeguard (Dadgar, Phillips, Currey 2017)
// and an anti-entropy exchange, written as a reducer: times and datagrams go in, datagrams and the time of the next
// wake-up come out. It does no I/O, reads no clock and has no state outside a [Membership].
//
// # Use
//
// The owner of the socket calls [Membership.Receive] with each datagram and [Membership.Advance] at the time that
// [Membership.NextWake] gives, and after either sends what [Membership.Take] returns. All times are Unix time on one
// clock that never goes back. [Membership.Members] and [Membership.Status] read the result. A Membership is used by
// one goroutine.
//
// # Parts
//
//   - claims.go: a claim is what is said of one process of one member; which claim supersedes which, and refutation.
//   - table.go: the members known, in the order of their names, and the digest over them.
//   - probe.go, probe_schedule.go: SWIM's failure detector, with direct and indirect pings, and whom it asks next.
//   - suspicion.go: Lifeguard's suspicion, shortened by independent confirmations, and the last probe before removal.
//   - awareness.go: Lifeguard's local health awareness, which stretches the gateway's own times.
//   - dissemination.go, broadcast_queue.go: claims piggybacked on every datagram, each a bounded number of times.
//   - antientropy.go: digests in each datagram, and the repair of memberships that differ.
//   - seeds.go: seed peers, joining, and reconnecting to members believed gone.
//   - receive.go, send.go: datagrams in and out, and the limit on what is sent.
//   - ablation.go: leaves a refinement out, for the laboratory.
//
// docs/design/membership.md gives the reasons.
package membership
