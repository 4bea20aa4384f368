// Package quota tells which requests of a tenant are beyond its quota.
package quota

import "time"

// Bucket is a token bucket that holds one second of a tenant's quota at this gateway. It is not safe for
// concurrent use.
type Bucket struct {
	rate   float64 // requests a second; 0 is no quota
	tokens float64
	at     time.Duration // of the last refill
}

// NewBucket returns a full bucket for a rate of requests a second; a rate of 0 is no quota.
func NewBucket(rate float64, now time.Duration) Bucket {
	return Bucket{rate: rate, tokens: rate, at: now}
}

// Exceeded charges one request and reports whether it is beyond the quota. Such a request costs no token.
func (b *Bucket) Exceeded(now time.Duration) bool {
	if b.rate <= 0 {
		return false
	}
	b.tokens = min(b.tokens+b.rate*(now-b.at).Seconds(), b.rate)
	b.at = now
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}
