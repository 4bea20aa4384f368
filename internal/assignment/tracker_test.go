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

// newTracker is that of the n-th gateway.
func newTracker(n int, start []Gateway) *Tracker {
	return NewTracker(Rule{Users: 4, MinEndpoints: 2}, fmt.Sprintf("g%02d", n), time.Second, start)
}

func observe(t *testing.T, tracker *Tracker, at time.Duration, gateways int, settled bool, endpoints int) bool {
	t.Helper()
	changed, err := tracker.Observe(at, Observation{
		Alive: equalGateways(gateways), Settled: settled, Endpoints: equalEndpoints(endpoints)})
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// wantStage fails the test where a tracker is at another stage.
func wantStage(t *testing.T, tracker *Tracker, want Stage) {
	t.Helper()
	if got := tracker.Stage(); got != want {
		t.Errorf("stage %v, want %v", got, want)
	}
}

// Guards against an assignment before a membership has settled, one that an unsettled membership changes, and a change
// of settled memberships that does not go by way of both.
func TestTheLastSettledAssignmentStaysInForce(t *testing.T) {
	tracker := newTracker(0, nil)
	if observe(t, tracker, 0, 12, false, 40) || len(tracker.Assigned()) > 0 {
		t.Errorf("%d endpoints before a membership settled", len(tracker.Assigned()))
	}
	wantStage(t, tracker, Waiting)
	if !observe(t, tracker, time.Second, 12, true, 40) || len(tracker.Assigned()) < 10 {
		t.Errorf("%d endpoints", len(tracker.Assigned()))
	}
	wantStage(t, tracker, Settled)
	before := tracker.Assigned()
	if observe(t, tracker, 2*time.Second, 6, false, 40) {
		t.Error("a membership that is not settled changed the assignment")
	}
	wantStage(t, tracker, Retained)
	observe(t, tracker, 3*time.Second, 6, false, 39)
	wantStage(t, tracker, Retained)
	if slices.ContainsFunc(tracker.Assigned(), func(a Assigned) bool { return a.Endpoint == 40 }) {
		t.Error("an endpoint that is gone is in use")
	}
	observe(t, tracker, 4*time.Second, 12, true, 40)
	if !observe(t, tracker, 5*time.Second, 6, true, 40) || tracker.Stage() != Changing {
		t.Fatalf("%v", tracker.Stage())
	}
	for _, one := range tracker.Assigned() {
		if !slices.ContainsFunc(before, func(b Assigned) bool {
			return b.Endpoint == one.Endpoint && b.Share >= one.Share-1e-12
		}) {
			t.Errorf("endpoint %d: more than the former assignment gives, while others go by that", one.Endpoint)
		}
	}
	if at, ok := tracker.Due(); !ok || at != 6*time.Second {
		t.Errorf("due at %v, %v", at, ok)
	}
	if !observe(t, tracker, 6*time.Second, 6, true, 40) {
		t.Error("nothing changed when it was due")
	}
	wantStage(t, tracker, Settled)
	if _, ok := tracker.Due(); ok || tracker.RelativeLoad() < 0.99 {
		t.Errorf("it changes again by time, relative load %v", tracker.RelativeLoad())
	}
	if spares := tracker.Spares(0); len(spares)+len(tracker.Assigned()) != 40 {
		t.Errorf("%d spares and %d in use of 40", len(spares), len(tracker.Assigned()))
	}
}

// Guards against an error that changes the gateways in force.
func TestFaultyObservationsChangeNothing(t *testing.T) {
	tracker := newTracker(0, nil)
	observe(t, tracker, 0, 6, true, 40)
	twice := append(equalEndpoints(2), Endpoint{ID: 1, Capacity: 1})
	_, err := tracker.Observe(7*time.Second, Observation{Alive: equalGateways(3), Settled: true, Endpoints: twice})
	if err == nil {
		t.Error("an endpoint listed twice")
	}
	wantStage(t, tracker, Settled)
	if len(tracker.Gateways()) != 6 {
		t.Error("an error changed the gateways in force")
	}
}

// Guards against an endpoint that is given away more than once while some gateways go by the old assignment, some by
// both and some by the new.
func TestSharesAddUpToOneAtMostThroughAChange(t *testing.T) {
	var trackers []*Tracker
	for i := range 12 {
		tracker := newTracker(i, nil)
		observe(t, tracker, 0, 12, true, 30)
		trackers = append(trackers, tracker)
	}
	for at := time.Second; at < 5*time.Second; at += 100 * time.Millisecond {
		shares := make(map[uint64]float64)
		for i, tracker := range trackers[:9] { // three are killed at 1 s; the others settle one by one within 1 s
			if at >= time.Second+time.Duration(i)*100*time.Millisecond {
				observe(t, tracker, at, 9, true, 30)
			}
			for _, one := range tracker.Assigned() {
				shares[one.Endpoint] += one.Share
			}
		}
		for endpoint, sum := range shares {
			if sum > 1+1e-9 {
				t.Fatalf("after %v endpoint %d is given away %v times", at, endpoint, sum)
			}
		}
		if at >= 4*time.Second && len(shares) < 30 {
			t.Errorf("%d of 30 endpoints are used", len(shares))
		}
	}
}

// Guards against a process that has just started and does not go by what its file names, as all do that start with it.
func TestAStartGoesByTheFile(t *testing.T) {
	shares := make(map[uint64]float64)
	for i := range 9 {
		tracker := newTracker(i, equalGateways(9))
		observe(t, tracker, 0, 1, false, 30)
		wantStage(t, tracker, Waiting)
		for _, one := range tracker.Assigned() {
			shares[one.Endpoint] += one.Share
		}
		observe(t, tracker, time.Second, 9, true, 30)
		wantStage(t, tracker, Settled) // by a membership that says what the file says
	}
	for endpoint, sum := range shares {
		if sum < 0.999 || sum > 1.001 {
			t.Errorf("endpoint %d is given away %v times", endpoint, sum)
		}
	}
	if len(shares) != 30 {
		t.Errorf("%d of 30 endpoints are used", len(shares))
	}
}

// Guards against an endpoint with more users than it may have, where endpoints hold few connections, and against a
// bound that leaves a gateway without endpoints or traffic unfair.
func TestUsersOfAnEndpointAreBounded(t *testing.T) {
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
	if free, _ := count(0); free <= 24 {
		t.Fatalf("%d users at most without a bound: the test shows nothing", free)
	}
	for _, maxUsers := range []int{14, 16, 24} {
		// Close to the mean large endpoints have too few users for what they can do.
		if largest, load := count(maxUsers); largest > maxUsers || maxUsers >= 24 && load > 1.25 {
			t.Errorf("at most %d users: %d, relative load %.2f", maxUsers, largest, load)
		}
	}
	if _, err := Compute(Rule{Users: 12, MaxUsers: 11}, gateways, endpoints); err == nil {
		t.Error("fewer users at most than on the mean")
	}
}
