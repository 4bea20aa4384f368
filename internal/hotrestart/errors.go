package hotrestart

import "fmt"

// SizeError is returned for a message that exceeds the maximum size, when it is sent or received.
type SizeError struct {
	Bytes int // the size of the message
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("a hand-over message of %d bytes exceeds the maximum of %d", e.Bytes, maxMessage)
}

// VersionError is returned for a message from a process that uses another version of the protocol.
type VersionError struct {
	PeerVersion int // the version of the other process
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the other process uses hand-over version %d, this process version %d", e.PeerVersion, Version)
}
