package simulation

import (
	"container/heap"
	"time"

	"thymebend/internal/loop"
)

type timer struct {
	key loop.Timer
	at  time.Duration
	seq uint64
	pos int
}

type timerHeap []*timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].pos, h[j].pos = i, j }

func (h *timerHeap) Push(x any) { t := x.(*timer); t.pos = len(*h); *h = append(*h, t) }

func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

func (l *Loop) setTimer(key loop.Timer, at time.Duration) {
	l.seq++
	if t := l.byKey[key]; t != nil {
		t.at, t.seq = at, l.seq
		heap.Fix(&l.timers, t.pos)
		return
	}
	t := &timer{key: key, at: at, seq: l.seq}
	l.byKey[key] = t
	heap.Push(&l.timers, t)
}

func (l *Loop) stopTimer(key loop.Timer) {
	if t := l.byKey[key]; t != nil {
		delete(l.byKey, key)
		heap.Remove(&l.timers, t.pos)
	}
}
