package simproto

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"thymebend/internal/balancer"
	"thymebend/internal/fielderror"
	"thymebend/internal/settings"
)

// frame encodes a batch from records, each of which it pads to eventSize, and a tail.
func frame(clock float64, tail []byte, records ...[]byte) []byte {
	out := make([]byte, batchHeaderSize)
	for _, r := range records {
		out = append(out, append(r, make([]byte, eventSize-len(r))...)...)
	}
	out = append(out, tail...)
	binary.LittleEndian.PutUint32(out, uint32(len(out)))
	binary.LittleEndian.PutUint64(out[4:], math.Float64bits(clock))
	binary.LittleEndian.PutUint32(out[12:], uint32(len(records)))
	return out
}

func f64(v float64) []byte { return binary.LittleEndian.AppendUint64(nil, math.Float64bits(v)) }

func u32(v uint32) []byte { return binary.LittleEndian.AppendUint32(nil, v) }

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// selectRecord encodes a record that selects the instance of the records after it.
func selectRecord(instance byte) []byte { return []byte{8, instance, 0} }

// decodeAll decodes all events of a frame.
func decodeAll(data []byte) ([]Event, error) {
	b, err := Decode(data)
	if err != nil {
		return nil, err
	}
	var out []Event
	for {
		e, err := b.Next()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
}

// Guards against a field that is read from the wrong byte or in the wrong unit.
func TestDecodeEvents(t *testing.T) {
	entry := join(u32(0), []byte{2, 7, 0, 10, 18, 74, 7, 0x2b, 0x23, 1}, f64(1500), []byte{0})
	request := join([]byte{7}, u32(77), u32(1), make([]byte, 8), f64(110), []byte{2, 0, 2})
	ended := join([]byte{1}, u32(77), []byte{3, 0, 10, 18, 74, 7, 0x2b, 0x23, 0x2f, 1}, f64(12.5), []byte{1})
	list := join([]byte{5, 3}, make([]byte, 8), u32(0), u32(1))
	events, err := decodeAll(frame(1000.25, entry, selectRecord(3), request, ended, list, []byte{3, 9, 0, 0, 0},
		selectRecord(4), []byte{11}))
	if err != nil {
		t.Fatal(err)
	}
	if len(events) != 5 || events[0].Instance != 3 || events[4].Instance != 4 || events[4].Kind != InstanceStopped {
		t.Fatalf("events = %+v", events)
	}
	want := balancer.Request{ID: 77, Tenant: 1, ClientTimeout: 110 * time.Millisecond, Class: 2, Retry: true}
	if events[0].Request != want {
		t.Errorf("request = %+v", events[0].Request)
	}
	const endpoint = balancer.EndpointID(10<<40 | 18<<32 | 74<<24 | 7<<16 | 0x232b)
	end := balancer.AttemptEnd{Request: 77, Attempt: 3, Endpoint: endpoint, Outcome: balancer.OutcomeTimeout,
		Latency: 12500 * time.Microsecond, RequestDone: true}
	if events[1].AttemptEnd != end {
		t.Errorf("end = %+v, want %+v", events[1].AttemptEnd, end)
	}
	wantEndpoint := balancer.Endpoint{ID: endpoint, Zone: 2, Cell: 7, State: balancer.EndpointReady,
		StartedAt: 1500 * time.Millisecond}
	if events[2].Update != balancer.Snapshot || len(events[2].Endpoints) != 1 ||
		events[2].Endpoints[0] != wantEndpoint {
		t.Errorf("list = %v %+v", events[2].Update, events[2].Endpoints)
	}
	if events[3].Token != 9 {
		t.Errorf("token = %d", events[3].Token)
	}
}

// Guards against a faulty frame that is accepted, or whose error does not name the fault and its position.
func TestDecodeErrorNamesFaultAndPosition(t *testing.T) {
	good := frame(1, nil, selectRecord(0), []byte{2, 1, 0, 0, 0})
	longer := bytes.Clone(good)
	binary.LittleEndian.PutUint32(longer, uint32(len(good)+1))
	many := bytes.Clone(good)
	binary.LittleEndian.PutUint32(many[12:], 3)
	for want, data := range map[string][]byte{
		"3 bytes, the header":           {1, 2, 3},
		"states 113 bytes at byte 0":    longer,
		"3 records need 160 bytes":      many,
		"clock NaN at byte 4":           frame(math.NaN(), nil),
		"record 0: event code 2 before": frame(1, nil, []byte{2}),
		"unknown event code 99":         frame(1, nil, selectRecord(0), []byte{99}),
		"unknown outcome 5 at byte 13": frame(1, nil, selectRecord(0),
			join([]byte{1}, make([]byte, 12), []byte{5, 0})),
		"hosts: bytes 4 to 27 lie": frame(1, []byte("abc"), selectRecord(0),
			join([]byte{5, 2}, make([]byte, 8), u32(4), u32(1))),
		"unknown list kind 9":     frame(1, nil, selectRecord(0), []byte{5, 9}),
		"info: bytes 0 to 10 lie": frame(1, nil, selectRecord(0), join([]byte{10}, make([]byte, 8), u32(0), u32(10))),
		"patience_left_ms NaN is": frame(1, nil, selectRecord(0), join([]byte{7}, make([]byte, 16), f64(math.NaN()))),
		"hosts: bytes 4294967295 to": frame(1, nil, selectRecord(0),
			join([]byte{5, 2}, make([]byte, 8), u32(math.MaxUint32), u32(math.MaxUint32/4))),
	} {
		t.Run(want, func(t *testing.T) {
			_, err := decodeAll(data)
			if err == nil || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: err = %v", want, err)
			} else if !strings.Contains(err.Error(), want) {
				t.Errorf("err = %v, want %q in it", err, want)
			}
		})
	}
}

