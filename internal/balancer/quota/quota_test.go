package quota

import (
	"testing"
	"time"
)

func TestExceededAboveQuota(t *testing.T) {
	now := time.Minute
	tenant, unlimited := NewBucket(10, now), NewBucket(0, now)
	exceeded := 0
	for range 40 { // twenty a second for two seconds, with ten saved up
		now += 50 * time.Millisecond
		if tenant.Exceeded(now) {
			exceeded++
		}
		if unlimited.Exceeded(now) {
			t.Fatal("a tenant without a quota is beyond it")
		}
	}
	if exceeded < 9 || exceeded > 11 {
		t.Errorf("%d of 40 requests beyond the quota, want about 10", exceeded)
	}
}

// Guards against a pause that saves up more than one second of the quota.
func TestBucketHoldsOneSecondOfQuota(t *testing.T) {
	b := NewBucket(10, 0)
	now, admitted := time.Hour, 0
	for !b.Exceeded(now) {
		admitted++
	}
	if admitted != 10 {
		t.Errorf("%d requests at once after an hour, want 10", admitted)
	}
}
