package discovery

import (
	"strconv"
	"time"

	"thymebend/internal/http1"
)

// scan processes the next byte and reports whether it ends a heartbeat or an object.
func (w *Watch) scan(b byte) (end bool, err error) {
	switch {
	case b == '\n' && w.inString:
		return false, ErrTornString
	case b == '\n' && w.depth > 0 && w.blankLine:
		return false, ErrTornObject
	case b == '\n':
		w.blankLine = true
		return w.depth == 0, nil
	case w.escaped:
		w.escaped = false
	case w.inString && b == '\\':
		w.escaped = true
	case b == '"':
		w.inString = !w.inString
	case w.inString:
	case b == '{' || b == '[':
		w.depth++
	case b == '}' || b == ']':
		w.depth = max(0, w.depth-1) // a bracket too many is found when the object is applied
	}
	w.blankLine = w.blankLine && (b == ' ' || b == '\t' || b == '\r')
	return false, nil
}

// retryAfter reads the field Retry-After in seconds. A value that is no positive number, such as a date, counts
// as 0.
func retryAfter(head *http1.Head) time.Duration {
	value, _ := head.Get("Retry-After")
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
