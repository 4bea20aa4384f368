// Package stats holds the arithmetic that the rules of the balancer share: running means, and conversions
// between durations and the milliseconds in float64 that service times are kept in.
package stats

import "time"

// Mean is a running mean. The zero value has seen no values.
type Mean struct {
	N     int     // values so far
	Value float64 // their mean
}

// Add takes one value. The first values count in full; a later one weighs at least minWeight (0 to 1), so
// that old values are forgotten. With a minWeight of 0 it is the plain mean.
func (m *Mean) Add(x, minWeight float64) {
	m.N++
	m.Value += (x - m.Value) * max(1/float64(m.N), minWeight)
}

// Milliseconds returns d in milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMilliseconds returns the duration of so many milliseconds.
func FromMilliseconds(ms float64) time.Duration { return Scale(time.Millisecond, ms) }

// Scale returns d times a factor.
func Scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Clamp returns x, but no less than low and no more than high.
func Clamp(x, low, high float64) float64 { return max(low, min(x, high)) }
