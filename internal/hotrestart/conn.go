package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"thymebend/internal/loop"
)

// Conn is the connection to the other process.
type Conn struct {
	ID        loop.Conn
	received  []byte
	unclaimed []loop.Conn // received and not yet claimed by a message
}

// Feed takes what has come.
func (c *Conn) Feed(data []byte, passed []loop.Conn) {
	c.received = append(c.received, data...)
	c.unclaimed = append(c.unclaimed, passed...)
}

// Next returns the next message if it is whole.
func (c *Conn) Next() (m Message, whole bool, err error) {
	if len(c.received) < 4 {
		return m, false, nil
	}
	size := int(binary.BigEndian.Uint32(c.received))
	if size > maxMessage {
		return m, false, &SizeError{Bytes: size}
	}
	if len(c.received) < 4+size {
		return m, false, nil
	}
	if err := json.Unmarshal(c.received[4:4+size], &m); err != nil {
		return m, false, fmt.Errorf("hand-over message: %w", err)
	}
	switch {
	case m.Version != Version:
		return m, false, &VersionError{Theirs: m.Version}
	case m.Passed < 0 || m.Passed > len(c.unclaimed) || m.Passed != m.descriptorsNeeded():
		return m, false, fmt.Errorf("hand-over message %q with %d descriptors, %d came",
			m.Kind, m.Passed, len(c.unclaimed))
	}
	m.Conns, c.unclaimed = c.unclaimed[:m.Passed:m.Passed], c.unclaimed[m.Passed:]
	c.received = append([]byte(nil), c.received[4+size:]...)
	return m, true, nil
}

// Unclaimed returns the sockets that no message has claimed, to be closed with the connection.
func (c *Conn) Unclaimed() []loop.Conn { return c.unclaimed }

// Limits between the two.
const (
	// AnswerTimeout is how long a successor waits for a predecessor before it listens by itself.
	AnswerTimeout = time.Second
	// TakeoverTimeout is how long a predecessor waits for the successor to take clients, or to
	// acknowledge.
	TakeoverTimeout = 3 * time.Second
	// MaxBatch is the most downstream connections passed at once.
	MaxBatch = 64
	// maxMessage bounds a message, in bytes: of a list of 8,000 endpoints with long names and all that
	// is learnt of them, 4.7 MB.
	maxMessage = 16 << 20
)
