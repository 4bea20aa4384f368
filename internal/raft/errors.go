package raft

import (
	"errors"
	"fmt"

	"thymebend/internal/fielderror"
)

// Errors that callers can match with errors.Is.
var (
	// ErrNotLeader is returned by a proposal to a replica that does not lead.
	ErrNotLeader = errors.New("raft: this replica is not the leader")
	// ErrBusy is returned by a proposal that exceeds the bound of uncommitted or unanswered commands.
	ErrBusy = errors.New("raft: too many commands are pending")
	// ErrFailed is returned by a replica that has stopped because its state could not be persisted or applied.
	ErrFailed = errors.New("raft: this replica has stopped: its state could not be persisted or applied")
	// ErrConfig is returned for a Config with invalid members or inconsistent persistent state.
	ErrConfig = errors.New("raft: invalid configuration")
	// ErrMessage is returned for a message that cannot be decoded or is not addressed to this replica.
	ErrMessage = errors.New("raft: invalid message")
	// ErrMembers is returned for an invalid membership change.
	ErrMembers = errors.New("raft: invalid membership change")
)

// newError returns an error with the given text that errors.Is matches with kind.
func newError(kind error, format string, args ...any) error {
	return fielderror.CauseWithText(kind, "raft: "+format, args...)
}

// wrapFailure returns ErrFailed with its cause.
func wrapFailure(cause error) error { return fmt.Errorf("%w: %w", ErrFailed, cause) }
