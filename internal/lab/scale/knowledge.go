package scale

import (
	"slices"
	"time"

	"thymebend/internal/gossipcodec"
	"thymebend/internal/lab/membershipsim"
	"thymebend/internal/membership"
)

// Times holds how long an event took to become known to half, to 99 in 100 and to all of the eligible gateways, in
// seconds.
type Times struct {
	Half float64 `json:"half_s"`
	P99  float64 `json:"p99_s"`
	All  float64 `json:"all_s"`
}

// Propagation summarizes how long the events of one kind took to become known.
type Propagation struct {
	Count      int   `json:"count"`
	Unfinished int   `json:"unfinished"` // not known to all when the run ended, or superseded by the subject's next event
	Median     Times `json:"median"`
	Worst      Times `json:"worst"`
}

// milestones holds how long something took to reach half, 99 in 100 and all of the eligible gateways; each is 0
// until then.
type milestones struct{ half, p99, all time.Duration }

// record updates the milestones of an event: at the duration took after it, the event has reached the number reached
// of the eligible gateways. It returns true once the event has reached all of them.
func (m *milestones) record(reached, eligible int, took time.Duration) bool {
	if m.half == 0 && 2*reached >= eligible {
		m.half = took
	}
	if m.p99 == 0 && 100*reached >= 99*eligible {
		m.p99 = took
	}
	if m.all == 0 && reached == eligible {
		m.all = took
	}
	return m.all > 0
}

// summarize returns the median and the maximum of the milestones of events that reached all gateways, and the number
// of events that did not.
func summarize(list []milestones) (median, worst Times, unfinished int) {
	var half, p99, all []time.Duration
	for _, m := range list {
		if m.all == 0 {
			unfinished++
			continue
		}
		half, p99, all = append(half, m.half), append(p99, m.p99), append(all, m.all)
	}
	return Times{medianSeconds(half), medianSeconds(p99), medianSeconds(all)},
		Times{maxSeconds(half), maxSeconds(p99), maxSeconds(all)}, unfinished
}

// watch tracks one crash or join of a gateway, the subject, until all gateways know of it.
type watch struct {
	milestones
	subject int
	starts  int           // number of starts of the subject at the event, to detect its next start
	joined  bool          // false for a crash
	eventAt time.Duration // time of the event
}

// knows reports whether a gateway knows of the event. m is that gateway's record of the subject, known is true if
// the gateway has such a record, and started is the start number of the subject's process.
func (w *watch) knows(m membership.Member, known bool, started uint64) bool {
	if w.joined {
		return known && m.State == gossipcodec.Alive && m.Start >= started
	}
	return !known || m.State >= gossipcodec.Gone
}

// eventWatcher tracks all crashes and joins.
type eventWatcher struct {
	sim       *membershipsim.Sim
	open      []*watch
	closed    []*watch
	startedAt []time.Duration // when each gateway's process started
}

// watchEvent tracks an event of a gateway from now on. It supersedes an earlier event of that gateway.
func (e *eventWatcher) watchEvent(subject int, joined bool) {
	e.open = append(e.open, &watch{subject: subject, starts: e.sim.Nodes[subject].Starts, joined: joined,
		eventAt: e.sim.Now()})
}

// update counts the gateways that know of each open event, and closes the events that are finished or superseded.
// Eligible are gateways that ran before the event and are not paused.
func (e *eventWatcher) update() {
	e.open = slices.DeleteFunc(e.open, func(w *watch) bool {
		ended := e.updateWatch(w)
		if ended {
			e.closed = append(e.closed, w)
		}
		return ended
	})
}

// updateWatch reports whether a watch has ended: all eligible gateways know of the event, or the subject's next event
// superseded it.
func (e *eventWatcher) updateWatch(w *watch) bool {
	subject := e.sim.Nodes[w.subject]
	if subject.Starts != w.starts || w.joined != (subject.Membership != nil) {
		return true
	}
	started := uint64(0)
	if w.joined {
		self, _ := subject.Membership.Find(subject.Name)
		started = self.Start
	}
	eligible, informed := 0, 0
	for n, node := range e.sim.Nodes {
		if n == w.subject || !e.sim.Running(n) || e.startedAt[n] > w.eventAt {
			continue
		}
		eligible++
		if m, known := node.Membership.Find(subject.Name); w.knows(m, known, started) {
			informed++
		}
	}
	return w.record(informed, eligible, e.sim.Now()-w.eventAt)
}

// propagation summarizes the joins or, if joined is false, the crashes.
func (e *eventWatcher) propagation(joined bool) (s Propagation) {
	var list []milestones
	for _, w := range slices.Concat(e.closed, e.open) {
		if w.joined == joined {
			list = append(list, w.milestones)
		}
	}
	s.Count = len(list)
	s.Median, s.Worst, s.Unfinished = summarize(list)
	return s
}

func medianSeconds(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(list))[len(list)/2].Seconds()
}

func maxSeconds(list []time.Duration) float64 {
	if len(list) == 0 {
		return 0
	}
	return slices.Max(list).Seconds()
}
