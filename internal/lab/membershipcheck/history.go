// Package membershipcheck judges what the gateways of a fleet believed of each other against what was done to them: a record of
// processes and paths, a record of views, and rules that are pure functions over the two. Drills of real processes and
// seeded runs share it.
package membershipcheck

import (
	"slices"
	"sync"
	"time"
)

// History is what was done and what gateways said. Its methods may be called from several goroutines.
// Rules are functions over it.
type History struct {
	mu    sync.Mutex
	count int
	names []string // of gateways
	lives []life
	paths map[[2]int][]PathAt // between gateways, by their numbers
	looks []Look              // in the order of time
	tells bool                // gateways tell figures of themselves
}

// Tells notes that gateways tell figures of themselves, which costs more than a view alone.
func (h *History) Tells() { h.tells = true }

// life is one process of a gateway.
type life struct {
	gateway int
	pid     int
	from    time.Duration
	to      time.Duration // 0 while it runs
	twin    bool          // beside another one of its name
	upgrade bool          // takes over from another
	left    bool          // told to end: it tells the others
	halts   []span        // stopped, or let go and stopped in turn
}

type span struct{ from, to time.Duration } // to is 0 while it lasts

// PathAt is how a path has been from a moment on.
type PathAt struct {
	At   time.Duration
	Cut  bool // or stalled, or slower than any answer is waited for
	Loss float64
}

// Look is one process's view at a moment.
type Look struct {
	At       time.Duration `json:"at_ns"`
	Gateway  int           `json:"gateway"`
	PID      int           `json:"pid"`
	Speaking bool          `json:"speaking"`
	Joined   int           `json:"joined"` // of the process's views, which one
	Settled  bool          `json:"settled"`
	Majority bool          `json:"majority"`
	Twin     bool          `json:"twin"`
	Alive    int           `json:"alive"`
	Sent     uint64        `json:"sent_bytes"`
	Strange  int           `json:"strangers"` // members that are no gateway of this fleet
	States   []Held        `json:"members"`   // by number; of those not known State is empty
	Portion  *Portion      `json:"portion,omitempty"`
}

// Portion is what a process has of the hosts, where the fleet divides them.
type Portion struct {
	Stage string             `json:"stage"` // waiting, settled, kept, changing
	Turns uint64             `json:"turns"` // at cold hosts, so far
	Crowd float64            `json:"crowd"`
	Parts map[string]float64 `json:"parts"` // of warm hosts, by name
	Cold  []string           `json:"cold,omitempty"`
}

// Held is what a process holds of a gateway.
type Held struct {
	State       string `json:"state"`
	Start       uint64 `json:"start_ms"`
	Incarnation uint64 `json:"incarnation"`
	// Since is since when, on the record's clock: what was taken back between two looks shows in it.
	Since       time.Duration `json:"since_ns"`
	Previous    string        `json:"previous,omitempty"`     // the state before; empty where it is not told
	SuspectedBy string        `json:"suspected_by,omitempty"` // who raised the last suspicion; empty where it is not told
}

// dead tells that a state is no living one.
func (h Held) dead() bool { return h.State == "gone" || h.State == "left" }

// NewHistory begins one of gateways by their names; everybody else names them by number.
func NewHistory(names []string) *History {
	return &History{count: len(names), names: names, paths: make(map[[2]int][]PathAt)}
}

// Started notes a process; its number must be its own. A twin runs beside another one of its name that knows nothing of it, an
// upgrade takes over from one.
func (h *History) Started(gateway, pid int, at time.Duration, twin, upgrade bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives = append(h.lives, life{gateway: gateway, pid: pid, from: at, twin: twin, upgrade: upgrade})
}

// Ended notes its end, or that it was told to end and speaks no more. The first word counts.
func (h *History) Ended(pid int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.lives {
		if l := &h.lives[i]; l.pid == pid && l.to == 0 {
			l.to = at
		}
	}
}

