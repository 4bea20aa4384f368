package hostmodel

import "time"

// Spec is one host as it is built.
type Spec struct {
	Name  string
	Site  string
	Kind  string
	Cores int     // requests that run at full speed side by side
	Speed float64 // of a core; 1 does a second of work in a second
	Slots int     // requests in work at once, over all cores
	Queue int     // requests that wait beyond them; further ones are turned away

	ThrashAt float64 // requests held per core from which on efficiency falls
	Thrash   float64 // loss for each further one per core: the rate is divided by 1 + Thrash·excess

	Cold      Cold
	Pause     Pause
	Neighbour Neighbour
	ErrorRate float64 // share of attempts that end with an error

	Conns         int           // connections held at most; 0 means no limit
	FullTax       float64       // share of the capacity that a full table of connections takes
	HandshakeWork time.Duration // work of one new connection

	Report Report
	Body   int             // bytes of an answer's body, at least
	Work   map[string]Work // by class
}

// Cold is the weakness of a host that has just started.
type Cold struct {
	From   float64       // share of the capacity at birth; 0 or 1 mean that it is born warm
	For    time.Duration // it is warm after this long at the latest
	ByWork bool          // it warms with the work done as well: half of what it could do in For is enough
	// sent over this multiple of what it can do, for FallFor, it falls over for good; 0 never
	FallMultiple float64
	FallFor      time.Duration
}

// Pause is a stop of the whole process, as for collecting memory.
type Pause struct {
	Every time.Duration // in the mean, exponentially spread; 0 never
	For   time.Duration // in the mean
	Grow  float64       // longer by this share for each request held per core
}

// Neighbour is another program that takes a share of the machine, on and off.
type Neighbour struct {
	Share   float64
	On, Off time.Duration // in the mean
}

// Report is how the host tells its load.
type Report struct {
	Least, Most time.Duration // between refreshes; Most 0 means that there are no reports
	Delay       time.Duration // a refresh shows after this long
	Noise       float64       // relative, standard deviation
}

// Load is a load report.
type Load struct {
	InFlight, Queue, Errors float64 // requests held, requests waiting, errors a second
}

// Request is one request as it arrives, whole.
type Request struct {
	ID    string
	Class string
}

// Kind says how a reply came to be.
type Kind uint8

// Reply is the end of an arrival.
type Reply struct {
	Token uint64 // as Arrive returned it
	ID    string
	Kind  Kind
	Body  []byte // with Served
}
