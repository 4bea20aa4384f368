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

func ask(client string, seq uint64, at time.Duration) Command {
	return Command{Kind: Acquire, Client: client, Incarnation: 1, Seq: seq, Lease: "d", Slots: 1,
		Duration: 3 * second, At: at}
}

// One holds, others wait in the queue; each grant has a higher number; who lets its turn pass goes to the end.
func TestQueueIsFair(t *testing.T) {
	tab := NewTable()
	want := func(c Command, v Verdict, fence uint64, ahead int) {
		t.Helper()
		if a := tab.Apply(c); a.Verdict != v || a.FencingToken != fence || a.QueuePosition != ahead {
			t.Fatalf("%s at %v: %+v, wanted %v, number %d, %d ahead", c.Client, c.At, a, v, fence, ahead)
		}
	}
	want(ask("a", 1, 0), Granted, 1, 0)
	want(ask("b", 1, second), Queued, 0, 0)
	want(ask("c", 1, second), Queued, 0, 1)
	want(Command{Kind: Renew, Client: "a", Incarnation: 1, Seq: 2, Lease: "d", FencingToken: 1, Duration: 3 * second,
		At: 2 * second}, Granted, 1, 0)
	// b is first, and has it reserved
	want(ask("c", 2, 5*second), Queued, 0, 1)
	// not revived
	want(Command{Kind: Renew, Client: "a", Incarnation: 1, Seq: 3, Lease: "d", FencingToken: 1, Duration: 3 * second,
		At: 6 * second}, Expired, 0, 0)
	// b has let it pass
	want(ask("c", 3, 8*second), Granted, 2, 0)
	want(ask("b", 2, 8*second), Queued, 0, 0)
	want(Command{Kind: Release, Client: "c", Incarnation: 1, Seq: 4, Lease: "d", FencingToken: 2, At: 9 * second},
		Released, 0, 0)
	want(ask("b", 3, 9*second), Granted, 3, 0)
	if h := tab.Holders("d"); !slices.Equal(h, []string{"b"}) {
		t.Errorf("%v", h)
	}
	// A command that comes twice has its answer again, one before it is stale; a later process has nothing of the
	// earlier one's.
	want(ask("b", 3, 10*second), Granted, 3, 0)
	want(ask("b", 2, 10*second), Stale, 0, 0)
	again := ask("b", 1, 10*second)
	again.Incarnation = 2
	want(again, Queued, 0, 0)
	want(ask("b", 4, 10*second), Stale, 0, 0)
	again.Seq, again.At = 2, 13*second
	want(again, Granted, 4, 0)
}

// A lease of several slots has so many holders and no more, and cannot be asked for as another.
func TestSlotsAreBounded(t *testing.T) {
	tab := NewTable()
	for i := range 5 {
		c := ask(fmt.Sprint("c", i), 1, 0)
		c.Slots = 3
		if a := tab.Apply(c); (a.Verdict == Granted) != (i < 3) {
			t.Errorf("asker %d: %+v", i, a)
		}
	}
	if a := tab.Apply(ask("x", 1, 0)); a.Verdict != Rejected || !strings.Contains(a.Reason, "3 places, not 1") {
		t.Errorf("%+v", a)
	}
	for why, edit := range map[string]func(*Command){
		"names of 1 to 64 bytes":     func(c *Command) { c.Lease = strings.Repeat("d", 65) },
		"kind 9 is none":             func(c *Command) { c.Kind = 9 },
		"above 0":                    func(c *Command) { c.Seq = 0 },
		"places must be 1 to 100":    func(c *Command) { c.Slots = 0 },
		"a lease must be 100ms to 1": func(c *Command) { c.Duration = second / 20 },
	} {
		c := ask("y", 1, 0)
		edit(&c)
		before, _ := tab.Snapshot()
		if a := tab.Apply(c); a.Verdict != Rejected || !strings.Contains(a.Reason, why) {
			t.Errorf("wanted %q: %+v", why, a)
		}
		if after, _ := tab.Snapshot(); !bytes.Equal(before, after) {
			t.Errorf("%s: the table changed", why)
		}
	}
}

// What lapsed is forgotten in time: ten thousand shards leave no trace, and a table can be kept and read back at any
// moment.
func TestTableStaysSmall(t *testing.T) {
	tab := NewTable()
	seq := uint64(0)
	for i := range 10_000 {
		seq++
		c := ask("a", seq, time.Duration(i)*time.Millisecond)
		c.Lease = fmt.Sprint("shard-", i)
		if a := tab.Apply(c); a.Verdict != Granted {
			t.Fatalf("%d: %+v", i, a)
		}
	}
	raw, err := tab.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Restore(raw)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []*Table{tab, again} {
		x.Apply(ask("b", 1, 60*second))
		if x.Len() != 1 || x.LastToken() != 10_001 {
			t.Errorf("%d duties, number %d", x.Len(), x.LastToken())
		}
	}
	a, _ := tab.Snapshot()
	b, _ := again.Snapshot()
	if !bytes.Equal(a, b) {
		t.Error("a table that was read back goes on otherwise")
	}
	for _, spoilt := range [][]byte{nil, []byte("{}"), raw[:len(raw)/2],
		bytes.Replace(raw, []byte(`"places":1`), []byte(`"Places":0`), 1),
		bytes.Replace(raw, []byte(`"fence":10000`), []byte(`"fence":1`), 1),
		bytes.Replace(raw, []byte(`"version":1`), []byte(`"version":2`), 1)} {
		if bytes.Equal(spoilt, raw) {
			continue
		}
		if _, err := Restore(spoilt); err == nil {
			t.Errorf("%.60s: read back", spoilt)
		}
	}
}

// The table as a state machine: holders never over the slots, tokens only grow, and a copy read back from its words
// stays equal.
func TestTableAsStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewTable()
		seqs := make(map[string]uint64)
		last := uint64(0)
		now := time.Duration(0)
		t.Repeat(map[string]func(*rapid.T){
			"command": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(2*second)).Draw(t, "passes"))
				c := Command{Kind: Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
					Client:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client"),
					Incarnation: uint64(rapid.IntRange(1, 2).Draw(t, "start")),
					Lease:       rapid.SampledFrom([]string{"x", "y"}).Draw(t, "duty"), Slots: 1,
					Duration: second, FencingToken: uint64(rapid.IntRange(0, 6).Draw(t, "fence")), At: now}
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
					t.Fatalf("number %d after %d", a.LastToken(), last)
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
