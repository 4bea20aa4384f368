// Package stats holds arithmetic shared by the parts of the balancer: running means, and conversions between
// durations and float64 milliseconds, the unit of service times.
package stats

import "time"

// Mean is a running mean. The zero value is the mean of no values.
type Mean struct {
	N     int     // number of values added
	Value float64 // the mean of these values
}

// Add adds a value. The first values have equal weights. Each later one has at least the weight minWeight (0
// to 1) in the new mean, so that the influence of old values decays. With a minWeight of 0 the result is the
// arithmetic mean.
func (m *Mean) Add(x, minWeight float64) {
	m.N++
	m.Value += (x - m.Value) * max(1/float64(m.N), minWeight)
}

// Milliseconds returns d in milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// FromMilliseconds returns the duration of ms milliseconds.
func FromMilliseconds(ms float64) time.Duration { return Scale(time.Millisecond, ms) }

// Scale returns d multiplied by factor.
func Scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// Clamp returns x bounded to the range from low to high.
func Clamp(x, low, high float64) float64 { return max(low, min(x, high)) }
