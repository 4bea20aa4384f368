package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/zeebo/xxh3"
)

// Version is that of the frames.
const Version = 1

// Sizes of a frame.
const (
	headerSize   = 1 + 1 + 4 + 8 + 8 + 8 // version, kind, length, cluster, incarnation, number
	checksumSize = 4
	Overhead     = headerSize + checksumSize
	MaxBody      = 128 << 10 // of a gateway's frames
	MaxPeerBody  = 40 << 20  // of a control machine's: a snapshot of the log
)

// Errors of a frame.
var (
	ErrTruncated = errors.New("codec: the frame ends too early")
	ErrTooLong   = errors.New("codec: the frame is too long")
	ErrVersion   = errors.New("codec: unknown version")
	ErrKind      = errors.New("codec: unknown kind")
	ErrCluster   = errors.New("codec: a frame of another cluster")
	ErrChecksum  = errors.New("codec: the checksum is wrong")
	ErrRepeated  = errors.New("codec: the frame has come before, or is too old to know")
)

// ClusterID is the number by which frames name a cluster.
func ClusterID(name string) uint64 { return xxh3.HashString(name) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sender numbers and encodes the frames of one process to one receiver.
type Sender struct {
	Cluster     uint64
	Incarnation uint64 // of the process: a later one has a higher number
	last        uint64
}

// Append encodes one message as the next frame.
func (s *Sender) Append(b []byte, m Message) []byte {
	s.last++
	begin := len(b)
	b = append(b, Version, byte(m.Kind()), 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, s.Cluster)
	b = binary.BigEndian.AppendUint64(b, s.Incarnation)
	b = binary.BigEndian.AppendUint64(b, s.last)
	b = m.appendBody(b)
	binary.BigEndian.PutUint32(b[begin+2:], uint32(len(b)-begin-headerSize))
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b[begin:], castagnoli))
}

// Receiver takes the frames of one sender's processes. Each frame is taken once.
type Receiver struct {
	Cluster     uint64
	incarnation uint64
	high        uint64 // highest number of that incarnation
	seen        uint64 // bit i: high-i has come
}

// Receive reads the first frame of b. used is its length, also with most errors; ErrTorn says that more bytes are
// needed.
func (r *Receiver) Receive(b []byte) (m Message, used int, err error) {
	if len(b) < headerSize {
		return nil, 0, fmt.Errorf("%w: %d bytes", ErrTruncated, len(b))
	}
	kind, size := Kind(b[1]), int(binary.BigEndian.Uint32(b[2:]))
	switch {
	case b[0] != Version:
		return nil, len(b), fmt.Errorf("%w %d", ErrVersion, b[0])
	case kind == 0 || kind > lastKind:
		return nil, len(b), fmt.Errorf("%w %d", ErrKind, kind)
	case size > maxBody(kind):
		return nil, len(b), fmt.Errorf("%w: a body of %d bytes, %d at most", ErrTooLong, size, maxBody(kind))
	case len(b) < size+Overhead:
		return nil, 0, fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(b), size+Overhead)
	}
	used = size + Overhead
	end := headerSize + size
	if crc32.Checksum(b[:end], castagnoli) != binary.BigEndian.Uint32(b[end:]) {
		return nil, used, ErrChecksum
	}
	if cluster := binary.BigEndian.Uint64(b[6:]); cluster != r.Cluster {
		return nil, used, fmt.Errorf("%w: %016x", ErrCluster, cluster)
	}
	body := NewReader(b[headerSize:end])
	m = newMessage(kind)
	if m.readBody(body); body.Err() != nil {
		return nil, used, fmt.Errorf("%w: kind %d", ErrMalformed, kind)
	}
	incarnation, number := binary.BigEndian.Uint64(b[14:]), binary.BigEndian.Uint64(b[22:])
	if !r.isNew(incarnation, number) {
		return nil, used, fmt.Errorf("%w: number %d of incarnation %d", ErrRepeated, number, incarnation)
	}
	return m, used, nil
}

func maxBody(k Kind) int {
	if k >= KindRaftMessage {
		return MaxPeerBody
	}
	return MaxBody
}

// windowSize is how far behind the highest number a frame may come and still be known for new.
const windowSize = 64

// isNew notes a number, and reports whether it is new.
func (r *Receiver) isNew(incarnation, number uint64) bool {
	switch {
	case incarnation < r.incarnation:
		return false
	case incarnation > r.incarnation:
		r.incarnation, r.high, r.seen = incarnation, number, 1
		return true
	case number > r.high:
		r.seen = r.seen<<min(number-r.high, windowSize) | 1
		r.high = number
		return true
	case r.high-number >= windowSize || r.seen>>(r.high-number)&1 == 1:
		return false
	}
	r.seen |= 1 << (r.high - number)
	return true
}
