package lease

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const second = time.Second

func acquireCommand(client string, seq uint64, at time.Duration) Command {
	return Command{Kind: Acquire, Client: client, Incarnation: 1, Seq: seq, Lease: "d", Slots: 1,
		Duration: 3 * second, At: at}
}

// Verifies that one client holds a lease while others wait in order, that each grant has a higher fencing token, and
// that a client that does not use its reservation is moved to the end of the queue.
func TestQueueIsFair(t *testing.T) {
	tab := NewTable()
	want := func(c Command, v Verdict, token uint64, position int) {
		t.Helper()
		if a := tab.Apply(c); a.Verdict != v || a.FencingToken != token || a.QueuePosition != position {
			t.Fatalf("%s at %v: %+v, wanted %v, token %d, queue position %d", c.Client, c.At, a, v, token, position)
		}
	}
	want(acquireCommand("a", 1, 0), Granted, 1, 0)
	want(acquireCommand("b", 1, second), Queued, 0, 0)
	want(acquireCommand("c", 1, second), Queued, 0, 1)
	want(Command{Kind: Renew, Client: "a", Incarnation: 1, Seq: 2, Lease: "d", FencingToken: 1, Duration: 3 * second,
		At: 2 * second}, Granted, 1, 0)
	// the grant of client a has expired; the slot is reserved for client b, the first in the queue
	want(acquireCommand("c", 2, 5*second), Queued, 0, 1)
	// an expired grant cannot be renewed
	want(Command{Kind: Renew, Client: "a", Incarnation: 1, Seq: 3, Lease: "d", FencingToken: 1, Duration: 3 * second,
		At: 6 * second}, Expired, 0, 0)
	// client b has not used its reservation
	want(acquireCommand("c", 3, 8*second), Granted, 2, 0)
	want(acquireCommand("b", 2, 8*second), Queued, 0, 0)
	want(Command{Kind: Release, Client: "c", Incarnation: 1, Seq: 4, Lease: "d", FencingToken: 2, At: 9 * second},
		Released, 0, 0)
	want(acquireCommand("b", 3, 9*second), Granted, 3, 0)
	if h := tab.Holders("d"); !slices.Equal(h, []string{"b"}) {
		t.Errorf("%v", h)
	}
	// A repeated command gets the same answer, an earlier command is stale, and a later process does not get the
	// grant of the earlier one.
	want(acquireCommand("b", 3, 10*second), Granted, 3, 0)
	want(acquireCommand("b", 2, 10*second), Stale, 0, 0)
	laterProcess := acquireCommand("b", 1, 10*second)
	laterProcess.Incarnation = 2
	want(laterProcess, Queued, 0, 0)
	want(acquireCommand("b", 4, 10*second), Stale, 0, 0)
	laterProcess.Seq, laterProcess.At = 2, 13*second
	want(laterProcess, Granted, 4, 0)
}

// Verifies that a lease has no more holders than slots, and that commands with another number of slots, or out of
// bounds, are rejected.
func TestSlotsAreBounded(t *testing.T) {
	tab := NewTable()
	for i := range 5 {
		c := acquireCommand(fmt.Sprint("c", i), 1, 0)
		c.Slots = 3
		if a := tab.Apply(c); (a.Verdict == Granted) != (i < 3) {
			t.Errorf("client %d: %+v", i, a)
		}
	}
	if a := tab.Apply(acquireCommand("x", 1, 0)); a.Verdict != Rejected ||
		!strings.Contains(a.Reason, "3 places, not 1") {
		t.Errorf("%+v", a)
	}
	for reason, edit := range map[string]func(*Command){
		"names of 1 to 64 bytes":     func(c *Command) { c.Lease = strings.Repeat("d", 65) },
		"kind 9 is none":             func(c *Command) { c.Kind = 9 },
		"above 0":                    func(c *Command) { c.Seq = 0 },
		"places must be 1 to 100":    func(c *Command) { c.Slots = 0 },
		"a lease must be 100ms to 1": func(c *Command) { c.Duration = second / 20 },
	} {
		c := acquireCommand("y", 1, 0)
		edit(&c)
		before, _ := tab.Snapshot()
		if a := tab.Apply(c); a.Verdict != Rejected || !strings.Contains(a.Reason, reason) {
			t.Errorf("wanted a rejection with %q: %+v", reason, a)
		}
		if after, _ := tab.Snapshot(); !bytes.Equal(before, after) {
			t.Errorf("%s: the rejected command changed the table", reason)
		}
	}
}

