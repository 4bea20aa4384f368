package thymebend

import (
	"fmt"
	"time"
)

// This file holds what the decisions share and no decision: arithmetic, a store of used requests, log lines.

// average is a running mean that counts its first values in full.
type average struct {
	n    int
	mean float64
}

func (a *average) add(x, least float64) {
	a.n++
	a.mean += (x - a.mean) * max(1/float64(a.n), least)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }

func index(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

func clamp(x, low, high float64) float64 { return max(low, min(x, high)) }

// newRequest reuses a request that was forgotten.
func (b *Balancer) newRequest() *request {
	n := len(b.free)
	if n == 0 {
		return &request{}
	}
	r := b.free[n-1]
	b.free = b.free[:n-1]
	clear(r.attempts)
	*r = request{attempts: r.attempts[:0]}
	return r
}

// log writes a line for the people on call, at most about one a second.
func (b *Balancer) log(format string, args ...any) {
	if b.loggedAt > 0 && b.now-b.loggedAt < time.Second {
		return
	}
	b.loggedAt = b.now
	b.out.Log(fmt.Sprintf(format, args...))
}
