package scale

import (
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/lab/membershipsim"
	"thymebend/internal/membership"
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

// milestones are when something had come to half, to 99 in 100 and to all of those that it can come to;
// 0 until then.
type milestones struct{ half, most, all time.Duration }

// note takes how many of those that can have it have it after some time, and reports whether all do.
func (m *milestones) note(have, can int, took time.Duration) bool {
	if m.half == 0 && 2*have >= can {
		m.half = took
	}
	if m.most == 0 && 100*have >= 99*can {
		m.most = took
	}
	if m.all == 0 && have == can {
		m.all = took
	}
	return m.all > 0
}

// summary is the median and the worst of those that have come to all, and how many have not.
func summary(list []milestones) (median, worst Times, unfinished int) {
	var half, most, all []time.Duration
	for _, m := range list {
		if m.all == 0 {
			unfinished++
			continue
		}
		half, most, all = append(half, m.half), append(most, m.most), append(all, m.all)
	}
	return Times{middle(half), middle(most), middle(all)}, Times{largest(half), largest(most), largest(all)}, unfinished
}

// watch follows one crash or join until all know of it.
type watch struct {
	milestones
	subject int
	life    int           // of the subject, since the event
	joined  bool          // else it crashed
	began   time.Duration // of the event
}

// knows reports whether a gateway knows of the event.
func (w *watch) knows(m membership.Member, known bool, started uint64) bool {
	if w.joined {
		return known && m.State == gossipcodec.Alive && m.Start >= started
	}
	return !known || m.State >= gossipcodec.Gone
}

// knowledge follows all crashes and joins.
type knowledge struct {
	sim    *membershipsim.Sim
	open   []*watch
	closed []*watch
	born   []time.Duration // since when each gateway's process runs
}

// begin follows an event of a gateway from now on. What was followed of it before is overtaken.
func (k *knowledge) begin(subject int, joined bool) {
	k.open = append(k.open, &watch{subject: subject, life: k.sim.Nodes[subject].Starts, joined: joined,
		began: k.sim.Now()})
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
	if subject.Starts != w.life || w.joined != (subject.Membership != nil) {
		return true
	}
	started := uint64(0)
	if w.joined {
		self, _ := subject.Membership.Find(subject.Name)
		started = self.Start
	}
	can, know := 0, 0
	for n, node := range k.sim.Nodes {
		if n == w.subject || !k.sim.Running(n) || k.born[n] > w.began {
			continue
		}
		can++
		if m, known := node.Membership.Find(subject.Name); w.knows(m, known, started) {
			know++
		}
	}
	return w.note(know, can, k.sim.Now()-w.began)
}

// spread sums up the events of one kind.
func (k *knowledge) spread(joined bool) (s Spread) {
	var list []milestones
	for _, w := range slices.Concat(k.closed, k.open) {
		if w.joined == joined {
			list = append(list, w.milestones)
		}
	}
	s.Count = len(list)
	s.Median, s.Worst, s.Unfinished = summary(list)
	return s
}

func middle(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(list))[len(list)/2].Seconds()
}

func largest(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list).Seconds()
}
