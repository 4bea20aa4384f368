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

// Feed adds received bytes and the sockets passed beside them.
func (c *Conn) Feed(data []byte, passed []loop.Conn) {
	c.received = append(c.received, data...)
	c.unclaimed = append(c.unclaimed, passed...)
}

// Next returns the next message once it has been received completely.
func (c *Conn) Next() (m Message, complete bool, err error) {
	if len(c.received) < lengthPrefix {
		return m, false, nil
	}
	size := int(binary.BigEndian.Uint32(c.received))
	if size > maxMessage {
		return m, false, &SizeError{Bytes: size}
	}
	if len(c.received) < lengthPrefix+size {
		return m, false, nil
	}
	if err := json.Unmarshal(c.received[lengthPrefix:lengthPrefix+size], &m); err != nil {
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
	c.received = append([]byte(nil), c.received[lengthPrefix+size:]...)
	return m, true, nil
}

// Unclaimed returns the sockets that no message has claimed; they are to be closed with the connection.
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
	// maxMessage bounds a message, in bytes. A list of 8,000 endpoints with long names, and all that the
	// balancer has learnt of them, takes 4.7 MB.
	maxMessage = 16 << 20
	// lengthPrefix is the size of the length in front of each message, in bytes.
	lengthPrefix = 4
)