// Callers can match each cause with errors.Is, and get the part of the frame and the field with errors.As.
func TestErrorCausesCanBeMatched(t *testing.T) {
	for name, c := range map[string]struct {
		frame       []byte
		want        error
		part, field string
	}{
		"header":       {[]byte{1, 2, 3}, ErrTruncated, "batch", ""},
		"clock":        {frame(-1, nil), ErrTime, "batch", ""},
		"no instance":  {frame(1, nil, []byte{2}), ErrNoInstance, "record 0", ""},
		"unknown code": {frame(1, nil, selectRecord(0), []byte{99}), ErrUnknownCode, "record 1", ""},
		"tail": {frame(1, nil, selectRecord(0), join([]byte{5, 2}, make([]byte, 8), u32(4), u32(1))), ErrOutsideTail,
			"record 1", "hosts"},
		"time": {frame(1, nil, selectRecord(0), join([]byte{7}, make([]byte, 16), f64(math.NaN()))), ErrTime,
			"record 1", "patience_left_ms"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := decodeAll(c.frame)
			var fault *fielderror.Error
			if !errors.Is(err, c.want) || !errors.As(err, &fault) || fault.File != c.part || fault.Field != c.field {
				t.Errorf("%v: %+v", err, fault)
			}
		})
	}
}

// Guards against a truncated frame that is mistaken for the end of the input.
func TestReaderFaults(t *testing.T) {
	good := frame(1, nil, selectRecord(0))
	r := NewReader(bytes.NewReader(good[:30]))
	if _, err := r.Next(); err == nil || !strings.Contains(err.Error(), "cut short at byte 30 of 64") {
		t.Errorf("err = %v", err)
	}
	r = NewReader(bytes.NewReader([]byte{1, 0}))
	if _, err := r.Next(); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("err = %v, want an error other than io.EOF", err)
	}
	r = NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff}))
	if _, err := r.Next(); err == nil || !strings.Contains(err.Error(), "outside") {
		t.Errorf("err = %v", err)
	}
	r = NewReader(bytes.NewReader(append(bytes.Clone(good), good...)))
	for range 2 {
		if _, err := r.Next(); err != nil {
			t.Error(err)
		}
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("at the end err = %v", err)
	}
}

