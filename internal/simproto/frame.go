// Package simproto speaks the binary dialect of the simulator's wire: it reads batches of events and writes
// replies of actions. It takes no decisions.
package simproto

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/settings"
)

// Sizes of the frame parts, in bytes.
const (
	batchHeader  = 16
	replyHeader  = 8
	eventSize    = 48
	actionSize   = 24
	entrySize    = 23
	maxFrameSize = 256 << 20
)

// Kind is the code of an event record.
type Kind uint8

// The event codes of the wire.
const (
	AttemptEnded Kind = 1
	Lapsed       Kind = 2
	TimerFired   Kind = 3
	First        Kind = 4
	ListChanged  Kind = 5
	Probed       Kind = 6
	NewRequest   Kind = 7
	switchTo     Kind = 8
	Message      Kind = 9
	Start        Kind = 10
	Stop         Kind = 11
)

// Event is one decoded event. Only the fields of its kind are set; texts and lists point into the frame.
type Event struct {
	Instance int
	Kind     Kind
	Request  balancer.Request        // NewRequest; only its ID for Lapsed and First
	End      balancer.AttemptEnd     // AttemptEnded
	Load     Load                    // AttemptEnded
	Token    uint32                  // TimerFired
	Seed     uint64                  // Start
	Settings string                  // Start
	List     balancer.EndpointUpdate // ListChanged
	Servers  []balancer.Endpoint     // ListChanged
}

var outcomes = map[uint16]balancer.Outcome{
	100: balancer.OutcomeOK, 301: balancer.OutcomeError, 302: balancer.OutcomeRejected, 303: balancer.OutcomeTimeout,
	304: balancer.OutcomeConnectFailed, 305: balancer.OutcomeReset, 306: balancer.OutcomeCancelled, 307: balancer.OutcomeNotStarted,
}

var listKinds = [...]balancer.EndpointUpdate{
	0: balancer.CachedSnapshot, 1: balancer.WatchFailed, 2: balancer.Delta, 3: balancer.Snapshot,
}

