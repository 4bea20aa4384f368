package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const instanceSettings = `balancers=2
classes.count=1
classes.0.aim_ms=500
classes.0.give_up_ms=1000
classes.0.repeat=repeatable
`

// batch builds the frame of a batch: header, records of 48 bytes and the tail with variable-length data.
func batch(clock float64, tail string, records ...[]byte) []byte {
	out := make([]byte, 16)
	for _, r := range records {
		out = append(out, append(r, make([]byte, 48-len(r))...)...)
	}
	out = append(out, tail...)
	binary.LittleEndian.PutUint32(out, uint32(len(out)))
	binary.LittleEndian.PutUint64(out[4:], math.Float64bits(clock))
	binary.LittleEndian.PutUint32(out[12:], uint32(len(records)))
	return out
}

// recordWithUint32 builds a record of an event code, skip zero bytes and a little-endian number.
func recordWithUint32(code byte, skip int, v uint32) []byte {
	return binary.LittleEndian.AppendUint32(append([]byte{code}, make([]byte, skip)...), v)
}

// startRecord builds the event that starts an instance whose settings take length bytes of the tail.
func startRecord(length int) []byte {
	return binary.LittleEndian.AppendUint32(recordWithUint32(10, 8, 0), uint32(length))
}

// requestRecord builds the arrival of a request with a time of 1000.
func requestRecord(id uint32) []byte {
	rec := append(recordWithUint32(7, 0, id), make([]byte, 12)...)
	return binary.LittleEndian.AppendUint64(rec, math.Float64bits(1000))
}

// actionCodes returns the instance number and action code of each action in a stream of replies.
func actionCodes(t *testing.T, out []byte) [][2]int {
	t.Helper()
	var actions [][2]int
	instance := -1
	for len(out) > 0 {
		count, size := binary.LittleEndian.Uint32(out), binary.LittleEndian.Uint32(out[4:])
		for i := range count {
			rec := out[8+24*i:]
			if rec[0] == 13 {
				instance = int(binary.LittleEndian.Uint16(rec[1:]))
				continue
			}
			actions = append(actions, [2]int{instance, int(rec[0])})
		}
		out = out[size:]
	}
	return actions
}

// Guards against events that are passed to another instance, and actions attributed to another instance.
func TestEventsAndActionsStayWithTheirInstance(t *testing.T) {
	in := bytes.Join([][]byte{
		batch(10, instanceSettings, []byte{8, 1}, startRecord(len(instanceSettings)), []byte{8, 2},
			startRecord(len(instanceSettings))),
		batch(20, "", []byte{8, 2}, requestRecord(5)),
		batch(30, "", []byte{8, 2}, []byte{11}, []byte{8, 1}, requestRecord(5)),
		batch(40, ""),
	}, nil)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	// Action 5 sets a timer. Each instance sets one for its samples when it starts, and one to check its queue
	// when a request is queued.
	want := [][2]int{{1, 5}, {2, 5}, {2, 5}, {1, 5}}
	got := actionCodes(t, out.Bytes())
	if len(got) != len(want) {
		t.Fatalf("actions = %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("actions = %v, want %v", got, want)
		}
	}
}

// Guards against a partial reply to a faulty batch, and against an error that does not name the fault.
func TestFaultyBatchEndsTheRunWithoutAPartialReply(t *testing.T) {
	valid := batch(10, instanceSettings, []byte{8, 1}, startRecord(len(instanceSettings)))
	for want, faulty := range map[string][]byte{
		"instance 9, which has not started": batch(20, "", []byte{8, 9}, requestRecord(1)),
		"unknown event code 77":             batch(20, "", []byte{8, 1}, []byte{77}),
		"balancers is missing":              batch(20, "zone=1", []byte{8, 2}, startRecord(6)),
		"cut short":                         batch(20, "", []byte{8, 1}, requestRecord(1))[:40],
		"lie outside the tail":              batch(20, "", []byte{8, 1}, startRecord(9)),
		"Gateways is 0": batch(20, "balancers=0\nclasses.count=0\n", []byte{8, 2},
			startRecord(28)),
	} {
		var first, out bytes.Buffer
		if err := run(bytes.NewReader(valid), &first); err != nil {
			t.Fatal(err)
		}
		err := run(bytes.NewReader(append(bytes.Clone(valid), faulty...)), &out)
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("err = %v, want one line with %q", err, want)
		}
		if !bytes.Equal(out.Bytes(), first.Bytes()) {
			t.Errorf("%s: output contains more than the reply to the valid batch", want)
		}
	}
}
