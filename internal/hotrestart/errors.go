package hotrestart

import "fmt"

// SizeError is a message that is too large to be sent or taken.
type SizeError struct {
	Bytes int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("a hand-over message of %d bytes, at most %d", e.Bytes, maxMessage)
}

// VersionError is a message from a process that uses another version of the messages.
type VersionError struct {
	Theirs int
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the other process hands over in version %d, this one in %d", e.Theirs, Version)
}
