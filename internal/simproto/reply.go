package simproto

import (
	"encoding/binary"
	"io"
	"math"
	"time"

	"thymebend/internal/balancer"
)

// The action codes of the wire.
const (
	actLog    = 1
	actCancel = 2
	actRefuse = 3
	actSend   = 4
	actWake   = 5
	actClose  = 6
	actWatch  = 10
	actFail   = 11
	actFor    = 13
)

// Reply collects the actions of one batch. It implements thymebend.Actions for the instance chosen last
// with For.
type Reply struct {
	records []byte
	tail    []byte
	count   uint32
	inst    int // of the records written last; -1 is none
	next    int // of the records to come
}

// Reset empties the reply for the next batch.
func (r *Reply) Reset() {
	if cap(r.records) < replyHeader {
		r.records = make([]byte, replyHeader, 4096)
	}
	r.records, r.tail, r.count, r.inst, r.next = r.records[:replyHeader], r.tail[:0], 0, -1, -1
}

// For names the instance whose actions follow.
func (r *Reply) For(inst int) { r.next = inst }

// WriteTo writes the whole frame in one call.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	binary.LittleEndian.PutUint32(r.records, r.count)
	binary.LittleEndian.PutUint32(r.records[4:], uint32(len(r.records)+len(r.tail)))
	r.records = append(r.records, r.tail...)
	n, err := w.Write(r.records)
	return int64(n), err
}

func (r *Reply) record(code byte) []byte {
	if r.inst != r.next {
		r.inst = r.next
		binary.LittleEndian.PutUint16(r.blank(actFor)[1:], uint16(r.inst))
	}
	return r.blank(code)
}

func (r *Reply) blank(code byte) []byte {
	r.count++
	at := len(r.records)
	var zero [actionSize]byte
	r.records = append(r.records, zero[:]...)
	r.records[at] = code
	return r.records[at:]
}

func (r *Reply) request(code byte, id balancer.RequestID) []byte {
	rec := r.record(code)
	binary.LittleEndian.PutUint32(rec[1:], uint32(id))
	return rec
}

func putTime(b []byte, d time.Duration) {
	v := float64(d) / float64(time.Millisecond)
	binary.LittleEndian.PutUint64(b, math.Float64bits(v))
}

// StartAttempt implements thymebend.Actions.
func (r *Reply) StartAttempt(id balancer.RequestID, to balancer.EndpointID, timeout time.Duration) {
	rec := r.request(actSend, id)
	binary.BigEndian.PutUint32(rec[5:], uint32(to>>16))
	binary.LittleEndian.PutUint16(rec[9:], uint16(to))
	putTime(rec[11:], timeout)
}

// Reject implements thymebend.Actions.
func (r *Reply) Reject(id balancer.RequestID, after time.Duration) {
	putTime(r.request(actRefuse, id)[5:], after)
}

// Fail implements thymebend.Actions.
func (r *Reply) Fail(id balancer.RequestID) { r.request(actFail, id) }

// CancelAttempt implements thymebend.Actions.
func (r *Reply) CancelAttempt(id balancer.RequestID, attempt int) {
	binary.LittleEndian.PutUint16(r.request(actCancel, id)[5:], uint16(attempt))
}

// CloseIdle implements thymebend.Actions.
func (r *Reply) CloseIdle(to balancer.EndpointID) {
	rec := r.record(actClose)
	binary.BigEndian.PutUint32(rec[1:], uint32(to>>16))
	binary.LittleEndian.PutUint16(rec[5:], uint16(to))
}

// SetTimer implements thymebend.Actions.
func (r *Reply) SetTimer(after time.Duration, token uint32) {
	rec := r.record(actWake)
	putTime(rec[1:], after)
	binary.LittleEndian.PutUint32(rec[9:], token)
}

// WatchEndpoints implements thymebend.Actions.
func (r *Reply) WatchEndpoints() { r.record(actWatch)[1] = 1 }

// Log implements thymebend.Actions.
func (r *Reply) Log(line string) {
	rec := r.record(actLog)
	binary.LittleEndian.PutUint32(rec[1:], uint32(len(r.tail)))
	binary.LittleEndian.PutUint32(rec[5:], uint32(len(line)))
	r.tail = append(r.tail, line...)
}
