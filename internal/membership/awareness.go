package membership

import "time"

// maxHealthScore is the worst local health.
const maxHealthScore = 8

// awareness is Lifeguard's Local Health Multiplier: how much this gateway has reason to blame itself, not others, for
// what it does not hear. Unanswered probes whose helpers did not answer either, refutations and late timers raise it;
// answered probes lower it.
type awareness struct {
	score int // 0 is well, maxHealthScore is worst
}

func (a *awareness) degrade(points int) { a.score = min(maxHealthScore, a.score+points) }

func (a *awareness) improve() { a.score = max(0, a.score-1) }

// stretch lengthens a time by a quarter for each point.
func (a *awareness) stretch(d time.Duration) time.Duration {
	return d + d*time.Duration(a.score)/4
}
