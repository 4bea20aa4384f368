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
		t.Errorf("after one of five was removed %d are in the queue, want 4 that are marked as queued", len(q))
	}
}

func TestRequestsAreReleasedOnceUnreferenced(t *testing.T) {
	table := requestTable{byID: make(map[RequestID]*requestState)}
	r := table.add(Request{ID: 7})
	r.attempts = append(r.attempts, attempt{started: 1})
	for _, addReference := range []func(*requestState){
		func(r *requestState) { r.done = false },
		func(r *requestState) { r.inFlight = 1 },
		func(r *requestState) { r.queued = true },
	} {
		r.done, r.inFlight, r.queued = true, 0, false
		if addReference(r); table.release(r) || table.byID[7] == nil {
			t.Errorf("released although still referenced: %+v", r)
		}
	}
	r.done, r.inFlight, r.queued = true, 0, false
	if !table.release(r) || len(table.byID) != 0 {
		t.Error("not released although it is done, not queued and not in flight")
	}
	if next := table.add(Request{ID: 8}); next != r || next.done || len(next.attempts) != 0 || next.ID != 8 {
		t.Errorf("a reused request keeps earlier state: %+v", next)
	}
}
