// Package simulation runs the real gateway's reducer on a virtual clock: a loop that carries out every loop.Effect
// on simulated sockets, a network with faults, and simulated clients, hosts and discovery. A run is one goroutine
// and draws all random numbers from one seed, so the same seed gives exactly the same run.
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

// Sim is a virtual clock with a queue of functions to call at given times.
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

// epoch is the start of the virtual clock, in Unix time; start times of hosts are given in Unix time.
const epoch = 1_700_000_000 * time.Second

// NewSim returns a clock at epoch. trace receives a line for each note; it may be nil.
func NewSim(seed uint64, trace io.Writer) *Sim {
	return &Sim{Rand: rand.New(rand.NewPCG(seed, 0x7e57)), now: epoch, trace: trace, ctx: context.Background()}
}

// Now returns the virtual time.
func (s *Sim) Now() time.Duration { return s.now }

// Elapsed returns the time since the start of the run.
func (s *Sim) Elapsed() time.Duration { return s.now - epoch }

// At schedules a call of do. If the time is past, do is called now, after everything that is due already.
func (s *Sim) At(at time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, &event{max(at, s.now), s.seq, do})
}

// After schedules a call of do after a delay.
func (s *Sim) After(d time.Duration, do func()) { s.At(s.now+d, do) }

// interruptCheckSteps is the number of events between two checks for an interruption of the run.
const interruptCheckSteps = 256

// Run calls everything scheduled up to a time and sets the clock to that time, unless the run is interrupted.
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

// interrupted reports whether the run has been interrupted.
func (s *Sim) interrupted() bool { return s.ctx.Err() != nil }

// Steps returns the number of scheduled functions called so far.
func (s *Sim) Steps() uint64 { return s.steps }

// Note writes a line to the trace and adds it to the hash.
func (s *Sim) Note(format string, args ...any) {
	line := fmt.Appendf(nil, "%d ", s.Elapsed().Microseconds())
	line = fmt.Appendf(line, format, args...)
	line = append(line, '\n')
	_, _ = s.hash.Write(line) // writing to a hash never fails
	if s.trace != nil {
		_, _ = s.trace.Write(line)
	}
}

// hashEffect adds an effect to the hash: the same events must have the same effects, in the same order.
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

// Hash returns the hash of all notes and effects so far.
func (s *Sim) Hash() uint64 { return s.hash.Sum64() }

// Chance returns true with probability p.
func (s *Sim) Chance(p float64) bool { return p > 0 && s.Rand.Float64() < p }

// Between draws a duration of at least low and less than high, or returns low if high is not greater.
func (s *Sim) Between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(s.Rand.Int64N(int64(high-low)))
}
