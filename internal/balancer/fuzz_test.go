package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thymebend/internal/balancer/concurrency"
)

// checker acts as the gateway for a fuzzed sequence of events and checks each action of the balancer against the
// rules for attempts and final answers.
type checker struct {
	t             *testing.T
	cfg           Config
	b             *Balancer
	now           time.Duration
	requests      map[RequestID]*checkedRequest
	noNewAttempts map[EndpointID]bool // endpoints that must get no new attempts
	endpoints     map[EndpointID]Endpoint
	history       []string
}

type checkedRequest struct {
	class     int
	concluded bool
	deadline  time.Duration
	attempts  []checkedAttempt
}

type checkedAttempt struct {
	endpoint Endpoint
	started  time.Duration
	ended    bool
	neverRan bool
}

func (c *checker) record(format string, args ...any) {
	c.history = append(c.history, fmt.Sprintf(format, args...))
}

func (c *checker) request(id RequestID) *checkedRequest {
	r := c.requests[id]
	if r == nil {
		c.t.Fatalf("action for request %d, which never arrived", id)
	}
	return r
}

func (c *checker) StartAttempt(id RequestID, to EndpointID, timeout time.Duration) {
	c.record("start %d %d %v", id, to, timeout)
	r := c.request(id)
	if r.concluded {
		c.t.Fatalf("attempt of request %d started after its final answer", id)
	}
	if c.noNewAttempts[to] {
		c.t.Fatalf("attempt of request %d started on endpoint %d, which is draining or removed", id, to)
	}
	if len(r.attempts) >= c.cfg.MaxAttempts {
		c.t.Fatalf("request %d exceeds the maximum number of attempts", id)
	}
	class := c.cfg.Classes[r.class]
	for _, a := range r.attempts {
		if !a.ended {
			c.t.Fatalf("request %d has two attempts in flight", id)
		}
		if a.neverRan || class.Idempotency == Idempotent {
			continue
		}
		if class.Idempotency == NonIdempotent {
			c.t.Fatalf("non-idempotent request %d retried although it may have run", id)
		}
		if !sameDedupScope(class.DedupScope,
			&endpointState{Endpoint: a.endpoint}, &endpointState{Endpoint: c.endpoints[to]}) ||
			c.now > a.started+class.DedupWindow {
			c.t.Fatalf("keyed request %d retried outside its dedup scope or window", id)
		}
	}
	r.attempts = append(r.attempts, checkedAttempt{endpoint: c.endpoints[to], started: c.now})
}

func (c *checker) Reject(id RequestID, after time.Duration) {
	c.record("reject %d %v", id, after)
	r := c.request(id)
	if r.concluded {
		c.t.Fatalf("request %d rejected after its final answer", id)
	}
	class := c.cfg.Classes[r.class]
	for _, a := range r.attempts {
		// With DedupAll any endpoint drops a duplicate.
		deduplicated := class.Idempotency == KeyedIdempotent && class.DedupScope == DedupAll
		if !a.neverRan && class.Idempotency != Idempotent && !deduplicated {
			c.t.Fatalf("request %d rejected although it may have run", id)
		}
	}
	r.concluded = true
}

func (c *checker) Fail(id RequestID) {
	c.record("fail %d", id)
	r := c.request(id)
	if r.concluded {
		c.t.Fatalf("request %d failed after its final answer", id)
	}
	r.concluded = true
}

func (c *checker) CancelAttempt(id RequestID, attempt int) {
	c.record("cancel %d %d", id, attempt)
	if attempt >= len(c.request(id).attempts) {
		c.t.Fatalf("cancelled attempt %d of request %d, which was never started", attempt, id)
	}
}
func (c *checker) SetTimer(after time.Duration, token uint32) { c.record("timer %v %d", after, token) }
func (c *checker) CloseIdle(to EndpointID)                    { c.record("close %d", to) }
func (c *checker) WatchEndpoints()                            { c.record("watch") }
func (c *checker) Log(line string)                            { c.record("log %s", line) }

// replay passes the events encoded in data to a new balancer and returns all actions. It fails the test if a request
// has no final answer at the end.
func replay(t *testing.T, data []byte) []string {
	next := func() int {
		if len(data) == 0 {
			return 0
		}
		value := int(data[0])
		data = data[1:]
		return value
	}
	cfg := testConfig()
	cfg.PollDiscovery = next()%2 == 0
	cfg.MaxAttempts = 1 + next()%4
	cfg.Classes[1].DedupScope = DedupScope(next() % 3)
	c := &checker{t: t, cfg: cfg, now: time.Second, requests: map[RequestID]*checkedRequest{},
		noNewAttempts: map[EndpointID]bool{}, endpoints: map[EndpointID]Endpoint{}}
	var err error
	if c.b, err = New(cfg, 3, c.now, c); err != nil {
		t.Fatal(err)
	}
	var id RequestID
	for len(data) > 0 {
		switch code := next(); code % 8 {
		case 0, 1:
			c.addRequest(&id, next()%3)
		case 2, 3:
			c.finishAttempt(next(), Outcome(next()%8))
		case 4:
			c.updateList(next(), next(), next())
		case 5:
			c.b.TimerFired(c.now, uint32(next()%4))
		case 6:
			c.advance(next())
		case 7:
			c.abandonRequest(next())
		}
		if next()%3 != 0 {
			c.b.Dispatch(c.now)
		}
	}
	c.finish()
	return c.history
}

