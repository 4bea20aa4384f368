// Package thymebend decides for a load-balancing gateway: which server gets which request and when, what is
// tried again, and what is refused. The interface (settings, events, actions) is in api.go; every decision
// and every constant is in this file.
//
// The ordinary path is ILAC-0.9: requests queue first-come at the gateway, and each is released to the server
// with most room under its limit ceil(u), which an adaptive integral loop steers by service time. A
// threshold psi bounds the wait, and a slower loop splits the response aim between waiting and service.
//
// Sections follow the flow of events: settings, events, queue and dispatch, limit loops, health, attempts,
// refusals, server list.
package thymebend

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"thymebend/internal/pacing"
	"thymebend/internal/subset"
)

// ---- settings -------------------------------------------------------------------------------------------

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
	byID     map[ServerID]*server
	servers  []*server     // in the order in which the list named them
	members  []*server     // those that this gateway uses, see choose
	own, far []*server     // places of the servers of its own zone and of the others
	stale    bool          // members have to be chosen anew
	given    []FleetServer // by the fleet; empty while none divides the servers
	inFleet  bool          // gateways speak with each other: cold servers get what Turn gives
	weights  [2]float64    // of the members of the own zone, and of all; 0 without a fleet
	yielded  bool          // another process of this gateway has the cold servers' budgets
	reach    subset.Reach  // beyond its even part, among the servers of other zones
	signs    subset.Signs  // for it, in this sample

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
	calls            pacing.Pacer
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
	Server
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
	cfg.Tick = cmp.Or(cfg.Tick, time.Millisecond)
	b := &Balancer{
		cfg: cfg, out: out, now: now, rng: rand.New(rand.NewPCG(seed, 0)),
		requests: make(map[RequestID]*request), byID: make(map[ServerID]*server),
		psi: gamma, response: 1, started: now,
		retryTokens: retryBurst,
	}
	for _, c := range cfg.Classes {
		b.classes = append(b.classes, classState{Class: c})
	}
	b.setTenants()
	b.setHolds()
	b.out.Wake(period, tokenSample)
	if cfg.AskForList {
		b.watch()
	}
	return b, nil
}

// ---- events ---------------------------------------------------------------------------------------------

// Request takes a request, which this gateway then owes a final answer.
func (b *Balancer) Request(now time.Duration, in Request) {
	b.now = now
	if in.Class < 0 || in.Class >= len(b.classes) {
		b.out.Fail(in.ID)
		return
	}
	if b.requests[in.ID] != nil {
		return
	}
	r := b.newRequest()
	begun := now - in.Waited
	r.Request, r.arrived, r.begun, r.deadline = in, begun, begun, begun+in.Patience
	if age := b.classes[in.Class].age(in.Patience); in.Repeat || !b.cfg.MarksRepeats {
		r.begun -= age // a first try of an impatient client is no repeat
	}
	r.over = b.overShare(in.Tenant)
	b.requests[in.ID] = r
	b.classes[in.Class].arrivals++
	b.classes[in.Class].open++
	b.retryTokens = min(b.retryTokens+retryShare, retryBurst)
	b.hold(r)
}

// Lapsed tells that a request is concluded without an answer of this gateway.
func (b *Balancer) Lapsed(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil {
		b.conclude(r, false)
	}
}

// First tells that a stream has begun: the attempt belongs to the client now.
func (b *Balancer) First(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests[id]; r != nil {
		r.done = true
	}
}

// Fleet tells what the fleet gives this gateway: its servers, and behind them its spares, the next to be
// used first. From the first time on, cold servers get requests by Turn alone. Nothing given leaves parts to
// count and number.
func (b *Balancer) Fleet(now time.Duration, servers []FleetServer) {
	b.now, b.inFleet, b.stale = now, true, true
	b.given = append(b.given[:0], servers...)
}

// Turn gives this gateway one request for a cold server, to be sent before a time.
func (b *Balancer) Turn(now time.Duration, id ServerID, until time.Duration) {
	b.now = now
	if s := b.byID[id]; s != nil && !b.yielded {
		s.turns = append(s.turns, until)
	}
}

// Timer tells that a Wake fell due.
func (b *Balancer) Timer(now time.Duration, token uint32) {
	b.now = now
	switch token {
	case tokenSample:
		b.sample()
		b.out.Wake(period, tokenSample)
	case tokenQueue:
		b.queueArmed = false
	case tokenWatch:
		if !b.watching && !b.asking {
			b.watch()
		}
	}
}

// ---- queue and dispatch ---------------------------------------------------------------------------------

// Dispatch releases what there is room for, refuses what has waited too long and holds the rest. It is
// called once after the events that arrived together.
func (b *Balancer) Dispatch(now time.Duration) {
	b.now = now
	for i := range b.classes {
		b.classes[i].noRoom = [2]bool{}
	}
	if b.stale {
		b.choose()
	}
	kept := b.queue[:0]
	for _, r := range b.queue {
		if r.done {
			r.queued = false
			b.release(r)
			continue
		}
		if b.hopeless(r) {
			b.noteWait(r)
			b.finish(r)
			continue
		}
		if s := b.pick(r); s != nil {
			b.noteWait(r)
			b.send(r, s)
			continue
		}
		if b.shed(r) {
			b.noteWait(r)
			b.finish(r)
			continue
		}
		b.signs.Short = b.signs.Short || b.now-r.begun > b.classes[r.Class].hold[index(r.over)]/2
		kept = append(kept, r)
	}
	clear(b.queue[len(kept):])
	b.queue = kept
	if len(kept) > 0 {
		b.markBound()
		b.armQueue()
	}
}

