// Package hostmodel is a pure model of one host: its cores, execution slots and bounded queue, the work of
// requests drawn at random by class, and faults of hosts in service such as pauses, overload and slow start. It
// does no I/O and has no clock: the caller passes in the time since the start of the run, which must not
// decrease. The same seed and the same calls give the same replies. Emulated hosts run the model on sockets;
// simulations run it on a virtual clock.
package hostmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/zeebo/xxh3"

	"thymebend/internal/lab/requestrecord"
)

// The kinds of replies, by what happened to the request.
const (
	Served   Kind = iota // the host executed it
	Errored              // the host executed it and it failed
	Rejected             // the host rejected it and never executed it
	Lost                 // the host was down, or crashed while it held the request
)

// String returns the name that reports use.
func (k Kind) String() string { return [...]string{"served", "errored", "turned away", "lost"}[k] }

// execution is a request that waits or runs.
type execution struct {
	Request
	token         uint64
	remainingWork float64 // seconds of work on a core of speed 1
}

// sentWork is the mean work of a request that was sent during slow start.
type sentWork struct {
	at   time.Duration
	work float64
}

// workFactor multiplies the work of a share of a class's requests until a time.
type workFactor struct {
	class         string
	share, factor float64
	until         time.Duration
}

// delayedReport is a load report that replaces the previous one at visibleAt.
type delayedReport struct {
	visibleAt time.Duration
	load      Load
}

// Host is the model of a running host. Its methods must be called by one goroutine at a time.
type Host struct {
	spec        Spec
	rand        *rand.Rand
	record      *requestrecord.EndpointRecord
	now         time.Duration // the time up to which the model has run
	down        bool
	draining    bool
	running     []*execution
	waiting     []*execution
	replies     []Reply
	lastToken   uint64
	conns       int
	workFactors []workFactor

	slowStartState
	pauseState
	neighbourState
	reportState
}

// slowStartState is the progress of a host's slow start, and the work that was sent to the host during it.
type slowStartState struct {
	startedAt       time.Duration
	inSlowStart     bool    // the host started with reduced capacity
	workDone        float64 // work done since the start, in seconds on a core of speed 1
	capacityShare   float64 // share of the full capacity, as of the last slow-start step
	nextWarmStep    time.Duration
	sentWindow      []sentWork // work sent within the last SlowStart.CrashWindow
	sentWindowWork  float64    // sum of the work in sentWindow, in seconds
	peakBudgetShare float64    // see PeakBudgetShare
}

// pauseState describes when a host executes nothing.
type pauseState struct {
	nextPause, pauseEnd time.Duration
	suspended           bool // executes nothing until it is resumed
}

// neighbourState is the share of the machine that another program now uses.
type neighbourState struct {
	neighbourShare    float64
	neighbourToggleAt time.Duration
	neighbourOn       bool
}

// reportState has a host's load reports.
type reportState struct {
	nextReport time.Duration
	reports    []delayedReport // the first is visible to senders once its visibleAt has passed
	errors     []time.Duration // times of Errored replies, for the error rate in the next report
}

// slowStartStep is the interval at which a host's capacity is recomputed during slow start.
const slowStartStep = 50 * time.Millisecond

// never is the time of a change that is not scheduled.
const never = time.Duration(math.MaxInt64)

// New starts a host at the time startedAt, in slow start if slowStart is set and the Spec has one, otherwise with
// its full capacity. The host writes its requests and responses into record. New returns an error if the Spec is
// invalid.
func New(spec Spec, seed uint64, startedAt time.Duration, slowStart bool,
	record *requestrecord.EndpointRecord) (*Host, error) {
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
	h := &Host{spec: spec, record: record, now: startedAt,
		rand: rand.New(rand.NewPCG(seed, xxh3.HashString(spec.Name)))}
	h.startedAt = startedAt
	h.inSlowStart = slowStart && spec.SlowStart.InitialShare > 0 && spec.SlowStart.InitialShare < 1 && spec.SlowStart.Duration > 0
	h.nextPause, h.neighbourToggleAt, h.nextReport, h.nextWarmStep = never, never, never, never
	if spec.Pause.MeanInterval > 0 && spec.Pause.MeanDuration > 0 {
		h.nextPause = startedAt + h.exp(spec.Pause.MeanInterval)
	}
	if n := spec.Neighbour; n.Share > 0 {
		h.SetNeighbour(startedAt, n)
	}
	if spec.Report.MaxInterval > 0 {
		h.nextReport = startedAt
	}
	if h.capacityShare = h.slowStartShare(); h.inSlowStart {
		h.nextWarmStep = startedAt + slowStartStep
	}
	return h, nil
}

