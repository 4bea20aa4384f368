package tokenschedule

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// started is the start time of the tests' endpoint, in Unix time.
const started = 1_700_000_000 * time.Second

func testRule() Rule {
	return Rule{InitialFraction: 0.2, Duration: 12 * time.Second, OverloadMultiple: 3, Window: time.Second,
		ClockSkew: 5 * time.Millisecond}
}

// ownerShares returns the shares scaled to a sum of 1, with owners named g00, g01 and so on.
func ownerShares(shares ...float64) (out []OwnerShare) {
	sum := 0.0
	for _, s := range shares {
		sum += s
	}
	for i, s := range shares {
		out = append(out, OwnerShare{fmt.Sprintf("g%02d", i), s / sum})
	}
	return out
}

func TestIssuedAtIsTheInverseOfIssued(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := testRule()
		r.InitialFraction = rapid.Float64Range(0.01, 1).Draw(t, "initial fraction")
		e := Endpoint{Capacity: rapid.Float64Range(0.1, 500).Draw(t, "capacity")}
		token := rapid.Float64Range(0, 1e4).Draw(t, "token")
		if back := r.issued(e, r.issuedAt(e, token)); math.Abs(back-token) > 1e-3*(1+token*1e-3) {
			t.Fatalf("token %v begins at %v, but %v tokens are issued by then", token, r.issuedAt(e, token), back)
		}
	})
}

// Guards against a process that was paused and then uses all the tokens of the pause at once.
func TestOldTokensExpire(t *testing.T) {
	r, e := testRule(), Endpoint{ID: 3, StartedAt: started, Capacity: 25}
	taker := NewTaker(r, "g00", started-time.Hour)
	taken := 0
	take := func(now time.Duration, e Endpoint, ownerships ...[]OwnerShare) bool {
		t.Helper()
		until, ok := taker.Take(now, e, ownerships...)
		if ok && (until <= now || until > now+r.ValidFor()) {
			t.Errorf("at %v: token valid until %v, want a time after now and at most ValidFor ahead", now-started,
				until-started)
		}
		return ok
	}
	now := started + 10*time.Second
	for take(now, e, ownerShares(1)) {
		taken++
	}
	maxTokens := int(r.issued(e, 10*time.Second)-r.issued(e, 10*time.Second-r.ValidFor())) + 1
	if taken == 0 || taken > maxTokens {
		t.Errorf("took %d tokens after 10 s, want between 1 and the %d valid ones", taken, maxTokens)
	}
	if take(now, e) {
		t.Error("took a token without any ownership")
	}
	at, ok := taker.Next(now, e, time.Second, ownerShares(1))
	if !ok || at <= now || !take(at+time.Microsecond, e, ownerShares(1)) {
		t.Errorf("Next() = %v after the start, %v; want a later time at which a token can be taken", at-started, ok)
	}
	if _, ok := taker.Next(now, e, time.Second, []OwnerShare{{"other", 1}}); ok {
		t.Error("Next returned a token that another gateway owns")
	}
	restarted := e
	restarted.StartedAt += 30 * time.Second
	if take(restarted.StartedAt, restarted, ownerShares(1)) ||
		!take(restarted.StartedAt+time.Second, restarted, ownerShares(1)) {
		t.Error("the tokens of a restarted endpoint do not begin again at its new start")
	}
	if taker.Forget(func(uint64) bool { return false }); len(taker.progress) != 0 {
		t.Errorf("%d endpoints are stored after Forget, want none", len(taker.progress))
	}
}

// Guards against a renamed field that changes the hash with which gateways of different versions compare settings.
func TestCanonicalTextIsStable(t *testing.T) {
	rule := Rule{InitialFraction: 0.12, Duration: 24 * time.Second, OverloadMultiple: 3, Window: time.Second,
		ClockSkew: 20 * time.Millisecond}
	if got, want := rule.Canonical(), "{From:0.12 Warm:24s Multiple:3 Window:1s Skew:20ms}"; got != want {
		t.Errorf("Canonical() = %q, want %q", got, want)
	}
}