// markBound notes which limits stand in the way of held requests; only these may integrate upward.
func (b *Balancer) markBound() {
	for _, s := range b.members {
		if b.busy(s) >= b.limit(s) || b.now < s.restUntil {
			s.bound = true
		}
	}
}

// pick returns the server with most room for r, or nil. The own zone goes first; another zone's servers only
// after a wait of what the crossing costs, in time before it is shed. Room only shrinks during a Dispatch, so
// requests held alike (may they cross, may they be tried on an ejected server) are looked at once: servers
// times held requests would take more than a gateway's CPU.
func (b *Balancer) pick(r *request) *server {
	fresh, from := len(r.attempts) == 0, b.members
	if !fresh && b.classes[r.Class].Effect == Keyed {
		from = b.servers // its repeat may have to go where no member is
	}
	n, c := len(from), &b.classes[r.Class]
	wait := min(scale(c.Aim, min(b.cfg.CrossZonePrice, 1-gamma)), scale(c.hold[index(r.over)], crossHold))
	cross := !fresh || b.now-r.arrived >= wait
	noRoom := &c.noRoom[index(cross)]
	if n == 0 || fresh && *noRoom || b.held {
		return nil
	}
	var best *server
	var bestRank, bestRoom int
	start := b.startAt(n, fresh, cross)
	for i := range n {
		s := from[(start+i)%n]
		if s.Zone != b.cfg.Zone && !cross || !b.usable(s, r) {
			continue
		}
		rank, room := b.rank(s), b.limit(s)-b.busy(s)
		if best == nil || rank < bestRank || rank == bestRank && room > bestRoom {
			best, bestRank, bestRoom = s, rank, room
		}
	}
	if fresh {
		*noRoom = best == nil
	}
	return best
}

// startAt draws where to begin, which decides among servers with equal room: any, or by the fleet's weights.
func (b *Balancer) startAt(n int, fresh, cross bool) int {
	all := b.weights[index(cross)]
	if !fresh || all == 0 {
		return b.rng.IntN(n)
	}
	at := b.rng.Float64() * all
	for i, s := range b.members {
		if cross || s.Zone == b.cfg.Zone {
			if at -= s.weight; at < 0 {
				return i
			}
		}
	}
	return 0
}

// usable reports whether s may get r now.
func (b *Balancer) usable(s *server, r *request) bool {
	k := &s.kinds[r.Class]
	return s.State == Ready && b.now >= s.restUntil && b.busy(s) < b.limit(s) &&
		(!b.mute(s, r.Class) || k.out == 0 && b.now >= k.tryAt) &&
		(!s.ejected || b.mayTry(s, r)) && b.mayResend(r, s) && b.coldRoom(s)
}

// rank orders servers before room is compared: a due trial first, or an ejected server would never be tried
// while others have room, then the own zone.
func (b *Balancer) rank(s *server) int {
	switch {
	case s.ejected:
		return -1
	case !s.member:
		return 2
	case s.Zone == b.cfg.Zone:
		return 0
	default:
		return 1
	}
}

// send starts an attempt of r on s.
func (b *Balancer) send(r *request, s *server) {
	if len(r.attempts) > 0 && b.mayHaveRun(r) {
		b.retryTokens--
	}
	timeout := b.timeout(r, s)
	r.attempts = append(r.attempts, attempt{server: s, sent: b.now})
	r.open++
	r.queued = false
	b.occupy(r, s)
	if b.coldness(s) < 1 {
		s.coldTokens--
		s.turns = s.turns[min(1, len(s.turns)):]
	}
	b.out.Send(r.ID, s.ID, timeout)
}

// occupy counts an attempt of r among what s works on; vacate takes it back.
func (b *Balancer) occupy(r *request, s *server) {
	if b.busy(s) == 0 {
		s.heard = b.now
	}
	s.inflight++
	s.out = append(s.out, r.ID)
	k := &s.kinds[r.Class]
	if b.mute(s, r.Class) {
		k.tryAt = b.now + scale(b.meanAim(), float64(int(1)<<min(k.tries, maxBackoff+1)))
		k.tries++
	} else if k.since == 0 {
		k.since = b.now
	}
	k.out++
}

// Writing tells that an attempt's request is still being written, which is no work for its server, and later
// that its last byte is: only then do its work, its aim and its client's patience begin.
func (b *Balancer) Writing(now time.Duration, id RequestID, n int, done bool) {
	b.now = now
	r := b.requests[id]
	if r == nil || n < 0 || n >= len(r.attempts) || r.attempts[n].ended || r.attempts[n].writing != done {
		return
	}
	a := &r.attempts[n]
	if a.writing = !done; a.writing {
		b.vacate(r, a.server)
		if k := &a.server.kinds[r.Class]; k.out == 0 {
			k.since = 0
		}
		return
	}
	b.occupy(r, a.server)
	a.sent, r.arrived, r.begun, r.deadline = now, now, now, now+r.Patience
}

