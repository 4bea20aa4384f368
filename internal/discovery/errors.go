package discovery

import (
	"errors"
	"fmt"
	"time"
)

// Faults of what discovery wrote.
var (
	// ErrNoVersion is an endpoint list without its version, the field seq.
	ErrNoVersion = errors.New("host list: seq is missing")
	// ErrTornString is a string that does not end on its line.
	ErrTornString = errors.New("discovery wrote a text that does not end on its line")
	// ErrTornObject is an object in which a heartbeat came.
	ErrTornObject = errors.New("discovery wrote an object that does not end")
)

// EntryError is a faulty entry of an endpoint list.
type EntryError struct {
	Host    string // as the entry names it; empty where it names none
	Problem string // the field and its value
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Host == "" {
		return "host list: an entry without host"
	}
	return fmt.Sprintf("host list: %s has %s", e.Host, e.Problem)
}

// StatusError is an answer of discovery that is not the list.
type StatusError struct {
	Status     int
	RetryAfter time.Duration // when it asks to be called again; 0 if it does not say
}

// Error implements error.
func (r *StatusError) Error() string { return fmt.Sprintf("discovery answered %d", r.Status) }
