// Package timeline provides a virtual clock with scheduled functions. They are called in the order of their times;
// those with the same time are called in the order in which they were scheduled.
package timeline

import (
	"cmp"
	"container/heap"
	"time"
)

// Timeline is a virtual clock and the queue of functions scheduled on it. The zero value is ready for use and its
// time is 0. It is not safe for concurrent use.
type Timeline struct {
	now          time.Duration
	queue        eventHeap
	nextSequence uint64
}

// event is a scheduled function.
type event struct {
	at       time.Duration
	sequence uint64
	do       func()
}

// eventHeap implements heap.Interface, with the earliest event first.
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

// Now returns the current virtual time.
func (t *Timeline) Now() time.Duration { return t.now }

// At schedules do for the given time. A time that has passed counts as the current time. Run calls do.
func (t *Timeline) At(at time.Duration, do func()) {
	t.nextSequence++
	heap.Push(&t.queue, event{max(at, t.now), t.nextSequence, do})
}

// After schedules do for the current time plus wait.
func (t *Timeline) After(wait time.Duration, do func()) { t.At(t.now+wait, do) }

// Run calls all functions scheduled up to and including until, also functions that these calls schedule, and advances
// the clock to the time of each. It then advances the clock to until, unless the clock is already later.
func (t *Timeline) Run(until time.Duration) {
	for len(t.queue) > 0 && t.queue[0].at <= until {
		e := heap.Pop(&t.queue).(event)
		t.now = e.at
		e.do()
	}
	t.now = max(t.now, until)
}
