package hostmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Work is how much work a class's requests bring, in time on a core of speed 1.
type Work struct {
	Dist string        // "fixed", "lognormal" or "pareto"
	Mean time.Duration // of a request
	CV   float64       // standard deviation over mean; not for "fixed"
}

// Check names the first thing wrong.
func (w Work) Check() error {
	switch {
	case w.Dist != "fixed" && w.Dist != "lognormal" && w.Dist != "pareto":
		return fmt.Errorf("dist %q is none of fixed, lognormal, pareto", w.Dist)
	case w.Mean <= 0:
		return fmt.Errorf("mean must be positive")
	case w.Dist != "fixed" && !(w.CV > 0 && w.CV <= 20):
		return fmt.Errorf("cv %v must be over 0 and at most 20", w.CV)
	}
	return nil
}

// Draw returns one request's work in seconds.
func (w Work) Draw(r *rand.Rand) float64 {
	mean := w.Mean.Seconds()
	switch w.Dist {
	case "lognormal":
		// Of a lognormal, cv² = exp(sigma²) - 1 and mean = exp(mu + sigma²/2).
		variance := math.Log1p(w.CV * w.CV)
		return math.Exp(math.Log(mean) - variance/2 + math.Sqrt(variance)*r.NormFloat64())
	case "pareto":
		// Of a Pareto of shape a and scale x, mean = x·a/(a-1) and cv² = 1/(a·(a-2)).
		a := 1 + math.Sqrt(1+1/(w.CV*w.CV))
		return mean * (a - 1) / a / math.Pow(1-r.Float64(), 1/a)
	}
	return mean
}