// exp draws an exponentially distributed duration, at least 1 ms.
func (h *Host) exp(mean time.Duration) time.Duration {
	return max(time.Millisecond, time.Duration(h.rand.ExpFloat64()*float64(mean)))
}

// Arrive passes a complete request to the host and returns a token; Advance returns the reply with the same token.
// A host that is full, is draining or has no Work for the class rejects the request at once; on a host that is down
// the request is Lost.
func (h *Host) Arrive(now time.Duration, r Request) (token uint64) {
	h.advanceTo(now)
	h.lastToken++
	token = h.lastToken
	e := h.record.EntryOf(r.ID)
	e.Arrivals++
	work := 0.0
	w, known := h.spec.Work[r.Class]
	if known {
		work = w.Draw(h.rand) * h.drawWorkFactor(r.Class)
	}
	h.chargeSlowStartBudget(w.Mean.Seconds())
	if h.down {
		h.addReply(&execution{Request: r, token: token}, Lost)
		return token
	}
	if h.draining || !known || len(h.running) >= h.spec.Slots && len(h.waiting) >= h.spec.Queue {
		h.addReply(&execution{Request: r, token: token}, Rejected)
		return token
	}
	h.waiting = append(h.waiting, &execution{Request: r, token: token, remainingWork: work})
	h.startWaiting()
	return token
}

// startWaiting starts waiting requests while slots are free.
func (h *Host) startWaiting() {
	for len(h.running) < h.spec.Slots && len(h.waiting) > 0 {
		x := h.waiting[0]
		h.waiting = h.waiting[1:]
		h.running = append(h.running, x)
		h.record.EntryOf(x.ID).Started++
	}
}

// addReply adds the reply to a request that arrived, for Advance to return, and updates the record.
func (h *Host) addReply(x *execution, k Kind) {
	r := Reply{Token: x.token, ID: x.ID, Kind: k}
	e := h.record.EntryOf(x.ID)
	switch k {
	case Rejected:
		e.Rejected++
	case Served:
		e.Ended++
		r.Body = Body(x.ID, h.spec.Name, x.token, h.spec.Body)
		e.Returned = append(e.Returned, requestrecord.Hash(r.Body))
	case Errored:
		e.Ended++
		h.errors = append(h.errors, h.now)
	}
	h.replies = append(h.replies, r)
}

