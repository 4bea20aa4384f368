package load

import (
	"fmt"
	"syscall"
	"time"

	"thymebend/internal/lab/requestrecord"
)

// Clients is how clients act.
type Clients struct {
	Retries     float64       // further tries at the most; 1.5 means one for half of them, two for the others
	Backoff     string        // "fixed" or "exp", doubling
	Wait        time.Duration // before the first retry
	Honour      float64       // share that waits as long as Retry-After tells
	MostAfter   time.Duration // the longest Retry-After that is followed; beyond it the client gives up. 0: no limit
	TryShare    float64       // a client leaves after a share between this and 1 of its client timeout; 0 means 1
	Marks       bool          // retries are marked as such
	Connections int           // open from the start, dealt out among the targets
	KeepFor     int           // requests on one connection; 0 means no limit
	SlowShare   float64       // share of the unsafe requests whose body comes in pieces
	SlowFor     time.Duration // over this time
	Silent      int           // connections more that are opened and say nothing
}

// Options of a run.
type Options struct {
	Targets  []string
	Front    *Front // over the targets; a new one if nil
	Classes  []Class
	Schedule Schedule
	Clients  Clients
	Notice   time.Duration // the front leaves out a target whose connects fail after this long
	Seed     uint64
	Prefix   string                      // of the ids
	Ledger   *requestrecord.ClientRecord // a new one if nil
	Clock    func() time.Duration        // of the run; a new one if nil. The schedule begins when Run is called
	Progress func(Progress)              // called about four times a second; may be nil
	MostOpen int                         // connections; 0: as many descriptors as the process may have, less a reserve
}

// defaults fills in what is not stated.
func (o *Options) defaults() {
	if o.Ledger == nil {
		o.Ledger = requestrecord.NewClients()
	}
	if o.Clock == nil {
		began := time.Now()
		o.Clock = func() time.Duration { return time.Since(began) }
	}
	if o.Prefix == "" {
		o.Prefix = fmt.Sprintf("%08x", uint32(o.Seed))
	}
	if o.Clients.TryShare <= 0 || o.Clients.TryShare > 1 {
		o.Clients.TryShare = 1
	}
	limit := descriptors()
	if o.MostOpen <= 0 || o.MostOpen > limit-reserve {
		o.MostOpen = limit - reserve
	}
}

// Progress is how far a run is.
type Progress struct {
	At                                           time.Duration
	Scheduled, OK, Refused, Failed, Open, Flight int
}

// descriptors is how many this process may have; the soft limit is raised to the hard one.
func descriptors() int {
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

// processorTime is what this process has used, in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
