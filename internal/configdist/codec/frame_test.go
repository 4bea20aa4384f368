package codec

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"thymebend/internal/configdist/content"
)

const fleet = 7

func samples() []Message {
	ref := content.Ref{Term: 3, Number: 9, Hash: content.Hash{1, 2, 3}}
	state := State{InForce: ref, Verdict: Rejected, Version: 10, Attempt: 2, Reason: "no"}
	cursor := content.Cursor{Service: "a", Kind: content.Route, Name: "r"}
	return []Message{
		&Subscribe{Gateway: "g", Zone: "z", Session: 5, Services: []string{"a", "b"}, State: state},
		&Report{Gateway: "g", Session: 5, State: state},
		&Fetch{Gateway: "g", Session: 5, From: ref, Target: 10, After: cursor},
		&Offer{Session: 5, Target: ref, Attempt: 2},
		&Page{Session: 5, From: ref, Target: ref, Attempt: 2, Scope: content.Hash{9}, After: cursor, Next: cursor,
			Last: true, Changes: []content.Change{
				{Remove: true, Entry: content.Entry{Kind: content.Tenant, Service: "a", Name: "t"}},
				{Entry: content.Entry{Kind: content.Route, Service: "a", Name: "r", Body: "b"}}}},
		&UnknownSession{Session: 5},
		&Busy{Session: 5},
		&RaftMessage{Data: []byte("raft")},
		&GatewayReports{Head: 4, Full: true,
			Gateways: []GatewayReport{{Gateway: "g", Zone: "z", Session: 8, State: state, Target: 4, Affected: true,
				Silent: true}}},
	}
}

// Guards against a field that is encoded and not read back.
func TestWhatIsWordedIsRead(t *testing.T) {
	s, r := Sender{Cluster: fleet, Incarnation: 1}, Receiver{Cluster: fleet}
	var stream []byte
	for _, m := range samples() {
		stream = s.Append(stream, m)
	}
	for _, want := range samples() {
		got, used, err := r.Receive(stream)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%v\n%+v\n%+v", err, got, want)
		}
		stream = stream[used:]
	}
	if len(samples()) != int(lastKind) || len(stream) != 0 {
		t.Errorf("%d kinds, %d bytes left", len(samples()), len(stream))
	}
}

// reframe words a frame whose header was changed, with a right checksum if it can have one.
func reframe(change func(b []byte) []byte) []byte {
	s := Sender{Cluster: fleet, Incarnation: 1}
	return change(s.Append(nil, &UnknownSession{Session: 300}))
}

// Guards against a faulty frame that is taken, or that changes the receiver.
func TestFaultyFramesAreNamed(t *testing.T) {
	set := func(at int, v byte) func([]byte) []byte {
		return func(b []byte) []byte { b[at] = v; return b }
	}
	other := Sender{Cluster: fleet + 1, Incarnation: 1}
	long := Sender{Cluster: fleet, Incarnation: 1}
	malformed := Sender{Cluster: fleet, Incarnation: 1}
	for name, c := range map[string]struct {
		frame []byte
		want  error
	}{
		"nothing":         {nil, ErrTruncated},
		"half a header":   {reframe(func(b []byte) []byte { return b[:headerSize-1] }), ErrTruncated},
		"without its end": {reframe(func(b []byte) []byte { return b[:len(b)-1] }), ErrTruncated},
		"version":         {reframe(set(0, 2)), ErrVersion},
		"kind 0":          {reframe(set(1, 0)), ErrKind},
		"kind 99":         {reframe(set(1, 99)), ErrKind},
		"length":          {reframe(set(2, 1)), ErrTooLong},
		"a flipped bit":   {reframe(set(headerSize, 0)), ErrChecksum},
		"another fleet":   {other.Append(nil, &UnknownSession{}), ErrCluster},
		"a long body": {long.Append(nil, &Subscribe{Services: strings.Split(strings.Repeat("x,", MaxBody), ",")}),
			ErrTooLong},
		"a long reason": {malformed.Append(nil, &Report{State: State{Reason: strings.Repeat("x", MaxReason+1)}}),
			ErrMalformed},
		"a verdict": {malformed.Append(nil, &Report{State: State{Verdict: lastVerdict + 1}}), ErrMalformed},
	} {
		r := Receiver{Cluster: fleet}
		if m, _, err := r.Receive(c.frame); !errors.Is(err, c.want) || m != nil {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if r != (Receiver{Cluster: fleet}) {
			t.Errorf("%s has changed the receiver", name)
		}
	}
}

// Guards against a frame that is taken twice, or for an earlier process.
func TestEachFrameIsTakenOnce(t *testing.T) {
	s, r := Sender{Cluster: fleet, Incarnation: 5}, Receiver{Cluster: fleet}
	var frames [][]byte
	for range replayWindow + 3 {
		frames = append(frames, s.Append(nil, &UnknownSession{}))
	}
	take := func(frame []byte, want error) {
		t.Helper()
		if _, used, err := r.Receive(frame); !errors.Is(err, want) || used != len(frame) {
			t.Errorf("%v, want %v", err, want)
		}
	}
	take(frames[1], nil)
	take(frames[0], nil) // overtaken
	take(frames[0], ErrRepeated)
	take(frames[1], ErrRepeated)
	take(frames[replayWindow+2], nil)
	take(frames[2], ErrRepeated) // too old to know
	take(frames[3], nil)
	next, before := Sender{Cluster: fleet, Incarnation: 6}, Sender{Cluster: fleet, Incarnation: 4}
	take(next.Append(nil, &UnknownSession{}), nil)
	take(frames[10], ErrRepeated) // of a process before
	take(before.Append(nil, &UnknownSession{}), ErrRepeated)
}

// Guards against a reader that fails at the fields of a later version.
func TestLaterFieldsAreSkipped(t *testing.T) {
	body := append((&Offer{Session: 5, Attempt: 3}).appendBody(nil), "more"...)
	var m Offer
	r := NewReader(body)
	if m.readBody(r); r.Err() != nil || m.Session != 5 || m.Attempt != 3 {
		t.Errorf("%v %+v", r.Err(), m)
	}
}

func FuzzReceive(f *testing.F) {
	s := Sender{Cluster: fleet, Incarnation: 1}
	for _, m := range samples() {
		f.Add(s.Append(nil, m)[headerSize:], byte(m.Kind()))
	}
	f.Fuzz(func(t *testing.T, body []byte, kind byte) {
		r := Receiver{Cluster: fleet}
		_, _, _ = r.Receive(body)
		m := newMessage(Kind(kind))
		if m == nil {
			return
		}
		reader := NewReader(body)
		if m.readBody(reader); reader.Err() != nil {
			return
		}
		// What was read can be worded and read again.
		again := newMessage(Kind(kind))
		reader = NewReader(m.appendBody(nil))
		if again.readBody(reader); reader.Err() != nil || !reflect.DeepEqual(m, again) {
			t.Fatalf("%v\n%+v\n%+v", reader.Err(), m, again)
		}
	})
}
