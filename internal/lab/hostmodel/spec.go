package hostmodel

import "time"

// Spec describes a host.
type Spec struct {
	Name  string
	Site  string
	Kind  string
	Cores int     // number of requests that can run at full speed at the same time
	Speed float64 // speed of a core, in seconds of work per second
	Slots int     // most requests executed at the same time, on all cores together
	Queue int     // most requests that wait for a slot; further ones are rejected

	ThrashThreshold float64 // requests held per core above which efficiency falls
	ThrashFactor    float64 // the speed is divided by 1 + this value·(requests held per core - ThrashThreshold)

	SlowStart SlowStart
	Pause     Pause
	Neighbour Neighbour
	ErrorRate float64 // share of requests that end as Errored

	MaxConns      int           // most open connections; 0 means no limit
	FullTableTax  float64       // share of the capacity that a full table of connections costs
	HandshakeWork time.Duration // work that one new connection costs

	Report Report
	Body   int             // least number of bytes of a response's body
	Work   map[string]Work // by class; requests of other classes are rejected
}

// SlowStart is the slow start of a host: its reduced capacity after its start, and the load at which it crashes while
// its capacity is reduced.
type SlowStart struct {
	InitialShare float64       // share of the capacity at the start; 0 or 1 mean no slow start
	Duration     time.Duration // the host reaches its full capacity after this time at the latest
	ByWork       bool          // capacity grows with work done too; half of Duration at full speed is enough
	// CrashMultiple limits the work sent to the host within CrashWindow to this multiple of what its present capacity
	// can do in CrashWindow. On more the host crashes permanently. 0 means that it never crashes.
	CrashMultiple float64
	CrashWindow   time.Duration // window in which the work sent is summed
}

// Pause describes random pauses of the whole process, such as garbage collections.
type Pause struct {
	MeanInterval     time.Duration // mean interval, exponentially distributed; 0 means no pauses
	MeanDuration     time.Duration // mean length, exponentially distributed
	GrowthPerRequest float64       // relative growth of the pause's length for each request held per core
}

// Neighbour is another program that uses a share of the machine from time to time.
type Neighbour struct {
	Share                float64
	MeanActive, MeanIdle time.Duration // mean lengths of its active and idle periods, exponentially distributed
}

// Report describes how the host reports its load.
type Report struct {
	MinInterval, MaxInterval time.Duration // bounds of the random time between refreshes; MaxInterval 0: no reports
	Delay                    time.Duration // a refreshed report becomes visible to senders after this time
	Noise                    float64       // relative standard deviation of the reported values
}

// Load is a load report.
type Load struct {
	InFlight, Queue, Errors float64 // requests held, requests waiting, errors per second
}

// Request is a complete request.
type Request struct {
	ID    string
	Class string
}

// Kind is the kind of a reply.
type Kind uint8

// Reply is the end of a request that was passed to the host.
type Reply struct {
	Token uint64 // the token that Arrive returned
	ID    string
	Kind  Kind
	Body  []byte // for Served only
}
