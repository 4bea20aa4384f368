// Package hotrestart speaks to the other process at an upgrade: the elder, which serves, gives a newcomer the listening
// socket, what it knows, and its idle client links. It keeps nothing of the gateway.
package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/loop"
)

// Version of the messages. Processes of different ones do not hand over.
const Version = 1

// Limits between the two.
const (
	// AnswerTimeout is how long a newcomer waits for an elder before it listens by itself.
	AnswerTimeout = time.Second
	// TakeoverTimeout is how long an elder waits for the newcomer to take clients, or to acknowledge.
	TakeoverTimeout = 3 * time.Second
	// Batch is the most client links passed at once.
	Batch = 64
	// most bounds a message, in bytes: of a list of 8,000 hosts with long names and all that is learnt of them, 4.7 MB.
	most = 16 << 20
)

// Kind says what a message is.
type Kind string

// A newcomer says Hello, Taking and Got; an elder says State, Links and Bye.
const (
	Hello       Kind = "hello"  // who comes
	State       Kind = "state"  // what the elder knows, with the listening socket
	Taking      Kind = "taking" // the newcomer accepts clients
	PassConns   Kind = "links"  // idle client links; perhaps none, with news of Holds
	Acknowledge Kind = "got"    // the newcomer has them
	Decline     Kind = "bye"    // nothing can be handed over
)

// Message is one message of either side.
type Message struct {
	Version     int             `json:"version"`
	Kind        Kind            `json:"kind"`
	Listen      string          `json:"listen,omitempty"` // with Hello: the clients' address
	Reason      string          `json:"reason,omitempty"` // with Bye
	List        json.RawMessage `json:"list,omitempty"`   // with State: the host list in discovery's form
	Balancer    *balancer.State `json:"learned,omitempty"`
	Descriptors int             `json:"holds,omitempty"` // descriptors that the elder needs
	Idle        []IdleConn      `json:"links,omitempty"`
	// With State: what the next process is in the fleet; 0 where this one is in none.
	FleetStart       uint64      `json:"fleet_start,omitempty"`
	FleetIncarnation uint64      `json:"fleet_incarnation,omitempty"`
	Passed           int         `json:"passed,omitempty"` // descriptors beside this message
	Conns            []loop.Conn `json:"-"`                // those, as received
}

// IdleConn is what is told of a client link.
type IdleConn struct {
	HasRequested bool  `json:"asked"`
	Requests     int   `json:"queries"`
	IdleMS       int64 `json:"idle_ms"`
}

// Path is where an elder that serves clients at an address listens.
func Path(dir string, listen netip.AddrPort) string {
	return filepath.Join(dir, "thymebend-"+strings.NewReplacer(":", "-", "[", "", "]", "").Replace(listen.String())+".sock")
}

// Encode is a message as it is sent.
func (m Message) Encode() ([]byte, error) {
	m.Version = Version
	body, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(body) > most {
		return nil, fmt.Errorf("a hand-over message of %d bytes, at most %d", len(body), most)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...), nil
}

// Conn is the connection to the other process.
type Conn struct {
	ID     loop.Conn
	in     []byte
	passed []loop.Conn // received and not yet claimed by a message
}

// Feed takes what has come.
func (l *Conn) Feed(data []byte, passed []loop.Conn) {
	l.in = append(l.in, data...)
	l.passed = append(l.passed, passed...)
}

// Next returns the next message if it is whole.
func (l *Conn) Next() (m Message, whole bool, err error) {
	if len(l.in) < 4 {
		return m, false, nil
	}
	size := int(binary.BigEndian.Uint32(l.in))
	if size > most {
		return m, false, fmt.Errorf("a hand-over message of %d bytes, at most %d", size, most)
	}
	if len(l.in) < 4+size {
		return m, false, nil
	}
	if err := json.Unmarshal(l.in[4:4+size], &m); err != nil {
		return m, false, fmt.Errorf("hand-over message: %w", err)
	}
	switch {
	case m.Version != Version:
		return m, false, fmt.Errorf("the other process hands over in version %d, this one in %d", m.Version, Version)
	case m.Passed < 0 || m.Passed > len(l.passed) || m.Passed != m.needs():
		return m, false, fmt.Errorf("hand-over message %q with %d descriptors, %d came", m.Kind, m.Passed, len(l.passed))
	}
	m.Conns, l.passed = l.passed[:m.Passed:m.Passed], l.passed[m.Passed:]
	l.in = append([]byte(nil), l.in[4+size:]...)
	return m, true, nil
}

// needs is how many descriptors belong to a message.
func (m Message) needs() int {
	if m.Kind == State {
		return 1
	}
	return len(m.Idle)
}

// Unclaimed returns the sockets that no message has claimed, to be closed with the link.
func (l *Conn) Unclaimed() []loop.Conn { return l.passed }
