// Package simulation runs the real gateway's reducer on a virtual clock: a loop that carries out every
// loop.Effect on simulated sockets, a network with faults, and peers made of the laboratory's models. A
// run is one goroutine; everything random is drawn from one seed, so the same seed is the same run to
// the letter.
package simulation

import (
	"container/heap"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/loop"
)

// Sim is virtual time and what is to happen in it.
type Sim struct {
	Rand  *rand.Rand
	now   time.Duration
	seq   uint64
	queue events
	hash  xxh3.Hasher
	trace io.Writer
	steps uint64
	ctx   context.Context // ends the run early; never nil
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}

// epoch is the virtual clock's begin, in Unix time: hosts' births are told in it.
const epoch = 1_700_000_000 * time.Second

// NewSim starts a run. trace gets a line for each thing noted; it may be nil.
func NewSim(seed uint64, trace io.Writer) *Sim {
	return &Sim{Rand: rand.New(rand.NewPCG(seed, 0x7e57)), now: epoch, trace: trace, ctx: context.Background()}
}

// Now is the virtual time.
func (s *Sim) Now() time.Duration { return s.now }

// Elapsed is the time since the run's begin.
func (s *Sim) Elapsed() time.Duration { return s.now - epoch }

// At has something done at a time; what is past is done now, after what is due already.
func (s *Sim) At(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, &event{max(at, s.now), s.seq, do})
}

// After has something done after a time.
func (s *Sim) After(d time.Duration, do func()) { s.At(s.now+d, do) }

// interruptCheckSteps is how many events pass between looks at whether the run was interrupted.
const interruptCheckSteps = 256

// Run lets time pass until nothing is left to happen before a time, or until the run is interrupted.
func (s *Sim) Run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		if s.steps%interruptCheckSteps == 0 && s.interrupted() {
			return
		}
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		s.steps++
		e.do()
	}
	s.now = max(s.now, until)
}

// interrupted reports whether the run was told to end early.
func (s *Sim) interrupted() bool { return s.ctx.Err() != nil }

// Steps is how many things have happened.
func (s *Sim) Steps() uint64 { return s.steps }

// Note enters something into the trace and its hash.
func (s *Sim) Note(format string, args ...any) {
	line := fmt.Appendf(nil, "%d ", s.Elapsed().Microseconds())
	line = fmt.Appendf(line, format, args...)
	line = append(line, '\n')
	_, _ = s.hash.Write(line) // a hash never fails
	if s.trace != nil {
		_, _ = s.trace.Write(line)
	}
}

// hashEffect enters an effect into the hash: the same events must have the same effects, in the same order.
func (s *Sim) hashEffect(f loop.Effect) {
	var b [40]byte
	b[0], b[1] = byte(f.Op), f.Timer.Kind
	binary.LittleEndian.PutUint64(b[8:], uint64(f.Conn))
	binary.LittleEndian.PutUint64(b[16:], f.Timer.ID)
	binary.LittleEndian.PutUint64(b[24:], uint64(f.At))
	binary.LittleEndian.PutUint64(b[32:], uint64(len(f.Data)))
	_, _ = s.hash.Write(b[:])
	_, _ = s.hash.Write(f.Data)
}

// Hash is that of all that was noted so far.
func (s *Sim) Hash() uint64 { return s.hash.Sum64() }

// Chance is true with a probability.
func (s *Sim) Chance(p float64) bool { return p > 0 && s.Rand.Float64() < p }

// Between draws a time.
func (s *Sim) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(s.Rand.Int64N(int64(high-low)))
}
