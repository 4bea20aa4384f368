package loop

import (
	"container/heap"
	"time"
)

// maxWaitMS bounds one sleep of epoll, in ms.
const maxWaitMS = 60_000

// timers is a heap of timers by time; a stopped timer is removed at once, so that none outlives its use.
type timers struct {
	order []*timerEntry
	byKey map[Timer]*timerEntry
}

type timerEntry struct {
	key      Timer
	at       time.Duration
	position int
}

func (t *timers) Len() int           { return len(t.order) }
func (t *timers) Less(i, j int) bool { return t.order[i].at < t.order[j].at }
func (t *timers) Swap(i, j int) {
	t.order[i], t.order[j] = t.order[j], t.order[i]
	t.order[i].position, t.order[j].position = i, j
}
func (t *timers) Push(x any) {
	e := x.(*timerEntry)
	e.position = len(t.order)
	t.order = append(t.order, e)
}
func (t *timers) Pop() any {
	last := len(t.order) - 1
	e := t.order[last]
	t.order[last] = nil
	t.order = t.order[:last]
	return e
}

func (t *timers) set(key Timer, at time.Duration) {
	if e := t.byKey[key]; e != nil {
		e.at = at
		heap.Fix(t, e.position)
		return
	}
	e := &timerEntry{key: key, at: at}
	t.byKey[key] = e
	heap.Push(t, e)
}

func (t *timers) stop(key Timer) {
	if e := t.byKey[key]; e != nil {
		delete(t.byKey, key)
		heap.Remove(t, e.position)
	}
}

// due removes and returns the next timer that has expired by now.
func (t *timers) due(now time.Duration) (Timer, bool) {
	if len(t.order) == 0 || t.order[0].at > now {
		return Timer{}, false
	}
	e := heap.Pop(t).(*timerEntry)
	delete(t.byKey, e.key)
	return e.key, true
}

// wait returns how long epoll may sleep, in ms rounded up: waking early would spin until the timer expires. It is
// -1 where no timer is set.
func (t *timers) wait(now time.Duration) int {
	if len(t.order) == 0 {
		return -1
	}
	left := t.order[0].at - now
	if left <= 0 {
		return 0
	}
	return int(min((left+time.Millisecond-1)/time.Millisecond, maxWaitMS))
}
