package slowstart

import (
	"math"
	"testing"
	"time"
)

func TestFractionRisesLinearly(t *testing.T) {
	s := Schedule{InitialFraction: 0.2, Duration: 10 * time.Second}
	const now = time.Minute
	for _, c := range []struct {
		name      string
		startedAt time.Duration
		want      float64
	}{
		{"just started", now, 0.2},
		{"start in the future", now + time.Second, 0.2},
		{"half way", now - 5*time.Second, 0.6},
		{"warm", now - 10*time.Second, 1},
		{"long ago", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := s.Fraction(now, c.startedAt); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("fraction %v, want %v", got, c.want)
			}
		})
	}
}

func TestBudgetLimitsRate(t *testing.T) {
	const rate, window = 8.0, 2 * time.Second
	b := NewBudget(0)
	spent := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		for b.Refill(now, rate, window); b.Available(); spent++ {
			b.Spend()
		}
	}
	if spent < 79 || spent > 81 {
		t.Errorf("%d requests in 10 s at 8 a second, want 80", spent)
	}
	if b.Refill(time.Hour, rate, window); b.Tokens != rate {
		t.Errorf("%v tokens saved up, want 8, those of half a window", b.Tokens)
	}
}

// Guards against many gateways that all send their first request at the moment at which an endpoint is added to their
// subsets.
func TestBudgetStartsInDebt(t *testing.T) {
	b := NewBudget(0)
	b.Refill(time.Hour, 1, 2*time.Second)
	if b.StartInDebt(time.Hour, 0.75); b.Available() || b.Tokens != -0.75 {
		t.Errorf("starts with %v tokens, want -0.75", b.Tokens)
	}
}

func TestGrantsExpireAndAreSpentInOrder(t *testing.T) {
	b := NewBudget(0)
	for _, until := range []time.Duration{10, 20, 30} {
		b.Grant(until)
	}
	if !b.HasGrant(10) { // the first has expired
		t.Fatal("no valid grant remains, want two")
	}
	b.Spend()
	if !b.HasGrant(25) {
		t.Fatal("the third grant is missing")
	}
	if b.Spend(); b.HasGrant(25) {
		t.Error("a grant remains after two requests, although one of three grants had expired")
	}
	b.Grant(50)
	if b.Reset(30); b.HasGrant(30) || b.Tokens > 0 {
		t.Errorf("after a reset: %+v, want neither grants nor tokens", b)
	}
}

func TestWarmRateTracksAnswers(t *testing.T) {
	var r WarmRate
	for range 100 {
		r.Observe(5, 250*time.Millisecond)
	}
	if math.Abs(float64(r)-20) > 1e-6 {
		t.Errorf("rate %v after 5 answers per 250 ms, want 20 per second", r)
	}
}

func TestTokenRateAndMinCapacity(t *testing.T) {
	// Half of 2.5 times 0.4 of 20 requests per second, shared by five gateways.
	if got := TokenRate(2.5, 0.4, 20, 5); math.Abs(got-2) > 1e-9 {
		t.Errorf("rate %v, want 2 per second", got)
	}
	if got := MinCapacity(0, 0.1); math.Abs(got-10) > 1e-9 {
		t.Errorf("minimum capacity %v per second with a budget of 100 ms and unknown service time, want 10", got)
	}
	if got := MinCapacity(500, 0.1); math.Abs(got-2) > 1e-9 {
		t.Errorf("minimum capacity %v per second with a service time of 500 ms, want 2", got)
	}
}
