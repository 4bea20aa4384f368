package outlierdetection

import (
	"testing"
	"time"
)

const usualMS = 100.0

// Guards against an endpoint that answers one class and never another: the one is stalled, and probed
// seldom.
func TestStalledClassIsProbed(t *testing.T) {
	var c ClassHealth
	now := time.Minute
	c.Started(now, usualMS, second)
	if now += 1200 * time.Millisecond; c.Stalled(now, usualMS) {
		t.Fatal("stalled at twelve service times, want later")
	}
	if now += time.Millisecond; !c.Stalled(now, usualMS) || c.Allows(now, usualMS) {
		t.Fatal("not stalled after twelve service times")
	}
	if !c.StalledSince(now, now, usualMS) || c.StalledSince(now, time.Minute, usualMS) {
		t.Error("its attempts count though other work was answered, or do not though none was")
	}
	c.Ended()
	if c.Settle(now, usualMS); !c.Stalled(now, usualMS) || !c.Allows(now, usualMS) {
		t.Fatal("a timeout ends the stall, or a probe may not start")
	}
	for _, wait := range []time.Duration{1, 2, 4, 8, 16, 16} {
		c.Started(now, usualMS, second)
		if c.Allows(now+time.Hour, usualMS) {
			t.Fatal("two probes at a time")
		}
		c.Ended()
		if c.Allows(now+wait*second-1, usualMS) || !c.Allows(now+wait*second, usualMS) {
			t.Errorf("the next probe is not due after %v", wait*second)
		}
		now += wait * second
	}
	c.Started(now, usualMS, second)
	c.Ended()
	c.Answered(now)
	if c.Settle(now, usualMS); c.Stalled(now+time.Hour, usualMS) {
		t.Error("stalled after an answer")
	}
}

func TestWithdrawnAttemptDoesNotStallClass(t *testing.T) {
	var c ClassHealth
	c.Started(second, usualMS, second)
	c.Ended()
	c.Withdrawn()
	if c.Stalled(time.Hour, usualMS) {
		t.Error("stalled though the endpoint never had a whole request")
	}
}
