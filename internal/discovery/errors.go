package discovery

import (
	"errors"
	"fmt"
	"time"
)

// Errors for malformed data from discovery.
var (
	// ErrNoVersion is returned when an endpoint list lacks its version, the field seq.
	ErrNoVersion = errors.New("host list: seq is missing")
	// ErrTruncatedString is returned when a line ends within a JSON string: the object was cut off.
	ErrTruncatedString = errors.New("discovery sent a truncated object: a line ends within a string")
	// ErrTruncatedObject is returned when a heartbeat arrives within an object: the rest of the object is lost.
	ErrTruncatedObject = errors.New("discovery sent a truncated object: a heartbeat follows before its end")
)

// EntryError reports a faulty entry of an endpoint list.
type EntryError struct {
	Host    string // the entry's field host; empty if it is missing
	Problem string // the faulty field and its value
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Host == "" {
		return "host list: an entry lacks the field host"
	}
	return fmt.Sprintf("host list: %s has %s", e.Host, e.Problem)
}

// StatusError is returned when discovery answers a watch with a status other than 200.
type StatusError struct {
	Status     int
	RetryAfter time.Duration // how long to wait before the next watch, at most maxRetryAfter; 0 if not stated
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("discovery answered with status %d", e.Status)
}
