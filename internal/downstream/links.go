package downstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"thymebend/internal/loop"
)

// Conns are the client links. Those that may give way where links run short stand in queues, so that the one that
// does is found, and every change made, in constant time: a crowd of thousands must not cost a walk for each accept.
type Conns struct {
	ByConn     map[loop.Conn]*Conn
	Max        int
	ReuseLimit int // past it links that are not used again are closed, see Spent

	ended     queue // our sending has ended, after the last answer
	unused    queue // nothing has come yet, by their accept
	partFirst queue // a first request is partly read, by its last byte
	usedOnce  queue // idle after one request
	usedAgain queue // idle after several
	partLater queue // a later request is partly read
	checked   queue // idle after health checks alone: the first request is to come
}

// NewConns returns room for so many links.
func NewConns(most int) *Conns {
	return &Conns{ByConn: make(map[loop.Conn]*Conn), Max: most}
}

// InOrder returns the links, oldest first. Maps are walked in no order; the same events must have the same effects.
func (s *Conns) InOrder() []*Conn {
	return slices.SortedFunc(maps.Values(s.ByConn), func(a, b *Conn) int { return cmp.Compare(a.ID, b.ID) })
}

// Add takes a new client link.
func (s *Conns) Add(c loop.Conn, now time.Duration) *Conn {
	l := &Conn{ID: c, Accepted: now, Since: now, RequestBegan: now, heard: now}
	s.ByConn[c] = l
	s.Place(l)
	return l
}

// Remove forgets a link.
func (s *Conns) Remove(l *Conn) {
	delete(s.ByConn, l.ID)
	l.leave()
}

// Place has a link stand where it belongs, behind those that stood there before. It is to be called when the link has
// changed: a request came or a part of one, an answer was written, it is looked at once more.
func (s *Conns) Place(l *Conn) {
	l.leave()
	switch {
	case l.Busy, l.FinalRead:
	case l.Ended:
		s.ended.add(l)
	case l.Pending() && l.HasRequested:
		s.partLater.add(l)
	case l.Pending():
		s.partFirst.add(l)
	case l.Requests == 1:
		s.usedOnce.add(l)
	case l.Requests > 1:
		s.usedAgain.add(l)
	case l.HasRequested:
		s.checked.add(l)
	default:
		s.unused.add(l)
	}
}

// Evictable returns the link that gives way first where links run short, or nil if none may. Guards against crowds that
// connect and ask nothing, ask once and stay, or never end a request. Those go before all
// that have their last answer and whose client has had time to take it, then those that have said nothing for FirstSoon,
// then those at rest, which costs their clients a new connection and no request, those that brought one request before those
// that brought more, then those whose request has stood still for GoesOnWithin. Those that are young or have only asked for
// health go last, as their first request is to come and would be lost with them. A request that goes on coming is never cut.
func (s *Conns) Evictable(now time.Duration) *Conn {
	quiet := func(q *queue, since time.Duration) bool { return q.head != nil && now-q.head.heard >= since }
	switch {
	case s.FullyClosed(now) != nil:
		return s.FullyClosed(now)
	case quiet(&s.unused, FirstSoon):
		return s.unused.head
	case quiet(&s.checked, RestsFor):
		return s.checked.head
	case s.usedOnce.head != nil:
		return s.usedOnce.head
	case s.usedAgain.head != nil:
		return s.usedAgain.head
	case quiet(&s.partFirst, GoesOnWithin):
		return s.partFirst.head
	case quiet(&s.partLater, GoesOnWithin):
		return s.partLater.head
	case s.checked.head != nil:
		return s.checked.head
	case quiet(&s.unused, SpeaksWithin):
		return s.unused.head
	}
	return nil
}

// FullyClosed returns a link that has its last answer and whose client has had time to take it, or nil.
func (s *Conns) FullyClosed(now time.Duration) *Conn {
	if l := s.ended.head; l != nil && now-l.Since >= SpeaksWithin {
		return l
	}
	return nil
}

// SingleUse returns a link that brought one request and has rested since, where there are many links, or nil. Guards against
// clients that open a link for each request and keep all: where they may hold so many and no more, they have none left
// for their next request long before links run short here.
func (s *Conns) SingleUse(now time.Duration) *Conn {
	if l := s.usedOnce.head; l != nil && s.OverReuseLimit() && now-l.Since >= SingleUseIdleTimeout {
		return l
	}
	return nil
}

// OverReuseLimit reports whether there are many links.
func (s *Conns) OverReuseLimit() bool { return len(s.ByConn) > s.ReuseLimit }

// queue is a list of links, the one that came first at its head.
type queue struct{ head, tail *Conn }

func (q *queue) add(l *Conn) {
	l.queue, l.before = q, q.tail
	if q.tail == nil {
		q.head = l
	} else {
		q.tail.after = l
	}
	q.tail = l
}

func (l *Conn) leave() {
	if l.queue == nil {
		return
	}
	if l.before == nil {
		l.queue.head = l.after
	} else {
		l.before.after = l.after
	}
	if l.after == nil {
		l.queue.tail = l.before
	} else {
		l.after.before = l.before
	}
	l.queue, l.before, l.after = nil, nil, nil
}