// Leaving notes that the processes of a gateway were told to end.
func (h *History) Leaving(gateway int, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.lives {
		if l := &h.lives[i]; l.gateway == gateway && l.to == 0 {
			l.to, l.left = at, true
		}
	}
}

// Halted notes that a process is stopped, or let go.
func (h *History) Halted(gateway int, at time.Duration, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.lives {
		l := &h.lives[i]
		if l.gateway != gateway || l.to != 0 || l.twin {
			continue
		}
		if on {
			l.halts = append(l.halts, span{from: at})
		} else if n := len(l.halts); n > 0 && l.halts[n-1].to == 0 {
			l.halts[n-1].to = at
		}
	}
}

// Path notes how a path between two gateways is from a moment on.
func (h *History) Path(from, to int, p PathAt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paths[[2]int{from, to}] = append(h.paths[[2]int{from, to}], p)
}

// Looked notes a view. Views come in the order of time.
func (h *History) Looked(l Look) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.looks = append(h.looks, l)
}

// over tells whether a span overlaps one from a to b.
func (s span) over(a, b time.Duration) bool { return s.from <= b && (s.to == 0 || s.to >= a) }

// ran tells whether a gateway had a process that ran without a stop from a to b, hand-overs included.
func (h *History) ran(gateway int, a, b time.Duration) bool { return h.lived(gateway, a, b, true) }

// lived does so, also where it was stopped meanwhile if stops do not count.
func (h *History) lived(gateway int, a, b time.Duration, stops bool) bool {
	at := a
	for again := true; again; {
		again = false
		for _, l := range h.lives {
			if l.gateway != gateway || l.twin || l.from > at || l.to != 0 && l.to <= at ||
				stops && slices.ContainsFunc(l.halts, func(s span) bool { return s.over(a, b) && s.over(l.from, b) }) {
				continue
			}
			if l.to == 0 || l.to >= b {
				return true
			}
			at, again = l.to, true
		}
	}
	return false
}

// dead tells whether a gateway had no process at all from a to b.
func (h *History) dead(gateway int, a, b time.Duration) bool {
	return !slices.ContainsFunc(h.lives, func(l life) bool { return l.gateway == gateway && span{l.from, l.to}.over(a, b) })
}

// twins tells whether two processes that know nothing of each other used a name all the time from a to b.
func (h *History) twins(gateway int, a, b time.Duration) bool {
	return slices.ContainsFunc(h.lives, func(l life) bool {
		return l.gateway == gateway && l.twin && l.from <= a && (l.to == 0 || l.to >= b)
	}) && h.ran(gateway, a, b)
}

// twinned tells whether a name was used twice at any moment from a to b.
func (h *History) twinned(gateway int, a, b time.Duration) bool {
	return slices.ContainsFunc(h.lives, func(l life) bool { return l.gateway == gateway && l.twin && span{l.from, l.to}.over(a, b) })
}

// heard tells whether a path carried from a to b without a break, losing at most so much.
func (h *History) heard(from, to int, a, b time.Duration, most float64) bool {
	ok := true
	for _, p := range h.paths[[2]int{from, to}] {
		if p.At >= b {
			break
		}
		good := !p.Cut && p.Loss <= most
		if p.At <= a {
			ok = good
		} else {
			ok = ok && good
		}
	}
	return ok
}

// loses tells whether any path lost datagrams by chance from a to b.
func (h *History) loses(a, b time.Duration) bool {
	for _, list := range h.paths {
		for i, p := range list {
			if p.Loss > 0 && p.At <= b && (i+1 == len(list) || list[i+1].At >= a) {
				return true
			}
		}
	}
	return false
}

// mostLoss is what a path may lose without a gateway being allowed to be thrown out for a while.
const mostLoss = 0.2

// together returns the parts of the fleet in which gateways heard each other both ways, by chains of pairs, from a to b:
// for each gateway the number of its part, -1 where it did not run, and how many of its part it heard itself.
func (h *History) together(a, b time.Duration) (part, near []int) { return h.apart(a, b, -1) }

