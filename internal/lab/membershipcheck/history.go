package membershipcheck

import (
	"slices"
	"sync"
	"time"
)

// History is what was done to gateways, and what they believed. Its methods may be called from several goroutines.
// Rules are functions over it.
type History struct {
	mu           sync.Mutex
	count        int
	names        []string // of gateways
	processes    []process
	paths        map[[2]int][]PathState // between gateways, by their numbers
	observations []Observation          // in the order of time
	reportsLoad  bool
}

// process is one process of a gateway.
type process struct {
	gateway   int
	pid       int
	from      time.Duration
	to        time.Duration // 0 while it runs
	duplicate bool          // beside another one of its name
	upgrade   bool          // takes over from another
	left      bool          // told to end: it tells the others
	stops     []interval    // SIGSTOP to SIGCONT
}

// interval is a stretch of time; to is 0 while it lasts.
type interval struct{ from, to time.Duration }

// overlaps reports whether an interval overlaps one from a to b.
func (i interval) overlaps(a, b time.Duration) bool { return i.from <= b && (i.to == 0 || i.to >= a) }

func (p *process) lifetime() interval { return interval{p.from, p.to} }

// stoppedDuring reports whether the process was stopped at any moment from a to b.
func (p *process) stoppedDuring(a, b time.Duration) bool {
	return slices.ContainsFunc(p.stops, func(stop interval) bool { return stop.overlaps(a, b) })
}

// PathState is how a path has been from a moment on.
type PathState struct {
	At   time.Duration
	Cut  bool    // or stalled, or slower than any answer is waited for
	Loss float64 // share of the datagrams
}

// NewHistory begins a history of gateways by their names; everybody else names them by number.
func NewHistory(names []string) *History {
	return &History{count: len(names), names: names, paths: make(map[[2]int][]PathState)}
}

// Name is a gateway's.
func (h *History) Name(gateway int) string { return h.names[gateway] }

// ReportsLoad notes that gateways report their load, which costs more than membership alone.
func (h *History) ReportsLoad() { h.reportsLoad = true }

// Started notes a process; its pid must be its own. A duplicate runs beside another one of its name that knows nothing
// of it, an upgrade takes over from one.
func (h *History) Started(gateway, pid int, at time.Duration, duplicate, upgrade bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processes = append(h.processes,
		process{gateway: gateway, pid: pid, from: at, duplicate: duplicate, upgrade: upgrade})
}

// Ended notes a process's end, or that it was told to end and speaks no more. The first note counts.
func (h *History) Ended(pid int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.processes {
		if p := &h.processes[i]; p.pid == pid && p.to == 0 {
			p.to = at
		}
	}
}

// Leaving notes that the processes of a gateway were told to end.
func (h *History) Leaving(gateway int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.processes {
		if p := &h.processes[i]; p.gateway == gateway && p.to == 0 {
			p.to, p.left = at, true
		}
	}
}

// Stopped notes that a gateway's process is stopped (on), or let go.
func (h *History) Stopped(gateway int, at time.Duration, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.processes {
		p := &h.processes[i]
		if p.gateway != gateway || p.to != 0 || p.duplicate {
			continue
		}
		if on {
			p.stops = append(p.stops, interval{from: at})
		} else if n := len(p.stops); n > 0 && p.stops[n-1].to == 0 {
			p.stops[n-1].to = at
		}
	}
}

// Path notes how a path between two gateways is from a moment on.
func (h *History) Path(from, to int, state PathState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paths[[2]int{from, to}] = append(h.paths[[2]int{from, to}], state)
}

// Observe notes what a process believes. Observations come in the order of time.
func (h *History) Observe(o Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observations = append(h.observations, o)
}

// Rebase moves the begin of time: what was noted lies before it, and observations of that time are forgotten.
func (h *History) Rebase(shift time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.processes {
		h.processes[i].from += shift
	}
	h.observations = nil
}

// Observations are those noted, in the order of time.
func (h *History) Observations() []Observation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.observations)
}

// Process is a process as a report shows it, in seconds.
type Process struct {
	Gateway   int          `json:"gateway"`
	PID       int          `json:"pid"`
	From      float64      `json:"from_s"`
	To        float64      `json:"to_s"` // 0: to the end
	Duplicate bool         `json:"twin,omitempty"`
	Upgrade   bool         `json:"upgrade,omitempty"`
	Stopped   [][2]float64 `json:"stopped_s,omitempty"`
}

// Processes lists the processes.
func (h *History) Processes() (out []Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.processes {
		shown := Process{Gateway: p.gateway, PID: p.pid, From: p.from.Seconds(), To: p.to.Seconds(),
			Duplicate: p.duplicate, Upgrade: p.upgrade}
		for _, stop := range p.stops {
			shown.Stopped = append(shown.Stopped, [2]float64{stop.from.Seconds(), stop.to.Seconds()})
		}
		out = append(out, shown)
	}
	return out
}

// Absent reports whether a gateway had no process at a moment.
func (h *History) Absent(gateway int, at time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.absent(gateway, at, at)
}

// StoppedDuring reports whether a gateway was stopped at any moment from a to b, or until a while before.
func (h *History) StoppedDuring(gateway int, a, b, while time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.processes, func(p process) bool {
		return p.gateway == gateway && p.stoppedDuring(a-while, b)
	})
}
