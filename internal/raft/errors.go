package raft

import (
	"errors"
	"fmt"

	"thymebend/internal/fielderror"
)

// Errors that a caller can act on.
var (
	ErrNotLeader = errors.New("raft: another leads, or nobody")
	ErrBusy      = errors.New("raft: too many commands wait")
	ErrFailed    = errors.New("raft: what has to be kept could not be; this voter takes no more part")
	// ErrConfig is a Config whose members cannot be, or whose persistent state does not fit together.
	ErrConfig = errors.New("raft: unusable configuration")
	// ErrMessage is a message that cannot be read or is not for this voter.
	ErrMessage = errors.New("raft: unusable message")
	// ErrMembers is a change of the members that cannot be.
	ErrMembers = errors.New("raft: unusable change of members")
)

// fault is an error that errors.Is matches with kind.
func fault(kind error, format string, args ...any) error {
	return fielderror.CauseWithText(kind, "raft: "+format, args...)
}

// failed is ErrFailed with its cause.
func failed(cause error) error { return fmt.Errorf("%w: %w", ErrFailed, cause) }
