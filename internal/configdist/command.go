package configdist

import (
	"errors"
	"fmt"

	"thymebend/internal/configdist/codec"
	"thymebend/internal/configdist/content"
)

// Errors of a command. Those of a proposal's changes are content.ChangeError.
var (
	ErrDoesNotFollow = errors.New("configdist: the version that the proposal follows is not the newest one")
	ErrNoChange      = errors.New("configdist: nothing would change")
	ErrStopped       = errors.New("configdist: a rollout was stopped; resume it or go back first")
	ErrNotStopped    = errors.New("configdist: the rollout was not stopped")
	ErrNoVersion     = errors.New("configdist: no such version is kept")
	ErrStage         = errors.New("configdist: the rollout is not at a stage from which that follows")
	ErrCommand       = errors.New("configdist: unknown command")
)

// FieldError is the refusal of a command for one of its fields.
type FieldError struct {
	Field    string
	Value    uint64
	Expected uint64
	Err      error
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%v: %s is %d, not %d", e.Err, e.Field, e.Value, e.Expected)
}

// Unwrap returns the kind of refusal.
func (e *FieldError) Unwrap() error { return e.Err }

// CommandKind is what a command asks.
type CommandKind uint8

// The kinds of commands. Operators propose, stop, resume and revert; the leader moves stages on, and stops by its rule.
const (
	Propose CommandKind = iota + 1
	MoveStage
	Stop
	Resume
	Revert
)

// Stage is how far a rollout has come.
type Stage uint8

// The stages. Of a Waiting one no gateway has been told; a Stopped one is offered to nobody any more.
const (
	StageWaiting Stage = iota
	StageCanary
	StageZone
	StageAll
	StageStopped
	stageReleased // as the target of MoveStage: the rollout is over
)

// String words a stage for operators.
func (s Stage) String() string {
	return [...]string{"waiting", "one gateway", "one zone", "all", "stopped", "released"}[min(s, stageReleased)]
}

// Command is one entry of the log.
type Command struct {
	Kind    CommandKind
	ID      uint64           // of the publisher's; a proposal that comes twice under one is one version
	Base    uint64           // Propose: the version that it follows
	Changes []content.Change // Propose
	Version uint64           // MoveStage, Stop, Resume: of the rollout; Revert: whose content is wanted again
	Stage   Stage            // MoveStage
	Canary  string           // MoveStage: the gateway
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

// ParseCommand reads a command back.
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

// Result is what a command came to.
type Result struct {
	ID  uint64
	Ref content.Ref // the version that it made or was about
	Err error
}