// Body returns the body of a host's response: the request's id, the host and the execution's token, padded to
// size.
func Body(id, host string, token uint64, size int) []byte {
	b := fmt.Appendf(nil, "id=%s host=%s execution=%d\n", id, host, token)
	for len(b) < size {
		b = append(b, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ.\n"[:min(64, size-len(b))]...)
	}
	return b
}

// Advance runs the host up to now and returns the replies since the last call.
func (h *Host) Advance(now time.Duration) []Reply {
	h.advanceTo(now)
	out := h.replies
	h.replies = nil
	return out
}

// Next returns the latest time at which Advance must be called; ok is false if nothing changes without a call.
func (h *Host) Next() (at time.Duration, ok bool) {
	if len(h.replies) > 0 {
		return h.now, true
	}
	at = never
	if x, _ := h.nextCompletion(); x < at {
		at = x
	}
	if len(h.running) > 0 { // the rate of execution may change before the next completion
		at = min(at, h.nextChange())
	}
	return at, at != never
}

// nextChange returns the time of the next scheduled change: of a pause, the neighbour, a load report or the
// capacity.
func (h *Host) nextChange() time.Duration {
	if h.down {
		return never
	}
	at := min(h.nextPause, h.neighbourToggleAt, h.nextReport, h.nextWarmStep)
	if h.pauseEnd > h.now {
		at = min(at, h.pauseEnd)
	}
	return at
}

// nextCompletion returns when the next execution ends if nothing changes, and the present rate of each execution in
// seconds of work per second.
func (h *Host) nextCompletion() (time.Duration, float64) {
	rate := h.rate()
	if rate <= 0 {
		return never, 0
	}
	shortest := math.Inf(1)
	for _, x := range h.running {
		shortest = min(shortest, x.remainingWork)
	}
	// Rounded up, so that the execution is complete at that time and the loop in advanceTo makes progress.
	return h.now + time.Duration(math.Ceil(max(0, shortest)/rate*1e9)), rate
}

// advanceTo runs the model up to now, from one change of rate to the next.
func (h *Host) advanceTo(now time.Duration) {
	for h.now < now {
		ends, rate := h.nextCompletion()
		step := min(now, ends, h.nextChange())
		step = max(step, h.now)
		done := rate * (step - h.now).Seconds()
		for _, x := range h.running {
			x.remainingWork -= done
		}
		h.workDone += done * float64(len(h.running))
		h.now = step
		h.finishCompleted()
		h.applyChanges()
	}
}

// finishCompleted ends the executions whose work is done, and starts waiting requests in their place.
func (h *Host) finishCompleted() {
	unfinished := h.running[:0]
	var completed []*execution
	for _, x := range h.running {
		if x.remainingWork <= 1e-10 {
			completed = append(completed, x)
		} else {
			unfinished = append(unfinished, x)
		}
	}
	h.running = unfinished
	for _, x := range completed {
		k := Served
		if h.rand.Float64() < h.spec.ErrorRate {
			k = Errored
		}
		h.addReply(x, k)
	}
	if len(completed) > 0 {
		h.startWaiting()
	}
}

// applyChanges applies the scheduled changes that are due.
func (h *Host) applyChanges() {
	if h.now >= h.nextPause {
		p := h.spec.Pause
		length := h.exp(p.MeanDuration).Seconds() * (1 + p.GrowthPerRequest*h.requestsPerCore())
		h.pauseEnd = h.now + time.Duration(length*1e9)
		h.nextPause = h.pauseEnd + h.exp(p.MeanInterval)
	}
	if h.now >= h.neighbourToggleAt {
		h.neighbourOn = !h.neighbourOn
		n := h.spec.Neighbour
		mean := n.MeanIdle
		if h.neighbourShare = 0; h.neighbourOn {
			h.neighbourShare, mean = n.Share, n.MeanActive
		}
		if h.neighbourToggleAt = never; n.MeanActive > 0 && n.MeanIdle > 0 {
			h.neighbourToggleAt = h.now + h.exp(mean)
		}
	}
	if h.now >= h.nextWarmStep {
		h.capacityShare = h.slowStartShare()
		if h.nextWarmStep = h.now + slowStartStep; h.capacityShare >= 1 {
			h.nextWarmStep = never
		}
	}
	if h.now >= h.nextReport {
		r := h.spec.Report
		wait := r.MinInterval + time.Duration(h.rand.Float64()*float64(max(0, r.MaxInterval-r.MinInterval)))
		h.nextReport = h.now + max(time.Millisecond, wait)
		for len(h.errors) > 0 && h.errors[0] < h.now-time.Second {
			h.errors = h.errors[1:]
		}
		h.reports = append(h.reports, delayedReport{h.now + r.Delay, Load{InFlight: h.addNoise(h.InFlight()),
			Queue: h.addNoise(len(h.waiting)), Errors: float64(len(h.errors))}})
		h.dropReplacedReports(h.now)
	}
}

// dropReplacedReports drops the reports that a newer visible report has replaced by the time now.
func (h *Host) dropReplacedReports(now time.Duration) {
	for len(h.reports) > 1 && h.reports[1].visibleAt <= now {
		h.reports = h.reports[1:]
	}
}

// addNoise returns n with the relative noise of load reports, at least 0.
func (h *Host) addNoise(n int) float64 {
	return max(0, float64(n)*(1+h.spec.Report.Noise*h.rand.NormFloat64()))
}

// Connected counts a new connection and distributes the work of its handshake equally over the running requests. ok
// is false if the table of connections is full or the host is down.
func (h *Host) Connected(now time.Duration) (ok bool) {
	h.advanceTo(now)
	if h.down || h.spec.MaxConns > 0 && h.conns >= h.spec.MaxConns {
		return false
	}
	h.conns++
	for _, x := range h.running {
		x.remainingWork += h.spec.HandshakeWork.Seconds() / float64(len(h.running))
	}
	return true
}

// Disconnected counts the end of a connection.
func (h *Host) Disconnected(now time.Duration) { h.advanceTo(now); h.conns-- }

// Report returns the load report that is visible at now, if there is one.
func (h *Host) Report(now time.Duration) (Load, bool) {
	h.advanceTo(now)
	h.dropReplacedReports(now)
	if len(h.reports) == 0 || h.reports[0].visibleAt > now {
		return Load{}, false
	}
	return h.reports[0].load, true
}

// InFlight returns the number of requests held, running and waiting.
func (h *Host) InFlight() int { return len(h.running) + len(h.waiting) }

// Waiting returns the number of requests that wait for a slot.
func (h *Host) Waiting() int { return len(h.waiting) }

// Down reports whether the host has crashed.
func (h *Host) Down() bool { return h.down }

// PeakBudgetShare returns the largest amount of work that was sent to the host within the crash window during slow
// start, as a share of the budget at that time. At more than 1 the host has crashed.
func (h *Host) PeakBudgetShare() float64 { return h.peakBudgetShare }

// Spec returns the host's description, with the changes made to it since the start.
func (h *Host) Spec() Spec { return h.spec }
