package balancer

import (
	"cmp"
	"math/rand/v2"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/quota"
	"thymebend/internal/balancer/retrybudget"
)

// Timer tokens: the sampling period, the next check of the queue, the next call to discovery.
const sampleTimer, queueTimer, watchTimer uint32 = 0, 1, 2

// Balancer makes the decisions of one gateway. See the package comment for how to use it.
type Balancer struct {
	cfg     Config
	actions Actions
	rng     *rand.Rand
	log     logger

	now       time.Duration // time of the event that is being handled
	startedAt time.Duration // start of this balancer; earlier if it restored the state of another process

	requests      requestTable
	queue         requestQueue
	queueTimerSet bool
	paused        bool // no attempt may start: the endpoint list may be about to change

	classes   classTable
	tenants   []quota.Bucket // by tenant index
	endpoints endpointSet
	watch     endpointWatch

	queueThreshold concurrency.QueueThreshold
	response       concurrency.ResponseSetpoint
	retryBudget    retrybudget.Budget
	slowStart      slowStart
}

// New returns a balancer. It may call methods of actions before it returns. All random choices derive from
// seed. The error is a *ConfigError.
func New(cfg Config, seed uint64, now time.Duration, actions Actions) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.DispatchInterval = cmp.Or(cfg.DispatchInterval, time.Millisecond)
	b := &Balancer{
		cfg: cfg, actions: actions, rng: rand.New(rand.NewPCG(seed, 0)), log: logger{actions: actions},
		now: now, startedAt: now,
		requests:       requestTable{byID: make(map[RequestID]*requestState)},
		endpoints:      endpointSet{byID: make(map[EndpointID]*endpointState)},
		queueThreshold: concurrency.NewQueueThreshold(),
		response:       concurrency.NewResponseSetpoint(),
		retryBudget:    retrybudget.New(),
	}
	for _, c := range cfg.Classes {
		b.classes.entries = append(b.classes.entries, classState{Class: c})
	}
	b.resetQuotas()
	b.updateQueueTimes()
	b.actions.SetTimer(concurrency.SamplePeriod, sampleTimer)
	if cfg.PollDiscovery {
		b.watchEndpoints()
	}
	return b, nil
}

// resetQuotas gives each tenant a full token bucket. This gateway sees only a part of a tenant's requests;
// it assumes that they are distributed evenly over the gateways.
func (b *Balancer) resetQuotas() {
	b.tenants = b.tenants[:0]
	for _, t := range b.cfg.Tenants {
		b.tenants = append(b.tenants, quota.NewBucket(t.Quota/float64(b.cfg.Gateways), b.now))
	}
}

// chargeQuota charges a request to its tenant's quota and reports whether it exceeds that quota.
func (b *Balancer) chargeQuota(tenant int) bool {
	return tenant >= 0 && tenant < len(b.tenants) && b.tenants[tenant].Exceeded(b.now)
}

// classOf returns the state of the class of a request.
func (b *Balancer) classOf(r *requestState) *classState { return &b.classes.entries[r.Class] }

// RequestArrived accepts a request and queues it: from now on it must get a final answer. A request with an
// unknown class fails at once; an id that is already in use is ignored.
func (b *Balancer) RequestArrived(now time.Duration, request Request) {
	b.now = now
	if request.Class < 0 || request.Class >= len(b.classes.entries) {
		b.actions.Fail(request.ID)
		return
	}
	if b.requests.byID[request.ID] != nil {
		return
	}
	class := &b.classes.entries[request.Class]
	r := b.requests.add(request)
	r.arrivedAt = now - request.Elapsed
	r.firstTriedAt, r.deadline = r.arrivedAt, r.arrivedAt+request.ClientTimeout-request.AcceptWait
	sinceFirstTry := class.timeouts.observe(request.ClientTimeout, class.Deadline)
	// Where clients mark their retries, a first try with a short timeout does not count as a retry.
	if request.Retry || !b.cfg.ClientsMarkRetries {
		r.firstTriedAt -= sinceFirstTry
	}
	r.overQuota = b.chargeQuota(request.Tenant)
	class.arrivals++
	class.openRequests++
	b.retryBudget.RecordRequest()
	b.queue.insert(r)
}

// RequestAbandoned reports that a request ended without an answer from this gateway.
func (b *Balancer) RequestAbandoned(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests.byID[id]; r != nil {
		b.conclude(r, false)
	}
}

// ResponseStarted reports that a response has started to stream to the client: the request counts as
// answered and is not retried.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests.byID[id]; r != nil {
		r.done = true
	}
}

// PauseAttempts stops the start of new attempts, or allows it again. Attempts in flight continue.
func (b *Balancer) PauseAttempts(paused bool) { b.paused = paused }

// AssignEndpoints sets the endpoints that the cluster of gateways assigns to this one, followed by its spares
// in the order in which they are to be used. From the first call on, endpoints in slow start get only the
// requests that GrantSlowStartToken allows. With no endpoints the subset is derived from the rank again.
func (b *Balancer) AssignEndpoints(now time.Duration, endpoints []AssignedEndpoint) {
	b.now, b.slowStart.tokensRequired, b.endpoints.stale = now, true, true
	b.endpoints.assigned = append(b.endpoints.assigned[:0], endpoints...)
}

// TimerFired reports that a timer requested with SetTimer has expired.
func (b *Balancer) TimerFired(now time.Duration, token uint32) {
	b.now = now
	switch token {
	case sampleTimer:
		b.closeSample()
		b.actions.SetTimer(concurrency.SamplePeriod, sampleTimer)
	case queueTimer:
		b.queueTimerSet = false
	case watchTimer:
		if !b.watch.active && !b.watch.calling {
			b.watchEndpoints()
		}
	}
}
