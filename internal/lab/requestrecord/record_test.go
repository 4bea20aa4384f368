package requestrecord

import (
	"strings"
	"testing"
	"time"
)

// Compare reports each planted fault once, with its rule and its id, and reports nothing else.
func TestCompareReportsEachFaultWithItsID(t *testing.T) {
	bodyHash := Hash([]byte("made"))
	a, b := NewEndpointRecord("a"), NewEndpointRecord("b")
	setExecutions := func(h *EndpointRecord, id string, begun int, bodies ...uint64) {
		*h.EntryOf(id) = Entry{Arrivals: begun, Started: begun, Ended: begun, Returned: bodies}
	}
	served := Attempt{FullyWritten: true, Answers: 1, Status: 200, Hash: bodyHash}
	var attempts []Attempt
	add := func(id string, t Attempt) { t.ID = id; attempts = append(attempts, t) }

	add("fine", served)
	setExecutions(a, "fine", 1, bodyHash)
	repeated := served
	add("view-twice", repeated) // a safe request may be executed twice
	setExecutions(a, "view-twice", 1, 99)
	setExecutions(b, "view-twice", 1, bodyHash)
	unsafe := served
	unsafe.Unsafe = true
	add("bid-twice", unsafe)
	setExecutions(a, "bid-twice", 1, bodyHash)
	setExecutions(b, "bid-twice", 1, 98)
	add("foreign", Attempt{FullyWritten: true, Answers: 1, Status: 200, Hash: 5})
	setExecutions(a, "foreign", 1, bodyHash)
	add("dropped", Attempt{FullyWritten: true, Cause: "silence"})
	add("crashed", Attempt{FullyWritten: true, Target: "killed"})
	add("never-sent", Attempt{})
	answeredTwice := served
	answeredTwice.Answers = 2
	add("double", answeredTwice)
	setExecutions(b, "double", 1, bodyHash)
	add("refused-ran", Attempt{FullyWritten: true, Unsafe: true, Answers: 1, Status: 503})
	setExecutions(b, "refused-ran", 1)
	add("refused-view", Attempt{FullyWritten: true, Answers: 1, Status: 503})
	setExecutions(b, "refused-view", 1)
	add("failed-ran", Attempt{FullyWritten: true, Unsafe: true, Answers: 1, Status: 502})
	setExecutions(b, "failed-ran", 1)
	setExecutions(b, "nobody-sent", 1)

	found, crashed := Compare(attempts, []*EndpointRecord{a, b}, func(t Attempt) bool { return t.Target == "killed" })
	want := map[string]string{"bid-twice": RanTwice, "foreign": ForeignBody, "dropped": Unanswered,
		"double":      AnsweredTwice,
		"refused-ran": RefusedAfterRun, "nobody-sent": InventedID}
	for _, f := range found {
		if want[f.ID] != f.Rule {
			t.Errorf("unexpected finding for %s: %s (%s)", f.ID, f.Rule, f.Detail)
		}
		delete(want, f.ID)
	}
	if len(want) > 0 || crashed != 1 {
		t.Errorf("faults not found: %v; attempts lost by a crash: %d, want 1", want, crashed)
	}
}

func TestIDsAreNotReused(t *testing.T) {
	c := NewClientRecord()
	if err := c.Add(Attempt{ID: "x"}); err != nil {
		t.Fatal(err)
	}
	if err := c.Add(Attempt{ID: "x"}); err == nil || !strings.Contains(err.Error(), "x") {
		t.Errorf("adding the id x again: error %v, want one that names it", err)
	}
	c.Update("x", func(t *Attempt) { t.Ended = time.Second })
	c.Update("y", func(*Attempt) { t.Error("Update called the function for an unknown id") })
	if all := c.Attempts(); len(all) != 1 || all[0].Ended != time.Second {
		t.Errorf("attempts %+v, want one that ended after 1 s", all)
	}
}

// A keyed request may be executed again in its cell only, and must not be rejected once it may have been
// executed.
func TestKeyedRequestsRepeatInOneCellOnly(t *testing.T) {
	a, b, other := NewEndpointRecord("a"), NewEndpointRecord("b"), NewEndpointRecord("c")
	other.Cell = 1
	var attempts []Attempt
	for id, hosts := range map[string][]*EndpointRecord{"same-cell": {a, b}, "two-cells": {a, other}, "refused": {a}} {
		status := 200
		if id == "refused" {
			status = 503
		}
		attempts = append(attempts, Attempt{ID: id, Keyed: true, FullyWritten: true, Answers: 1, Status: status, Hash: 1})
		for _, h := range hosts {
			*h.EntryOf(id) = Entry{Arrivals: 1, Started: 1, Ended: 1, Returned: []uint64{1}}
		}
	}
	found, _ := Compare(attempts, []*EndpointRecord{a, b, other}, nil)
	want := map[string]string{"two-cells": RanTwice, "refused": RefusedAfterRun}
	for _, f := range found {
		if want[f.ID] != f.Rule {
			t.Errorf("unexpected finding for %s: %s (%s)", f.ID, f.Rule, f.Detail)
		}
		delete(want, f.ID)
	}
	if len(want) > 0 {
		t.Errorf("faults not found: %v", want)
	}
}
