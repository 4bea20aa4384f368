package membershipcheck

import (
	"slices"
	"sync"
	"time"
)

// History records the faults applied to gateways and paths, and the views that gateways had of the other gateways.
// The rules are functions over it. Its methods may be called from several goroutines.
type History struct {
	mu           sync.Mutex
	count        int
	names        []string // of the gateways, by number
	processes    []process
	paths        map[[2]int][]PathState // between two gateways, by their numbers
	observations []Observation          // in order of time
	reportsLoad  bool
}

// process is one process of a gateway.
type process struct {
	gateway   int
	pid       int
	start     time.Duration
	end       time.Duration // 0 while it runs
	duplicate bool          // runs beside another process of the same name
	upgrade   bool          // successor in a hot restart
	leaving   bool          // got the signal to end, and notifies the other members
	stops     []interval    // from SIGSTOP to SIGCONT
}

// interval is a period of time; to is 0 while it lasts.
type interval struct{ from, to time.Duration }

// overlaps reports whether the interval overlaps the one from a to b.
func (i interval) overlaps(a, b time.Duration) bool { return i.from <= b && (i.to == 0 || i.to >= a) }

func (p *process) lifetime() interval { return interval{p.start, p.end} }

// stoppedDuring reports whether the process was stopped at any moment from a to b.
func (p *process) stoppedDuring(a, b time.Duration) bool {
	return slices.ContainsFunc(p.stops, func(stop interval) bool { return stop.overlaps(a, b) })
}

// PathState is the state of a path from At until the next state.
type PathState struct {
	At   time.Duration
	Cut  bool    // also set if the path is stalled or slower than every answer timeout
	Loss float64 // share of lost datagrams
}

// NewHistory returns an empty history of gateways with the given names. All methods name a gateway by its index.
func NewHistory(names []string) *History {
	return &History{count: len(names), names: names, paths: make(map[[2]int][]PathState)}
}

// Name returns the name of a gateway.
func (h *History) Name(gateway int) string { return h.names[gateway] }

// SetReportsLoad records that gateways report their load, which increases the permitted traffic.
func (h *History) SetReportsLoad() { h.reportsLoad = true }

// RecordStart records the start of a process; pid must be unique. A duplicate runs beside another process of the same
// name without knowing it; an upgrade takes over from another process.
func (h *History) RecordStart(gateway, pid int, at time.Duration, duplicate, upgrade bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processes = append(h.processes,
		process{gateway: gateway, pid: pid, start: at, duplicate: duplicate, upgrade: upgrade})
}

// RecordEnd records that a process has ended, or got the signal to end and sends no more. Only the first call for a process
// counts.
func (h *History) RecordEnd(pid int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.processes {
		if p := &h.processes[i]; p.pid == pid && p.end == 0 {
			p.end = at
		}
	}
}

// Leaving records that the processes of a gateway got the signal to end.
func (h *History) Leaving(gateway int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.processes {
		if p := &h.processes[i]; p.gateway == gateway && p.end == 0 {
			p.end, p.leaving = at, true
		}
	}
}

// RecordStop records that a gateway's process was stopped (on) or continued. Duplicates are not affected.
func (h *History) RecordStop(gateway int, at time.Duration, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.processes {
		p := &h.processes[i]
		if p.gateway != gateway || p.end != 0 || p.duplicate {
			continue
		}
		if on {
			p.stops = append(p.stops, interval{from: at})
		} else if n := len(p.stops); n > 0 && p.stops[n-1].to == 0 {
			p.stops[n-1].to = at
		}
	}
}

// RecordPath records the state of the path between two gateways from state.At on.
func (h *History) RecordPath(from, to int, state PathState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paths[[2]int{from, to}] = append(h.paths[[2]int{from, to}], state)
}

// Observe records the view of a process. Calls must be in order of time.
func (h *History) Observe(o Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, o)
}

// Rebase moves the time origin. It shifts the start of all recorded processes and discards the observations.
func (h *History) Rebase(shift time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.processes {
		h.processes[i].start += shift
	}
	h.observations = nil
}

// Observations returns the recorded observations in order of time.
func (h *History) Observations() []Observation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.observations)
}

// Process describes a process in a report; times are in seconds.
type Process struct {
	Gateway   int          `json:"gateway"`
	PID       int          `json:"pid"`
	From      float64      `json:"from_s"`
	To        float64      `json:"to_s"` // 0: until the end of the run
	Duplicate bool         `json:"twin,omitempty"`
	Upgrade   bool         `json:"upgrade,omitempty"`
	Stopped   [][2]float64 `json:"stopped_s,omitempty"`
}

// Processes returns all recorded processes.
func (h *History) Processes() (out []Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.processes {
		shown := Process{Gateway: p.gateway, PID: p.pid, From: p.start.Seconds(), To: p.end.Seconds(),
			Duplicate: p.duplicate, Upgrade: p.upgrade}
		for _, stop := range p.stops {
			shown.Stopped = append(shown.Stopped, [2]float64{stop.from.Seconds(), stop.to.Seconds()})
		}
		out = append(out, shown)
	}
	return out
}

// Absent reports whether a gateway had no process at the given time.
func (h *History) Absent(gateway int, at time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.absent(gateway, at, at)
}

// StoppedDuring reports whether a gateway was stopped at any moment between a minus the duration while, and b.
func (h *History) StoppedDuring(gateway int, a, b, while time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.processes, func(p process) bool {
		return p.gateway == gateway && p.stoppedDuring(a-while, b)
	})
}