// limit is the number of requests that s may have in flight from this gateway.
func (b *Balancer) limit(s *server) int {
	if s.ejected {
		return 1
	}
	return int(math.Ceil(s.u))
}

// ---- limit loops ----------------------------------------------------------------------------------------

// sample closes one sampling period: each server's limit, then psi, then the response setpoint.
func (b *Balancer) sample() {
	work := average{}
	for _, s := range b.servers {
		b.checkSilence(s)
		if s.member && !s.ejected && b.coldness(s) == 1 {
			work.add(float64(s.answers)*s.sharers, 0)
		}
		b.sampleServer(s)
	}
	if work.n > 0 {
		b.warmRate += (work.mean/period.Seconds() - b.warmRate) * failWeight
	}
	b.mean = b.averageClass()
	warming := func(s *server) bool { return s.even && b.coldness(s) < 1 }
	b.signs.Warming = slices.ContainsFunc(b.members, warming)
	rest := scale(b.meanAim(), 0.5+b.rng.Float64())
	b.stale = b.reach.Sample(b.now, b.signs, float64(len(b.servers)), rest) || b.stale
	b.signs = subset.Signs{}
	b.sampleWait()
	b.sampleResponse()
	b.setHolds()
	b.checkWatch()
}

// sampleServer is the adaptive integral loop on service time. A sample without answers or failures changes
// nothing; failures stay out of the average and of K, and count as twice the setpoint.
func (b *Balancer) sampleServer(s *server) {
	answers, failures, sum, bound := s.answers, s.failures, s.sum, s.bound
	s.answers, s.failures, s.sum, s.bound = 0, 0, 0, false
	if answers > 0 {
		s.learnService(sum/float64(answers), answers)
	}
	setpoint := b.setpoint(s)
	if answers+failures == 0 || s.gain == 0 {
		return
	}
	service := (sum + float64(failures)*failureRatio*setpoint) / float64(answers+failures)
	step := serviceGain / s.gain * (setpoint - service)
	if s.crowded() {
		step = min(step, -queueStep)
	}
	if step < 0 || bound {
		b.move(s, step)
	}
}

// learnService updates K and the averages of the service time.
func (s *server) learnService(mean float64, answers int) {
	ratio := mean / math.Ceil(s.u)
	if s.gain == 0 {
		s.gain = ratio
	}
	s.gain = gainMemory*s.gain + (1-gainMemory)*ratio
	s.smooth.add(mean, float64(answers)/float64(answers+memory))
	s.learnBase()
}

// move applies a step of the loop. Exception: where one request of each gateway already crowds a server, u
// goes below one: it is then the share of the time in which a limit of one is open, and steps shrink with it.
func (b *Balancer) move(s *server, step float64) {
	s.u = max(s.startLimit(), s.u+step*min(1, s.u))
}

// crowded reports whether requests wait at s although they should wait at the gateways. Exception: servers
// may tip before their service times tell, as gateways grow their limits together, so a reported queue lowers
// the limit. Gently, for a report may be late or wrong.
func (s *server) crowded() bool { return s.backlog >= mostWaiting }

// startLimit is where limits start, and their least: one, or this gateway's part of a few requests over all
// gateways. What many gateways find crowded from the first request on, each would take for uncrowded.
func (s *server) startLimit() float64 { return min(1, fleetFloor/s.sharers) }

// pace rests a server with a limit below one after an attempt that kept it busy.
func (b *Balancer) pace(s *server, busy float64) {
	if s.u < 1 {
		s.restUntil = max(s.restUntil, b.now+scale(time.Millisecond, busy*(1/s.u-1)))
	}
}

// learnBase keeps the service time that the server shows when it is not crowded: the least smoothed value,
// slowly forgotten so that a machine that got slower for good is believed in the end.
func (s *server) learnBase() {
	if s.smooth.n <= baseSamples || s.smooth.mean < s.base {
		s.base = s.smooth.mean
	}
	s.base += (s.smooth.mean - s.base) * baseRise
}

// setpoint is the service-time setpoint of s in ms of the average class. Exception: it is never under a
// multiple of the uncrowded service time, or u would stay at one and idle the cores where the design's
// split of the aim leaves less than the bare work takes. Where that is because aims are short, they leave
// little for a crowd at the server either: waiting belongs at the gateway, which can still choose.
func (b *Balancer) setpoint(s *server) float64 {
	least := math.Inf(1)
	for c := range b.current {
		least = min(least, ms(c.Aim)/b.weight(c))
	}
	part := (1 - gamma) * least
	return max(part*b.response, min(crowding*s.base, s.base+crowdRoom*part))
}

// sampleWait integrates psi toward the wait setpoint, clamped between zero and twice the setpoint.
func (b *Balancer) sampleWait() {
	if b.waits.n == 0 {
		return
	}
	setpoint := gamma * b.response
	b.psi = clamp(b.psi+waitGain*(setpoint-b.waits.mean), 0, maxPsi*setpoint)
	b.waits = average{}
}

