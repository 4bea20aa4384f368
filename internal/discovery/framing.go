package discovery

import (
	"strconv"
	"time"

	"thymebend/internal/http1"
)

// scan processes the next byte of the stream and reports whether it ends a heartbeat or an object. It returns
// ErrTruncatedString or ErrTruncatedObject if the byte shows that the object was cut off.
func (w *Watch) scan(b byte) (end bool, err error) {
	switch {
	case b == '\n' && w.inString:
		return false, ErrTruncatedString
	case b == '\n' && w.depth > 0 && w.blankLine:
		return false, ErrTruncatedObject
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
		w.depth = max(0, w.depth-1) // an excess closing bracket is detected when the object is decoded
	}
	w.blankLine = w.blankLine && (b == ' ' || b == '\t' || b == '\r')
	return false, nil
}

// retryAfter returns the header field Retry-After, which it reads as seconds, limited to maxRetryAfter. A value that
// is not a positive number, such as a date, gives 0.
func retryAfter(head *http1.Head) time.Duration {
	value, _ := head.Get("Retry-After")
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
