package quota

import (
	"testing"
	"time"
)

func TestExceededAboveQuota(t *testing.T) {
	now := time.Minute
	tenant, unlimited := NewBucket(10, now), NewBucket(0, now)
	exceeded := 0
	for range 40 { // 20 per second for 2 s, starting with 10 tokens
		now += 50 * time.Millisecond
		if tenant.Exceeded(now) {
			exceeded++
		}
		if unlimited.Exceeded(now) {
			t.Fatal("a request of a tenant without a quota exceeds it")
		}
	}
	if exceeded < 9 || exceeded > 11 {
		t.Errorf("%d of 40 requests exceed the quota, want 9 to 11", exceeded)
	}
}

// Guards against an idle period that saves up more than one second of the quota.
func TestBucketHoldsOneSecondOfQuota(t *testing.T) {
	b := NewBucket(10, 0)
	now, admitted := time.Hour, 0
	for !b.Exceeded(now) {
		admitted++
	}
	if admitted != 10 {
		t.Errorf("%d requests admitted at once after an hour, want 10", admitted)
	}
}
