package assignment

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func equalGateways(n int) (out []Gateway) {
	for i := range n {
		out = append(out, Gateway{Name: fmt.Sprintf("g%02d", i)})
	}
	return out
}

func equalEndpoints(n int) (out []Endpoint) {
	for i := range n {
		out = append(out, Endpoint{ID: uint64(i + 1), Capacity: 1})
	}
	return out
}

// newTracker returns the tracker of the n-th gateway.
func newTracker(n int, start []Gateway) *Tracker {
	return NewTracker(Rule{Users: 4, MinEndpoints: 2}, fmt.Sprintf("g%02d", n), time.Second, start)
}

// observe passes an observation with equal gateways and endpoints to a tracker, and returns whether the tracker
// changed.
func observe(t *testing.T, tracker *Tracker, at time.Duration, gateways int, converged bool, endpoints int) bool {
	t.Helper()
	changed, err := tracker.Observe(at, Observation{
		Alive: equalGateways(gateways), Converged: converged, Endpoints: equalEndpoints(endpoints)})
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// wantStage fails the test if the tracker is at another stage.
func wantStage(t *testing.T, tracker *Tracker, want Stage) {
	t.Helper()
	if got := tracker.Stage(); got != want {
		t.Errorf("stage %v, want %v", got, want)
	}
}

// Guards against an assignment before a membership has converged, against a membership that has not converged
// changing the assignment, and against a change between converged memberships without the phase in which only what
// both allow is used.
func TestTrackerRetainsLastConvergedAssignment(t *testing.T) {
	tracker := newTracker(0, nil)
	if observe(t, tracker, 0, 12, false, 40) || len(tracker.Assigned()) > 0 {
		t.Errorf("%d endpoints before a membership converged, want none", len(tracker.Assigned()))
	}
	wantStage(t, tracker, Waiting)
	if !observe(t, tracker, time.Second, 12, true, 40) || len(tracker.Assigned()) < 10 {
		t.Errorf("%d endpoints once the membership converged, want at least 10 and a change", len(tracker.Assigned()))
	}
	wantStage(t, tracker, Converged)
	before := tracker.Assigned()
	if observe(t, tracker, 2*time.Second, 6, false, 40) {
		t.Error("a membership that has not converged changed the assignment")
	}
	wantStage(t, tracker, Retained)
	observe(t, tracker, 3*time.Second, 6, false, 39)
	wantStage(t, tracker, Retained)
	if slices.ContainsFunc(tracker.Assigned(), func(a Assigned) bool { return a.Endpoint == 40 }) {
		t.Error("an endpoint that was removed is in use")
	}
	observe(t, tracker, 4*time.Second, 12, true, 40)
	if !observe(t, tracker, 5*time.Second, 6, true, 40) || tracker.Stage() != Changing {
		t.Fatalf("stage %v after a change of the converged membership, want %v and a change", tracker.Stage(), Changing)
	}
	for _, one := range tracker.Assigned() {
		if !slices.ContainsFunc(before, func(b Assigned) bool {
			return b.Endpoint == one.Endpoint && b.Share >= one.Share-1e-12
		}) {
			t.Errorf("endpoint %d: larger share than in the previous assignment, which others still use", one.Endpoint)
		}
	}
	if at, ok := tracker.Due(); !ok || at != 6*time.Second {
		t.Errorf("Due() = %v, %v, want 6s, true", at, ok)
	}
	if !observe(t, tracker, 6*time.Second, 6, true, 40) {
		t.Error("the assignment did not change at the due time")
	}
	wantStage(t, tracker, Converged)
	if _, ok := tracker.Due(); ok || tracker.RelativeLoad() < 0.99 {
		t.Errorf("another timed change is due, or the relative load is below 0.99: %v", tracker.RelativeLoad())
	}
	if spares := tracker.Spares(0); len(spares)+len(tracker.Assigned()) != 40 {
		t.Errorf("%d spares and %d endpoints in use, want 40 together", len(spares), len(tracker.Assigned()))
	}
}

// Guards against an observation that is rejected by an error and still changes the gateways in force.
func TestInvalidObservationChangesNothing(t *testing.T) {
	tracker := newTracker(0, nil)
	observe(t, tracker, 0, 6, true, 40)
	duplicated := append(equalEndpoints(2), Endpoint{ID: 1, Capacity: 1})
	observation := Observation{Alive: equalGateways(3), Converged: true, Endpoints: duplicated}
	_, err := tracker.Observe(7*time.Second, observation)
	if err == nil {
		t.Error("Observe accepted an endpoint that is listed twice")
	}
	wantStage(t, tracker, Converged)
	if len(tracker.Gateways()) != 6 {
		t.Error("an error changed the gateways in force")
	}
}

// Guards against shares of an endpoint that add up to more than 1 while some gateways use the previous assignment,
// some the intersection and some the new one.
func TestTrackerSharesNeverExceedOneDuringAChange(t *testing.T) {
	var trackers []*Tracker
	for i := range 12 {
		tracker := newTracker(i, nil)
		observe(t, tracker, 0, 12, true, 30)
		trackers = append(trackers, tracker)
	}
	for at := time.Second; at < 5*time.Second; at += 100 * time.Millisecond {
		shares := make(map[uint64]float64)
		for i, tracker := range trackers[:9] { // three are killed at 1 s; the others converge one by one within 1 s
			if at >= time.Second+time.Duration(i)*100*time.Millisecond {
				observe(t, tracker, at, 9, true, 30)
			}
			for _, one := range tracker.Assigned() {
				shares[one.Endpoint] += one.Share
			}
		}
		for endpoint, sum := range shares {
			if sum > 1+1e-9 {
				t.Fatalf("after %v: the shares of endpoint %d add up to %v, want at most 1", at, endpoint, sum)
			}
		}
		if at >= 4*time.Second && len(shares) < 30 {
			t.Errorf("%d of 30 endpoints are used", len(shares))
		}
	}
}

// Guards against a newly started process that does not use the assignment among the gateways of its configuration
// file. All gateways that start together use it.
func TestTrackerStartsWithConfiguredGateways(t *testing.T) {
	shares := make(map[uint64]float64)
	for i := range 9 {
		tracker := newTracker(i, equalGateways(9))
		observe(t, tracker, 0, 1, false, 30)
		wantStage(t, tracker, Waiting)
		for _, one := range tracker.Assigned() {
			shares[one.Endpoint] += one.Share
		}
		observe(t, tracker, time.Second, 9, true, 30)
		wantStage(t, tracker, Converged) // without a change: the membership equals the configured gateways
	}
	for endpoint, sum := range shares {
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("the shares of endpoint %d add up to %v, want 1", endpoint, sum)
		}
	}
	if len(shares) != 30 {
		t.Errorf("%d of 30 endpoints are used", len(shares))
	}
}

