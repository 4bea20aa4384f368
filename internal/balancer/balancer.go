// Package balancer decides for a load-balancing gateway: which server gets which request and when, what is
// tried again, and what is refused. The interface (settings, events, actions) is in api.go; decisions stand
// in one file for each concern: dispatch.go, limits.go, ejection.go, slowstart.go, retries.go, refusal.go,
// listing.go. Their constants and the state are in this one.
//
// The ordinary path is ILAC-0.9: requests queue first-come at the gateway, and each is released to the
// server with most room under its limit ceil(u), which an adaptive integral loop steers by service time. A
// threshold psi bounds the wait, and a slower loop splits the response aim between waiting and service.
package balancer

import (
	"cmp"
	"math/rand/v2"
	"time"

	"thymebend/internal/backoff"
	"thymebend/internal/subset"
)

// The sampling period of all loops, as in the paper.
const period = 250 * time.Millisecond

// The design's own constants.
const (
	gamma        = 0.9  // share of the response aim meant for waiting
	serviceGain  = 0.16 // c(1-c) for a closed-loop pole c = 0.8
	gainMemory   = 0.5  // weight of the old estimate of K
	waitGain     = 0.07 // integral gain of psi
	topGain      = 0.01 // integral gain of the top-level loop
	maxPsi       = 2.0  // psi stays under this multiple of the wait setpoint
	failureRatio = 2.0  // a failure counts as a service time of this multiple of the setpoint
	percentile   = 95   // the response statistic that the top-level loop holds at the aim
)

// Constants of this module. All are dimensionless or multiples of something observed or set.
const (
	crowding      = 1.4       // least setpoint over the uncrowded time: room for noise, no crowd
	crowdRoom     = 0.6       // but beyond it no more than this share of the part of the aim for service
	baseRise      = 1e-3      // forgetting of the uncrowded estimate, a sample: some minutes
	mostWaiting   = 1.5       // reported waiting that is a crowd: more than one by chance
	queueWeight   = 0.25      // weight of one report in the smoothed queue: chance makes single ones vary
	queueStep     = 0.08      // what a crowd lowers u by, a sample: half the gain, it only helps the loop
	memory        = 64        // answers over which a service time is smoothed: known to about a tenth
	baseSamples   = 8         // answers before an average is trusted
	fleetFloor    = 5.0       // all gateways together pace no server below this: a few cores
	arrivalDecay  = 1.0 / 64  // of the counted arrivals, a sample: a quarter minute of memory
	slowAverage   = 1.0 / 256 // weight of one request in what is learnt of its class: seconds of traffic
	heavyClip     = 4.0       // an answer counts for at most so many class means: heavy work, no crowd
	minResponse   = 0.5       // the top-level loop never halves the aim more than once
	lateMargin    = 4.0       // held work leaves its service time and so many deviations before the aim
	crossHold     = 0.5       // of the hold, the longest wait before a crossing, which takes time to find
	silenceFactor = 6.0       // a server is silent after this multiple of its service time without an answer
	failWeight    = 0.2       // weight of one outcome in a server's failure share
	ejectShare    = 0.35      // passed by two failures in a row, or by about one failure in three
	maxEjected    = 0.5       // more than this share looking bad means the load is, not the servers
	maxBackoff    = 3         // doublings of the ejection time
	holdTurns     = 3.0       // openings of room for which work is held at least, if it may be
	retryShare    = 0.1       // repeats of work that may have run, per request taken
	retryBurst    = 20.0      // and how many may be saved up
	patienceNoise = 0.03      // of the patience: network delays before a request comes
	mostAgreed    = 64        // votes kept for what first tries have, so that a change is seen in a second
	ownSharers    = 8.0       // gateways of its own zone that use a server
	farSharers    = 4.0       // and of the others
	leastMembers  = 2.0       // servers that a gateway uses in all, if there are so many
	restShare     = 1.0 / 64  // of the aim, the least rest of a server that turned work away or failed
	hearsay       = 0.5       // of the failures and of the silence that eject a server which others found bad
	coldShare     = 0.5       // of the work that would push a cold server over, over all gateways
)

