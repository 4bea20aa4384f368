package lease

import (
	"encoding/json"
	"errors"
	"testing"
)

// Guards against a change of the encoded form, which is stored and sent, for example when a Go field is renamed.
func TestEncodedFormIsPinned(t *testing.T) {
	command := Command{Kind: Renew, Client: "a", Incarnation: 1, Seq: 2, Lease: "d", Slots: 1, Duration: 3 * second,
		FencingToken: 4, At: 5}
	const encoded = `{"Kind":2,"Client":"a","Start":1,"Seq":2,"Duty":"d","Places":1,` +
		`"Lease":3000000000,"Fence":4,"At":5}`
	encodedCommand, err := json.Marshal(command)
	if err != nil || string(encodedCommand) != encoded {
		t.Errorf("%v\n%s\n%s", err, encodedCommand, encoded)
	}
	var decoded Command
	if err := json.Unmarshal(encodedCommand, &decoded); err != nil || decoded != command {
		t.Errorf("%v: %+v", err, decoded)
	}
	tab := NewTable()
	tab.Apply(acquireCommand("a", 1, second))
	for i, client := range []string{"b", "c"} {
		c := acquireCommand(client, 1, 2*second)
		c.Incarnation, c.Slots = uint64(i+2), i+1
		tab.Apply(c)
	}
	const held = `"duties":[{"Name":"d","Places":1,"Holders":[{"Client":"a","Start":1,"Fence":1,"Until":4000000000}],` +
		`"Line":[{"Client":"b","Start":2,"Heard":2000000000}],"Reserved":0}]`
	const waiting = `"duties":[{"Name":"d","Places":1,"Holders":[],` +
		`"Line":[{"Client":"b","Start":2,"Heard":2000000000}],"Reserved":5000000000}]`
	const granted = `{"Name":"a","Start":1,"Seq":1,"Answer":` +
		`{"Verdict":1,"Fence":1,"Lease":3000000000,"Ahead":0,"Why":""},"Heard":1000000000}`
	const released = `{"Name":"a","Start":1,"Seq":2,"Answer":` +
		`{"Verdict":3,"Fence":0,"Lease":0,"Ahead":0,"Why":""},"Heard":3000000000}`
	const others = `{"Name":"b","Start":2,"Seq":1,"Answer":{"Verdict":2,"Fence":0,"Lease":0,"Ahead":0,"Why":""},` +
		`"Heard":2000000000},{"Name":"c","Start":3,"Seq":1,"Answer":{"Verdict":6,"Fence":0,"Lease":0,"Ahead":0,` +
		`"Why":"d has 1 places, not 2"},"Heard":2000000000}`
	compare := func(want string) {
		t.Helper()
		if got, err := tab.Snapshot(); err != nil || string(got) != want {
			t.Errorf("%v\n%s\n%s", err, got, want)
		}
		if restored, err := Restore([]byte(want)); err != nil {
			t.Error(err)
		} else if got, _ := restored.Snapshot(); string(got) != want {
			t.Errorf("snapshot after Restore\n%s\nwant\n%s", got, want)
		}
	}
	compare(`{"version":1,"now_ns":2000000000,"swept_ns":0,"fence":1,` + held + `,"clients":[` + granted + `,` +
		others + `]}`)
	tab.Apply(Command{Kind: Release, Client: "a", Incarnation: 1, Seq: 2, Lease: "d", FencingToken: 1, At: 3 * second})
	compare(`{"version":1,"now_ns":3000000000,"swept_ns":0,"fence":1,` + waiting + `,"clients":[` + released + `,` +
		others + `]}`)
}

// Verifies that errors.Is matches errors with their exported kinds.
func TestErrorsMatchTheirKinds(t *testing.T) {
	client := NewClient("a", 1)
	if err := client.SetRequests(0, []Request{{"d", 0, second}}); !errors.Is(err, ErrCommand) {
		t.Error(err)
	}
	twice := []Request{{"d", 1, second}, {"d", 1, second}}
	if err := client.SetRequests(0, twice); !errors.Is(err, ErrDuplicateRequest) {
		t.Error(err)
	}
	if _, err := Restore([]byte("{}")); !errors.Is(err, ErrSnapshot) {
		t.Error(err)
	}
}
