// Package loop is the edge of the program: one epoll loop that owns every socket and timer, delivers
// events to a reducer and carries out the effects that it returns. It knows no peer and implements no protocol.
package loop

import (
	"net/netip"
	"time"
)

// Conn names a socket. A number is never used twice, so that an event of a closed socket cannot be
// taken for one of a later socket.
type Conn uint64

// Listener accepts clients, Admin operators, HotRestart the next process of this gateway; Gossip is the
// datagram socket of the cluster. Accepted sockets are numbered by the loop from firstAccepted on, dialled
// ones by the reducer from 1 on.
const (
	Listener      Conn = 0
	Admin         Conn = 1 << 62
	HotRestart    Conn = 1<<62 + 1
	Gossip        Conn = 1<<62 + 2
	firstAccepted Conn = 1 << 63
)

// Timer identifies a timer by its purpose and by what it belongs to. Setting it again moves it.
type Timer struct {
	Kind uint8
	ID   uint64
}

// Kind is the type of an event.
type Kind uint8

// The events. Data, Drained, EOF and Broken answer a Read; Flushed and Broken answer a Write; Connected
// and Broken answer a Dial; Listening and Broken answer a Listen and a Bind; Stale answers a WriteQuiet
// on a socket whose peer has sent data or closed meanwhile; File answers a ReadFile.
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
	Leaving // the peer of a muted socket has ended its sending, after data not yet read; see Effect.Leaving
	Listening
	TimerDue
	Start // once, before anything else
	Stop
	Reload // the operator's signal to read the configuration again
	File
	Turn // every event of the sockets that were ready has been delivered
	// more is internal to this package: the end of the stream, or more data of an urgent socket, is known to
	// follow the data just read.
	more
)

// Event reports one thing that happened. Data is valid only while the reducer handles the event.
type Event struct {
	Kind  Kind
	Conn  Conn
	Via   Conn // with Accepted: the listening socket that accepted it
	Timer Timer
	Data  []byte
	// Passed, with Data on a Unix socket: sockets that were passed beside it, muted. Adopt makes one of
	// them a listening socket.
	Passed []Conn
	From   netip.AddrPort // with Data on a datagram socket, which delivers one event for each datagram
	Err    error
	// Local, with Broken in answer to a Dial: this machine has run out of a resource; the peer may be well.
	Local bool
}

// Op is the type of an effect.
type Op uint8

// The effects. Mute stops Readable events of a socket until Unmute, except for a socket that is
// broken. Again asks for one more Turn at once.
const (
	Accept Op = iota
	Dial      // Addr, or Path as a Unix socket
	Listen    // at Addr, or at Path as a Unix socket of mode 0600, as Conn
	Bind      // a datagram socket at Addr, as Conn
	SendTo    // Data as one datagram to Addr; what the socket or the network does not take is lost without an event
	Pass      // writes Data on a Unix socket with the sockets of Give beside it, and closes them here, except Listener
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

// Effect is one operation that the reducer requests. Data is written or copied before the next Step.
type Effect struct {
	Op      Op
	Conn    Conn
	Urgent  bool // with Dial and Listen: its events, and those of what it accepts, go first
	Addr    netip.AddrPort
	Data    []byte
	Path    string
	Leaving bool // with Mute: a Leaving event is delivered once, when the peer ends its sending meanwhile
	Most    int  // with Accept: at most so many sockets; 0 for the loop's own limit
	Give    []Conn
	As      Conn
	Bytes   int64
	Timer   Timer
	At      time.Duration
	Failed  error // with Exit: why the program could not start
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

// Now returns the time.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}
