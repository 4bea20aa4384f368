package balancer

import (
	"fmt"
	"time"
)

// minLogInterval is the least time between two log lines.
const minLogInterval = time.Second

// logger writes lines for the engineers on call, at most one a second for the whole balancer: further
// ones are lost, so that the end of many endpoints at once shows as the first of them alone.
type logger struct {
	out    Actions
	lastAt time.Duration // 0 is never
}

func (l *logger) printf(now time.Duration, format string, args ...any) {
	if l.lastAt > 0 && now-l.lastAt < minLogInterval {
		return
	}
	l.lastAt = now
	l.out.Log(fmt.Sprintf(format, args...))
}
