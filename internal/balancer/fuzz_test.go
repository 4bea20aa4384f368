package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"thymebend/internal/balancer/concurrency"
)

// referee plays the gateway for a fuzzed sequence of events and checks every action against the rules.
type referee struct {
	t       *testing.T
	cfg     Config
	b       *Balancer
	now     time.Duration
	live    map[RequestID]*judged
	left    map[EndpointID]bool // endpoints that may get nothing new
	cells   map[EndpointID]Endpoint
	history []string
}

type judged struct {
	class    int
	closed   bool
	deadline time.Duration
	attempts []judgedAttempt
}

type judgedAttempt struct {
	endpoint Endpoint
	sent     time.Duration
	ended    bool
	neverRan bool
}

func (f *referee) note(format string, args ...any) {
	f.history = append(f.history, fmt.Sprintf(format, args...))
}

func (f *referee) request(id RequestID) *judged {
	r := f.live[id]
	if r == nil {
		f.t.Fatalf("action on request %d, which was never taken", id)
	}
	return r
}

func (f *referee) StartAttempt(id RequestID, to EndpointID, timeout time.Duration) {
	f.note("send %d %d %v", id, to, timeout)
	r := f.request(id)
	if r.closed {
		f.t.Fatalf("sent request %d after its conclusion", id)
	}
	if f.left[to] {
		f.t.Fatalf("sent request %d to endpoint %d, which leaves", id, to)
	}
	if len(r.attempts) >= f.cfg.MaxAttempts {
		f.t.Fatalf("request %d has too many attempts", id)
	}
	c := f.cfg.Classes[r.class]
	for _, a := range r.attempts {
		if !a.ended {
			f.t.Fatalf("request %d has two attempts out", id)
		}
		if a.neverRan || c.Idempotency == Idempotent {
			continue
		}
		if c.Idempotency == NonIdempotent {
			f.t.Fatalf("non-idempotent request %d sent again though it may have run", id)
		}
		if !sameDedupScope(c.DedupScope, &endpointState{Endpoint: a.endpoint}, &endpointState{Endpoint: f.cells[to]}) ||
			f.now > a.sent+c.DedupWindow {
			f.t.Fatalf("keyed request %d sent again outside its scope or window", id)
		}
	}
	r.attempts = append(r.attempts, judgedAttempt{endpoint: f.cells[to], sent: f.now})
}

func (f *referee) Reject(id RequestID, after time.Duration) {
	f.note("reject %d %v", id, after)
	r := f.request(id)
	if r.closed {
		f.t.Fatalf("rejected request %d after its conclusion", id)
	}
	c := f.cfg.Classes[r.class]
	for _, a := range r.attempts {
		dropped := c.Idempotency == KeyedIdempotent && c.DedupScope == DedupAll // by any endpoint
		if !a.neverRan && c.Idempotency != Idempotent && !dropped {
			f.t.Fatalf("rejected request %d, which may have run", id)
		}
	}
	r.closed = true
}

func (f *referee) Fail(id RequestID) {
	f.note("fail %d", id)
	r := f.request(id)
	if r.closed {
		f.t.Fatalf("failed request %d after its conclusion", id)
	}
	r.closed = true
}

func (f *referee) CancelAttempt(id RequestID, attempt int) {
	f.note("cancel %d %d", id, attempt)
	if attempt >= len(f.request(id).attempts) {
		f.t.Fatalf("cancelled attempt %d of request %d, never made", attempt, id)
	}
}
func (f *referee) SetTimer(after time.Duration, token uint32) { f.note("wake %v %d", after, token) }
func (f *referee) CloseIdle(to EndpointID)                    { f.note("close %d", to) }
func (f *referee) WatchEndpoints()                            { f.note("watch") }
func (f *referee) Log(line string)                            { f.note("log %s", line) }

// play runs the events that the bytes spell and returns all actions. At the end every request is answered.
func play(t *testing.T, data []byte) []string {
	next := func() int {
		if len(data) == 0 {
			return 0
		}
		v := int(data[0])
		data = data[1:]
		return v
	}
	cfg := testConfig()
	cfg.PollDiscovery = next()%2 == 0
	cfg.MaxAttempts = 1 + next()%4
	cfg.Classes[1].DedupScope = DedupScope(next() % 3)
	f := &referee{t: t, cfg: cfg, now: time.Second, live: map[RequestID]*judged{}, left: map[EndpointID]bool{},
		cells: map[EndpointID]Endpoint{}}
	var err error
	if f.b, err = New(cfg, 3, f.now, f); err != nil {
		t.Fatal(err)
	}
	var id RequestID
	for len(data) > 0 {
		switch code := next(); code % 8 {
		case 0, 1:
			f.take(&id, next()%3)
		case 2, 3:
			f.finishAttempt(next(), Outcome(next()%8))
		case 4:
			f.list(next(), next(), next())
		case 5:
			f.b.TimerFired(f.now, uint32(next()%4))
		case 6:
			f.pass(next())
		case 7:
			f.lapse(next())
		}
		if next()%3 != 0 {
			f.b.Dispatch(f.now)
		}
	}
	f.windUp()
	return f.history
}

