package membership

import "time"

// maxHealthScore is the score of the worst local health.
const maxHealthScore = 8

// awareness is Lifeguard's Local Health Multiplier: how likely it is that answers are missing because of this gateway
// itself and not because of the others. Unanswered probes whose helpers did not answer either, refuted claims about
// this gateway and delayed timers raise the score; answered probes lower it.
type awareness struct {
	score int // 0 is healthy, maxHealthScore is worst
}

func (a *awareness) degrade(points int) { a.score = min(maxHealthScore, a.score+points) }

func (a *awareness) improve() { a.score = max(0, a.score-1) }

// stretch lengthens a timeout by a quarter for each point of the score.
func (a *awareness) stretch(d time.Duration) time.Duration {
	return d + d*time.Duration(a.score)/4
}
