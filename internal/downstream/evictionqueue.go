package downstream

// evictionQueue is a doubly linked list of connections. The connection that was added first is at its head. A
// connection is in at most one queue.
type evictionQueue struct{ head, tail *Conn }

// push adds a connection, which must be in no queue, at the tail.
func (q *evictionQueue) push(c *Conn) {
	c.evictionQueue, c.previous = q, q.tail
	if q.tail == nil {
		q.head = c
	} else {
		q.tail.next = c
	}
	q.tail = c
}

// unqueue removes the connection from its eviction queue, if it is in one.
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