// Guards against an endpoint with more than MaxUsers users, which matters for endpoints that accept few connections.
// Also guards against a maximum that leaves a gateway without endpoints or the load out of balance.
func TestMaxUsersIsRespected(t *testing.T) {
	var gateways []Gateway
	for i := range 300 {
		gateways = append(gateways, Gateway{Name: fmt.Sprintf("g%03d", i), Demand: 1 + float64(i%7)})
	}
	var endpoints []Endpoint
	for i := range 60 {
		endpoints = append(endpoints, Endpoint{ID: uint64(i + 1), Capacity: float64(int(1) << (i % 4))})
	}
	count := func(maxUsers int) (largest int, load float64) {
		a := compute(t, Rule{Users: 12, MaxUsers: maxUsers, MinEndpoints: 2}, gateways, endpoints)
		users := make(map[uint64]int)
		for _, g := range gateways {
			if len(a.Of(g.Name)) == 0 {
				t.Errorf("%s has no endpoint", g.Name)
			}
			for _, one := range a.Of(g.Name) {
				users[one.Endpoint]++
				largest = max(largest, users[one.Endpoint])
			}
		}
		return largest, a.RelativeLoad()
	}
	if unbounded, _ := count(0); unbounded <= 24 {
		t.Fatalf("at most %d users without a bound, want more than 24: the test would prove nothing", unbounded)
	}
	for _, maxUsers := range []int{14, 16, 24} {
		// With a maximum close to the mean, large endpoints have too few users to be fully used and the load is out
		// of balance, so the relative load is checked for 24 alone.
		if largest, load := count(maxUsers); largest > maxUsers || maxUsers >= 24 && load > 1.25 {
			t.Errorf("MaxUsers %d: %d users, relative load %.2f", maxUsers, largest, load)
		}
	}
	if _, err := Compute(Rule{Users: 12, MaxUsers: 11}, gateways, endpoints); err == nil {
		t.Error("Compute accepted a maximum of users below the mean")
	}
}
