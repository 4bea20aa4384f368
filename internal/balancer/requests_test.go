package balancer

import (
	"slices"
	"testing"
	"time"
)

func TestQueueIsInOrderOfArrival(t *testing.T) {
	var q requestQueue
	for id, arrived := range []time.Duration{10, 30, 20, 20, 5} {
		q.insert(&requestState{Request: Request{ID: RequestID(id)}, arrivedAt: arrived})
	}
	var got []RequestID
	q.retain(func(r *requestState) bool {
		got = append(got, r.ID)
		return r.ID != 2
	})
	if want := []RequestID{4, 0, 2, 3, 1}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
	if len(q) != 4 || slices.ContainsFunc(q, func(r *requestState) bool { return r.ID == 2 || !r.queued }) {
		t.Errorf("after one was taken off: %d are left", len(q))
	}
}

func TestRequestsAreReleasedOnceUnreferenced(t *testing.T) {
	table := requestTable{byID: make(map[RequestID]*requestState)}
	r := table.add(Request{ID: 7})
	r.attempts = append(r.attempts, attempt{started: 1})
	for _, refer := range []func(*requestState){
		func(r *requestState) { r.done = false },
		func(r *requestState) { r.inFlight = 1 },
		func(r *requestState) { r.queued = true },
	} {
		r.done, r.inFlight, r.queued = true, 0, false
		if refer(r); table.release(r) || table.byID[7] == nil {
			t.Errorf("forgotten: %+v", r)
		}
	}
	r.done, r.inFlight, r.queued = true, 0, false
	if !table.release(r) || len(table.byID) != 0 {
		t.Error("not forgotten though nothing refers to it")
	}
	if next := table.add(Request{ID: 8}); next != r || next.done || len(next.attempts) != 0 || next.ID != 8 {
		t.Errorf("reused with something left: %+v", next)
	}
}
