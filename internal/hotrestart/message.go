// Package hotrestart is the protocol between two processes of one gateway during an upgrade: the predecessor, which
// serves, gives its successor the listening socket, what it knows, and its idle downstream connections. The package
// encodes and decodes messages and keeps no state of the gateway.
package hotrestart

import (
	"encoding/binary"
	"encoding/json"
	"net/netip"
	"path/filepath"
	"strings"

	"thymebend/internal/balancer"
	"thymebend/internal/loop"
)

// Version of the messages. Processes with different versions do not hand over.
const Version = 1

// Kind is the type of a message.
type Kind string

// A successor sends Hello, Taking and Acknowledge; a predecessor sends State, PassConns and Decline.
const (
	Hello       Kind = "hello"  // the successor's greeting
	State       Kind = "state"  // what the predecessor knows, with the listening socket
	Taking      Kind = "taking" // the successor accepts clients
	PassConns   Kind = "links"  // idle downstream connections; perhaps none, with a new value of Descriptors
	Acknowledge Kind = "got"    // the successor has them
	Decline     Kind = "bye"    // nothing can be handed over
)

// Message is one message of either side.
type Message struct {
	Version     int             `json:"version"`
	Kind        Kind            `json:"kind"`
	Listen      string          `json:"listen,omitempty"` // with Hello: the clients' address
	Reason      string          `json:"reason,omitempty"` // with Decline
	List        json.RawMessage `json:"list,omitempty"`   // with State: the endpoint list in discovery's format
	Balancer    *balancer.State `json:"learned,omitempty"`
	Descriptors int             `json:"holds,omitempty"` // descriptors that the predecessor needs
	Idle        []IdleConn      `json:"links,omitempty"`
	// With State: what the successor is in the cluster; 0 where this process is in none.
	ClusterStartID     uint64      `json:"fleet_start,omitempty"`
	ClusterIncarnation uint64      `json:"fleet_incarnation,omitempty"`
	Passed             int         `json:"passed,omitempty"` // descriptors beside this message
	Conns              []loop.Conn `json:"-"`                // the sockets beside this message, as received
}

// IdleConn describes a downstream connection that is passed to the successor.
type IdleConn struct {
	HasRequested bool  `json:"asked"`
	Requests     int   `json:"queries"`
	IdleMS       int64 `json:"idle_ms"`
}

// Path returns the Unix socket at which a predecessor that serves clients at an address listens.
func Path(dir string, listen netip.AddrPort) string {
	address := strings.NewReplacer(":", "-", "[", "", "]", "").Replace(listen.String())
	return filepath.Join(dir, "thymebend-"+address+".sock")
}

// Encode returns the message as it is sent: its length in four bytes, then JSON.
func (m Message) Encode() ([]byte, error) {
	m.Version = Version
	body, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if len(body) > maxMessage {
		return nil, &SizeError{Bytes: len(body)}
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...), nil
}

// descriptorsNeeded returns how many descriptors belong to a message.
func (m Message) descriptorsNeeded() int {
	if m.Kind == State {
		return 1
	}
	return len(m.Idle)
}
