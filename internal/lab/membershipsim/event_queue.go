package membershipsim

import "time"

// event is an action at a time of the run. Events with the same time run in ascending order.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.order < other.order
}

// queueArity is the number of children of a heap node: four keep the heap flat and siblings adjacent in memory.
const queueArity = 4

// queue is a heap of events with the earliest at the root. It stores events by value, because a run has millions of
// them.
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
		q.replaceRoot(moved)
	}
	return first
}

// replaceRoot replaces the root by an event and moves that event down to its position.
func (q *queue) replaceRoot(e event) {
	at := 0
	for {
		child := q.earliestChild(at)
		if child < 0 || !q.list[child].before(&e) {
			break
		}
		q.list[at] = q.list[child]
		at = child
	}
	q.list[at] = e
}

// earliestChild returns the index of a heap node's earliest child, or -1 if it has none.
func (q *queue) earliestChild(parent int) int {
	first := parent*queueArity + 1
	if first >= len(q.list) {
		return -1
	}
	earliest := first
	for child := first + 1; child < min(first+queueArity, len(q.list)); child++ {
		if q.list[child].before(&q.list[earliest]) {
			earliest = child
		}
	}
	return earliest
}
