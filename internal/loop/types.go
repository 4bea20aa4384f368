// Package loop does all I/O of the gateway. One epoll loop owns every socket and timer, delivers events to a
// reducer and performs the effects that the reducer returns. The loop implements no protocol and does not know what
// the peers of its sockets are.
package loop

import (
	"net/netip"
	"time"
)

// Conn identifies a socket. No number is reused, so that an event of a closed socket cannot be mistaken for an event
// of a newer one.
type Conn uint64

// The sockets with fixed numbers. Listener accepts clients, Admin accepts operators, and HotRestart accepts the
// successor process of this gateway; Gossip is the cluster's datagram socket. The loop numbers accepted sockets
// upwards from firstAccepted; the reducer numbers dialled sockets upwards from 1.
const (
	Listener      Conn = 0
	Admin         Conn = 1 << 62
	HotRestart    Conn = 1<<62 + 1
	Gossip        Conn = 1<<62 + 2
	firstAccepted Conn = 1 << 63
)

// Timer identifies a timer. Setting a timer that is already set replaces its expiry time.
type Timer struct {
	Kind uint8  // the purpose of the timer, as numbered by the reducer
	ID   uint64 // the object that the timer belongs to, for example a connection
}

// Kind is the type of an Event.
type Kind uint8

// The events. Most of them report the result of an effect.
const (
	Readable     Kind = iota // data, the end of the stream, an error or a new connection is waiting at a socket
	Accepted                 // a listening socket has accepted a connection
	AcceptFailed             // a listening socket cannot accept for now, usually because descriptors have run out
	Connected                // a dialled socket is connected
	Data                     // the data that a read returned
	WouldBlock               // a read or an accept found that nothing more is waiting at the socket
	EOF                      // a read found that the peer has ended its sending
	Broken                   // an error has closed the socket, or the socket could not be opened
	Flushed                  // the kernel has taken everything that was written to a socket
	Stale                    // nothing was written, since the peer has meanwhile sent data or closed
	// PeerShutdown reports that the peer of a socket whose reading is paused has ended its sending, perhaps after
	// unread data. It is delivered only if the effect that paused the reading set ReportShutdown.
	PeerShutdown
	Queues    // the sizes of a socket's queues
	Listening // a listening or datagram socket is open
	TimerDue  // a timer has expired
	Start     // the loop has started; this is the first event, and it is delivered once
	Stop      // a signal to stop the program has arrived
	Reload    // the signal to read the configuration again has arrived
	FileRead  // the result of ReadFile: the contents of the file, or the error
	TurnEnd   // the events of all ready sockets and expired timers of one turn of the loop have been delivered
	// readMore is internal to this package: the peer of a socket that was just read has ended its sending, or an urgent
	// socket may have more data because the read filled its buffer.
	readMore
)

// Event is the input of one step of the reducer.
type Event struct {
	Kind       Kind
	Conn       Conn
	AcceptedBy Conn // for Accepted, the listening socket that accepted the connection
	Timer      Timer
	// Data holds received bytes or the contents of a file. It is valid only while the reducer handles the event.
	Data []byte
	// PassedConns lists the sockets that another process passed beside Data on a Unix socket. Their reading is paused.
	// The effect AdoptListener makes a passed listening socket a listener of this process.
	PassedConns []Conn
	// From is the sender of Data on a datagram socket. Each datagram is delivered as a separate event.
	From netip.AddrPort
	// Queues holds the sizes of the socket's queues, for Queues.
	Queues QueueSizes
	Err    error
	// LocalFailure reports, for a dial that failed, that this machine or process has run out of a resource; the
	// endpoint may be healthy.
	LocalFailure bool
}

