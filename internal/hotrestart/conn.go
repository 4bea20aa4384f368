package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"thymebend/internal/loop"
)

// Conn is the connection to the other process of a hot restart.
type Conn struct {
	ID        loop.Conn
	SharesIDs bool        // the other process takes and sends UsedIDs
	received  []byte      // bytes received and not yet decoded
	unclaimed []loop.Conn // sockets received whose message has not yet been decoded
}

// Feed adds received bytes and the sockets that were passed with them.
func (c *Conn) Feed(data []byte, passed []loop.Conn) {
	c.received = append(c.received, data...)
	c.unclaimed = append(c.unclaimed, passed...)
}

// Next returns the next message. complete is false if it has not been received completely. After an error, the
// connection cannot be used further.
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
		return m, false, fmt.Errorf("malformed hand-over message: %w", err)
	}
	switch {
	case m.Version != Version:
		return m, false, &VersionError{PeerVersion: m.Version}
	case m.DescriptorsPassed < 0 || m.DescriptorsPassed > len(c.unclaimed) ||
		m.DescriptorsPassed != m.descriptorsNeeded():
		return m, false, fmt.Errorf("hand-over message %q states %d descriptors, needs %d, and %d were received",
			m.Kind, m.DescriptorsPassed, m.descriptorsNeeded(), len(c.unclaimed))
	}
	m.Conns, c.unclaimed = c.unclaimed[:m.DescriptorsPassed:m.DescriptorsPassed], c.unclaimed[m.DescriptorsPassed:]
	c.received = append([]byte(nil), c.received[lengthPrefix+size:]...)
	return m, true, nil
}

// UnclaimedConns returns the sockets that belong to no decoded message. The caller closes them together with the
// connection.
func (c *Conn) UnclaimedConns() []loop.Conn { return c.unclaimed }

// Limits of the communication between predecessor and successor.
const (
	// AnswerTimeout is how long a successor waits for the predecessor's answer before it opens a listening socket
	// itself.
	AnswerTimeout = time.Second
	// TakeoverTimeout is how long a predecessor waits for the successor to accept clients, and then for each
	// acknowledgement of passed connections.
	TakeoverTimeout = 3 * time.Second
	// MaxBatch is the maximum number of downstream connections passed with one message.
	MaxBatch = 64
	// maxMessage is the maximum size of a message, in bytes. A list of 8,000 endpoints with long names takes 4.7 MB,
	// together with all that the balancer has learned about them.
	maxMessage = 16 << 20
	// lengthPrefix is the size of the length field before each message, in bytes.
	lengthPrefix = 4
)
