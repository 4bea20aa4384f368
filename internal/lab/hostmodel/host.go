// Package hostmodel is a pure model of one host: cores, slots and a bounded waiting room, work drawn by
// class, and what troubles hosts in service. It does no I/O and has no clock: time is passed in,
// counted from the run's start, and never runs backward. The same seed and the same calls give the same
// replies. The stand-in hosts run it on sockets; simulations run it on a virtual clock.
package hostmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/lab/requestrecord"
)

// The kinds of replies.
const (
	Served     Kind = iota // it ran
	Errored                // it ran and failed
	TurnedAway             // it never ran
	Lost                   // the host fell over with it
)

// String is for reports.
func (k Kind) String() string { return [...]string{"served", "errored", "turned away", "lost"}[k] }

type execution struct {
	Request
	token uint64
	left  float64 // seconds of work on a core of speed 1
}

type sent struct {
	at   time.Duration
	work float64
}

type heavy struct {
	class         string
	share, factor float64
	until         time.Duration
}

type shown struct {
	at   time.Duration
	load Load
}

// Host is a running host.
type Host struct {
	spec    Spec
	rand    *rand.Rand
	ledger  *requestrecord.EndpointRecord
	at      time.Duration // the model stands at this time
	born    time.Duration
	cold    bool // born cold
	down    bool
	drain   bool
	running []*execution
	waiting []*execution
	replies []Reply
	tokens  uint64
	done    float64 // work done since birth
	warm    float64 // share of the capacity reached, as of the last step of warming
	conns   int

	pauseAt, pauseEnd  time.Duration
	held               bool // stopped until told otherwise
	neighbour          float64
	flipAt             time.Duration
	neighbourOn        bool
	nextReport, warmAt time.Duration
	reports            []shown // the first is the one that shows
	errors             []time.Duration
	window             []sent
	windowWork         float64
	heavy              []heavy
	peak               float64 // largest share of the cold budget used
}

// warmStep is how finely the warming of a host is followed.
const warmStep = 50 * time.Millisecond

const never = time.Duration(math.MaxInt64)

// New starts a host. A cold one begins at its cold share, others are warm. What it is sent and makes
// goes into the record.
func New(spec Spec, seed uint64, born time.Duration, cold bool, into *requestrecord.EndpointRecord) (*Host, error) {
	switch {
	case spec.Cores < 1 || spec.Slots < 1 || spec.Queue < 0:
		return nil, fmt.Errorf("host %s: cores and slots must be at least 1, queue at least 0", spec.Name)
	case !(spec.Speed > 0):
		return nil, fmt.Errorf("host %s: speed must be positive", spec.Name)
	}
	for class, w := range spec.Work {
		if err := w.Check(); err != nil {
			return nil, fmt.Errorf("host %s: work of %s: %w", spec.Name, class, err)
		}
	}
	h := &Host{spec: spec, ledger: into, at: born, born: born,
		rand: rand.New(rand.NewPCG(seed, xxh3.HashString(spec.Name)))}
	h.cold = cold && spec.Cold.From > 0 && spec.Cold.From < 1 && spec.Cold.For > 0
	h.pauseAt, h.flipAt, h.nextReport, h.warmAt = never, never, never, never
	if spec.Pause.Every > 0 && spec.Pause.For > 0 {
		h.pauseAt = born + h.exp(spec.Pause.Every)
	}
	if n := spec.Neighbour; n.Share > 0 {
		h.SetNeighbour(born, n)
	}
	if spec.Report.Most > 0 {
		h.nextReport = born
	}
	if h.warm = h.warmth(); h.cold {
		h.warmAt = born + warmStep
	}
	return h, nil
}

func (h *Host) exp(mean time.Duration) time.Duration {
	return max(time.Millisecond, time.Duration(h.rand.ExpFloat64()*float64(mean)))
}

