package requestrecord

import (
	"strings"
	"testing"
	"time"
)

// Each planted fault is found once, under its rule and by its id; what is in order is not.
func TestCompareFindsEachFaultByItsID(t *testing.T) {
	good := Hash([]byte("made"))
	a, b := NewEndpointRecord("a"), NewEndpointRecord("b")
	made := func(h *EndpointRecord, id string, begun int, bodies ...uint64) {
		*h.EntryOf(id) = Entry{Arrivals: begun, Begun: begun, Ended: begun, Returned: bodies}
	}
	served := Attempt{Whole: true, Answers: 1, Status: 200, Hash: good}
	var tries []Attempt
	add := func(id string, t Attempt) { t.ID = id; tries = append(tries, t) }

	add("fine", served)
	made(a, "fine", 1, good)
	repeated := served
	add("view-twice", repeated) // a safe request may run twice
	made(a, "view-twice", 1, 99)
	made(b, "view-twice", 1, good)
	bid := served
	bid.Unsafe = true
	add("bid-twice", bid)
	made(a, "bid-twice", 1, good)
	made(b, "bid-twice", 1, 98)
	add("foreign", Attempt{Whole: true, Answers: 1, Status: 200, Hash: 5})
	made(a, "foreign", 1, good)
	add("dropped", Attempt{Whole: true, Cause: "silence"})
	add("crashed", Attempt{Whole: true, Target: "killed"})
	add("never-sent", Attempt{})
	double := served
	double.Answers = 2
	add("double", double)
	made(b, "double", 1, good)
	add("refused-ran", Attempt{Whole: true, Unsafe: true, Answers: 1, Status: 503})
	made(b, "refused-ran", 1)
	add("refused-view", Attempt{Whole: true, Answers: 1, Status: 503})
	made(b, "refused-view", 1)
	add("failed-ran", Attempt{Whole: true, Unsafe: true, Answers: 1, Status: 502})
	made(b, "failed-ran", 1)
	made(b, "nobody-sent", 1)

	found, crashed := Compare(tries, []*EndpointRecord{a, b}, func(t Attempt) bool { return t.Target == "killed" })
	want := map[string]string{"bid-twice": RanTwice, "foreign": ForeignBody, "dropped": Unanswered,
		"double":      AnsweredTwice,
		"refused-ran": RefusedRan, "nobody-sent": InventedID}
	for _, f := range found {
		if want[f.ID] != f.Rule {
			t.Errorf("found %s: %s (%s)", f.ID, f.Rule, f.Detail)
		}
		delete(want, f.ID)
	}
	if len(want) > 0 || crashed != 1 {
		t.Errorf("not found: %v; lost by crash: %d, want 1", want, crashed)
	}
}

func TestIDsAreNotReused(t *testing.T) {
	c := NewClients()
	if err := c.Add(Attempt{ID: "x"}); err != nil {
		t.Fatal(err)
	}
	if err := c.Add(Attempt{ID: "x"}); err == nil || !strings.Contains(err.Error(), "x") {
		t.Errorf("a second x: %v", err)
	}
	c.Update("x", func(t *Attempt) { t.Ended = time.Second })
	c.Update("y", func(*Attempt) { t.Error("an unknown id has a try") })
	if all := c.Tries(); len(all) != 1 || all[0].Ended != time.Second {
		t.Errorf("%+v", all)
	}
}

// A keyed request may run again in its cell and nowhere else, and is not refused once it may have run.
func TestKeyedWorkStaysInItsCell(t *testing.T) {
	a, b, other := NewEndpointRecord("a"), NewEndpointRecord("b"), NewEndpointRecord("c")
	other.Cell = 1
	var tries []Attempt
	for id, hosts := range map[string][]*EndpointRecord{"same-cell": {a, b}, "two-cells": {a, other}, "refused": {a}} {
		status := 200
		if id == "refused" {
			status = 503
		}
		tries = append(tries, Attempt{ID: id, Keyed: true, Whole: true, Answers: 1, Status: status, Hash: 1})
		for _, h := range hosts {
			*h.EntryOf(id) = Entry{Arrivals: 1, Begun: 1, Ended: 1, Returned: []uint64{1}}
		}
	}
	found, _ := Compare(tries, []*EndpointRecord{a, b, other}, nil)
	want := map[string]string{"two-cells": RanTwice, "refused": RefusedRan}
	for _, f := range found {
		if want[f.ID] != f.Rule {
			t.Errorf("found %s: %s (%s)", f.ID, f.Rule, f.Detail)
		}
		delete(want, f.ID)
	}
	if len(want) > 0 {
		t.Errorf("not found: %v", want)
	}
}
