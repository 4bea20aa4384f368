package balancer

import (
	"time"

	"thymebend/internal/balancer/stats"
)

// minCooldownShare is the least cooldown, as a share of the latency objective: nothing is learnt of service
// times before the first answer.
const minCooldownShare = 1.0 / 64

// maxRejectionDoublings bounds the cooldown of an endpoint that goes on rejecting.
const maxRejectionDoublings = 3

// cooldown keeps attempts from an endpoint for a short while. Guards against one that fails or rejects
// fast: it would have room all the time and draw the whole queue.
type cooldown struct {
	until      time.Duration
	rejections int // since the last answer
}

func (c *cooldown) active(now time.Duration) bool { return now < c.until }

// extend keeps attempts away until then at least.
func (c *cooldown) extend(until time.Duration) { c.until = max(c.until, until) }

// afterFailure rests the endpoint for a service time of the average class.
func (c *cooldown) afterFailure(now time.Duration, referenceMS float64, objective time.Duration) {
	c.until = now + max(stats.FromMilliseconds(referenceMS), stats.Scale(objective, minCooldownShare))
}

// afterRejection rests the endpoint for a service time, and longer each time.
func (c *cooldown) afterRejection(now time.Duration, referenceMS float64, objective time.Duration) {
	rest := max(referenceMS, stats.Milliseconds(objective)*minCooldownShare)
	c.until = now + stats.FromMilliseconds(rest*float64(int(1)<<min(c.rejections, maxRejectionDoublings)))
	c.rejections++
}

// answered notes an answer.
func (c *cooldown) answered() { c.rejections = 0 }
