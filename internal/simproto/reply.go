package simproto

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"thymebend/internal/balancer"
)

// The action codes of the protocol that are used.
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

// noInstance is the instance of a reply without actions.
const noInstance = -1

// Reply collects the actions of one batch. It implements balancer.Actions for the instance that SetInstance
// named last. Reset makes it ready.
type Reply struct {
	records  []byte // with the header before them
	tail     []byte
	count    uint32
	instance int // of the records written last
	next     int // of the records to come
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() {
	if cap(r.records) < replyHeaderSize {
		r.records = make([]byte, replyHeaderSize, 4096)
	}
	r.records, r.tail, r.count = r.records[:replyHeaderSize], r.tail[:0], 0
	r.instance, r.next = noInstance, noInstance
}

// SetInstance names the instance whose actions follow.
func (r *Reply) SetInstance(instance int) { r.next = instance }

// WriteTo implements io.WriterTo: the whole frame in one call.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.records, r.count)
	binary.LittleEndian.PutUint32(r.records[4:], uint32(len(r.records)+len(r.tail)))
	r.records = append(r.records, r.tail...)
	n, err := w.Write(r.records)
	return int64(n), err
}

// append adds a record, after one that names its instance where that is another one's than the last.
func (r *Reply) append(code byte) []byte {
	if r.instance != r.next {
		r.instance = r.next
		binary.LittleEndian.PutUint16(r.appendBlank(actionSetInstance)[1:], uint16(r.instance))
	}
	return r.appendBlank(code)
}

func (r *Reply) appendBlank(code byte) []byte {
	r.count++
	at := len(r.records)
	var zero [actionSize]byte
	r.records = append(r.records, zero[:]...)
	r.records[at] = code
	return r.records[at:]
}

// appendRequest adds a record that begins with a request's ID.
func (r *Reply) appendRequest(code byte, id balancer.RequestID) []byte {
	rec := r.append(code)
	binary.LittleEndian.PutUint32(rec[1:], uint32(id))
	return rec
}

func putMillis(b []byte, d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	binary.LittleEndian.PutUint64(b, math.Float64bits(ms))
}

// putEndpointID writes an IPv4 address and a port.
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