// Guards against a field of an action that is written to the wrong byte.
func TestReplyFrame(t *testing.T) {
	var r Reply
	r.Reset()
	r.SetInstance(3)
	r.StartAttempt(0x5d3a91c4, 10<<40|18<<32|74<<24|7<<16|0x232b, 80*time.Millisecond)
	r.SetTimer(500*time.Millisecond, 77)
	r.SetInstance(4) // an instance without actions adds no record
	r.SetInstance(5)
	r.Log("two servers known")
	var out bytes.Buffer
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	pad := func(b []byte) []byte { return append(b, make([]byte, actionSize-len(b))...) }
	want := join(u32(5), u32(8+5*24+17),
		pad([]byte{13, 3}),
		pad(join([]byte{4, 0xc4, 0x91, 0x3a, 0x5d, 10, 18, 74, 7, 0x2b, 0x23}, f64(80))),
		pad(join([]byte{5}, f64(500), u32(77))),
		pad([]byte{13, 5}),
		pad(join([]byte{1}, u32(0), u32(17))),
		[]byte("two servers known"))
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x\nwant\n%x", out.Bytes(), want)
	}
	r.Reset()
	r.SetInstance(1)
	r.Reject(1, 30*time.Millisecond)
	r.Fail(2)
	r.CancelAttempt(3, 1)
	r.WatchEndpoints()
	out.Reset()
	if _, err := r.WriteTo(&out); err != nil {
		t.Fatal(err)
	}
	want = join(u32(5), u32(8+5*24), pad([]byte{13, 1}), pad(join([]byte{3}, u32(1), f64(30))),
		pad(join([]byte{11}, u32(2))), pad(join([]byte{2}, u32(3), []byte{1, 0})), pad([]byte{10, 1}))
	if !bytes.Equal(out.Bytes(), want) {
		t.Errorf("reply\n%x\nwant\n%x", out.Bytes(), want)
	}
}

// Guards against a queue length that is read from a value which the report does not have.
func TestQueueLengthOfLoadReports(t *testing.T) {
	f32 := func(v float32) []byte { return u32(math.Float32bits(v)) }
	rec := join([]byte{1}, make([]byte, 12), []byte{100, 0}, f64(5), []byte{1, 2}, f32(80), f32(2.5))
	events, err := decodeAll(frame(1, nil, selectRecord(0), rec))
	if err != nil {
		t.Fatal(err)
	}
	for column, want := range map[int]float64{-1: 0, 0: 80, 1: 2.5, 2: 0} {
		if got, ok := events[0].Load.QueueLength(column); got != want || ok != (want > 0) {
			t.Errorf("column %d: %v %v, want %v", column, got, ok, want)
		}
	}
	if _, ok := (Load{Count: 1, Values: [4]float64{math.NaN()}}).QueueLength(0); ok {
		t.Error("a queue length of NaN was accepted")
	}
}

// FuzzDecode searches for frames whose decoding panics, does not end, returns an error without a text, or returns more
// events than the frame has room for.
func FuzzDecode(f *testing.F) {
	f.Add(frame(1, nil))
	f.Add(frame(5, []byte("balancers=4\nclasses.count=2\nclasses.0.aim_ms=300.5\nzone=1\n"), selectRecord(1),
		join([]byte{10}, make([]byte, 8), u32(0), u32(20))))
	f.Add(frame(5, make([]byte, 46), selectRecord(1),
		join([]byte{5, 3}, make([]byte, 8), u32(0), u32(2)), []byte{1, 2}))
	f.Add([]byte{16, 0, 0, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		events, err := decodeAll(data)
		if err != nil && err.Error() == "" {
			t.Error("an error without a text")
		}
		if len(events)*eventSize > len(data) {
			t.Errorf("%d events from %d bytes", len(events), len(data))
		}
		for _, e := range events {
			if e.Kind == InstanceStarted {
				if _, err := settings.Parse(e.Settings); err != nil && strings.Contains(err.Error(), "\n") {
					t.Error("an error text of more than one line")
				}
			}
		}
	})
}
