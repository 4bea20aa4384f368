package upstream

import (
	"time"

	"thymebend/internal/balancer"
)

// MinQuietTime is the quiet time of a connection: how long its endpoint must have sent nothing before the connection may
// carry another request. HTTP/1.1 responses bear no mark of their request, so bytes that an endpoint or a proxy sends
// late, for example a second copy of a response, would be taken for the response to the connection's next request.
const MinQuietTime = 30 * time.Millisecond

const (
	// lateFactor is the quiet time of an endpoint that has sent unsolicited bytes, relative to their delay.
	lateFactor = 4
	// The bounds of the quiet time of such an endpoint. They hold for distrustPeriod after its last unsolicited bytes.
	minRaisedQuietTime = 250 * time.Millisecond
	maxRaisedQuietTime = 2 * time.Second
	distrustPeriod     = time.Minute
	// maxQuietWait is how long an attempt waits for the end of a connection's quiet time rather than have a new
	// connection opened, which costs its endpoint a handshake.
	maxQuietWait = MinQuietTime
	// maxTotalDelay is how long waits for connections to an endpoint delay queued requests, all together, before a spare
	// connection is opened: a connection that stays is worth its handshake where requests are delayed often.
	maxTotalDelay = 20 * time.Millisecond
	// maxSpares is the number of spare connections to an endpoint from all gateways together: an endpoint holds only so
	// many connections.
	maxSpares = 16
)

// quietTimes holds the quiet times of endpoints, and the delays that waiting for them has caused.
type quietTimes struct {
	raised map[balancer.EndpointID]raisedQuietTime
	delays map[balancer.EndpointID]time.Duration // since a connection to the endpoint was last opened
}

// raisedQuietTime is the quiet time of an endpoint that has sent unsolicited bytes.
type raisedQuietTime struct {
	duration time.Duration
	until    time.Duration
}

// of returns the quiet time of the connections to an endpoint.
func (q *quietTimes) of(endpoint balancer.EndpointID, now time.Duration) time.Duration {
	if raised, ok := q.raised[endpoint]; ok && now < raised.until {
		return raised.duration
	}
	return MinQuietTime
}

// addDelay adds the delay that the wait for a connection to an endpoint causes, and reports whether the delays since a
// connection to it was last opened exceed maxTotalDelay.
func (q *quietTimes) addDelay(endpoint balancer.EndpointID, delay time.Duration) bool {
	q.delays[endpoint] += delay
	return q.delays[endpoint] > maxTotalDelay
}

// forget removes what is known of an endpoint.
func (q *quietTimes) forget(endpoint balancer.EndpointID) {
	delete(q.raised, endpoint)
	delete(q.delays, endpoint)
}

// raise extends the quiet time of an endpoint that has sent bytes that belong to no request, late after its last byte. It
// forgets the endpoints whose quiet time is no longer raised.
func (q *quietTimes) raise(endpoint balancer.EndpointID, late, now time.Duration) {
	duration := min(max(late*lateFactor, minRaisedQuietTime), maxRaisedQuietTime)
	duration = max(duration, q.of(endpoint, now))
	for other, raised := range q.raised {
		if now >= raised.until {
			delete(q.raised, other)
		}
	}
	q.raised[endpoint] = raisedQuietTime{duration: duration, until: now + distrustPeriod}
}

// newQuietTimes returns quiet times of which none is raised.
func newQuietTimes() quietTimes {
	return quietTimes{
		raised: make(map[balancer.EndpointID]raisedQuietTime),
		delays: make(map[balancer.EndpointID]time.Duration),
	}
}
