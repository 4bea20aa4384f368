package simulation

import (
	"time"

	"thymebend/internal/gateway"
	"thymebend/internal/loop"
)

// hoardersProfile plays clients for which a gateway must keep much, at the least memory, and clients that leave and come
// again with the same id, also during upgrades. No seed selects it by default, so that each seed keeps its plan.
const hoardersProfile = "hoarders"

// The behaviours of clients that only this profile draws.
const (
	hoard = "hoard" // sends all of a request but its last byte, and stays
	again = "again" // leaves while its request is under way, and sends the request once more with the same id
)

// hoardersMemoryMB is the memory limit of the gateways of this profile, the least that a configuration may have.
const hoardersMemoryMB = 16

// hoardOneIn is the inverse of the share of bids whose clients hoard.
const hoardOneIn = 2

// drawHoarder makes some requests those of clients that hoard or come again.
func (d *planDrawer) drawHoarder(r *Request) {
	switch {
	case r.Behaviour == hoard, r.Behaviour == "" && d.enabled["rude-hoard"] && d.rng.IntN(hoardOneIn) == 0:
		*r = Request{AtMS: r.AtMS, Unsafe: true, TimeoutMS: r.TimeoutMS, Behaviour: hoard, Body: d.between(40_000, 120_000),
			NewConnection: true}
	case r.Behaviour == again:
		r.Unsafe, r.Pad, r.Retries, r.Body = true, 0, 0, 0
	}
}

// limitMemory returns the memory limit of a gateway in MB.
func (p Plan) limitMemory() int {
	if p.Profile == hoardersProfile {
		return hoardersMemoryMB
	}
	return 64
}

// leaveAndComeAgain closes the connection of a client whose request is under way, and sends the request with the same id
// on a new connection to the same gateway.
func (c *client) leaveAndComeAgain() {
	if c.ended {
		return
	}
	c.finish("left")
	s := c.run
	s.sim.After(s.sim.Between(20*time.Millisecond, 400*time.Millisecond), func() {
		if !c.gateway.up {
			return
		}
		delete(s.leftAt, c.id)
		second := &client{run: s, req: c.req, requestIndex: c.requestIndex, attempt: c.attempt, id: c.id, gateway: c.gateway,
			unsafeViews: c.unsafeViews, repeated: true}
		second.dial()
	})
}

// memoryCheckInterval is the time between two checks of the memory for buffers.
const memoryCheckInterval = 20 * time.Millisecond

// memoryTolerance is by how many bytes the last read before the budget is used up may exceed it: the read's bytes, in a
// buffer that has grown for them.
const memoryTolerance = 2 * loop.ReadSize

// watchMemory verifies regularly that the gateways keep to their budget.
func (s *simulator) watchMemory() {
	if s.plan.Profile != hoardersProfile {
		return
	}
	for _, process := range s.checkers {
		s.checkMemory(process.name, process.gateway.BufferMemory())
	}
	s.sim.After(memoryCheckInterval, s.watchMemory)
}

// checkMemory records a finding if a gateway's connections use more than the budget and their own parts, or if memory is
// charged that no connection or request has.
func (s *simulator) checkMemory(name string, m gateway.BufferMemory) {
	switch {
	case m.UsedBytes-m.OwnBytes > m.LimitBytes+memoryTolerance:
		s.addFinding(MemoryOverBudget, name, "%d bytes are used, %d of them by right, of a limit of %d, by %d connections",
			m.UsedBytes, m.OwnBytes, m.LimitBytes, m.Conns)
	case m.Conns+m.Requests == 0 && m.UsedBytes != 0:
		s.addFinding(MemoryOverBudget, name, "%d bytes are charged without a connection or a request", m.UsedBytes)
	}
}
