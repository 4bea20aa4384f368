// Package timeline is a virtual clock: what is to happen is done in the order of its time, and what has
// the same time in the order in which it was asked for.
package timeline

import (
	"cmp"
	"container/heap"
	"time"
)

// Timeline is a virtual clock and what is to happen by it.
type Timeline struct {
	now          time.Duration
	queue        eventHeap
	nextSequence uint64
}

type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].sequence, e[j].sequence)) < 0
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// Now is the present.
func (t *Timeline) Now() time.Duration { return t.now }

// At has something done at a time; at once if that is past.
func (t *Timeline) At(at time.Duration, do func()) {
	t.nextSequence++
	heap.Push(&t.queue, event{max(at, t.now), t.nextSequence, do})
}

// After has something done after a while.
func (t *Timeline) After(wait time.Duration, do func()) { t.At(t.now+wait, do) }

// Run does all that is due until a time, which then is the present.
func (t *Timeline) Run(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
	t.now = max(t.now, until)
}
