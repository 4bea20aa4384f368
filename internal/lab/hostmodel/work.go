package hostmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Work is the distribution of the work of a class's requests, in time on a core of speed 1.
type Work struct {
	Distribution string        // "fixed", "lognormal" or "pareto"
	Mean         time.Duration // per request
	CV           float64       // standard deviation divided by mean; unused for "fixed"
}

// Check returns an error for the first invalid field.
func (w Work) Check() error {
	switch {
	case w.Distribution != "fixed" && w.Distribution != "lognormal" && w.Distribution != "pareto":
		return fmt.Errorf("dist %q is none of fixed, lognormal, pareto", w.Distribution)
	case w.Mean <= 0:
		return fmt.Errorf("mean must be positive")
	case w.Distribution != "fixed" && !(w.CV > 0 && w.CV <= 20):
		return fmt.Errorf("cv %v must be over 0 and at most 20", w.CV)
	}
	return nil
}

// Draw returns the work of one request in seconds, drawn with r.
func (w Work) Draw(r *rand.Rand) float64 {
	mean := w.Mean.Seconds()
	switch w.Distribution {
	case "lognormal":
		// A lognormal distribution has cv² = exp(sigma²) - 1 and mean = exp(mu + sigma²/2).
		variance := math.Log1p(w.CV * w.CV)
		return math.Exp(math.Log(mean) - variance/2 + math.Sqrt(variance)*r.NormFloat64())
	case "pareto":
		// A Pareto distribution with shape a and scale x has mean = x·a/(a-1) and cv² = 1/(a·(a-2)).
		a := 1 + math.Sqrt(1+1/(w.CV*w.CV))
		return mean * (a - 1) / a / math.Pow(1-r.Float64(), 1/a)
	}
	return mean
}