// Reader reads batches from a stream and reuses its buffer.
type Reader struct {
	in      io.Reader
	frame   []byte
	servers []balancer.Endpoint
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader { return &Reader{in: in} }

// Next reads one frame. It returns io.EOF at a clean end of input.
func (r *Reader) Next() (Batch, error) {
	var size [4]byte
	if _, err := io.ReadFull(r.in, size[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("batch: cut short in its size field: %w", err)
	}
	n := binary.LittleEndian.Uint32(size[:])
	if n < batchHeader || n > maxFrameSize {
		return Batch{}, fmt.Errorf("batch: size %d at byte 0 is outside %d to %d", n, batchHeader, maxFrameSize)
	}
	if cap(r.frame) < int(n) {
		r.frame = make([]byte, n)
	}
	r.frame = r.frame[:n]
	copy(r.frame, size[:])
	if got, err := io.ReadFull(r.in, r.frame[4:]); err != nil {
		return Batch{}, fmt.Errorf("batch: cut short at byte %d of %d: %w", got+4, n, err)
	}
	return decode(r.frame, &r.servers)
}

// Batch is one frame of events.
type Batch struct {
	Now     time.Duration
	records []byte
	tail    []byte
	servers *[]balancer.Endpoint
	at      int
	inst    int
}

// Decode checks the header of a frame held in memory.
func Decode(frame []byte) (Batch, error) { return decode(frame, new([]balancer.Endpoint)) }

func decode(frame []byte, servers *[]balancer.Endpoint) (Batch, error) {
	if len(frame) < batchHeader {
		return Batch{}, fmt.Errorf("batch: %d bytes, the header alone has %d", len(frame), batchHeader)
	}
	if n := binary.LittleEndian.Uint32(frame); int64(n) != int64(len(frame)) {
		return Batch{}, fmt.Errorf("batch: states %d bytes at byte 0, has %d", n, len(frame))
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(frame[4:]))
	if !(clock >= 0 && clock < 1e12) {
		return Batch{}, fmt.Errorf("batch: clock %v at byte 4 is not a usable time", clock)
	}
	count := int64(binary.LittleEndian.Uint32(frame[12:]))
	end := batchHeader + count*eventSize
	if end > int64(len(frame)) {
		return Batch{}, fmt.Errorf("batch: %d records need %d bytes, the frame has %d", count, end, len(frame))
	}
	return Batch{Now: settings.Millis(clock), records: frame[batchHeader:end], tail: frame[end:], servers: servers,
		inst: -1}, nil
}

// Next decodes the next event, or returns io.EOF. Its Servers are valid until the next call.
func (b *Batch) Next() (Event, error) {
	for b.at < len(b.records) {
		index := b.at / eventSize
		rec := b.records[b.at : b.at+eventSize]
		b.at += eventSize
		if Kind(rec[0]) == switchTo {
			b.inst = int(binary.LittleEndian.Uint16(rec[1:]))
			continue
		}
		if b.inst < 0 {
			return Event{}, fmt.Errorf("record %d: event code %d before any instance is named", index, rec[0])
		}
		e, err := b.event(rec)
		if err != nil {
			return Event{}, fmt.Errorf("record %d: %w", index, err)
		}
		return e, nil
	}
	return Event{}, io.EOF
}

func (b *Batch) event(rec []byte) (Event, error) {
	le := binary.LittleEndian
	e := Event{Instance: b.inst, Kind: Kind(rec[0])}
	var err error
	switch e.Kind {
	case AttemptEnded:
		e.End, err = attemptEnd(rec)
		e.Load = load(rec[24:])
	case Lapsed, First:
		e.Request.ID = balancer.RequestID(le.Uint32(rec[1:]))
	case TimerFired:
		e.Token = le.Uint32(rec[1:])
	case ListChanged:
		err = b.list(rec, &e)
	case NewRequest:
		e.Request, err = request(rec)
	case Start:
		e.Seed = le.Uint64(rec[1:])
		var text []byte
		text, err = b.slice("info", le.Uint32(rec[9:]), le.Uint32(rec[13:]), 1)
		e.Settings = string(text)
	case Message:
		_, err = b.slice("contents", le.Uint32(rec[3:]), le.Uint32(rec[7:]), 1)
	case Probed, Stop:
	default:
		err = fmt.Errorf("unknown event code %d", rec[0])
	}
	return e, err
}

func float(rec []byte, name string) (time.Duration, error) {
	v := math.Float64frombits(binary.LittleEndian.Uint64(rec))
	if !(v > -1e12 && v < 1e12) {
		return 0, fmt.Errorf("%s %v is not a usable time", name, v)
	}
	return settings.Millis(v), nil
}

func host(rec []byte) balancer.EndpointID {
	port := binary.LittleEndian.Uint16(rec[4:])
	return balancer.EndpointID(binary.BigEndian.Uint32(rec))<<16 | balancer.EndpointID(port)
}

func attemptEnd(rec []byte) (balancer.AttemptEnd, error) {
	le := binary.LittleEndian
	code := le.Uint16(rec[13:])
	outcome, ok := outcomes[code]
	if !ok {
		return balancer.AttemptEnd{}, fmt.Errorf("unknown outcome %d at byte 13", code)
	}
	latency, err := float(rec[15:], "latency_ms")
	return balancer.AttemptEnd{
		Request: balancer.RequestID(le.Uint32(rec[1:])), Attempt: int(le.Uint16(rec[5:])),
		Endpoint: host(rec[7:]), Outcome: outcome, Latency: latency, RequestDone: rec[23] != 0,
	}, err
}

// Load is a load report as it came: its first N values.
type Load struct {
	N      int
	Values [4]float64
}

func load(rec []byte) Load {
	l := Load{N: min(int(rec[0]), 4)}
	for i := range l.N {
		l.Values[i] = float64(math.Float32frombits(binary.LittleEndian.Uint32(rec[1+4*i:])))
	}
	return l
}

// Waiting is the requests waiting at a server, where column names which value of the report says so.
func (l Load) Waiting(column int) (float64, bool) {
	if column < 0 || column >= l.N || !(l.Values[column] >= 0) {
		return 0, false
	}
	return l.Values[column], true
}

func request(rec []byte) (balancer.Request, error) {
	le := binary.LittleEndian
	left, err := float(rec[17:], "patience_left_ms")
	return balancer.Request{
		ID: balancer.RequestID(le.Uint32(rec[1:])), Tenant: int(le.Uint32(rec[5:])),
		ClientTimeout: left, Class: int(le.Uint16(rec[25:])), Retry: rec[27]&2 != 0,
	}, err
}

func (b *Batch) list(rec []byte, e *Event) error {
	le := binary.LittleEndian
	if int(rec[1]) >= len(listKinds) {
		return fmt.Errorf("unknown list kind %d at byte 1", rec[1])
	}
	e.List = listKinds[rec[1]]
	entries, err := b.slice("hosts", le.Uint32(rec[10:]), le.Uint32(rec[14:]), entrySize)
	if err != nil {
		return err
	}
	out := (*b.servers)[:0]
	for i := 0; i < len(entries); i += entrySize {
		s, err := entry(entries[i : i+entrySize])
		if err != nil {
			return fmt.Errorf("list entry %d: %w", i/entrySize, err)
		}
		out = append(out, s)
	}
	*b.servers, e.Servers = out, out
	return nil
}

func entry(rec []byte) (balancer.Endpoint, error) {
	born, err := float(rec[14:], "born_ms")
	if err != nil {
		return balancer.Endpoint{}, err
	}
	if rec[13] > 2 {
		return balancer.Endpoint{}, fmt.Errorf("unknown availability %d at byte 13", rec[13])
	}
	state := [...]balancer.EndpointState{balancer.EndpointRemoved, balancer.EndpointReady, balancer.EndpointDraining}[rec[13]]
	return balancer.Endpoint{
		Zone: int(rec[4]), Cell: int(binary.LittleEndian.Uint16(rec[5:])), ID: host(rec[7:]), State: state,
		StartedAt: born,
	}, nil
}

// slice returns count items of the tail, after checking that they lie inside it.
func (b *Batch) slice(name string, offset, count uint32, size int64) ([]byte, error) {
	end := int64(offset) + int64(count)*size
	if end > int64(len(b.tail)) {
		return nil, fmt.Errorf("%s: bytes %d to %d lie outside the tail of %d", name, offset, end, len(b.tail))
	}
	return b.tail[offset:end], nil
}
