package membership

import (
	"container/heap"

	"thymebend/internal/gossipcodec"
)

// maxMisfits is how many claims may be too long for the remaining space of a datagram before it counts as full.
const maxMisfits = 2

// broadcastItem is a claim to send, with the number of times that it has been sent.
type broadcastItem struct {
	claim     gossipcodec.Claim
	transmits int
	sequence  uint64 // increases with each call of put
	heapIndex int    // index in the heap
}

// before reports whether b is sent before other: the item with fewer transmissions first, among equals the newer one.
func (b *broadcastItem) before(other *broadcastItem) bool {
	return b.transmits < other.transmits || b.transmits == other.transmits && b.sequence > other.sequence
}

// broadcastQueue holds at most one claim for each name. It finds the next claim to send in time that is logarithmic
// in the number of claims: while a cluster starts, the queue of each member has a claim about every other member.
type broadcastQueue struct {
	byName       map[string]*broadcastItem
	heap         broadcastHeap
	lastSequence uint64
}

func newBroadcastQueue() broadcastQueue {
	return broadcastQueue{byName: make(map[string]*broadcastItem)}
}

func (q *broadcastQueue) len() int { return len(q.heap) }

// put adds a claim, which replaces an earlier claim about the same name.
func (q *broadcastQueue) put(c gossipcodec.Claim) {
	q.lastSequence++
	if item := q.byName[c.Name]; item != nil {
		item.claim, item.transmits, item.sequence = c, 0, q.lastSequence
		heap.Fix(&q.heap, item.heapIndex)
		return
	}
	item := &broadcastItem{claim: c, sequence: q.lastSequence}
	q.byName[c.Name] = item
	heap.Push(&q.heap, item)
}

// setTransmits sets how often the claim about a name counts as sent.
func (q *broadcastQueue) setTransmits(name string, transmits int) {
	if item := q.byName[name]; item != nil {
		item.transmits = transmits
		heap.Fix(&q.heap, item.heapIndex)
	}
}

// drop removes the claim about a name, if there is one.
func (q *broadcastQueue) drop(name string) {
	if item := q.byName[name]; item != nil {
		heap.Remove(&q.heap, item.heapIndex)
		delete(q.byName, name)
	}
}

// appendTo appends claims to a datagram in the order of before, and returns it. It drops claims that have then been
// sent as often as limit returns for their state.
func (q *broadcastQueue) appendTo(datagram []byte, limit func(gossipcodec.State) int) []byte {
	var kept []*broadcastItem
	for misfits := 0; len(q.heap) > 0 && misfits < maxMisfits; {
		item := heap.Pop(&q.heap).(*broadcastItem)
		extended, ok := gossipcodec.AppendClaim(datagram, &item.claim)
		if !ok {
			kept = append(kept, item)
			misfits++
			continue
		}
		datagram = extended
		if item.transmits++; item.transmits >= limit(item.claim.State) {
			delete(q.byName, item.claim.Name)
			continue
		}
		kept = append(kept, item)
	}
	for _, item := range kept {
		heap.Push(&q.heap, item)
	}
	return datagram
}

// broadcastHeap implements heap.Interface, ordered by before.
type broadcastHeap []*broadcastItem

func (h broadcastHeap) Len() int           { return len(h) }
func (h broadcastHeap) Less(i, j int) bool { return h[i].before(h[j]) }
func (h broadcastHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *broadcastHeap) Push(x any) {
	item := x.(*broadcastItem)
	item.heapIndex = len(*h)
	*h = append(*h, item)
}

func (h *broadcastHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
