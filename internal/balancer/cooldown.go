package balancer

import (
	"time"

	"thymebend/internal/balancer/stats"
)

// minCooldownShare is the shortest cooldown, as a share of the latency objective. It is needed before the
// first answer, while service times are unknown.
const minCooldownShare = 1.0 / 64

// maxRejectionDoublings bounds how often consecutive rejections double the cooldown of an endpoint.
const maxRejectionDoublings = 3

// cooldown is a short time during which an endpoint gets no attempts. Without it, an endpoint that fails or
// rejects fast would always have free capacity and attract the whole queue.
type cooldown struct {
	until      time.Duration
	rejections int // consecutive rejections since the last answer
}

func (c *cooldown) active(now time.Duration) bool { return now < c.until }

// extend makes the cooldown last at least until the given time.
func (c *cooldown) extend(until time.Duration) { c.until = max(c.until, until) }

// afterFailure starts a cooldown of one service time of the average class, but at least minCooldownShare.
func (c *cooldown) afterFailure(now time.Duration, referenceMS float64, objective time.Duration) {
	c.until = now + max(stats.FromMilliseconds(referenceMS), stats.Scale(objective, minCooldownShare))
}

// afterRejection starts a cooldown like that of afterFailure. It doubles with each consecutive rejection, up
// to maxRejectionDoublings times.
func (c *cooldown) afterRejection(now time.Duration, referenceMS float64, objective time.Duration) {
	base := max(referenceMS, stats.Milliseconds(objective)*minCooldownShare)
	c.until = now + stats.FromMilliseconds(base*float64(int(1)<<min(c.rejections, maxRejectionDoublings)))
	c.rejections++
}

// answered records an answer, which ends a series of rejections.
func (c *cooldown) answered() { c.rejections = 0 }
