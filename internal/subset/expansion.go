package subset

import (
	"math"
	"time"
)

// Constants of the expansion.
const (
	expansionDecay = 1.0 / 64 // share given up in a sample without need
	maxDoublings   = 3        // doublings of the rest
)

// Expansion is what a gateway that is short of room uses beyond its regular subset, and how it gives that
// up: traffic and endpoints are not spread alike over zones and gateways, which no list tells. It grows by
// one a sample and shrinks by half where an endpoint of it is full or cannot be reached, for then others
// need it or a zone is lost. Growth then rests, longer each time. Guards against hundreds of gateways that
// are short together and take each other's connections.
type Expansion struct {
	Size     float64 // endpoints, and a part of one
	failures int     // halvings since the last sample without need
	resumeAt time.Duration
}

// Signals are what a gateway saw in one sample.
type Signals struct {
	Short   bool // requests were queued for long
	Full    bool // an endpoint of the expansion had no room or could not be reached
	Warming bool // an endpoint of the regular subset is warming up: room comes by itself
}

// Update takes the signals of a sample and reports whether the whole number of endpoints changed. most is
// the largest size, and rest how long growth rests at first; the caller varies it, or gateways would stay
// in step.
func (e *Expansion) Update(now time.Duration, seen Signals, most float64, rest time.Duration) bool {
	before := e.Size
	switch {
	case seen.Full:
		e.Size /= 2
		e.resumeAt = now + rest*time.Duration(1<<min(e.failures, maxDoublings))
		e.failures++
	case now < e.resumeAt: // as it is
	case seen.Short && !seen.Warming:
		e.Size = min(before+1, most)
	default:
		e.Size *= 1 - expansionDecay
		e.failures = 0
	}
	return e.Endpoints() != math.Floor(before)
}

// Endpoints is how many whole endpoints that is.
func (e *Expansion) Endpoints() float64 { return math.Floor(e.Size) }
