package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/fielderror"
	"thymebend/internal/settings"
)

// Sizes of the parts of a frame, in bytes.
const (
	batchHeaderSize = 16
	replyHeaderSize = 8
	eventSize       = 48
	actionSize      = 24
	endpointSize    = 23
	maxFrameSize    = 256 << 20 // limit on the size of a received frame
)

// maxMillis is the exclusive bound of every time, in milliseconds.
const maxMillis = 1e12

// Reader reads batches from a stream. It reuses its buffers.
type Reader struct {
	in        io.Reader
	frame     []byte
	endpoints []balancer.Endpoint
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next reads one frame. The Batch is valid until the next call. At the end of input, Next returns io.EOF if the last
// frame was complete, otherwise ErrTruncated.
func (r *Reader) Next() (Batch, error) {
	var size [4]byte
	if _, err := io.ReadFull(r.in, size[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, batchError(fmt.Errorf("%w in its size field: %w", ErrTruncated, err))
	}
	n := binary.LittleEndian.Uint32(size[:])
	if n < batchHeaderSize || n > maxFrameSize {
		return Batch{}, batchError(fielderror.CauseWithText(ErrSize,
			"size %d at byte 0 is outside %d to %d", n, batchHeaderSize, maxFrameSize))
	}
	if cap(r.frame) < int(n) {
		r.frame = make([]byte, n)
	}
	r.frame = r.frame[:n]
	copy(r.frame, size[:])
	if got, err := io.ReadFull(r.in, r.frame[4:]); err != nil {
		return Batch{}, batchError(fmt.Errorf("%w at byte %d of %d: %w", ErrTruncated, got+4, n, err))
	}
	return decode(r.frame, &r.endpoints)
}

// Batch is one frame of events.
type Batch struct {
	Now       time.Duration // the simulator's clock
	records   []byte
	tail      []byte
	endpoints *[]balancer.Endpoint // buffer for the entries of endpoint lists
	offset    int                  // byte offset of the next record in records
	instance  int                  // the instance to which the next records apply; -1 before the first selectInstance
}

// Decode checks the header of a frame in memory and returns the frame as a Batch, which refers to it.
func Decode(frame []byte) (Batch, error) { return decode(frame, new([]balancer.Endpoint)) }

// decode implements Decode, with a buffer for the entries of endpoint lists.
func decode(frame []byte, endpoints *[]balancer.Endpoint) (Batch, error) {
	if len(frame) < batchHeaderSize {
		return Batch{}, batchError(fielderror.CauseWithText(ErrTruncated,
			"%d bytes, the header alone has %d", len(frame), batchHeaderSize))
	}
	if n := binary.LittleEndian.Uint32(frame); int64(n) != int64(len(frame)) {
		return Batch{}, batchError(fielderror.CauseWithText(ErrSize,
			"states %d bytes at byte 0, has %d", n, len(frame)))
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(frame[4:]))
	if !(clock >= 0 && clock < maxMillis) {
		return Batch{}, batchError(fmt.Errorf("clock %v at byte 4 %w", clock, ErrTime))
	}
	count := int64(binary.LittleEndian.Uint32(frame[12:]))
	end := batchHeaderSize + count*eventSize
	if end > int64(len(frame)) {
		return Batch{}, batchError(fielderror.CauseWithText(ErrSize,
			"%d records need %d bytes, the frame has %d", count, end, len(frame)))
	}
	return Batch{Now: settings.DurationFromMillis(clock), records: frame[batchHeaderSize:end], tail: frame[end:],
		endpoints: endpoints, instance: -1}, nil
}

// Next decodes the next event. After the last event it returns io.EOF. The event's Endpoints are valid until the next
// call.
func (b *Batch) Next() (Event, error) {
	for b.offset < len(b.records) {
		index := b.offset / eventSize
		rec := record(b.records[b.offset : b.offset+eventSize])
		b.offset += eventSize
		if Kind(rec[0]) == selectInstance {
			b.instance = int(rec.uint16(1))
			continue
		}
		if b.instance < 0 {
			return Event{}, recordError(index, fielderror.CauseWithText(ErrNoInstance,
				"event code %d before any instance is named", rec[0]))
		}
		e, err := b.decodeEvent(rec)
		if err != nil {
			return Event{}, recordError(index, err)
		}
		return e, nil
	}
	return Event{}, io.EOF
}

// tailSlice returns the part of the tail that a record refers to by an offset in bytes and a count of items. It returns
// ErrOutsideTail if the part is not inside the tail.
func (b *Batch) tailSlice(field string, offset, count uint32, itemSize int64) ([]byte, error) {
	end := int64(offset) + int64(count)*itemSize
	if end > int64(len(b.tail)) {
		return nil, &fielderror.Error{Field: field, Err: fielderror.CauseWithText(ErrOutsideTail,
			"bytes %d to %d lie outside the tail of %d", offset, end, len(b.tail))}
	}
	return b.tail[offset:end], nil
}

// record is one event or list entry. Each of its fields is at a fixed offset in bytes.
type record []byte

func (r record) uint16(at int) uint16 { return binary.LittleEndian.Uint16(r[at:]) }
func (r record) uint32(at int) uint32 { return binary.LittleEndian.Uint32(r[at:]) }
func (r record) uint64(at int) uint64 { return binary.LittleEndian.Uint64(r[at:]) }

// millis reads a time in milliseconds, which the record stores as a float64.
func (r record) millis(at int, field string) (time.Duration, error) {
	ms := math.Float64frombits(r.uint64(at))
	if !(ms > -maxMillis && ms < maxMillis) {
		return 0, fielderror.Inlinef(field, "%v %w", ms, ErrTime)
	}
	return settings.DurationFromMillis(ms), nil
}

// endpointID reads an IPv4 address and a port, and returns them as an ID: the address in the bits above the 16 of the
// port.
func (r record) endpointID(at int) balancer.EndpointID {
	address := binary.BigEndian.Uint32(r[at:])
	return balancer.EndpointID(address)<<16 | balancer.EndpointID(r.uint16(at+4))
}
