package discovery

import (
	"errors"
	"fmt"
	"time"
)

// Faults in what discovery sends.
var (
	// ErrNoVersion is an endpoint list without its version, the field seq.
	ErrNoVersion = errors.New("host list: seq is missing")
	// ErrTornString is a string that does not end on its line: the object was cut off.
	ErrTornString = errors.New("discovery wrote a text that does not end on its line")
	// ErrTornObject is an object interrupted by a heartbeat: the rest of it is lost.
	ErrTornObject = errors.New("discovery wrote an object that does not end")
)

// EntryError is a faulty entry of an endpoint list.
type EntryError struct {
	Host    string // the entry's field host; empty where it is missing
	Problem string // the field and its value
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Host == "" {
		return "host list: an entry without host"
	}
	return fmt.Sprintf("host list: %s has %s", e.Host, e.Problem)
}

// StatusError is an answer of discovery with a status other than 200.
type StatusError struct {
	Status     int
	RetryAfter time.Duration // how long to wait before the next watch; 0 if not stated
}

// Error implements error.
func (r *StatusError) Error() string { return fmt.Sprintf("discovery answered %d", r.Status) }