// Arrive takes a whole request. Its end comes from Advance, under the token; a host that is full,
// drains or is down turns it away at once.
func (h *Host) Arrive(now time.Duration, r Request) (token uint64) {
	h.run(now)
	h.tokens++
	token = h.tokens
	e := h.ledger.Of(r.ID)
	e.Arrivals++
	work := 0.0
	w, known := h.spec.Work[r.Class]
	if known {
		work = w.Draw(h.rand) * h.heaviness(r.Class)
	}
	h.budget(w.Mean.Seconds())
	if h.down {
		h.end(&execution{Request: r, token: token}, Lost)
		return token
	}
	if h.drain || !known || len(h.running) >= h.spec.Slots && len(h.waiting) >= h.spec.Queue {
		h.end(&execution{Request: r, token: token}, TurnedAway)
		return token
	}
	h.waiting = append(h.waiting, &execution{Request: r, token: token, left: work})
	h.fill()
	return token
}

// fill begins what waits, as far as slots are free.
func (h *Host) fill() {
	for len(h.running) < h.spec.Slots && len(h.waiting) > 0 {
		x := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.running = append(h.running, x)
		h.ledger.Of(x.ID).Begun++
	}
}

// end replies to an arrival.
func (h *Host) end(x *execution, k Kind) {
	r := Reply{Token: x.token, ID: x.ID, Kind: k}
	e := h.ledger.Of(x.ID)
	switch k {
	case TurnedAway:
		e.TurnedAway++
	case Served:
		e.Ended++
		r.Body = Body(x.ID, h.spec.Name, x.token, h.spec.Body)
		e.Returned = append(e.Returned, requestrecord.Hash(r.Body))
	case Errored:
		e.Ended++
		h.errors = append(h.errors, h.at)
	}
	h.replies = append(h.replies, r)
}

