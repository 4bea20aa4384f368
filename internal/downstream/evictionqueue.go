package downstream

// evictionQueue is a linked list of connections, the one that was added first at its head. A connection is in at
// most one.
type evictionQueue struct{ head, tail *Conn }

func (q *evictionQueue) push(c *Conn) {
	c.evictionQueue, c.previous = q, q.tail
	if q.tail == nil {
		q.head = c
	} else {
		q.tail.next = c
	}
	q.tail = c
}

func (c *Conn) unqueue() {
	if c.evictionQueue == nil {
		return
	}
	if c.previous == nil {
		c.evictionQueue.head = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		c.evictionQueue.tail = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.evictionQueue, c.previous, c.next = nil, nil, nil
}
