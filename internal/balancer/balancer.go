package balancer

import (
	"cmp"
	"math/rand/v2"
	"time"

	"thymebend/internal/balancer/concurrency"
	"thymebend/internal/balancer/quota"
	"thymebend/internal/balancer/retrybudget"
)

// Tokens of the timers.
const sampleTimer, queueTimer, watchTimer uint32 = 0, 1, 2

// Balancer takes the decisions of one gateway.
type Balancer struct {
	cfg Config
	out Actions
	rng *rand.Rand
	log logger

	now       time.Duration // of the event that is being handled
	startedAt time.Duration // earlier, if it took over what another process had learnt

	requests      requestTable
	queue         requestQueue
	queueTimerSet bool
	paused        bool // no attempt starts: the endpoint list may be about to change

	classes   classTable
	tenants   []quota.Bucket // by tenant index
	endpoints endpointSet
	watch     endpointWatch

	queueThreshold concurrency.QueueThreshold
	response       concurrency.ResponseSetpoint
	retryBudget    retrybudget.Budget
	slowStart      slowStart
}

// New starts a balancer. It may act at once. The error is a *ConfigError.
func New(cfg Config, seed uint64, now time.Duration, out Actions) (*Balancer, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.DispatchInterval = cmp.Or(cfg.DispatchInterval, time.Millisecond)
	b := &Balancer{
		cfg: cfg, out: out, rng: rand.New(rand.NewPCG(seed, 0)), log: logger{out: out},
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
	b.out.SetTimer(concurrency.SamplePeriod, sampleTimer)
	if cfg.PollDiscovery {
		b.watchEndpoints()
	}
	return b, nil
}

// resetQuotas gives each tenant a full bucket. This gateway sees only its own part of a tenant's
// requests and takes it to be an even one.
func (b *Balancer) resetQuotas() {
	b.tenants = b.tenants[:0]
	for _, t := range b.cfg.Tenants {
		b.tenants = append(b.tenants, quota.NewBucket(t.Quota/float64(b.cfg.Gateways), b.now))
	}
}

// overQuota charges a request to its tenant and reports whether it is beyond the quota.
func (b *Balancer) overQuota(tenant int) bool {
	return tenant >= 0 && tenant < len(b.tenants) && b.tenants[tenant].Exceeded(b.now)
}

// classOf returns what is known of the class of a request.
func (b *Balancer) classOf(r *requestState) *classState { return &b.classes.entries[r.Class] }

// RequestArrived takes a request, which this gateway then owes a final answer.
func (b *Balancer) RequestArrived(now time.Duration, in Request) {
	b.now = now
	if in.Class < 0 || in.Class >= len(b.classes.entries) {
		b.out.Fail(in.ID)
		return
	}
	if b.requests.byID[in.ID] != nil {
		return
	}
	class := &b.classes.entries[in.Class]
	r := b.requests.add(in)
	r.arrivedAt = now - in.Elapsed
	r.firstTriedAt, r.deadline = r.arrivedAt, r.arrivedAt+in.ClientTimeout
	elapsed := class.timeouts.observe(in.ClientTimeout, class.Deadline)
	if in.Retry || !b.cfg.ClientsMarkRetries { // a first try with a short timeout is no retry
		r.firstTriedAt -= elapsed
	}
	r.overQuota = b.overQuota(in.Tenant)
	class.arrivals++
	class.open++
	b.retryBudget.RequestTaken()
	b.queue.insert(r)
}

// RequestAbandoned tells that a request is concluded without an answer of this gateway.
func (b *Balancer) RequestAbandoned(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests.byID[id]; r != nil {
		b.conclude(r, false)
	}
}

// ResponseStarted tells that a response has begun to stream: the attempt belongs to the client now.
func (b *Balancer) ResponseStarted(now time.Duration, id RequestID) {
	b.now = now
	if r := b.requests.byID[id]; r != nil {
		r.done = true
	}
}

// PauseAttempts stops new attempts, or lets them go on.
func (b *Balancer) PauseAttempts(paused bool) { b.paused = paused }

// AssignEndpoints takes what the cluster of gateways assigns to this one: its endpoints, and behind
// them its spares, the next to be used first. From the first time on, endpoints in slow start get
// requests by GrantSlowStartToken alone. With no endpoints the subset follows from the rank again.
func (b *Balancer) AssignEndpoints(now time.Duration, endpoints []AssignedEndpoint) {
	b.now, b.slowStart.tokensRequired, b.endpoints.stale = now, true, true
	b.endpoints.assigned = append(b.endpoints.assigned[:0], endpoints...)
}

// TimerFired tells that a timer fell due.
func (b *Balancer) TimerFired(now time.Duration, token uint32) {
	b.now = now
	switch token {
	case sampleTimer:
		b.closeSample()
		b.out.SetTimer(concurrency.SamplePeriod, sampleTimer)
	case queueTimer:
		b.queueTimerSet = false
	case watchTimer:
		if !b.watch.active && !b.watch.calling {
			b.watchEndpoints()
		}
	}
}