// apart does so where stops of one gateway do not count: it heard nothing meanwhile, but it lived.
func (h *History) apart(a, b time.Duration, own int) (part, near []int) {
	part, near = make([]int, h.count), make([]int, h.count)
	runs := make([]bool, h.count)
	for g := range part {
		part[g], runs[g] = -1, h.lived(g, a, b, g != own)
	}
	pair := func(x, y int) bool { return h.heard(x, y, a, b, mostLoss) && h.heard(y, x, a, b, mostLoss) }
	for g := range part {
		if !runs[g] || part[g] >= 0 {
			continue
		}
		part[g] = g
		for list := []int{g}; len(list) > 0; list = list[1:] {
			for o := range part {
				if runs[o] && o != list[0] && pair(list[0], o) {
					near[list[0]]++
					if part[o] < 0 {
						part[o] = g
						list = append(list, o)
					}
				}
			}
		}
	}
	return part, near
}

// reached tells whether two gateways could have heard each other, themselves or through most of the others, from a to b.
func (h *History) reached(x, y int, a, b time.Duration) bool {
	part, near := h.together(a, b)
	return both(part, near, x, y)
}

// both tells whether two are of one part and each hears half of it itself.
func both(part, near []int, x, y int) bool {
	if part[x] < 0 || part[x] != part[y] {
		return false
	}
	size := count(part, part[x])
	return 2*near[x] >= size-1 && 2*near[y] >= size-1
}

// size is how many gateways a gateway's part had.
func (h *History) size(gateway int, a, b time.Duration) int {
	part, _ := h.together(a, b)
	return count(part, part[gateway])
}

func count(list []int, of int) (n int) {
	for _, v := range list {
		if v == of {
			n++
		}
	}
	return n
}

// changes are the moments at which the rig did something to gateways or to the paths between them.
func (h *History) changes() []time.Duration {
	var out []time.Duration
	for _, l := range h.lives {
		out = append(out, l.from)
		if l.to > 0 {
			out = append(out, l.to)
		}
		for _, s := range l.halts {
			out = append(out, s.from)
			if s.to > 0 {
				out = append(out, s.to)
			}
		}
	}
	for _, list := range h.paths {
		for _, p := range list {
			if p.At > 0 {
				out = append(out, p.At)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Looks are the views in the order of time.
func (h *History) Looks() []Look {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.looks)
}

// Name is a gateway's.
func (h *History) Name(gateway int) string { return h.names[gateway] }

// Life is a process as a report shows it, in seconds.
type Life struct {
	Gateway int          `json:"gateway"`
	PID     int          `json:"pid"`
	From    float64      `json:"from_s"`
	To      float64      `json:"to_s"` // 0: to the end
	Twin    bool         `json:"twin,omitempty"`
	Upgrade bool         `json:"upgrade,omitempty"`
	Stopped [][2]float64 `json:"stopped_s,omitempty"`
}

// Lives lists the processes.
func (h *History) Lives() (out []Life) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range h.lives {
		life := Life{Gateway: l.gateway, PID: l.pid, From: l.from.Seconds(), To: l.to.Seconds(), Twin: l.twin, Upgrade: l.upgrade}
		for _, s := range l.halts {
			life.Stopped = append(life.Stopped, [2]float64{s.from.Seconds(), s.to.Seconds()})
		}
		out = append(out, life)
	}
	return out
}

// Dead tells whether a gateway had no process at a moment.
func (h *History) Dead(gateway int, at time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead(gateway, at, at)
}

// Over tells whether a gateway was stopped at any moment from a to b, or until a while before.
func (h *History) Over(gateway int, a, b, while time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.lives, func(l life) bool {
		return l.gateway == gateway && slices.ContainsFunc(l.halts, func(s span) bool { return s.over(a-while, b) })
	})
}

// Begin moves the begin of time: what was noted lies before it, and views of that time are forgotten.
func (h *History) Begin(shift time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.lives {
		h.lives[i].from += shift
	}
	h.looks = nil
}
