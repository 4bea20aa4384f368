package load

import (
	"fmt"
	"syscall"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// Clients describes the behaviour of the clients.
type Clients struct {
	Retries         float64       // maximum per request; 1.5 means one for half of the requests, two for the others
	Backoff         string        // of the delay between retries: "fixed", or "exp" to double it after each retry
	RetryDelay      time.Duration // delay before the first retry
	HonourShare     float64       // share of the clients that wait for as long as Retry-After requests
	MaxRetryAfter   time.Duration // a client ends its retries on a Retry-After above this; 0 means no limit
	MinTimeoutShare float64       // each client uses a random share of the client timeout, from this to 1; 0 means 1
	MarkRetries     bool          // retries are marked with X-Second-Try
	Connections     int           // opened before the first request, distributed over the targets
	RequestsPerConn int           // requests on one connection before it is closed; 0 means no limit
	SlowShare       float64       // share of the unsafe requests whose body is written in pieces
	SlowDuration    time.Duration // time over which the pieces of such a body are written
	SilentConns     int           // further connections that are opened and send nothing
}

// Options are the settings of a run.
type Options struct {
	Targets        []string
	Front          *Front // distributes requests over the targets; nil: Run makes one
	Classes        []Class
	Schedule       Schedule
	Clients        Clients
	DetectionDelay time.Duration // the Front removes a target whose connects have failed for this long; at least 100 ms
	Seed           uint64
	IDPrefix       string                      // of the request ids; empty: made from Seed
	Record         *requestrecord.ClientRecord // records each attempt; nil: Run makes one
	Clock          func() time.Duration        // time of the run; nil: 0 at Run. The schedule starts when Run is called
	Progress       func(Progress)              // called about four times a second; may be nil
	MaxOpenConns   int                         // 0, or over the descriptor limit: the limit less reservedDescriptors
}

// defaults replaces unset options by their default values.
func (o *Options) defaults() {
	if o.Record == nil {
		o.Record = requestrecord.NewClientRecord()
	}
	if o.Clock == nil {
		began := time.Now()
		o.Clock = func() time.Duration { return time.Since(began) }
	}
	if o.IDPrefix == "" {
		o.IDPrefix = fmt.Sprintf("%08x", uint32(o.Seed))
	}
	if o.Clients.MinTimeoutShare <= 0 || o.Clients.MinTimeoutShare > 1 {
		o.Clients.MinTimeoutShare = 1
	}
	limit := raiseDescriptorLimit()
	if o.MaxOpenConns <= 0 || o.MaxOpenConns > limit-reservedDescriptors {
		o.MaxOpenConns = limit - reservedDescriptors
	}
}

// Progress is the state of a run in progress: its time, the counts of requests by outcome, open connections and
// requests in flight.
type Progress struct {
	At                                             time.Duration
	Scheduled, OK, Refused, Failed, Open, InFlight int
}

// raiseDescriptorLimit raises the soft limit of file descriptors to the hard one and returns it, at most 1<<20.
// It returns 1024 if the limit cannot be read.
func raiseDescriptorLimit() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 1024
	}
	if l.Cur < l.Max {
		raised := l
		raised.Cur = l.Max
		if syscall.Setrlimit(syscall.RLIMIT_NOFILE, &raised) == nil {
			l = raised
		}
	}
	return int(min(l.Cur, 1<<20))
}

// cpuTime returns the processor time that this process has used, in user and system mode.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