// Verifies that 10,000 expired leases are removed, and that a table restored from a snapshot behaves like the
// original.
func TestTableSizeStaysBounded(t *testing.T) {
	tab := NewTable()
	seq := uint64(0)
	for i := range 10_000 {
		seq++
		c := acquireCommand("a", seq, time.Duration(i)*time.Millisecond)
		c.Lease = fmt.Sprint("shard-", i)
		if a := tab.Apply(c); a.Verdict != Granted {
			t.Fatalf("%d: %+v", i, a)
		}
	}
	raw, err := tab.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	for _, table := range []*Table{tab, restored} {
		table.Apply(acquireCommand("b", 1, 60*second))
		if table.Len() != 1 || table.LastToken() != 10_001 {
			t.Errorf("%d leases, last token %d; wanted 1 lease, token 10001", table.Len(), table.LastToken())
		}
	}
	a, _ := tab.Snapshot()
	b, _ := restored.Snapshot()
	if !bytes.Equal(a, b) {
		t.Error("the restored table differs from the original after the same command")
	}
	for _, invalid := range [][]byte{nil, []byte("{}"), raw[:len(raw)/2],
		bytes.Replace(raw, []byte(`"places":1`), []byte(`"Places":0`), 1),
		bytes.Replace(raw, []byte(`"fence":10000`), []byte(`"fence":1`), 1),
		bytes.Replace(raw, []byte(`"version":1`), []byte(`"version":2`), 1)} {
		if bytes.Equal(invalid, raw) {
			continue
		}
		if _, err := Restore(invalid); err == nil {
			t.Errorf("Restore accepted the invalid snapshot %.60s", invalid)
		}
	}
}

// Verifies with random commands that a lease never has more holders than slots, that fencing tokens never decrease,
// and that a restored snapshot encodes to the same bytes.
func TestTableAsStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewTable()
		seqs := make(map[string]uint64)
		last := uint64(0)
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"command": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(2*second)).Draw(t, "passes"))
				c := Command{
					Kind:         Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
					Client:       rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client"),
					Incarnation:  uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")),
					Lease:        rapid.SampledFrom([]string{"x", "y"}).Draw(t, "lease"),
					Slots:        1,
					Duration:     second,
					FencingToken: uint64(rapid.IntRange(0, 6).Draw(t, "token")),
					At:           now,
				}
				if c.Lease == "y" {
					c.Slots = 2
				}
				seqs[c.Client] += uint64(rapid.IntRange(0, 1).Draw(t, "repeat"))
				c.Seq = max(1, seqs[c.Client])
				answer := a.Apply(c)
				if answer.Verdict == Granted && answer.FencingToken == 0 {
					t.Fatalf("%+v: %+v", c, answer)
				}
				if a.LastToken() < last {
					t.Fatalf("last token %d after %d", a.LastToken(), last)
				}
				last = a.LastToken()
			},
			"": func(t *rapid.T) {
				raw, err := a.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				b, err := Restore(raw)
				if err != nil {
					t.Fatal(err)
				}
				if again, _ := b.Snapshot(); !bytes.Equal(raw, again) {
					t.Fatalf("%s\n%s", raw, again)
				}
				if len(a.Holders("x")) > 1 || len(a.Holders("y")) > 2 {
					t.Fatalf("%s", raw)
				}
			},
		})
	})
}