// sampleResponse is the top-level loop: it lowers both setpoints while the response percentile is over the
// aim and gives back what it took, never more than the aim itself.
func (b *Balancer) sampleResponse() {
	if b.responded < len(b.responses) {
		return
	}
	b.responded = 0
	slices.Sort(b.responses[:])
	stat := b.responses[len(b.responses)*percentile/100]
	b.response = clamp(b.response+topGain*(1-stat), minResponse, 1)
}

// learn records an answer's service time, normalised by class. Heavy requests are clipped, so that one of
// them does not look like a crowded server.
func (b *Balancer) learn(r *request, s *server, latency time.Duration) {
	c := &b.classes[r.Class]
	x := ms(latency)
	if c.service.n >= baseSamples {
		x = min(x, heavyClip*c.service.mean)
	}
	c.service.add(x, slowAverage)
	c.spread.add(math.Abs(x-c.service.mean), slowAverage)
	s.sum += x / b.weight(c)
	s.answers++
	if b.responded < len(b.responses) {
		b.responses[b.responded] = float64(b.now-r.arrived) / float64(c.Aim)
		b.responded++
	}
}

// ---- health ---------------------------------------------------------------------------------------------

// succeeded notes an answer of s. A server on trial, or one that was only slow to answer, is taken back with
// a limit of one.
func (b *Balancer) succeeded(s *server) {
	s.failShare *= 1 - failWeight
	s.heard, s.fulls = b.now, 0
	if s.ejected && (s.silent || s.failShare < ejectShare) {
		s.ejected, s.silent, s.u = false, false, s.startLimit()
		b.stale = true
		b.log("server %d answers again", s.ID)
	}
	if s.failShare < ejectShare {
		s.ejections = 0
	}
}

// failed notes a failure of s, cuts its limit at the next sample, and rests it for a service time: a server
// that fails fast would otherwise have room all the time and draw the whole queue.
func (b *Balancer) failed(s *server, quick bool) {
	s.failures++
	s.failShare += (1 - s.failShare) * failWeight
	if quick {
		s.heard = b.now
		s.restUntil = b.now + max(scale(time.Millisecond, b.mean), scale(b.meanAim(), restShare))
	}
	if s.ejected || s.failShare > ejectShare*s.doubt() {
		b.eject(s, "fails")
	}
}

// checkSilence ejects a server that has work and has answered nothing for long: it shows in no outcome until
// the attempts time out, and unsafe ones have none.
func (b *Balancer) checkSilence(s *server) {
	limit := scale(time.Millisecond, silenceFactor*s.doubt()*max(b.mean, s.smooth.mean))
	if b.busy(s) == 0 || s.ejected || b.mean == 0 || b.now-s.heard < limit {
		return
	}
	b.eject(s, "is silent")
	if s.ejected {
		s.silent = true
		b.giveUp(s)
	}
}

// doubt is how much less of its own a gateway needs to eject a server that others found bad. They alone
// eject nobody.
func (s *server) doubt() float64 {
	if s.doubted {
		return hearsay
	}
	return 1
}

// eject keeps ordinary work from s until a trial. If too many look bad the load is suspected instead and
// all stay in use. Servers beyond the even part tell nothing of that: they are picked where others left off.
func (b *Balancer) eject(s *server, why string) {
	if !s.ejected && !s.reached {
		bad, all := 1, 0
		for _, t := range b.members {
			if t.State == Ready && !t.reached {
				all++
				if t.ejected {
					bad++
				}
			}
		}
		if float64(bad) > maxEjected*float64(all) {
			return
		}
		b.log("server %d %s, ejected", s.ID, why)
	}
	s.ejected, b.stale = true, true
	backoff := scale(b.meanAim(), float64(int(1)<<min(s.ejections, maxBackoff))*(0.75+b.rng.Float64()/2))
	s.ejections++
	s.trialAt = b.now + backoff
}

// mute reports whether s leaves a class unanswered. Guards against a server that answers one class at once
// and another never, and looks healthy as a whole. Twice the time of silence: heavy work is no sign of it.
func (b *Balancer) mute(s *server, class int) bool {
	k, usual := &s.kinds[class], max(ms(b.classes[class].expected), s.smooth.mean)
	return k.since > 0 && b.now-k.since > scale(time.Millisecond, 2*silenceFactor*usual)
}

// busy is what s has in flight. What hangs of a mute class while other work is answered does not count: it
// must not take the place of that work.
func (b *Balancer) busy(s *server) int {
	n := s.inflight
	for i := range s.kinds {
		if k := &s.kinds[i]; k.out > 0 && s.heard > k.since && b.mute(s, i) {
			n -= k.out
		}
	}
	return n
}

// mayTry reports whether r may try an ejected server: one request at a time, when the trial is due, and
// only one that can be repeated if it fails.
func (b *Balancer) mayTry(s *server, r *request) bool {
	repeatable := b.classes[r.Class].Effect != Unsafe && len(r.attempts) == 0
	return repeatable && s.inflight == 0 && b.now >= s.trialAt
}

