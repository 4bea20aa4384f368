package configsim

import (
	"errors"
	"time"

	"thymebend/internal/configdist/codec"
)

// Clock is the virtual clock of a cluster; At schedules a call. timeline.Timeline implements it.
type Clock interface {
	Now() time.Duration
	At(at time.Duration, do func())
}

// Endpoint identifies a gateway or a control machine by its index in the cluster.
type Endpoint struct {
	Control bool
	Index   int
}

// Network transmits frames between endpoints. Send calls deliver once for each copy that arrives, at the time of its
// arrival.
type Network interface {
	Send(from, to Endpoint, bytes int, deliver func())
}

// frameOverhead is the number of bytes that the IP and TCP headers add to each frame.
const frameOverhead = 52

// process is the common part of a gateway and a control machine: starts and ends, stalls, and frames.
type process struct {
	cluster     *Cluster
	endpoint    Endpoint
	incarnation int // increases with each start and end
	up          bool
	stalled     bool
	queued      []func()      // calls that wait for the end of a stall
	wakeDue     bool          // a wake-up was due during a stall
	nextWake    time.Duration // scheduled wake-up; 0 if there is none

	senders   map[Endpoint]*codec.Sender
	receivers map[Endpoint]*codec.Receiver

	// Sent and Received are bytes of traffic since the start of the run, headers included.
	Sent, Received uint64
	Rejected       uint64        // received frames that could not be used
	Repeated       uint64        // those of the rejected frames that had arrived before
	CPUTime        time.Duration // real time that its calls took
}

// start begins a new incarnation of the process, without state of the previous one.
func (p *process) start() {
	p.incarnation++
	p.up, p.stalled, p.queued, p.wakeDue, p.nextWake = true, false, nil, false, 0
	p.senders, p.receivers = make(map[Endpoint]*codec.Sender), make(map[Endpoint]*codec.Receiver)
}

// end ends the process; its queued calls and timers have no effect any more.
func (p *process) end() {
	p.incarnation++
	p.up = false
}

// send encodes a message and sends it to another process, which handles it once.
func (p *process) send(to *process, m codec.Message, handle func(codec.Message)) {
	s := p.senders[to.endpoint]
	if s == nil {
		s = &codec.Sender{Cluster: codec.ClusterID(p.cluster.cfg.Name), Incarnation: uint64(p.incarnation)}
		p.senders[to.endpoint] = s
	}
	frame := s.Append(nil, m)
	p.Sent += uint64(len(frame) + frameOverhead)
	p.cluster.net.Send(p.endpoint, to.endpoint, len(frame)+frameOverhead, func() {
		if !to.up {
			return
		}
		to.Received += uint64(len(frame) + frameOverhead)
		to.runOrQueue(func() { to.receive(p.endpoint, frame, handle) })
	})
}

// receive decodes a frame and handles its message, if the frame is valid and new.
func (p *process) receive(from Endpoint, frame []byte, handle func(codec.Message)) {
	r := p.receivers[from]
	if r == nil {
		r = &codec.Receiver{Cluster: codec.ClusterID(p.cluster.cfg.Name)}
		p.receivers[from] = r
	}
	m, _, err := r.Receive(frame)
	if err != nil {
		p.Rejected++
		if errors.Is(err, codec.ErrDuplicate) {
			p.Repeated++
		}
		return
	}
	handle(m)
}

// maxQueued is the maximum number of calls, mostly of received frames, that wait for the end of a stall.
const maxQueued = 1000

// runOrQueue calls do now, or after the current stall. It drops the call if the process is down or the queue is full.
func (p *process) runOrQueue(do func()) {
	switch {
	case !p.up:
	case !p.stalled:
		do()
	case len(p.queued) < maxQueued:
		p.queued = append(p.queued, do)
	}
}

// stall stalls the process for a time, as SIGSTOP and SIGCONT do. Afterwards a timer that was due runs first, then
// the queued calls.
func (p *process) stall(length time.Duration, advance func()) {
	if !p.up || p.stalled {
		return
	}
	p.stalled = true
	incarnation := p.incarnation
	p.cluster.clock.At(p.cluster.clock.Now()+length, func() {
		if p.incarnation == incarnation {
			p.resume(advance)
		}
	})
}

// resume ends a stall and makes the calls that it delayed.
func (p *process) resume(advance func()) {
	if !p.stalled {
		return
	}
	p.stalled = false
	queued := p.queued
	p.queued = nil
	if p.wakeDue {
		p.wakeDue = false
		advance()
	}
	for _, do := range queued {
		p.runOrQueue(do)
	}
}

// wake schedules a call of advance at the given time. The call is dropped if the process ends before that time.
func (p *process) wake(at time.Duration, advance func()) {
	now := p.cluster.clock.Now()
	if p.nextWake > now && p.nextWake <= at {
		return // an earlier call is scheduled, after which wake is called again
	}
	at = max(at, now+100*time.Microsecond)
	p.nextWake = at
	incarnation := p.incarnation
	p.cluster.clock.At(at, func() {
		if p.incarnation != incarnation || p.nextWake != at {
			return
		}
		p.nextWake = 0
		if p.stalled {
			p.wakeDue = true
			return
		}
		advance()
	})
}

// measureCPU adds the real time that a call takes on this machine to CPUTime. The run does not depend on it.
func (p *process) measureCPU(call func()) {
	startedAt := time.Now()
	call()
	p.CPUTime += time.Since(startedAt)
}
