// Package loop is the edge of the program: one epoll loop that owns every socket and timer, tells a reducer
// what happened and carries out the effects that it asks for. It knows no peer and keeps no protocol.
package loop

import (
	"net/netip"
	"time"
)

// Conn names a socket. A number is never used twice, so that news of a closed socket cannot reach a
// later one.
type Conn uint64

// Listener is the socket that clients connect to, Control the one for operators, Handover that for the
// next process of this gateway, Fleet that for datagrams of other gateways. Accepted sockets are
// numbered by the loop from firstAccepted on, dialled ones by the reducer from 1 on.
const (
	Listener      Conn = 0
	Admin         Conn = 1 << 62
	HotRestart    Conn = 1<<62 + 1
	Gossip        Conn = 1<<62 + 2
	firstAccepted Conn = 1 << 63
)

// Timer names a timer by what it is for and whom. Setting it again moves it.
type Timer struct {
	Kind uint8
	ID   uint64
}

// Kind says what an event tells.
type Kind uint8

// The events. Data, Drained, EOF and Broken answer a Read; Flushed and Broken answer a Write; Connected
// and Broken answer a Dial; Listening and Broken answer a Listen and a Bind; Stale answers a WriteQuiet
// on a socket whose peer has spoken or left meanwhile; File answers a ReadFile.
const (
	Readable Kind = iota
	Accepted
	AcceptFailed
	Connected
	Data
	Drained
	EOF
	Broken
	Flushed
	Stale
	Leaving // the peer of a muted socket has ended its sending, behind what lies unread; see Effect.Leaving
	Listening
	TimerDue
	Start // once, before anything else
	Stop
	Reload // the program is told to read its configuration anew
	File
	Turn // all that was ready has been told
	// more is of this package alone: the end of the stream, or more of what is urgent, is known to lie behind what
	// was just read.
	more
)

// Event is one thing that happened. Data is valid only while the reducer handles it.
type Event struct {
	Kind  Kind
	Conn  Conn
	Via   Conn // with Accepted: the listening socket that it came by
	Timer Timer
	Data  []byte
	// Passed, with Data on a Unix socket: sockets that came beside it, muted. Adopt makes one a
	// listening socket.
	Passed []Conn
	From   netip.AddrPort // with Data on a datagram socket, which tells one event for each datagram
	Err    error
	// Local, with Broken in answer to a Dial: this machine has run out of something, which tells nothing of the peer.
	Local bool
}

// Op says what an effect does.
type Op uint8

// The effects. Mute stops Readable events of a socket until Unmute, but for those of one that is
// broken. Again asks for one more Turn at once.
const (
	Accept Op = iota
	Dial      // Addr, or Path as a Unix socket
	Listen    // at Addr, or at Path as a Unix socket of mode 0600, as Conn
	Bind      // a datagram socket at Addr, as Conn
	SendTo    // Data as one datagram to Addr; what the socket or the network does not take is lost without a word
	Pass      // writes Data on a Unix socket with the sockets of Give beside it, and closes those here but for Listener
	Adopt     // makes the passed socket Conn the listening socket As
	Heap      // bounds the program's heap softly, by Bytes
	Read
	Write
	WriteQuiet
	Shutdown
	Close
	Abort // closes so that the peer sees a reset, never a regular end
	Mute
	Unmute
	SetTimer
	StopTimer
	ReadFile // the file at Path, whole
	Again
	Exit
)

// Effect is one thing that the reducer wants done. Data is written or copied before the next Step.
type Effect struct {
	Op      Op
	Conn    Conn
	Urgent  bool // with Dial and Listen: its news, and those of what it accepts, are told before those of other sockets
	Addr    netip.AddrPort
	Data    []byte
	Path    string
	Leaving bool // with Mute: Leaving is told, once, when the peer ends its sending meanwhile
	Most    int  // with Accept: so many sockets at most, 0 for as many as get a turn
	Give    []Conn
	As      Conn
	Bytes   int64
	Timer   Timer
	At      time.Duration
	Failed  error // with Exit: what the program could not start for
}

// Reducer holds all state. Step takes one event and returns the effects, valid until the next Step.
type Reducer interface {
	Step(now time.Duration, e Event) []Effect
}

// Clock is the one clock of the program: Unix time at its start plus what has passed since on the monotonic
// clock. It never goes back, and Unix times of other machines need no conversion.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now is the time.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}
