package configdist

import (
	"errors"
	"fmt"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// Errors of a command that the store rejects. Errors in a proposal's changes are of type content.ChangeError.
var (
	// ErrDoesNotFollow is returned when another version became the newest after the proposal was made.
	ErrDoesNotFollow = errors.New("configdist: the proposal is not based on the newest version")
	// ErrNoChange is returned when the new version would have the content of the newest one.
	ErrNoChange = errors.New("configdist: the command would not change the configuration")
	// ErrStopped is returned for a proposal while a stopped rollout awaits an operator.
	ErrStopped = errors.New("configdist: a rollout is stopped; resume it or revert first")
	// ErrNotStopped is returned when a rollout that is not stopped would be resumed.
	ErrNotStopped = errors.New("configdist: the rollout is not stopped")
	// ErrNoVersion is returned when the store does not hold the version any more, or never did.
	ErrNoVersion = errors.New("configdist: the version does not exist or is no longer stored")
	// ErrStage is returned when the command does not fit the rollout's version or stage.
	ErrStage = errors.New("configdist: the command does not fit the stage of the rollout")
	// ErrCommand is returned for a command of an unknown kind or with names that are too long.
	ErrCommand = errors.New("configdist: unknown or malformed command")
)

// FieldError is returned when a command is rejected because of one of its fields. Err is the kind of error.
type FieldError struct {
	Field    string
	Value    uint64
	Expected uint64
	Err      error
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%v: %s is %d, expected %d", e.Err, e.Field, e.Value, e.Expected)
}

// Unwrap returns the kind of error.
func (e *FieldError) Unwrap() error { return e.Err }

// CommandKind says what a command does.
type CommandKind uint8

// The kinds of commands. Operators propose, stop, resume and revert. The leader moves a rollout to its next stage,
// and stops it when too many gateways fail.
const (
	Propose CommandKind = iota + 1
	MoveStage
	Stop
	Resume
	Revert
)

// Stage is the progress of a rollout.
type Stage uint8

// The stages of a rollout. In StageWaiting its version is not offered to any gateway yet; in StageStopped it is no
// longer offered.
const (
	StageWaiting Stage = iota
	StageCanary
	StageZone
	StageAll
	StageStopped
	stageReleased // only as the target of MoveStage: the rollout is complete
)

// String describes a stage for operators.
func (s Stage) String() string {
	return [...]string{"waiting", "one gateway", "one zone", "all", "stopped", "released"}[min(s, stageReleased)]
}

// Command is one entry of the replicated log.
type Command struct {
	Kind    CommandKind
	ID      uint64           // set by the publisher; a proposal or revert applied twice makes one version
	Base    uint64           // Propose: the version that the changes apply to
	Changes []content.Change // Propose
	Version uint64           // version of the rollout; for Revert, the one whose content is restored
	Stage   Stage            // MoveStage
	Canary  string           // MoveStage: name of the gateway
	Zone    string           // MoveStage
	Reason  string           // Stop
}

// AppendTo appends the encoded command.
func (c *Command) AppendTo(b []byte) []byte {
	b = codec.AppendUint(codec.AppendUint(append(b, byte(c.Kind)), c.ID), c.Base)
	b = codec.AppendUint(codec.AppendUint(b, c.Version), uint64(c.Stage))
	b = codec.AppendString(codec.AppendString(codec.AppendString(b, c.Canary), c.Zone), c.Reason)
	return codec.AppendChanges(b, c.Changes)
}

// ParseCommand decodes a command that AppendTo encoded.
func ParseCommand(data []byte) (Command, error) {
	r := codec.NewReader(data)
	c := Command{
		Kind:    CommandKind(r.Uint()),
		ID:      r.Uint(),
		Base:    r.Uint(),
		Version: r.Uint(),
		Stage:   Stage(r.Uint()),
		Canary:  r.String(content.MaxNameBytes),
		Zone:    r.String(content.MaxNameBytes),
		Reason:  r.String(codec.MaxReasonBytes),
		Changes: r.Changes(),
	}
	return c, r.Err()
}

// Result is the outcome of a command after it was applied.
type Result struct {
	ID  uint64
	Ref content.Ref // the version that the command created or refers to
	Err error
}