// coldness is the share of its capacity that s surely has: rising evenly from the stated share at its start.
func (b *Balancer) coldness(s *server) float64 {
	age := b.now - s.Born
	if s.Born <= 0 || age >= b.cfg.WarmAfter {
		return 1
	}
	return b.cfg.ColdFrom + (1-b.cfg.ColdFrom)*max(0, age.Seconds())/b.cfg.WarmAfter.Seconds()
}

// coldRoom reports whether a cold server may get one more request: what is sent stays under this gateway's
// part of what would push it over. What warm servers answer tells the part; answers are counted, not their
// times, which are longer where servers are crowded. Gateways that use it beyond their even part send it
// nothing: parts are worked out without them.
func (b *Balancer) coldRoom(s *server) bool {
	cold := b.coldness(s)
	if cold == 1 || b.yielded {
		return cold == 1
	}
	if b.inFleet {
		return s.hasTurn(b.now)
	}
	// One core answers so many at least. A gateway that has just started knows no more.
	least := 1 / max(b.mean/1000, (1-gamma)*b.meanAim().Seconds())
	rate := coldShare * b.cfg.FallMultiple * cold * max(b.warmRate, least) / (s.sharers * s.crowd)
	burst := max(0.5, rate*b.cfg.OverloadFor.Seconds()/2)
	s.coldTokens = min(s.coldTokens+rate*(b.now-s.coldAt).Seconds(), burst)
	s.coldAt = b.now
	return s.coldTokens > 0 && s.even
}

// ---- attempts -------------------------------------------------------------------------------------------

// AttemptEnd tells how an attempt ended.
func (b *Balancer) AttemptEnd(now time.Duration, e AttemptEnd) {
	b.now = now
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.unrun = true, e.Outcome.Unrun()
	if r.open--; !a.writing {
		b.vacate(r, a.server)
	}
	k := &a.server.kinds[r.Class]
	b.judge(r, a, e)
	if k.out == 0 && !b.mute(a.server, r.Class) { // a time-out leaves it mute, until a trial is answered
		k.since = 0
	}
	if !a.server.member && a.server.inflight == 0 {
		b.out.Close(a.server.ID)
	}
	switch {
	case e.Closed || r.done:
		b.conclude(r, e.Outcome == OK && b.now <= b.useful(r))
	case r.open == 0 && e.Spent:
		b.finish(r)
	case r.open == 0:
		b.again(r)
	}
}

// judge lets the outcome speak for or against the server.
func (b *Balancer) judge(r *request, a *attempt, e AttemptEnd) {
	s := a.server
	if e.Reported {
		s.backlog += (e.Waiting - s.backlog) * queueWeight
	}
	switch e.Outcome {
	case OK:
		s.kinds[r.Class] = kind{out: s.kinds[r.Class].out, since: b.now} // heard of: no longer mute
		b.learn(r, s, e.Latency)
		b.succeeded(s)
		b.pace(s, min(ms(e.Latency), 2*max(b.mean, s.smooth.mean))) // single heavy requests tell little
	case Error, Reset, ConnectFailed:
		b.failed(s, true)
		b.signs.Full = b.signs.Full || s.reached && e.Outcome == ConnectFailed
	case Full:
		// The server is there and says so: it has enough, which is for the limit to learn, not health. One
		// that goes on refusing rests longer each time, or it would draw most attempts of many gateways.
		s.failures++
		s.heard, b.signs.Full = b.now, b.signs.Full || s.reached
		rest := max(b.mean, ms(b.meanAim())*restShare) // nothing is learnt before the first answer
		s.restUntil = b.now + scale(time.Millisecond, rest*float64(int(1)<<min(s.fulls, maxBackoff)))
		s.fulls++
	case Timeout:
		// The server may be at work on it still: a slow fleet must not get the next request at once.
		b.pace(s, ms(e.Latency))
		if s.heard <= a.sent {
			b.failed(s, false)
		} else {
			s.failures++ // others were answered meanwhile: slow or heavy, not silent
		}
	}
}

// again holds r for another attempt if that is allowed and can still help; otherwise it ends.
func (b *Balancer) again(r *request) {
	if b.now >= r.deadline || b.hopeless(r) || !b.mayTryAgain(r) {
		b.finish(r)
		return
	}
	b.hold(r)
}

// mayTryAgain reports whether r could be sent to some server now.
func (b *Balancer) mayTryAgain(r *request) bool {
	if len(r.attempts) >= b.cfg.MaxAttempts {
		return false
	}
	if !b.mayHaveRun(r) {
		return true
	}
	if b.retryTokens < 1 {
		return false
	}
	allowed := func(s *server) bool { return s.State == Ready && b.mayResend(r, s) }
	return slices.ContainsFunc(b.servers, allowed)
}

// mayHaveRun reports whether some attempt of r is not known to have done nothing.
func (b *Balancer) mayHaveRun(r *request) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.unrun })
}

