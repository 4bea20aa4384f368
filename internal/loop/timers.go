package loop

import (
	"container/heap"
	"time"
)

// maxWaitMS is the longest time that one call of epoll_wait blocks, in milliseconds.
const maxWaitMS = 60_000

// timers is a heap of timers, ordered by expiry time. Stopping a timer removes it at once, so that stopped timers use
// no memory.
type timers struct {
	entries []*timerEntry
	byKey   map[Timer]*timerEntry
}

// timerEntry is a timer that is set.
type timerEntry struct {
	key   Timer
	at    time.Duration // when it expires
	index int           // its index in the heap
}

func (t *timers) Len() int           { return len(t.entries) }
func (t *timers) Less(i, j int) bool { return t.entries[i].at < t.entries[j].at }
func (t *timers) Swap(i, j int) {
	t.entries[i], t.entries[j] = t.entries[j], t.entries[i]
	t.entries[i].index, t.entries[j].index = i, j
}
func (t *timers) Push(x any) {
	e := x.(*timerEntry)
	e.index = len(t.entries)
	t.entries = append(t.entries, e)
}
func (t *timers) Pop() any {
	last := len(t.entries) - 1
	e := t.entries[last]
	t.entries[last] = nil
	t.entries = t.entries[:last]
	return e
}

// set sets a timer, or changes the expiry time of a timer that is set.
func (t *timers) set(key Timer, at time.Duration) {
	if e := t.byKey[key]; e != nil {
		e.at = at
		heap.Fix(t, e.index)
		return
	}
	e := &timerEntry{key: key, at: at}
	t.byKey[key] = e
	heap.Push(t, e)
}

// stop removes a timer if it is set.
func (t *timers) stop(key Timer) {
	if e := t.byKey[key]; e != nil {
		delete(t.byKey, key)
		heap.Remove(t, e.index)
	}
}

// due removes and returns the timer that expires first, if it has expired by now.
func (t *timers) due(now time.Duration) (Timer, bool) {
	if len(t.entries) == 0 || t.entries[0].at > now {
		return Timer{}, false
	}
	e := heap.Pop(t).(*timerEntry)
	delete(t.byKey, e.key)
	return e.key, true
}

// wait returns how long epoll_wait may block until the next timer expires, in milliseconds, or -1 if no timer is set.
// It rounds up: if epoll_wait returned too early, the loop would spin until the timer expires.
func (t *timers) wait(now time.Duration) int {
	if len(t.entries) == 0 {
		return -1
	}
	remaining := t.entries[0].at - now
	if remaining <= 0 {
		return 0
	}
	return int(min((remaining+time.Millisecond-1)/time.Millisecond, maxWaitMS))
}
