package upstream

import (
	"testing"
	"time"

	"thymebend/internal/balancer"
)

// When the limit is lowered, the surplus consists of idle connections, oldest first, and never of connections in use.
func TestPoolSurplus(t *testing.T) {
	pool := NewPool(6)
	var conns []*Conn
	for n := range 6 {
		conns = append(conns, pool.Open(balancer.EndpointID(n%2)))
	}
	for _, n := range []int{3, 1, 4, 2} {
		pool.Release(conns[n])
	}
	for _, c := range []struct {
		limit int
		want  []*Conn
	}{
		{6, nil},
		{4, []*Conn{conns[1], conns[2]}},
		{0, []*Conn{conns[1], conns[2], conns[3], conns[4]}},
	} {
		pool.Resize(c.limit)
		got := pool.Surplus()
		if len(got) != len(c.want) {
			t.Fatalf("limit %d: %d surplus connections, want %d", c.limit, len(got), len(c.want))
		}
		for n := range got {
			if got[n] != c.want[n] {
				t.Errorf("limit %d: connection %d at index %d, want %d", c.limit, got[n].ID, n, c.want[n].ID)
			}
		}
	}
}

// ms returns a duration in milliseconds.
func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Guards against reusing a connection whose endpoint may still send bytes of an earlier exchange.
func TestAcquireHonoursTheQuietTime(t *testing.T) {
	quiet := MinQuietTime
	for _, c := range []struct {
		name       string
		lastBytes  []time.Duration // of the idle connections, in the order of their release
		late       time.Duration   // delay of unsolicited bytes of the endpoint at second 0; 0 for none
		now        time.Duration
		wantIndex  int // -1 for none
		wantWaitMS int
	}{
		{"silent for long", []time.Duration{ms(10)}, 0, time.Second, 0, 0},
		{"most recent of those that are quiet", []time.Duration{ms(10), ms(20), time.Second}, 0, time.Second + ms(1), 1, 0},
		{"none is quiet: the first to be", []time.Duration{ms(990), ms(995)}, 0, time.Second, 0, int(quiet.Milliseconds()) - 10},
		{"released late, but silent for long", []time.Duration{ms(999), ms(10)}, 0, time.Second, 1, 0},
		{"exactly the quiet time", []time.Duration{time.Second - quiet}, 0, time.Second, 0, 0},
		{"distrusted: a new connection", []time.Duration{ms(990)}, ms(5), time.Second, -1, 0},
		{"distrusted, silent for long", []time.Duration{ms(10)}, ms(5), time.Second, 0, 0},
		{"distrusted, four times the delay", []time.Duration{ms(10)}, ms(300), time.Second, -1, 0},
		{"distrusted long ago", []time.Duration{ms(70_000)}, ms(300), ms(70_000) + quiet, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool := NewPool(8)
			if c.late > 0 {
				pool.Distrust(1, c.late, 0)
			}
			var conns []*Conn
			for _, at := range c.lastBytes {
				conn := pool.Open(1)
				conn.LastByte = at
				pool.Release(conn)
				conns = append(conns, conn)
			}
			got, writableAt := pool.Acquire(1, c.now)
			if c.wantIndex < 0 {
				if got != nil {
					t.Fatalf("connection %d, want none", got.ID)
				}
				return
			}
			if got != conns[c.wantIndex] || writableAt-c.now != ms(c.wantWaitMS) {
				t.Errorf("connection %v after %v, want %d after %d ms", got, writableAt-c.now, conns[c.wantIndex].ID, c.wantWaitMS)
			}
			if len(pool.IdleTo(1)) != len(conns)-1 {
				t.Errorf("%d connections are idle, want %d", len(pool.IdleTo(1)), len(conns)-1)
			}
		})
	}
}

// Guards against requests that are delayed again and again where another connection would serve them, and against delays
// that are added up for ever.
func TestDelaysAddUpToASpareConnection(t *testing.T) {
	pool := NewPool(6)
	pool.Open(2)
	pool.Open(1)
	waits := int(maxTotalDelay / ms(10))
	for n := range waits {
		if pool.NeedsSpare(1, ms(10), 1) {
			t.Fatalf("a spare connection after %d waits of 10 ms", n+1)
		}
	}
	if !pool.NeedsSpare(1, ms(10), 1) || pool.NeedsSpare(2, ms(10), 1) {
		t.Errorf("no spare connection after waits of more than %v, or one to another endpoint", maxTotalDelay)
	}
	pool.Open(1)
	for range 2 * waits {
		if pool.NeedsSpare(1, ms(10), 1) {
			t.Fatal("a spare connection although half of the limit is in use")
		}
	}
	pool.Resize(8)
	pool.Forget(1)
	if pool.NeedsSpare(1, ms(10), 1) || len(pool.quiet.delays) != 2 {
		t.Errorf("the delays were not forgotten: %v", pool.quiet.delays)
	}
}

// Guards against spare connections of many gateways that crowd an endpoint.
func TestGatewaysShareTheSpareConnections(t *testing.T) {
	for _, c := range []struct{ gateways, want int }{{0, maxSpares}, {1, maxSpares}, {3, maxSpares / 3}, {maxSpares, 1}, {60, 0}} {
		pool := NewPool(100)
		var last *Conn
		opened := 0
		for pool.NeedsSpare(1, time.Second, c.gateways) && opened < 50 {
			last = pool.OpenSpare(1)
			opened++
		}
		if opened != c.want {
			t.Errorf("%d gateways: %d spare connections each, want %d", c.gateways, opened, c.want)
		}
		if last == nil {
			continue
		}
		pool.Remove(last)
		if !pool.NeedsSpare(1, time.Second, c.gateways) {
			t.Errorf("%d gateways: no spare connection after one was closed", c.gateways)
		}
	}
}

// Guards against a distrusted endpoint that is kept for ever, or trusted again by a shorter delay.
func TestDistrustIsRaisedAndForgotten(t *testing.T) {
	quiet := newQuietTimes()
	quiet.raise(1, ms(100), 0)
	quiet.raise(1, ms(1), ms(10))
	if got := quiet.of(1, ms(20)); got != 100*lateFactor*time.Millisecond {
		t.Errorf("quiet time %v after a second, shorter delay, want %d ms", got, 100*lateFactor)
	}
	if got := quiet.of(2, ms(20)); got != MinQuietTime {
		t.Errorf("quiet time %v of another endpoint, want %v", got, MinQuietTime)
	}
	quiet.raise(2, time.Hour, distrustPeriod+ms(10))
	if got := quiet.of(2, distrustPeriod+ms(20)); got != maxRaisedQuietTime || len(quiet.raised) != 1 {
		t.Errorf("quiet time %v, %d endpoints kept; want %v and one", got, len(quiet.raised), maxRaisedQuietTime)
	}
}
