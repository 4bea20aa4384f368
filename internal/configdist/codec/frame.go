package codec

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/zeebo/xxh3"
)

// Version is the version of the frame format.
const Version = 1

// Sizes of a frame, in bytes.
const (
	headerSize          = 1 + 1 + 4 + 8 + 8 + 8 // version, kind, length, cluster, incarnation, number
	checksumSize        = 4
	FrameOverhead       = headerSize + checksumSize // bytes of a frame beside its body
	MaxGatewayBodyBytes = 128 << 10                 // maximum from and to gateways
	MaxPeerBodyBytes    = 40 << 20                  // maximum between control machines: a snapshot of the log
)

// Errors that Receive returns for a frame.
var (
	ErrTruncated = errors.New("codec: truncated frame")
	ErrTooLong   = errors.New("codec: frame too long")
	ErrVersion   = errors.New("codec: unknown frame version")
	ErrKind      = errors.New("codec: unknown frame kind")
	ErrCluster   = errors.New("codec: frame from another cluster")
	ErrChecksum  = errors.New("codec: wrong frame checksum")
	ErrDuplicate = errors.New("codec: frame was received before, or is too old to tell")
)

// ClusterID returns the number that identifies a cluster in frames.
func ClusterID(name string) uint64 { return xxh3.HashString(name) }

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Sender encodes and numbers the frames that one process sends to one receiver.
type Sender struct {
	Cluster     uint64
	Incarnation uint64 // of the process; later processes have higher ones
	lastNumber  uint64
}

// Append appends a message to b, encoded as the next frame.
func (s *Sender) Append(b []byte, m Message) []byte {
	s.lastNumber++
	start := len(b)
	b = append(b, Version, byte(m.Kind()), 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint64(b, s.Cluster)
	b = binary.BigEndian.AppendUint64(b, s.Incarnation)
	b = binary.BigEndian.AppendUint64(b, s.lastNumber)
	b = m.appendBody(b)
	binary.BigEndian.PutUint32(b[start+2:], uint32(len(b)-start-headerSize))
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
}

// Receiver decodes the frames from the successive processes of one sender, and rejects a frame that it has received
// before.
type Receiver struct {
	Cluster     uint64
	incarnation uint64
	highest     uint64 // highest frame number received from the process with this incarnation
	seen        uint64 // bit i is set if frame highest-i was received
}

// Receive decodes the first frame of b. consumed is the number of bytes to discard: the length of the frame, also if
// it is rejected, or all of b if the length cannot be trusted. It is 0 with ErrTruncated, which means that more bytes
// are needed.
func (r *Receiver) Receive(b []byte) (m Message, consumed int, err error) {
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
		return nil, len(b), fmt.Errorf("%w: body of %d bytes exceeds the maximum of %d bytes", ErrTooLong, size,
			maxBody(kind))
	case len(b) < size+FrameOverhead:
		return nil, 0, fmt.Errorf("%w: %d of %d bytes", ErrTruncated, len(b), size+FrameOverhead)
	}
	consumed = size + FrameOverhead
	end := headerSize + size
	if crc32.Checksum(b[:end], castagnoli) != binary.BigEndian.Uint32(b[end:]) {
		return nil, consumed, ErrChecksum
	}
	if cluster := binary.BigEndian.Uint64(b[6:]); cluster != r.Cluster {
		return nil, consumed, fmt.Errorf("%w: %016x", ErrCluster, cluster)
	}
	body := NewReader(b[headerSize:end])
	m = newMessage(kind)
	if m.readBody(body); body.Err() != nil {
		return nil, consumed, fmt.Errorf("%w: kind %d", ErrMalformed, kind)
	}
	incarnation, number := binary.BigEndian.Uint64(b[14:]), binary.BigEndian.Uint64(b[22:])
	if !r.recordIfNew(incarnation, number) {
		return nil, consumed, fmt.Errorf("%w: number %d of incarnation %d", ErrDuplicate, number, incarnation)
	}
	return m, consumed, nil
}

func maxBody(k Kind) int {
	if k >= KindRaftMessage {
		return MaxPeerBodyBytes
	}
	return MaxGatewayBodyBytes
}

// replayWindow is the number of frame numbers, up to the highest received one, for which the receiver knows whether
// the frame was received. Older frames are rejected.
const replayWindow = 64

// recordIfNew records a frame number as received and reports whether it is new.
func (r *Receiver) recordIfNew(incarnation, number uint64) bool {
	switch {
	case incarnation < r.incarnation:
		return false
	case incarnation > r.incarnation:
		r.incarnation, r.highest, r.seen = incarnation, number, 1
		return true
	case number > r.highest:
		r.seen = r.seen<<min(number-r.highest, replayWindow) | 1
		r.highest = number
		return true
	case r.highest-number >= replayWindow || r.seen>>(r.highest-number)&1 == 1:
		return false
	}
	r.seen |= 1 << (r.highest - number)
	return true
}
