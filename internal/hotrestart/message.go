// Package hotrestart implements the protocol between the two processes of a gateway during a hot restart. The
// predecessor, which serves clients, passes to its successor the listening socket, its state and its idle downstream
// connections. The package encodes and decodes the messages and holds no state of the gateway.
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

// Version is the version of the protocol. Processes with different versions cannot perform a hot restart.
const Version = 1

// Kind is the type of a message.
type Kind string

// The kinds of messages.
const (
	Hello     Kind = "hello"  // from the successor: it requests a hot restart
	State     Kind = "state"  // from the predecessor: its state, with the listening socket
	Accepting Kind = "taking" // from the successor: it now accepts clients
	// PassConns is from the predecessor: it passes up to MaxBatch idle downstream connections, possibly none, and
	// states how many descriptors the predecessor still needs.
	PassConns   Kind = "links"
	Acknowledge Kind = "got" // from the successor: it has received the connections
	// UsedIDs is from either process: the ids of requests that it has forwarded and that must not run again. It is sent only
	// to a process that has stated SharesIDs: earlier versions do not know it.
	UsedIDs Kind = "ids"
	Decline Kind = "bye" // from the predecessor: no hot restart is possible, with the reason
)

// Message is a message from either process.
type Message struct {
	Version  int             `json:"version"`
	Kind     Kind            `json:"kind"`
	Listen   string          `json:"listen,omitempty"`  // for Hello: the address at which clients connect
	Reason   string          `json:"reason,omitempty"`  // for Decline
	List     json.RawMessage `json:"list,omitempty"`    // for State: the endpoint list in discovery's format
	Balancer *balancer.State `json:"learned,omitempty"` // for State: the state of the balancer
	// DescriptorsHeld, in State and PassConns, is the number of descriptors that the predecessor still needs.
	DescriptorsHeld int        `json:"holds,omitempty"`
	Idle            []IdleConn `json:"links,omitempty"` // for PassConns: the connections passed
	// For State: the process start, in ms of Unix time, and the incarnation with which the successor continues in the
	// cluster; both are 0 if the predecessor is in no cluster.
	ClusterStart       uint64      `json:"fleet_start,omitempty"`
	ClusterIncarnation uint64      `json:"fleet_incarnation,omitempty"`
	SharesIDs          bool        `json:"shares_ids,omitempty"` // for Hello and State: the sender takes UsedIDs
	IDs                []byte      `json:"ids,omitempty"`        // for State and UsedIDs: the ids, see internal/usedids
	DescriptorsPassed  int         `json:"passed,omitempty"`     // the number of descriptors passed with this message
	Conns              []loop.Conn `json:"-"`                    // the sockets received with this message
}

// IdleConn describes a downstream connection that is passed to the successor.
type IdleConn struct {
	HasRequested bool  `json:"asked"`   // a request, health check or malformed request was received on it
	Requests     int   `json:"queries"` // number of requests passed to the balancer
	IdleMS       int64 `json:"idle_ms"` // how long it has been idle
}

// Path returns the path of the Unix socket at which a process that serves clients at the address listen waits for its
// successor.
func Path(dir string, listen netip.AddrPort) string {
	address := strings.NewReplacer(":", "-", "[", "", "]", "").Replace(listen.String())
	return filepath.Join(dir, "thymebend-"+address+".sock")
}

// Encode returns the encoded message: its length in four bytes, big-endian, and then the message as JSON.
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

// descriptorsNeeded returns the number of descriptors that must be passed with the message.
func (m Message) descriptorsNeeded() int {
	if m.Kind == State {
		return 1
	}
	return len(m.Idle)
}