// Timer tokens.
const tokenSample, tokenQueue, tokenWatch uint32 = 0, 1, 2

// Balancer takes the decisions of one gateway.
type Balancer struct {
	cfg Config
	out Actions
	rng *rand.Rand
	now time.Duration

	requests map[RequestID]*request
	queue    []*request // held requests, oldest first
	free     []*request // for reuse
	byID     map[EndpointID]*server
	servers  []*server          // in the order in which the list named them
	members  []*server          // those that this gateway uses, see choose
	own, far []*server          // places of the servers of its own zone and of the others
	stale    bool               // members have to be chosen anew
	given    []AssignedEndpoint // by the fleet; empty while none divides the servers
	inFleet  bool               // gateways speak with each other: cold servers get what Turn gives
	weights  [2]float64         // of the members of the own zone, and of all; 0 without a fleet
	yielded  bool               // another process of this gateway has the cold servers' budgets
	reach    subset.Expansion   // beyond its even part, among the servers of other zones
	signs    subset.Signals     // for it, in this sample

	classes []classState
	tenants []tenantState
	mean    float64 // service time of the average class, ms; 0 is unknown

	psi       float64 // threshold of waiting, in aims
	response  float64 // R, the response setpoint in aims
	waits     average // waiting of this period, in aims
	responses [64]float64
	responded int

	retryTokens float64
	started     time.Duration
	queueArmed  bool
	warmRate    float64 // answers of a warm server to all gateways, a second, as far as seen here

	asking, watching bool // asking: a call to the list is unanswered
	askedAt          time.Duration
	calls            backoff.Backoff
	held             bool          // nothing new is sent: the list may be about to change
	loggedAt         time.Duration // 0 is never
}

// classState is what is learnt about a class.
type classState struct {
	Class
	service  average          // service time, ms
	spread   average          // its mean absolute deviation, ms
	density  float64          // what serving it adds to the goal, for a ms of work
	arrivals float64          // taken lately
	served   average          // share answered in time
	hold     [2]time.Duration // how long it is held while room is short, within and over share
	expected time.Duration
	patience time.Duration // of most requests: of first tries
	noRoom   [2]bool       // seen in this Dispatch, see pick
	agreed   int           // how many more had it lately than had not
	open     int           // requests not yet forgotten
	retired  time.Duration // no longer in the settings since then; 0 if it is
}

// tenantState is a token bucket of a tenant's share at this gateway.
type tenantState struct {
	rate, tokens float64
	at           time.Duration
}

// request is a request taken and not yet concluded, or one with attempts still out.
type request struct {
	Request
	arrived  time.Duration
	begun    time.Duration // when its client first tried
	deadline time.Duration
	over     bool // beyond its tenant's share
	done     bool // has its final answer
	queued   bool
	open     int // attempts out
	attempts []attempt
}

// attempt is one send of a request.
type attempt struct {
	server  *server
	sent    time.Duration
	ended   bool
	unrun   bool // known not to have run
	writing bool // its request is still being written
}

// server is one start of one server.
type server struct {
	Endpoint
	listed    bool
	sharers   float64 // gateways that use it
	member    bool    // one of those that this gateway uses
	crowd     float64 // by how much more of these use it than the mean
	even, was bool    // and of its even part, which sharers counts: now, and before the last choice
	reached   bool    // or taken because this gateway is short of room
	inflight  int
	out       []RequestID // whose attempts are in flight
	kinds     []kind      // by class

	u                 float64 // the limit before rounding up
	gain              float64 // K, ms of service for each request in flight; 0 is unknown
	base              float64 // service time uncrowded, ms; 0 is unknown
	smooth            average // service time lately, ms
	sum               float64 // of this sample's service times
	answers, failures int     // of this sample
	backlog           float64 // requests waiting at the server as its answers report, smoothed; else 0
	bound             bool    // was full while requests were held, in this sample

	failShare        float64
	heard            time.Duration // last answer, or the send that ended idleness
	restUntil        time.Duration // after a fast failure
	ejected          bool
	silent           bool // ejected for silence
	trialAt          time.Duration
	ejections, fulls int // fulls are the full refusals since its last answer
	coldTokens       float64
	coldAt           time.Duration
	weight           float64         // among the members, by the fleet; 0 without one
	doubted          bool            // others found it bad
	turns            []time.Duration // requests that it may get while it is cold, each until then
}

