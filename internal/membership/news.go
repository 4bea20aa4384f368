package membership

import (
	"container/heap"

	"thymebend/internal/gossipcodec"
)

// item is a claim that is still to be sent some times.
type item struct {
	claim gossipcodec.Claim
	sends int
	age   uint64 // items told later have a higher one
	place int    // in the queue
}

// before orders items: what was sent least often comes first, and of those the latest.
func (x *item) before(y *item) bool { return x.sends < y.sends || x.sends == y.sends && x.age > y.age }

// news holds at most one item for each name, and finds the next one to send in time that grows with the logarithm of
// their number: while a fleet starts, each of its members has news of every other one.
type news struct {
	byName map[string]*item
	queue  newsQueue
	aged   uint64
}

func (n *news) len() int { return len(n.queue) }

// tell adds a claim in place of an earlier one of its name.
func (n *news) tell(c gossipcodec.Claim) {
	n.aged++
	if it := n.byName[c.Name]; it != nil {
		it.claim, it.sends, it.age = c, 0, n.aged
		heap.Fix(&n.queue, it.place)
		return
	}
	it := &item{claim: c, age: n.aged}
	n.byName[c.Name] = it
	heap.Push(&n.queue, it)
}

// setSends has the claim of a name count as sent so often already.
func (n *news) setSends(name string, sends int) {
	if it := n.byName[name]; it != nil {
		it.sends = sends
		heap.Fix(&n.queue, it.place)
	}
}

// forget drops the claim of a name.
func (n *news) forget(name string) {
	if it := n.byName[name]; it != nil {
		heap.Remove(&n.queue, it.place)
		delete(n.byName, name)
	}
}

// mostMisses is how many claims that are too long for what is left of a datagram are passed over before it is full.
const mostMisses = 2

// fill adds claims to a datagram, the next ones to send first, and drops those that were sent as often as most says.
func (n *news) fill(b []byte, most func(gossipcodec.State) int) []byte {
	var keep []*item
	for misses := 0; len(n.queue) > 0 && misses < mostMisses; {
		it := heap.Pop(&n.queue).(*item)
		out, ok := gossipcodec.AppendClaim(b, &it.claim)
		if !ok {
			keep = append(keep, it)
			misses++
			continue
		}
		b = out
		if it.sends++; it.sends >= most(it.claim.State) {
			delete(n.byName, it.claim.Name)
			continue
		}
		keep = append(keep, it)
	}
	for _, it := range keep {
		heap.Push(&n.queue, it)
	}
	return b
}

// newsQueue is a heap of items.
type newsQueue []*item

func (q newsQueue) Len() int           { return len(q) }
func (q newsQueue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q newsQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}
func (q *newsQueue) Push(x any) {
	it := x.(*item)
	it.place = len(*q)
	*q = append(*q, it)
}
func (q *newsQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
