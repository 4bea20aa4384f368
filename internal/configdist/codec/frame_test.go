package codec

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"thymebend/internal/configdist/content"
)

const testCluster = 7

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
		&GatewayReports{NewestVersion: 4, Full: true,
			Gateways: []GatewayReport{{Gateway: "g", Zone: "z", Session: 8, State: state, Target: 4, Affected: true,
				Silent: true}}},
	}
}

// Guards against a field that is not encoded, or not decoded, in any kind of message.
func TestMessagesRoundTrip(t *testing.T) {
	s, r := Sender{Cluster: testCluster, Incarnation: 1}, Receiver{Cluster: testCluster}
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
		t.Errorf("%d message kinds covered, %d bytes left after the last frame", len(samples()), len(stream))
	}
}

// reframe returns an encoded frame after a change. The checksum is not recomputed.
func reframe(change func(b []byte) []byte) []byte {
	s := Sender{Cluster: testCluster, Incarnation: 1}
	return change(s.Append(nil, &UnknownSession{Session: 300}))
}

// Guards against an invalid frame that is accepted, gets the wrong error, or changes the receiver.
func TestFaultyFramesAreRejected(t *testing.T) {
	set := func(at int, v byte) func([]byte) []byte {
		return func(b []byte) []byte { b[at] = v; return b }
	}
	other := Sender{Cluster: testCluster + 1, Incarnation: 1}
	long := Sender{Cluster: testCluster, Incarnation: 1}
	malformed := Sender{Cluster: testCluster, Incarnation: 1}
	for name, c := range map[string]struct {
		frame []byte
		want  error
	}{
		"empty":             {nil, ErrTruncated},
		"half a header":     {reframe(func(b []byte) []byte { return b[:headerSize-1] }), ErrTruncated},
		"last byte missing": {reframe(func(b []byte) []byte { return b[:len(b)-1] }), ErrTruncated},
		"version":           {reframe(set(0, 2)), ErrVersion},
		"kind 0":            {reframe(set(1, 0)), ErrKind},
		"kind 99":           {reframe(set(1, 99)), ErrKind},
		"length too large":  {reframe(set(2, 1)), ErrTooLong},
		"changed body":      {reframe(set(headerSize, 0)), ErrChecksum},
		"other cluster":     {other.Append(nil, &UnknownSession{}), ErrCluster},
		"body too long": {long.Append(nil,
			&Subscribe{Services: strings.Split(strings.Repeat("x,", MaxGatewayBodyBytes), ",")}), ErrTooLong},
		"reason too long": {malformed.Append(nil, &Report{State: State{Reason: strings.Repeat("x", MaxReasonBytes+1)}}),
			ErrMalformed},
		"unknown verdict": {malformed.Append(nil, &Report{State: State{Verdict: lastVerdict + 1}}), ErrMalformed},
	} {
		r := Receiver{Cluster: testCluster}
		if m, _, err := r.Receive(c.frame); !errors.Is(err, c.want) || m != nil {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
		if r != (Receiver{Cluster: testCluster}) {
			t.Errorf("%s: the rejected frame changed the receiver", name)
		}
	}
}

// Guards against accepting a frame twice, or from a process before the current one.
func TestDuplicateFramesAreRejected(t *testing.T) {
	s, r := Sender{Cluster: testCluster, Incarnation: 5}, Receiver{Cluster: testCluster}
	var frames [][]byte
	for range replayWindow + 3 {
		frames = append(frames, s.Append(nil, &UnknownSession{}))
	}
	receive := func(frame []byte, want error) {
		t.Helper()
		if _, used, err := r.Receive(frame); !errors.Is(err, want) || used != len(frame) {
			t.Errorf("%v, want %v", err, want)
		}
	}
	receive(frames[1], nil)
	receive(frames[0], nil) // overtaken by frame 1
	receive(frames[0], ErrDuplicate)
	receive(frames[1], ErrDuplicate)
	receive(frames[replayWindow+2], nil)
	receive(frames[2], ErrDuplicate) // older than the replay window
	receive(frames[3], nil)
	next, before := Sender{Cluster: testCluster, Incarnation: 6}, Sender{Cluster: testCluster, Incarnation: 4}
	receive(next.Append(nil, &UnknownSession{}), nil)
	receive(frames[10], ErrDuplicate) // of an earlier process
	receive(before.Append(nil, &UnknownSession{}), ErrDuplicate)
}

// Guards against a reader that rejects a body with additional fields of a later program version.
func TestUnknownTrailingFieldsAreSkipped(t *testing.T) {
	body := append((&Offer{Session: 5, Attempt: 3}).appendBody(nil), "more"...)
	var m Offer
	r := NewReader(body)
	if m.readBody(r); r.Err() != nil || m.Session != 5 || m.Attempt != 3 {
		t.Errorf("%v %+v", r.Err(), m)
	}
}

func FuzzReceive(f *testing.F) {
	s := Sender{Cluster: testCluster, Incarnation: 1}
	for _, m := range samples() {
		f.Add(s.Append(nil, m)[headerSize:], byte(m.Kind()))
	}
	f.Fuzz(func(t *testing.T, body []byte, kind byte) {
		r := Receiver{Cluster: testCluster}
		_, _, _ = r.Receive(body)
		m := newMessage(Kind(kind))
		if m == nil {
			return
		}
		reader := NewReader(body)
		if m.readBody(reader); reader.Err() != nil {
			return
		}
		// A decoded message can be encoded and decoded again without change.
		decoded := newMessage(Kind(kind))
		reader = NewReader(m.appendBody(nil))
		if decoded.readBody(reader); reader.Err() != nil || !reflect.DeepEqual(m, decoded) {
			t.Fatalf("%v\n%+v\n%+v", reader.Err(), m, decoded)
		}
	})
}