// mayResend guards the rule that no effect happens twice: an unsafe request goes out again only if it never
// ran, a keyed one only to the group and within the window of each attempt that may have run.
func (b *Balancer) mayResend(r *request, s *server) bool {
	return r.open == 0 && len(r.attempts) < b.cfg.MaxAttempts && b.allowed(r, r.attempts, s)
}

// allowed reports whether r may be sent to s now, after these attempts.
func (b *Balancer) allowed(r *request, earlier []attempt, s *server) bool {
	c := &b.classes[r.Class]
	for i := range earlier {
		a := &earlier[i]
		if a.unrun || c.Effect == Safe {
			continue
		}
		if c.Effect == Unsafe || !sameGroup(c.Group, a.server, s) || b.now+2*b.cfg.Tick >= a.sent+c.Window {
			return false
		}
	}
	return true
}

// MayBegin reports whether an attempt of which nothing is written may still be: connections come up late, and
// the window of a keyed request ends by the moment of sending, not by that of deciding.
func (b *Balancer) MayBegin(now time.Duration, id RequestID, n int) bool {
	b.now = now
	r := b.requests[id]
	return r != nil && n < len(r.attempts) && b.allowed(r, r.attempts[:n], r.attempts[n].server)
}

// timeout is how long an attempt is awaited: until the client gives up, but for a trial of an ejected server,
// which must leave time for another attempt.
func (b *Balancer) timeout(r *request, s *server) time.Duration {
	if !s.ejected {
		return 0
	}
	return scale(b.classes[r.Class].expected, silenceFactor)
}

// giveUp calls off what is out on a silent server and may be tried elsewhere. A single long attempt is
// waited for: work is spread widely, a time-out seldom stops it, and the repeat would be paid twice.
func (b *Balancer) giveUp(s *server) {
	if !b.cfg.CancelAllowed {
		return
	}
	for _, id := range s.out {
		r := b.requests[id]
		c := &b.classes[r.Class]
		if r.done || c.Effect == Unsafe || len(r.attempts) >= b.cfg.MaxAttempts || b.hopeless(r) {
			continue
		}
		for i := range r.attempts {
			if a := &r.attempts[i]; a.server == s && !a.ended {
				b.out.Cancel(id, i)
			}
		}
	}
}

// conclude notes that r has its final answer; it is kept while attempts are out.
func (b *Balancer) conclude(r *request, inTime bool) {
	if !r.done {
		share := 0.0
		if inTime {
			share = 1
		}
		b.classes[r.Class].served.add(share, slowAverage)
	}
	r.done = true
	b.release(r)
}

// ---- refusals -------------------------------------------------------------------------------------------

// finish gives r its final answer: a refusal if trying again is harmless, else a failure.
func (b *Balancer) finish(r *request) {
	r.queued = false
	if b.mayRefuse(r) {
		b.out.Refuse(r.ID, b.retryAfter())
	} else {
		b.out.Fail(r.ID)
	}
	b.conclude(r, false)
}

// mayRefuse guards the promise of a refusal: another try by the client must not repeat an effect.
func (b *Balancer) mayRefuse(r *request) bool {
	c := &b.classes[r.Class]
	return c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll || !b.mayHaveRun(r)
}

// retryAfter asks clients to stay away until the queue has had time to drain.
func (b *Balancer) retryAfter() time.Duration {
	if !b.cfg.RetryAfter {
		return 0
	}
	return min(scale(b.meanAim(), 0.5+b.rng.Float64()), b.cfg.MaxRetryAfter)
}

// useful is the moment until which an answer to r earns anything.
func (b *Balancer) useful(r *request) time.Duration {
	c := &b.classes[r.Class]
	if c.LateWorth > 0 {
		return r.deadline
	}
	return min(r.deadline, r.begun+c.Aim)
}

// age is how long ago the client of a request with this patience first tried. Most requests are first tries
// and share one patience; any other is what is left of the deadline. Guards against serving repeats of
// refused requests whose aim was half spent before they came: their answers come late.
func (c *classState) age(patience time.Duration) time.Duration {
	near := scale(c.patience, patienceNoise)
	if patience >= c.patience-near && patience <= c.patience+near {
		c.agreed = min(c.agreed+1, mostAgreed)
		return 0
	}
	if c.agreed--; c.agreed < 0 {
		c.patience, c.agreed = patience, 1
		return 0
	}
	return max(0, c.Deadline-patience)
}

// hopeless reports whether an answer to r could no longer count if it were sent now: to refuse it at once
// tells the client sooner and leaves the servers to work that counts. It also keeps the deadline.
func (b *Balancer) hopeless(r *request) bool {
	return b.now+b.classes[r.Class].expected+2*b.cfg.Tick >= b.useful(r)
}

// shed reports whether a held request has waited as long as its kind is held while room is short. A request
// tried before is not shed.
func (b *Balancer) shed(r *request) bool {
	return len(r.attempts) == 0 && b.now-r.begun > b.classes[r.Class].hold[index(r.over)]
}

