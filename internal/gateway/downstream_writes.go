package gateway

import (
	"time"

	"thymebend/internal/downstream"
	"thymebend/internal/loop"
)

// beginWrite starts the time in which the client must take some of what is written next. Without a deadline a client
// that never reads would keep its connection open, and the process from exiting, forever.
func (d *downstreamConns) beginWrite(conn *downstream.Conn) {
	conn.WriteProgress.Begin(d.now)
	d.setDeadline(conn, d.now+downstream.WriteCheckInterval)
}

// checkWrite looks at the send queue of a connection that is being written to, or whose client has not yet closed it
// after its last answer. The result arrives in writeChecked.
func (d *downstreamConns) checkWrite(conn *downstream.Conn) {
	d.setDeadline(conn, d.nextWriteCheck(conn))
	d.emit(loop.Effect{Op: loop.ReportQueues, Conn: conn.ID})
}

// nextWriteCheck returns when the send queue of a connection is looked at again. After its last answer a connection
// must be closed before SIGKILL.
func (d *downstreamConns) nextWriteCheck(conn *downstream.Conn) time.Duration {
	next := d.now + downstream.WriteCheckInterval
	if conn.WriteClosed && d.shutdown.stopping() {
		next = min(next, max(d.now, d.shutdown.answerBy))
	}
	return next
}

// writeChecked handles the size of a connection's send queue. It drops the connection if the client takes nothing any
// more, or if the client has taken its last answer and does not close the connection.
func (d *downstreamConns) writeChecked(conn *downstream.Conn, undelivered int) {
	conn.WriteProgress.Observe(d.now, undelivered)
	switch {
	case conn.WriteClosed && (undelivered <= 0 || d.shutdown.stopping() && d.now >= d.shutdown.answerBy):
		d.drop(conn, ReasonAnswered)
	case !conn.WriteClosed && !(conn.Busy && conn.RequestID == 0): // the write has ended meanwhile
	case conn.WriteProgress.Stalled(d.now, downstream.ResponseWriteTimeout):
		d.drop(conn, ReasonClientTimeout)
	}
}
