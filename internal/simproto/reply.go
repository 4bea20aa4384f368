package simproto

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"thymebend/internal/balancer"
)

// The action codes of the protocol that this package writes.
const (
	actionLog            = 1
	actionCancelAttempt  = 2
	actionReject         = 3
	actionStartAttempt   = 4
	actionSetTimer       = 5
	actionCloseIdle      = 6
	actionWatchEndpoints = 10
	actionFail           = 11
	actionSetInstance    = 13
)

// noInstance is the instance of an empty reply, before the first SetInstance.
const noInstance = -1

// Reply collects the actions that answer one batch. It implements balancer.Actions for the instance of the last
// SetInstance call. Reset must be called before the first use.
type Reply struct {
	records         []byte // the header, followed by the records
	tail            []byte
	count           uint32
	encodedInstance int // the instance of the last record; noInstance if there is none
	currentInstance int // the instance of the next record
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() {
	if cap(r.records) < replyHeaderSize {
		r.records = make([]byte, replyHeaderSize, 4096)
	}
	r.records, r.tail, r.count = r.records[:replyHeaderSize], r.tail[:0], 0
	r.encodedInstance, r.currentInstance = noInstance, noInstance
}

// SetInstance names the instance whose actions follow.
func (r *Reply) SetInstance(instance int) { r.currentInstance = instance }

// WriteTo implements io.WriterTo. It writes the whole frame in one call of w.Write.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.records, r.count)
	binary.LittleEndian.PutUint32(r.records[4:], uint32(len(r.records)+len(r.tail)))
	r.records = append(r.records, r.tail...)
	n, err := w.Write(r.records)
	return int64(n), err
}

// append adds a record for the current instance. If the record before it applies to another instance, append adds a
// record that selects the instance first.
func (r *Reply) append(code byte) []byte {
	if r.encodedInstance != r.currentInstance {
		r.encodedInstance = r.currentInstance
		binary.LittleEndian.PutUint16(r.appendZeroed(actionSetInstance)[1:], uint16(r.encodedInstance))
	}
	return r.appendZeroed(code)
}

// appendZeroed adds a record that holds only its code, and returns its bytes.
func (r *Reply) appendZeroed(code byte) []byte {
	r.count++
	at := len(r.records)
	var zero [actionSize]byte
	r.records = append(r.records, zero[:]...)
	r.records[at] = code
	return r.records[at:]
}

// appendRequest adds a record with a request's ID after the code.
func (r *Reply) appendRequest(code byte, id balancer.RequestID) []byte {
	rec := r.append(code)
	binary.LittleEndian.PutUint32(rec[1:], uint32(id))
	return rec
}

// putMillis writes a time in milliseconds, as a float64.
func putMillis(b []byte, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	binary.LittleEndian.PutUint64(b, math.Float64bits(ms))
}

// putEndpointID writes an endpoint's ID as an IPv4 address and a port.
func putEndpointID(b []byte, id balancer.EndpointID) {
	binary.BigEndian.PutUint32(b, uint32(id>>16))
	binary.LittleEndian.PutUint16(b[4:], uint16(id))
}

// StartAttempt implements balancer.Actions.
func (r *Reply) StartAttempt(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	rec := r.appendRequest(actionStartAttempt, id)
	putEndpointID(rec[5:], to)
	putMillis(rec[11:], timeout)
}

// Reject implements balancer.Actions.
func (r *Reply) Reject(id balancer.RequestID, retryAfter time.Duration) {
	putMillis(r.appendRequest(actionReject, id)[5:], retryAfter)
}

// Fail implements balancer.Actions.
func (r *Reply) Fail(id balancer.RequestID) { r.appendRequest(actionFail, id) }

// CancelAttempt implements balancer.Actions.
func (r *Reply) CancelAttempt(id balancer.RequestID, attempt int) {
	binary.LittleEndian.PutUint16(r.appendRequest(actionCancelAttempt, id)[5:], uint16(attempt))
}

// CloseIdle implements balancer.Actions.
func (r *Reply) CloseIdle(to balancer.EndpointID) { putEndpointID(r.append(actionCloseIdle)[1:], to) }

// SetTimer implements balancer.Actions.
func (r *Reply) SetTimer(after time.Duration, token uint32) {
	rec := r.append(actionSetTimer)
	putMillis(rec[1:], after)
	binary.LittleEndian.PutUint32(rec[9:], token)
}

// WatchEndpoints implements balancer.Actions.
func (r *Reply) WatchEndpoints() { r.append(actionWatchEndpoints)[1] = 1 }

// Log implements balancer.Actions.
func (r *Reply) Log(line string) {
	rec := r.append(actionLog)
	binary.LittleEndian.PutUint32(rec[1:], uint32(len(r.tail)))
	binary.LittleEndian.PutUint32(rec[5:], uint32(len(line)))
	r.tail = append(r.tail, line...)
}