func (c *checker) addRequest(id *RequestID, class int) {
	*id++
	c.requests[*id] = &checkedRequest{class: class, deadline: c.now + c.cfg.Classes[class].Deadline}
	c.b.RequestArrived(c.now, Request{ID: *id, Class: class, ClientTimeout: c.cfg.Classes[class].Deadline})
}

// requestIDs returns the ids of all requests in order, so that replays of one sequence are equal.
func (c *checker) requestIDs() []RequestID {
	var out []RequestID
	for id := range c.requests {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (c *checker) finishAttempt(index int, outcome Outcome) {
	for _, id := range c.requestIDs() {
		r := c.requests[id]
		for i := range r.attempts {
			if r.attempts[i].ended {
				continue
			}
			if index--; index >= 0 {
				continue
			}
			c.endAttempt(id, i, outcome)
			return
		}
	}
}

func (c *checker) endAttempt(id RequestID, number int, outcome Outcome) {
	r := c.requests[id]
	a := &r.attempts[number]
	a.ended, a.neverRan = true, outcome.NeverRan()
	r.concluded = r.concluded || outcome == OutcomeOK
	c.b.AttemptEnded(c.now, AttemptEnd{Request: id, Attempt: number, Endpoint: a.endpoint.ID, Outcome: outcome,
		Latency: c.now - a.started, RequestDone: r.concluded})
}

func (c *checker) updateList(kind, count, seed int) {
	update := EndpointUpdate(kind % 4)
	var entries []Endpoint
	if update != WatchFailed {
		for i := range count % 6 {
			value := seed + i*7
			endpoint := Endpoint{ID: EndpointID(value % 9), Zone: value % 2, Cell: value % 9 % 4,
				State: EndpointState(value % 3)}
			if old, ok := c.endpoints[endpoint.ID]; ok {
				endpoint.Zone, endpoint.Cell = old.Zone, old.Cell
			}
			if value%5 == 0 {
				endpoint.StartedAt = c.now
			}
			entries = append(entries, endpoint)
		}
		if update != Delta {
			for id := range c.endpoints {
				c.noNewAttempts[id] = true
			}
		}
		for _, endpoint := range entries {
			c.endpoints[endpoint.ID] = endpoint
			c.noNewAttempts[endpoint.ID] = endpoint.State != EndpointReady
		}
	}
	c.b.UpdateEndpoints(c.now, update, entries)
}

func (c *checker) abandonRequest(index int) {
	ids := c.requestIDs()
	if len(ids) > 0 {
		id := ids[index%len(ids)]
		c.requests[id].concluded = true
		c.b.RequestAbandoned(c.now, id)
	}
}

// advance moves the clock forward by the given number of dispatch intervals. As a gateway would, it ends attempts
// with a timeout at the client's deadline. It fails the test if a request has no final answer by 20 ms later.
func (c *checker) advance(steps int) {
	for range steps {
		c.now += c.cfg.DispatchInterval
		for _, id := range c.requestIDs() {
			r := c.requests[id]
			for i := range r.attempts {
				if !r.attempts[i].ended && !r.concluded && c.now >= r.deadline {
					c.endAttempt(id, i, OutcomeTimeout)
				}
			}
		}
		c.b.TimerFired(c.now, queueTimer)
		if c.now%concurrency.SamplePeriod == 0 {
			c.b.TimerFired(c.now, sampleTimer)
		}
		c.b.Dispatch(c.now)
		for _, id := range c.requestIDs() {
			if r := c.requests[id]; !r.concluded && c.now > r.deadline+20*time.Millisecond {
				c.t.Fatalf("request %d has no final answer 20 ms after its deadline", id)
			}
		}
	}
}

func (c *checker) finish() {
	c.advance(500)
	for _, id := range c.requestIDs() {
		r := c.requests[id]
		if !r.concluded {
			c.t.Fatalf("request %d never got a final answer", id)
		}
		for i := range r.attempts {
			if !r.attempts[i].ended {
				c.endAttempt(id, i, OutcomeCancelled)
			}
		}
	}
	c.b.Dispatch(c.now)
	if len(c.b.requests.byID) != 0 || len(c.b.queue) != 0 {
		c.t.Fatalf("%d requests are still kept after all of them ended", len(c.b.requests.byID))
	}
	for _, ep := range c.b.endpoints.all {
		if ep.inFlight != 0 {
			c.t.Fatalf("endpoint %d has %d attempts in flight at the end, want 0", ep.ID, ep.inFlight)
		}
	}
}

// FuzzBalancer passes valid events in any order to a balancer, checks its actions against the rules, and verifies that
// the same events give the same actions.
func FuzzBalancer(f *testing.F) {
	f.Add([]byte{0, 3, 2, 4, 3, 5, 1, 1, 0, 0, 1, 0, 1, 1, 0, 2, 1, 2, 0, 3, 1})
	f.Add([]byte{1, 2, 0, 4, 3, 5, 7, 1, 0, 1, 1, 4, 2, 1, 7, 1, 2, 0, 1, 1, 6, 90, 1})
	for seed := range 24 {
		data := make([]byte, 600)
		random := uint32(seed*2654435761 + 1)
		for i := range data {
			random = random*1664525 + 1013904223
			data[i] = byte(random >> 24)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 2000 {
			return
		}
		first, second := replay(t, data), replay(t, data)
		if !slices.Equal(first, second) {
			t.Fatal("the same events gave different actions")
		}
	})
}
