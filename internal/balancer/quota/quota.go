// Package quota decides which requests of a tenant exceed its quota.
package quota

import "time"

// Bucket is the token bucket of one tenant at this gateway. Its capacity is one second of the quota. It is
// not safe for concurrent use.
type Bucket struct {
	rate       float64 // requests per second; 0 means no quota
	tokens     float64
	refilledAt time.Duration // when tokens were last added
}

// NewBucket returns a full bucket for a quota of rate requests per second. A rate of 0 means no quota.
func NewBucket(rate float64, now time.Duration) Bucket {
	return Bucket{rate: rate, tokens: rate, refilledAt: now}
}

// Exceeded reports whether a request received now exceeds the quota. A request within the quota takes one
// token, one that exceeds it takes none.
func (b *Bucket) Exceeded(now time.Duration) bool {
	if b.rate <= 0 {
		return false
	}
	b.tokens = min(b.tokens+b.rate*(now-b.refilledAt).Seconds(), b.rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}
