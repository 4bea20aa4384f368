package membership

import (
	"container/heap"

	"thymebend/internal/gossipcodec"
)

// maxMisfits is how many claims too long for what is left of a datagram are passed over before it counts as full.
const maxMisfits = 2

// broadcastItem is a claim that is still to be sent some times.
type broadcastItem struct {
	claim     gossipcodec.Claim
	transmits int
	sequence  uint64 // of insertion
	heapIndex int    // in the heap
}

// before orders items: what was sent least often comes first, and of those the latest.
func (b *broadcastItem) before(other *broadcastItem) bool {
	return b.transmits < other.transmits || b.transmits == other.transmits && b.sequence > other.sequence
}

// broadcastQueue holds at most one claim for each name, and finds the next one to send in time that grows with the
// logarithm of their number: while a cluster starts, each member has a claim about every other one.
type broadcastQueue struct {
	byName       map[string]*broadcastItem
	heap         broadcastHeap
	lastSequence uint64
}

func newBroadcastQueue() broadcastQueue {
	return broadcastQueue{byName: make(map[string]*broadcastItem)}
}

func (q *broadcastQueue) len() int { return len(q.heap) }

// put adds a claim in place of an earlier one of its name.
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

// setTransmits has the claim of a name count as sent so often already.
func (q *broadcastQueue) setTransmits(name string, transmits int) {
	if item := q.byName[name]; item != nil {
		item.transmits = transmits
		heap.Fix(&q.heap, item.heapIndex)
	}
}

// drop removes the claim of a name.
func (q *broadcastQueue) drop(name string) {
	if item := q.byName[name]; item != nil {
		heap.Remove(&q.heap, item.heapIndex)
		delete(q.byName, name)
	}
}

// appendTo piggybacks claims on a datagram, the next ones to send first, and drops those that were sent as often as the
// limit of their state says.
func (q *broadcastQueue) appendTo(datagram []byte, limit func(gossipcodec.State) int) []byte {
	var kept []*broadcastItem
	for misfits := 0; len(q.heap) > 0 && misfits < maxMisfits; {
		item := heap.Pop(&q.heap).(*broadcastItem)
		longer, ok := gossipcodec.AppendClaim(datagram, &item.claim)
		if !ok {
			kept = append(kept, item)
			misfits++
			continue
		}
		datagram = longer
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

// broadcastHeap implements heap.Interface.
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
