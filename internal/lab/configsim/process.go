package configsim

import (
	"errors"
	"time"

	"thymebend/internal/configdist/codec"
)

// Clock is what a cluster lives by. timeline.Timeline is one.
type Clock interface {
	Now() time.Duration
	At(at time.Duration, do func())
}

// Endpoint is a process's place: a gateway or a control machine, by its index.
type Endpoint struct {
	Control bool
	Index   int
}

// Network carries frames. It calls deliver once for each copy that arrives, at its time.
type Network interface {
	Send(from, to Endpoint, bytes int, deliver func())
}

// frameOverhead is what IP and TCP add to each frame.
const frameOverhead = 52

// process is what gateways and control machines have in common: lives, stalls, and frames.
type process struct {
	cluster     *Cluster
	endpoint    Endpoint
	incarnation int // grows with each start and end
	up          bool
	stalled     bool
	queued      []func()
	wakeDue     bool
	nextWake    time.Duration

	senders   map[Endpoint]*codec.Sender
	receivers map[Endpoint]*codec.Receiver

	// Traffic so far, in bytes, headers included.
	Sent, Received uint64
	Rejected       uint64 // frames that were not taken
	Repeated       uint64 // of those, frames that had come before
	CPUTime        time.Duration
}

func (p *process) start() {
	p.incarnation++
	p.up, p.stalled, p.queued, p.wakeDue, p.nextWake = true, false, nil, false, 0
	p.senders, p.receivers = make(map[Endpoint]*codec.Sender), make(map[Endpoint]*codec.Receiver)
}

func (p *process) end() {
	p.incarnation++
	p.up = false
}

// send words a message and sends it to another process, which takes it once.
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

// receive reads a frame, and has it heard if it is one.
func (p *process) receive(from Endpoint, frame []byte, handle func(codec.Message)) {
	r := p.receivers[from]
	if r == nil {
		r = &codec.Receiver{Cluster: codec.ClusterID(p.cluster.cfg.Name)}
		p.receivers[from] = r
	}
	m, _, err := r.Receive(frame)
	if err != nil {
		p.Rejected++
		if errors.Is(err, codec.ErrRepeated) {
			p.Repeated++
		}
		return
	}
	handle(m)
}

// maxQueued is how many frames a process that stands still finds when it goes on.
const maxQueued = 1000

// runOrQueue does something now, or when the process goes on after a stall.
func (p *process) runOrQueue(do func()) {
	switch {
	case !p.up:
	case !p.stalled:
		do()
	case len(p.queued) < maxQueued:
		p.queued = append(p.queued, do)
	}
}

// stall has the process stand still for a while, as SIGSTOP and SIGCONT do. Timers are late, then what has waited
// comes.
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

// resume ends a stall.
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

// wake has advance called at a time, in this life.
func (p *process) wake(at time.Duration, advance func()) {
	now := p.cluster.clock.Now()
	if p.nextWake > now && p.nextWake <= at {
		return // an earlier call is under way, after which this is asked for again
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

// measureCPU counts what a call takes of this machine's processor. Nothing of a run depends on it.
func (p *process) measureCPU(call func()) {
	startedAt := time.Now()
	call()
	p.CPUTime += time.Since(startedAt)
}
