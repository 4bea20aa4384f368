package scale

import (
	"slices"
	"time"

	"thymebend/internal/fleetwire"
	"thymebend/internal/lab/viewsim"
	"thymebend/internal/members"
)

// Times until something is known by half of those who can know it, by 99 in 100, and by all; in seconds.
type Times struct {
	Half float64 `json:"half_s"`
	Most float64 `json:"p99_s"`
	All  float64 `json:"all_s"`
}

// Spread is how long many things of one kind took until they were known.
type Spread struct {
	Count      int   `json:"count"`
	Unfinished int   `json:"unfinished"` // not known to all when the run ended, or overtaken by the subject's next event
	Median     Times `json:"median"`
	Worst      Times `json:"worst"`
}

// watch follows one crash or join until all know of it.
type watch struct {
	subject         int
	life            int           // of the subject, since the event
	joined          bool          // else it crashed
	began           time.Duration // of the event
	half, most, all time.Duration // 0 until then
}

// knows reports whether a gateway knows of the event.
func (w *watch) knows(m members.Member, known bool, started uint64) bool {
	if w.joined {
		return known && m.State == fleetwire.Alive && m.Start >= started
	}
	return !known || m.State >= fleetwire.Gone
}

// knowledge follows all crashes and joins.
type knowledge struct {
	sim    *viewsim.Sim
	open   []*watch
	closed []*watch
	born   []time.Duration // since when each gateway's process runs
}

// begin follows an event of a gateway from now on. What was followed of it before is overtaken.
func (k *knowledge) begin(subject int, joined bool) {
	k.open = append(k.open, &watch{subject: subject, life: k.sim.Nodes[subject].Starts, joined: joined, began: k.sim.Now()})
}

// look counts who knows what. Those count that ran before the event and are not stopped.
func (k *knowledge) look() {
	k.open = slices.DeleteFunc(k.open, func(w *watch) bool {
		over := k.lookAt(w)
		if over {
			k.closed = append(k.closed, w)
		}
		return over
	})
}

// lookAt reports whether a watch is over: all know, or the subject has gone on to something else.
func (k *knowledge) lookAt(w *watch) bool {
	subject := k.sim.Nodes[w.subject]
	if subject.Starts != w.life || w.joined != (subject.View != nil) {
		return true
	}
	started := uint64(0)
	if w.joined {
		self, _ := subject.View.Find(subject.Name)
		started = self.Start
	}
	can, know := 0, 0
	for n, node := range k.sim.Nodes {
		if n == w.subject || !k.sim.Runs(n) || k.born[n] > w.began {
			continue
		}
		can++
		if m, known := node.View.Find(subject.Name); w.knows(m, known, started) {
			know++
		}
	}
	took := k.sim.Now() - w.began
	if w.half == 0 && 2*know >= can {
		w.half = took
	}
	if w.most == 0 && 100*know >= 99*can {
		w.most = took
	}
	if know == can {
		w.all = took
	}
	return w.all > 0
}

// spread sums up the events of one kind.
func (k *knowledge) spread(joined bool) (s Spread) {
	var half, most, all []time.Duration
	for _, w := range slices.Concat(k.closed, k.open) {
		if w.joined != joined {
			continue
		}
		s.Count++
		if w.all == 0 {
			s.Unfinished++
			continue
		}
		half, most, all = append(half, w.half), append(most, w.most), append(all, w.all)
	}
	s.Median = Times{median(half), median(most), median(all)}
	s.Worst = Times{worst(half), worst(most), worst(all)}
	return s
}

func median(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(list))[len(list)/2].Seconds()
}

func worst(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list).Seconds()
}
