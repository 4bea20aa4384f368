package subset

import (
	"math"
	"time"
)

// Constants of the expansion.
const (
	expansionDecay       = 1.0 / 64 // share by which the expansion shrinks in a sample without need for it
	maxCooldownDoublings = 3        // maximum doublings of the cooldown
)

// Expansion determines how many endpoints a gateway that is short of capacity uses in addition to its regular
// subset. It is needed because traffic may be distributed over zones and gateways in other proportions than
// endpoints, which no endpoint list shows. It grows by one endpoint per sample while the gateway is short of
// capacity and no endpoint of its regular subset is warming up, and otherwise shrinks slowly. It shrinks by
// half if one of its endpoints is full or unreachable, as other gateways then need that endpoint or a zone
// has failed; after that it does not grow during a cooldown, which doubles with each further halving. This
// prevents hundreds of gateways that are short at the same time from taking connections away from each other.
type Expansion struct {
	Size     float64       // number of endpoints, including a fraction of one
	halvings int           // halvings since the last sample without need for the expansion
	resumeAt time.Duration // end of the cooldown
}

// Signals are the observations of a gateway in one sample.
type Signals struct {
	ShortOfCapacity bool // requests were queued for long
	ExpansionFull   bool // an endpoint of the expansion rejected an attempt as full or could not be reached
	WarmingUp       bool // an endpoint of the regular subset is warming up: capacity grows by itself
}

// Update adjusts the size by the signals of one sample and reports whether the whole number of endpoints
// changed. maxSize is the maximum size. cooldown is the first duration without growth after a halving; the
// caller adds jitter to it so that gateways do not grow at the same time.
func (e *Expansion) Update(now time.Duration, signals Signals, maxSize float64, cooldown time.Duration) bool {
	before := e.Size
	switch {
	case signals.ExpansionFull:
		e.Size /= 2
		e.resumeAt = now + cooldown*time.Duration(1<<min(e.halvings, maxCooldownDoublings))
		e.halvings++
	case now < e.resumeAt: // unchanged during the cooldown
	case signals.ShortOfCapacity && !signals.WarmingUp:
		e.Size = min(before+1, maxSize)
	default:
		e.Size *= 1 - expansionDecay
		e.halvings = 0
	}
	return e.Endpoints() != math.Floor(before)
}

// Endpoints returns the size rounded down to whole endpoints.
func (e *Expansion) Endpoints() float64 { return math.Floor(e.Size) }