// kind is how one class fares at one server: attempts in flight; the first send since the last answer, while
// one is out or the class is mute, else 0; and when a mute class has its next trial.
type kind struct {
	out, tries   int
	since, tryAt time.Duration
}

// New starts a balancer. It may act at once.
func New(cfg Config, seed uint64, now time.Duration, out Actions) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.DispatchInterval = cmp.Or(cfg.DispatchInterval, time.Millisecond)
	b := &Balancer{
		cfg: cfg, out: out, now: now, rng: rand.New(rand.NewPCG(seed, 0)),
		requests: make(map[RequestID]*request), byID: make(map[EndpointID]*server),
		psi: gamma, response: 1, started: now,
		retryTokens: retryBurst,
	}
	for _, c := range cfg.Classes {
		b.classes = append(b.classes, classState{Class: c})
	}
	b.setTenants()
	b.setHolds()
	b.out.SetTimer(period, tokenSample)
	if cfg.PollDiscovery {
		b.watch()
	}
	return b, nil
}

// RequestArrived takes a request, which this gateway then owes a final answer.
func (b *Balancer) RequestArrived(now time.Duration, in Request) {
	b.now = now
	if in.Class < 0 || in.Class >= len(b.classes) {
		b.out.Fail(in.ID)
		return
	}
	if b.requests[in.ID] != nil {
		return
	}
	r := b.newRequest()
	begun := now - in.Elapsed
	r.Request, r.arrived, r.begun, r.deadline = in, begun, begun, begun+in.ClientTimeout
	if age := b.classes[in.Class].age(in.ClientTimeout); in.Retry || !b.cfg.ClientsMarkRetries {
		r.begun -= age // a first try of an impatient client is no repeat
	}
	r.over = b.overShare(in.Tenant)
	b.requests[in.ID] = r
	b.classes[in.Class].arrivals++
	b.classes[in.Class].open++
	b.retryTokens = min(b.retryTokens+retryShare, retryBurst)
	b.hold(r)
}

// RequestAbandoned tells that a request is concluded without an answer of this gateway.
func (b *Balancer) RequestAbandoned(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil {
		b.conclude(r, false)
	}
}

// ResponseStarted tells that a stream has begun: the attempt belongs to the client now.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil {
		r.done = true
	}
}

// AssignEndpoints tells what the fleet gives this gateway: its servers, and behind them its spares, the
// next to be used first. From the first time on, cold servers get requests by Turn alone. Nothing given
// leaves parts to count and number.
func (b *Balancer) AssignEndpoints(now time.Duration, servers []AssignedEndpoint) {
	b.now, b.inFleet, b.stale = now, true, true
	b.given = append(b.given[:0], servers...)
}

// GrantSlowStartToken gives this gateway one request for a cold server, to be sent before a time.
func (b *Balancer) GrantSlowStartToken(now time.Duration, id EndpointID, until time.Duration) {
	b.now = now
	if s := b.byID[id]; s != nil && !b.yielded {
		s.turns = append(s.turns, until)
	}
}

// TimerFired tells that a Wake fell due.
func (b *Balancer) TimerFired(now time.Duration, token uint32) {
	b.now = now
	switch token {
	case tokenSample:
		b.sample()
		b.out.SetTimer(period, tokenSample)
	case tokenQueue:
		b.queueArmed = false
	case tokenWatch:
		if !b.watching && !b.asking {
			b.watch()
		}
	}
}
