package outlierdetection

import (
	"testing"
	"time"
)

const usualMS = 100.0

// Guards against an endpoint that answers one class and never another: the other class must count as stalled and be
// probed at increasing intervals.
func TestStalledClassIsProbed(t *testing.T) {
	var c ClassHealth
	now := time.Minute
	c.RecordStart(now, usualMS, second)
	if now += 1200 * time.Millisecond; c.Stalled(now, usualMS) {
		t.Fatal("stalled at exactly twelve service times, want it only after them")
	}
	if now += time.Millisecond; !c.Stalled(now, usualMS) || c.Allows(now, usualMS) {
		t.Fatal("not stalled after twelve service times, or attempts other than probes may start")
	}
	if !c.StalledDespiteResponses(now, now, usualMS) || c.StalledDespiteResponses(now, time.Minute, usualMS) {
		t.Error("want the class stalled despite responses only if another request was answered after its first attempt")
	}
	c.RecordEnd()
	if c.ResetIfIdle(now, usualMS); !c.Stalled(now, usualMS) || !c.Allows(now, usualMS) {
		t.Fatal("a timeout ended the stall, or no probe may start")
	}
	for _, wait := range []time.Duration{1, 2, 4, 8, 16, 16} {
		c.RecordStart(now, usualMS, second)
		if c.Allows(now+time.Hour, usualMS) {
			t.Fatal("a second probe may start while one is in flight")
		}
		c.RecordEnd()
		if c.Allows(now+wait*second-1, usualMS) || !c.Allows(now+wait*second, usualMS) {
			t.Errorf("the next probe is not due exactly %v after the one before", wait*second)
		}
		now += wait * second
	}
	c.RecordStart(now, usualMS, second)
	c.RecordEnd()
	c.RecordAnswer(now)
	if c.ResetIfIdle(now, usualMS); c.Stalled(now+time.Hour, usualMS) {
		t.Error("still stalled after an answer")
	}
}

func TestWithdrawnAttemptDoesNotStallClass(t *testing.T) {
	var c ClassHealth
	c.RecordStart(second, usualMS, second)
	c.RecordEnd()
	c.RecordWithdrawal()
	if c.Stalled(time.Hour, usualMS) {
		t.Error("stalled although the endpoint never had a complete request")
	}
}