// QueueSizes holds the sizes of the two queues of a connection, in bytes. A size is negative if it is unknown.
type QueueSizes struct {
	// Unread is the number of received bytes that were not yet read.
	Unread int
	// ReceiveFull reports that the receive buffer may be so full that the kernel keeps the peer from sending: the peer may
	// have written more.
	ReceiveFull bool
	// ReceiveMemory is the memory that the kernel charges the receive buffer for, and ReceiveLimit how much it may use. They
	// are 0 if they are unknown. A segment is charged whole, with the kernel's own use of it, until its last byte is read: a
	// few unread bytes can fill the buffer.
	ReceiveMemory, ReceiveLimit int
	// LastReceivedAgo is the time since the last bytes arrived, read or not. It is negative if it is unknown.
	LastReceivedAgo time.Duration
	// Undelivered is the number of written bytes that the peer's machine has not yet acknowledged. It decreases while the
	// peer reads, even if the kernel does not report the socket as writable for a long time: it does so only once about a
	// third of its send buffer is free.
	Undelivered int
}

// Op is the type of an Effect.
type Op uint8

// The effects. The comment of each names the events that report its result.
const (
	Accept         Op = iota // accepts waiting connections: Accepted for each, AcceptFailed, WouldBlock if none is left
	Dial                     // connects to Addr, or to the Unix socket at Path: Connected or Broken
	Listen                   // listens as Conn at Addr, or at Path with a Unix socket of mode 0600: Listening or Broken
	Bind                     // opens Conn as a datagram socket at Addr: Listening or Broken
	SendTo                   // sends Data as one datagram to Addr; if that fails, the datagram is lost without an event
	PassSockets              // writes Data on a Unix socket with passed sockets and closes these here, except Listener
	AdoptListener            // makes the passed socket Conn a listener with the number AdoptAs: Listening or Broken
	SetMemoryLimit           // sets the soft memory limit of the Go runtime to Bytes
	Read                     // reads at most Bytes, ReadSize if that is 0: Data, EOF, Broken, or WouldBlock if nothing is waiting
	Write                    // writes Data, at once or when the kernel has room: Flushed or Broken
	WriteIfIdle              // writes Data unless the peer has sent data or closed: Flushed, Broken or Stale
	Shutdown                 // ends this side's sending; the peer may continue to send
	Close                    // closes the socket, without an event
	Abort                    // closes the socket so that the peer receives a reset and not a regular end
	PauseReading             // stops Readable events of the socket until ResumeReading, except after an error
	ResumeReading            // resumes the reading of a socket
	SetTimer                 // sets Timer to expire at At
	StopTimer                // stops Timer
	ReadFile                 // reads the whole file at Path: FileRead
	ReportQueues             // looks at the queues of a connection: Queues
	RequestTurn              // starts one more turn of the loop without waiting for a socket or a timer
	Exit                     // ends Run after the current turn of the loop
)

// Effect is one operation that the reducer requests. The loop writes or copies Data before the next Step.
type Effect struct {
	Op   Op
	Conn Conn
	// Urgent, with Dial, Listen and Bind, delivers the events of the socket, and of the connections that it accepts,
	// before the events of other sockets in each turn.
	Urgent         bool
	Addr           netip.AddrPort
	Data           []byte
	Path           string
	ReportShutdown bool   // when pausing reading: deliver one event if the peer ends its sending during the pause
	MaxAccepts     int    // maximum number of connections that one Accept accepts; 0 for the loop's limit
	PassConns      []Conn // the sockets to pass to the other process
	AdoptAs        Conn   // the number of a passed socket as a listening socket of this process
	Bytes          int64  // with Read, the largest number of bytes to read; with SetMemoryLimit, the limit
	Timer          Timer
	At             time.Duration // on the loop's Clock
	ExitError      error         // the error that Run returns after Exit; nil for a regular end
}

// Reducer holds all state of the gateway. Step handles one event and returns the effects to perform; they are valid
// until the next Step.
type Reducer interface {
	Step(now time.Duration, e Event) []Effect
}

// Clock is the only clock of the program. Its time is the Unix time at the program's start plus the time elapsed
// since on the monotonic clock. It never goes backwards, and it is comparable with the Unix times of other machines
// without conversion.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the present Unix time.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the time since the Unix epoch.
func (c Clock) Now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}
