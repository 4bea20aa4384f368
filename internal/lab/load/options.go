package load

import (
	"fmt"
	"syscall"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// Clients describes the behaviour of the clients.
type Clients struct {
	Retries         float64       // most retries per request; 1.5: one for half of the requests, two for the others
	Backoff         string        // delay between retries: "fixed", or "exp" for a delay that doubles after each retry
	RetryDelay      time.Duration // delay before the first retry
	HonourShare     float64       // share of the clients that wait for as long as Retry-After requests
	MaxRetryAfter   time.Duration // a client ends its retries on a Retry-After above this; 0 means no limit
	MinTimeoutShare float64       // each request gets a random share, from this to 1, of the client timeout; 0 means 1
	MarkRetries     bool          // retries are marked with X-Second-Try
	Connections     int           // connections opened before the first request, distributed over the targets
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
	IDPrefix       string                      // start of every request id; empty: made from Seed
	Record         *requestrecord.ClientRecord // records each attempt; nil: Run makes one
	Clock          func() time.Duration        // time since the start of the run; nil: counted from the call of Run
	Progress       func(Progress)              // called about four times a second; may be nil
	MaxOpenConns   int                         // at most, and if 0: the descriptor limit less reservedDescriptors
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