// Body is what a host answers: who served whom, padded to a size.
func Body(id, host string, token uint64, size int) []byte {
	b := fmt.Appendf(nil, "id=%s host=%s execution=%d\n", id, host, token)
	for len(b) < size {
		b = append(b, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.\n"[:min(64, size-len(b))]...)
	}
	return b
}

// Advance runs the host up to now and returns the replies since the last call.
func (h *Host) Advance(now time.Duration) []Reply {
	h.run(now)
	out := h.replies
	h.replies = nil
	return out
}

// Next is when Advance is due at the latest; ok is false while nothing will happen by itself.
func (h *Host) Next() (at time.Duration, ok bool) {
	if len(h.replies) > 0 {
		return h.at, true
	}
	at = never
	if x, _ := h.soonest(); x < at {
		at = x
	}
	if len(h.running) > 0 { // the rate may change before that
		at = min(at, h.change())
	}
	return at, at != never
}

// change is the time of the next change that comes by itself.
func (h *Host) change() time.Duration {
	if h.down {
		return never
	}
	at := min(h.pauseAt, h.flipAt, h.nextReport, h.warmAt)
	if h.pauseEnd > h.at {
		at = min(at, h.pauseEnd)
	}
	return at
}

// soonest is when the next execution ends if nothing changes, at which rate.
func (h *Host) soonest() (time.Duration, float64) {
	rate := h.rate()
	if rate <= 0 {
		return never, 0
	}
	least := math.Inf(1)
	for _, x := range h.running {
		least = min(least, x.left)
	}
	// Rounded up, so that the execution is over at that time and the loop in run makes progress.
	return h.at + time.Duration(math.Ceil(max(0, least)/rate*1e9)), rate
}

// run carries the model to now, one change of rate after another.
func (h *Host) run(now time.Duration) {
	for h.at < now {
		ends, rate := h.soonest()
		step := min(now, ends, h.change())
		step = max(step, h.at)
		did := rate * (step - h.at).Seconds()
		for _, x := range h.running {
			x.left -= did
		}
		h.done += did * float64(len(h.running))
		h.at = step
		h.finish()
		h.changes()
	}
}

// finish ends the attempts whose work is done.
func (h *Host) finish() {
	kept := h.running[:0]
	var over []*execution
	for _, x := range h.running {
		if x.left <= 1e-10 {
			over = append(over, x)
		} else {
			kept = append(kept, x)
		}
	}
	h.running = kept
	for _, x := range over {
		k := Served
		if h.rand.Float64() < h.spec.ErrorRate {
			k = Errored
		}
		h.end(x, k)
	}
	if len(over) > 0 {
		h.fill()
	}
}

// changes carries out what is due by itself.
func (h *Host) changes() {
	if h.at >= h.pauseAt {
		p := h.spec.Pause
		length := h.exp(p.For).Seconds() * (1 + p.Grow*h.perCore())
		h.pauseEnd = h.at + time.Duration(length*1e9)
		h.pauseAt = h.pauseEnd + h.exp(p.Every)
	}
	if h.at >= h.flipAt {
		h.neighbourOn = !h.neighbourOn
		n := h.spec.Neighbour
		mean := n.Off
		if h.neighbour = 0; h.neighbourOn {
			h.neighbour, mean = n.Share, n.On
		}
		if h.flipAt = never; n.On > 0 && n.Off > 0 {
			h.flipAt = h.at + h.exp(mean)
		}
	}
	if h.at >= h.warmAt {
		h.warm = h.warmth()
		if h.warmAt = h.at + warmStep; h.warm >= 1 {
			h.warmAt = never
		}
	}
	if h.at >= h.nextReport {
		r := h.spec.Report
		wait := r.Least + time.Duration(h.rand.Float64()*float64(max(0, r.Most-r.Least)))
		h.nextReport = h.at + max(time.Millisecond, wait)
		for len(h.errors) > 0 && h.errors[0] < h.at-time.Second {
			h.errors = h.errors[1:]
		}
		h.reports = append(h.reports, shown{h.at + r.Delay, Load{InFlight: h.noisy(h.InFlight()),
			Queue: h.noisy(len(h.waiting)), Errors: float64(len(h.errors))}})
		h.shift(h.at)
	}
}

// shift drops the reports that newer ones have replaced.
func (h *Host) shift(now time.Duration) {
	for len(h.reports) > 1 && h.reports[1].at <= now {
		h.reports = h.reports[1:]
	}
}

func (h *Host) noisy(n int) float64 {
	return max(0, float64(n)*(1+h.spec.Report.Noise*h.rand.NormFloat64()))
}

// Connected counts a new connection, whose work slows the host; ok is false when the table is full.
func (h *Host) Connected(now time.Duration) (ok bool) {
	h.run(now)
	if h.down || h.spec.Conns > 0 && h.conns >= h.spec.Conns {
		return false
	}
	h.conns++
	for _, x := range h.running {
		x.left += h.spec.HandshakeWork.Seconds() / float64(len(h.running))
	}
	return true
}

// Disconnected counts the end of a connection.
func (h *Host) Disconnected(now time.Duration) { h.run(now); h.conns-- }

// Report returns the load report that shows now, if there is one.
func (h *Host) Report(now time.Duration) (Load, bool) {
	h.run(now)
	h.shift(now)
	if len(h.reports) == 0 || h.reports[0].at > now {
		return Load{}, false
	}
	return h.reports[0].load, true
}

// InFlight is the number of requests held; Waiting is how many of them wait.
func (h *Host) InFlight() int { return len(h.running) + len(h.waiting) }

// Waiting is the number of requests that wait for a slot.
func (h *Host) Waiting() int { return len(h.waiting) }

// Down reports whether the host has fallen over.
func (h *Host) Down() bool { return h.down }

// ColdPeak is the largest share of its cold budget that the host was sent; over 1 it has fallen over.
func (h *Host) ColdPeak() float64 { return h.peak }

// Spec is how the host was built.
func (h *Host) Spec() Spec { return h.spec }