// setHolds works out how long each kind of work is held: until psi, but no longer than its answer would
// still come in time (exception), and work that is worth less for the time it takes gives way sooner to work
// that is worth more (exception). In a first-come queue all wait alike: a shorter hold loses first.
func (b *Balancer) setHolds() {
	for i := range b.classes {
		c := &b.classes[i]
		c.arrivals *= 1 - arrivalDecay
		c.expected = scale(c.Aim, 1-gamma)
		if c.service.n >= baseSamples {
			c.expected = scale(time.Millisecond, c.service.mean)
		}
	}
	best := b.setDensities()
	for i := range b.classes {
		c := &b.classes[i]
		for over, share := range [2]float64{1, b.cfg.OverShareWorth} {
			density := c.density * share
			limit := b.lateLimit(c)
			for d := range b.current {
				if d.density > density {
					limit = min(limit, b.lateLimit(d))
				}
			}
			if best > 0 {
				limit = scale(limit, math.Sqrt(density/best))
			}
			c.hold[over] = min(limit, scale(c.Aim, b.psi))
		}
	}
}

// setDensities works out what one more request of each class in time adds to the operators' goal, for the
// work it takes, and returns the most. The class served worst has a weight of its own: without it, work of
// little worth would bear the whole of a shortage.
func (b *Balancer) setDensities() float64 {
	var worth float64
	var worst *classState
	for c := range b.current {
		worth += (c.arrivals + 1) * b.worth(c)
		if worst == nil || c.served.n > 0 && (worst.served.n == 0 || c.served.mean < worst.served.mean) {
			worst = c
		}
	}
	best := 0.0
	for i := range b.classes {
		c := &b.classes[i]
		gain := b.worth(c)
		if worth > 0 && c == worst && b.cfg.WholeWeight > 0 {
			gain += b.cfg.WorstWeight / b.cfg.WholeWeight * worth / (c.arrivals + 1)
		}
		c.density = gain / ms(c.expected)
		best = max(best, c.density)
	}
	return best
}

// worth is what a request of the class in time is worth.
func (b *Balancer) worth(c *classState) float64 {
	if b.cfg.WorthByWork {
		return c.Worth * ms(c.expected)
	}
	return c.Worth
}

// lateLimit is the wait after which an answer of this class would likely come too late. The margin shrinks by
// what a late answer still earns: only the rest is at risk.
func (b *Balancer) lateLimit(c *classState) time.Duration {
	rest := c.expected + scale(time.Millisecond, lateMargin*(1-c.LateWorth)*c.spread.mean)
	longest := max(c.Aim-c.expected, 0)
	return max(c.Aim-rest, scale(c.Aim, 1-gamma), min(scale(b.turnover(), holdTurns), longest))
}

// turnover is the mean time between two openings of room. Exception: work is held for some of these, or a
// gateway that sees few would refuse the work that the next one could have served.
func (b *Balancer) turnover() time.Duration {
	rate := 0.0
	for _, s := range b.members {
		if !s.ejected {
			rate += s.u / max(b.mean, s.smooth.mean)
		}
	}
	if b.mean == 0 || rate == 0 {
		return 0
	}
	return scale(time.Millisecond, 1/rate)
}