func (f *referee) take(id *RequestID, class int) {
	*id++
	f.live[*id] = &judged{class: class, deadline: f.now + f.cfg.Classes[class].Deadline}
	f.b.RequestArrived(f.now, Request{ID: *id, Class: class, ClientTimeout: f.cfg.Classes[class].Deadline})
}

// ids are the requests taken, in order, so that a sequence replays alike.
func (f *referee) ids() []RequestID {
	var out []RequestID
	for id := range f.live {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

func (f *referee) finishAttempt(which int, o Outcome) {
	for _, id := range f.ids() {
		r := f.live[id]
		for i := range r.attempts {
			if r.attempts[i].ended {
				continue
			}
			if which--; which >= 0 {
				continue
			}
			f.endAttempt(id, i, o)
			return
		}
	}
}

func (f *referee) endAttempt(id RequestID, i int, o Outcome) {
	r := f.live[id]
	a := &r.attempts[i]
	a.ended, a.neverRan = true, o.NeverRan()
	r.closed = r.closed || o == OutcomeOK
	f.b.AttemptEnded(f.now, AttemptEnd{Request: id, Attempt: i, Endpoint: a.endpoint.ID, Outcome: o,
		Latency: f.now - a.sent, RequestDone: r.closed})
}

func (f *referee) list(kind, count, seed int) {
	k := EndpointUpdate(kind % 4)
	var entries []Endpoint
	if k != WatchFailed {
		for i := range count % 6 {
			v := seed + i*7
			s := Endpoint{ID: EndpointID(v % 9), Zone: v % 2, Cell: v % 9 % 4, State: EndpointState(v % 3)}
			if old, ok := f.cells[s.ID]; ok {
				s.Zone, s.Cell = old.Zone, old.Cell
			}
			if v%5 == 0 {
				s.StartedAt = f.now
			}
			entries = append(entries, s)
		}
		if k != Delta {
			for id := range f.cells {
				f.left[id] = true
			}
		}
		for _, s := range entries {
			f.cells[s.ID] = s
			f.left[s.ID] = s.State != EndpointReady
		}
	}
	f.b.UpdateEndpoints(f.now, k, entries)
}

func (f *referee) lapse(which int) {
	ids := f.ids()
	if len(ids) > 0 {
		id := ids[which%len(ids)]
		f.live[id].closed = true
		f.b.RequestAbandoned(f.now, id)
	}
}

// pass lets time go by, with the time-outs at the clients' deadlines that a gateway would see.
func (f *referee) pass(steps int) {
	for range steps {
		f.now += f.cfg.DispatchInterval
		for _, id := range f.ids() {
			r := f.live[id]
			for i := range r.attempts {
				if !r.attempts[i].ended && !r.closed && f.now >= r.deadline {
					f.endAttempt(id, i, OutcomeTimeout)
				}
			}
		}
		f.b.TimerFired(f.now, queueTimer)
		if f.now%concurrency.SamplePeriod == 0 {
			f.b.TimerFired(f.now, sampleTimer)
		}
		f.b.Dispatch(f.now)
		for _, id := range f.ids() {
			if r := f.live[id]; !r.closed && f.now > r.deadline+20*time.Millisecond {
				f.t.Fatalf("request %d has no answer after its deadline", id)
			}
		}
	}
}

func (f *referee) windUp() {
	f.pass(500)
	for _, id := range f.ids() {
		r := f.live[id]
		if !r.closed {
			f.t.Fatalf("request %d was never answered", id)
		}
		for i := range r.attempts {
			if !r.attempts[i].ended {
				f.endAttempt(id, i, OutcomeCancelled)
			}
		}
	}
	f.b.Dispatch(f.now)
	if len(f.b.requests.byID) != 0 || len(f.b.queue) != 0 {
		f.t.Fatalf("%d requests are kept for nothing", len(f.b.requests.byID))
	}
	for _, s := range f.b.endpoints.all {
		if s.inFlight != 0 {
			f.t.Fatalf("endpoint %d has %d in flight at the end", s.ID, s.inFlight)
		}
	}
}

// FuzzBalancer feeds legal event sequences in any order and checks the rules and that they repeat exactly.
func FuzzBalancer(f *testing.F) {
	f.Add([]byte{0, 3, 2, 4, 3, 5, 1, 1, 0, 0, 1, 0, 1, 1, 0, 2, 1, 2, 0, 3, 1})
	f.Add([]byte{1, 2, 0, 4, 3, 5, 7, 1, 0, 1, 1, 4, 2, 1, 7, 1, 2, 0, 1, 1, 6, 90, 1})
	for seed := range 24 {
		data := make([]byte, 600)
		x := uint32(seed*2654435761 + 1)
		for i := range data {
			x = x*1664525 + 1013904223
			data[i] = byte(x >> 24)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > 2000 {
			return
		}
		first, second := play(t, data), play(t, data)
		if !slices.Equal(first, second) {
			t.Fatal("the same events gave different actions")
		}
	})
}
