package balancer

import (
	"fmt"
	"time"
)

// minLogInterval is the minimum time between two log lines.
const minLogInterval = time.Second

// logger writes lines for the engineers on call, at most one per second for the whole balancer. Further lines
// are dropped: if many endpoints fail at once, only the first one is logged.
type logger struct {
	actions Actions
	lastAt  time.Duration // time of the last line; 0 means none
}

func (l *logger) printf(now time.Duration, format string, args ...any) {
	if l.lastAt > 0 && now-l.lastAt < minLogInterval {
		return
	}
	l.lastAt = now
	l.actions.Log(fmt.Sprintf(format, args...))
}