// overShare charges the tenant's bucket and reports whether the request is beyond its share. This gateway
// sees only its own part and takes it to be an even one.
func (b *Balancer) overShare(tenant int) bool {
	if tenant < 0 || tenant >= len(b.tenants) || b.tenants[tenant].rate <= 0 {
		return false
	}
	t := &b.tenants[tenant]
	t.tokens = min(t.tokens+t.rate*(b.now-t.at).Seconds(), t.rate)
	t.at = b.now
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// ---- server list ----------------------------------------------------------------------------------------

// List tells news of the server list. A delta has changes only; a full or cached list drops what it omits.
func (b *Balancer) List(now time.Duration, kind ListKind, entries []Server) {
	b.now = now
	if kind == ListFailed || kind == ListUnreachable {
		b.watchFailed(kind)
		return
	}
	if kind != ListCached {
		b.asking, b.watching = false, true
		b.calls.Succeeded()
	}
	if kind != ListDelta {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	known := len(b.servers)
	for _, e := range entries {
		b.listed(e)
	}
	b.place(b.servers[known:])
	b.servers = slices.DeleteFunc(b.servers, func(s *server) bool {
		gone := s.State == Gone || !s.listed
		if gone {
			s.State = Gone
			if b.byID[s.ID] == s {
				delete(b.byID, s.ID)
			}
		}
		return gone
	})
	b.stale = true
}

// place gives newly listed servers their places. A successor takes the place of one that drains or is gone,
// so that the members of every gateway are replaced one for one.
func (b *Balancer) place(fresh []*server) {
	slices.SortFunc(fresh, func(x, y *server) int {
		return cmp.Compare(x.ID, y.ID) // zones and cells mixed, so that one lost is no gateway's whole part
	})
	var from [2]int // before it all places are taken, of the others' zones and of the own
	for _, s := range fresh {
		own := index(s.Zone == b.cfg.Zone)
		places, at := [2]*[]*server{&b.far, &b.own}[own], from[own]
		for ; at < len(*places) && (*places)[at].State == Ready && (*places)[at].listed; at++ {
		}
		if from[own] = at; at < len(*places) {
			(*places)[at] = s
		} else {
			*places = append(*places, s)
		}
	}
}

// choose picks the servers that this gateway uses. Exception: where gateways are many, each uses a few
// servers only. Servers accept fewer connections than there are gateways, and answers from few servers tell
// more of each. Ejected servers are replaced by the next ones.
func (b *Balancer) choose() {
	b.stale = false
	old := b.members
	b.members, b.weights = make([]*server, 0, len(old)), [2]float64{}
	zones := subset.Count(b.cfg.Zone, b.zones)
	subset.Rule{Own: ownSharers, Far: farSharers, Least: leastMembers}.Parts(b.cfg.Gateways, zones)
	for _, s := range b.servers {
		s.was, s.member, s.even, s.reached, s.weight = s.even, false, false, false, 0
		s.sharers = subset.Sharers(b.cfg.Gateways, s.Zone, zones)
	}
	if len(b.given) > 0 {
		b.joinGiven()
	} else {
		usable := b.join(b.own, zones[0].Own, 0)
		b.join(b.far, max(zones[0].Far, leastMembers-usable), b.reach.Servers())
	}
	for _, s := range b.servers {
		if s.u == 0 {
			s.u = s.startLimit()
		}
		if s.even && !s.was { // first turns come spread over an interval, and none is saved up from before
			s.coldTokens, s.coldAt = min(s.coldTokens, -b.rng.Float64()), b.now
		}
	}
	for _, s := range old {
		if !s.member && s.inflight == 0 {
			b.out.Close(s.ID)
		}
	}
}

// joinGiven adds the servers that the fleet gives this gateway, and its spares as join does.
func (b *Balancer) joinGiven() {
	places, part := make([]*server, 0, len(b.given)), 0.0
	for _, g := range b.given {
		s := b.byID[g.ID]
		if s == nil {
			continue
		}
		if s.doubted && !g.Doubted {
			s.trialAt = b.now // others have found it good again
		}
		s.doubted, s.weight, s.crowd, places = g.Doubted, g.Weight, 1, append(places, s)
		if g.Part > 0 {
			s.sharers = max(1, 1/g.Part)
			part += float64(index(s.State == Ready))
		}
	}
	b.take(places, 0, part, b.reach.Servers())
	for _, s := range b.members {
		b.weights[1] += s.weight
		b.weights[0] += s.weight * float64(index(s.Zone == b.cfg.Zone))
	}
}

// join adds servers to the members, beginning at a place that follows from this gateway's number: its even
// part, one more for each of these that is ejected, and those that it reaches. One that would be reached
// while it is ejected is left out until its trial is due. It returns how many are not ejected.
func (b *Balancer) join(places []*server, part, reach float64) (usable float64) {
	standing := make([]bool, len(places))
	for i, s := range places {
		standing[i] = s.State == Ready
	}
	for i, crowd := range subset.Crowding(standing, part) {
		places[i].crowd = crowd
	}
	return b.take(places, subset.Start(b.cfg.Rank, len(places)), subset.Whole(b.cfg.Rank, part), reach)
}

// take adds servers from a place on, see join.
func (b *Balancer) take(places []*server, start int, part, reach float64) (usable float64) {
	ready := 0.0
	for i := 0; i < len(places) && usable < part+reach; i++ {
		s := places[(start+i)%len(places)]
		if s.State != Ready || usable >= part && s.ejected && b.now < s.trialAt {
			continue
		}
		ready++
		s.member, s.even, s.reached = true, ready <= part, usable >= part
		b.members = append(b.members, s)
		usable += float64(index(!s.ejected))
	}
	return usable
}

// listed applies one entry. A server that started again is a new one: nothing learnt holds for it.
func (b *Balancer) listed(e Server) {
	s := b.byID[e.ID]
	if s != nil && s.Born == e.Born {
		s.Server, s.listed = e, true
		return
	}
	if s != nil {
		s.State = Gone
	}
	if e.State == Gone {
		return
	}
	s = &server{Server: e, listed: true, coldAt: b.now, kinds: make([]kind, len(b.classes))}
	b.byID[e.ID] = s
	b.servers = append(b.servers, s)
}

// watch asks for the list's changes.
func (b *Balancer) watch() {
	b.asking, b.askedAt = true, b.now
	b.out.Watch()
}

// Hold stops new attempts, or lets them go on.
func (b *Balancer) Hold(on bool) { b.held = on }

// watchFailed asks again, never in step with other gateways, and the later the more often calls fail.
func (b *Balancer) watchFailed(kind ListKind) {
	failure := pacing.Overloaded
	if kind == ListUnreachable {
		failure = pacing.Unreachable
	} else if b.watching {
		failure = pacing.Ended
	}
	b.asking, b.watching = false, false
	if b.cfg.AskForList {
		spread, jitter := b.rng.Float64(), b.rng.Float64()
		b.out.Wake(b.calls.Failed(failure, b.cfg.Gateways, b.now-b.askedAt, spread, jitter), tokenWatch)
	}
}

// checkWatch asks again if a call was never answered.
func (b *Balancer) checkWatch() {
	if b.cfg.AskForList && b.asking && b.now-b.askedAt > b.cfg.AskWithin/2 {
		b.watch()
	}
}
