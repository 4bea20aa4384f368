package balancer

import (
	"slices"
	"testing"
	"time"
)

// What a gateway tells of itself is what it sees: its traffic, whatever its age, and the endpoints that it has ejected.
func TestToldIsWhatIsSeen(t *testing.T) {
	r := newRig(t, testConfig(), crowd(3)...)
	if r.b.LoadReport(r.now + time.Second).Known {
		t.Error("a process of a second knows its traffic")
	}
	for seconds := range 40 {
		r.play(RequestID(1+seconds*25), 25, fine) // 35 ms each: 28 a second
		if told := r.b.LoadReport(r.now); seconds >= 3 && (!told.Known || told.Demand < 24 || told.Demand > 33) {
			t.Fatalf("after %d rounds: %+v, wanted 28 a second", seconds, told)
		}
	}
	r.play(5000, 30, func(id EndpointID) Outcome {
		if id == 2 {
			return OutcomeError
		}
		return OutcomeOK
	})
	told := r.b.LoadReport(r.now)
	if !slices.Equal(told.Ejected, []EndpointID{2}) || told.FreeCapacity <= 0 || told.FreeCapacity > 1 || told.Rejected > 0.2 {
		t.Errorf("%+v", told)
	}
}
