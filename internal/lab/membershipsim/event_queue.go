package membershipsim

import "time"

// event is something that happens at a time. order tells events of one moment apart: first come, first served.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// queueArity is the number of children of a node of the heap: four keep it flat, and siblings side by side.
const queueArity = 4

// queue is a heap of events, the earliest first. It holds them by value: a run has millions of them.
type queue struct{ list []event }

func (q *queue) len() int { return len(q.list) }

func (q *queue) earliest() time.Duration { return q.list[0].at }

func (q *queue) push(e event) {
	q.list = append(q.list, e)
	at := len(q.list) - 1
	for at > 0 {
		parent := (at - 1) / queueArity
		if !e.before(&q.list[parent]) {
			break
		}
		q.list[at] = q.list[parent]
		at = parent
	}
	q.list[at] = e
}

func (q *queue) pop() event {
	first := q.list[0]
	last := len(q.list) - 1
	moved := q.list[last]
	q.list[last] = event{}
	q.list = q.list[:last]
	if last > 0 {
		q.sink(moved)
	}
	return first
}

// sink puts an event in place of the first one.
func (q *queue) sink(e event) {
	at := 0
	for {
		least := q.leastChild(at)
		if least < 0 || !q.list[least].before(&e) {
			break
		}
		q.list[at] = q.list[least]
		at = least
	}
	q.list[at] = e
}

// leastChild is the place of the earliest child, or -1 if there is none.
func (q *queue) leastChild(parent int) int {
	first := parent*queueArity + 1
	if first >= len(q.list) {
		return -1
	}
	least := first
	for child := first + 1; child < min(first+queueArity, len(q.list)); child++ {
		if q.list[child].before(&q.list[least]) {
			least = child
		}
	}
	return least
}
