package lease

import (
	"errors"
	"fmt"
	"time"

	"thymebend/internal/fielderror"
)

// Bounds of a table and of its commands.
const (
	MaxNameBytes = 64 // of a lease's or a client's name
	MaxLeases    = 20_000
	MaxSlots     = 100 // holders of one lease
	MaxQueue     = 500 // clients that wait for one lease
	MaxClients   = 2_000
	// MinDuration and MaxDuration bound how long a grant holds.
	MinDuration = 100 * time.Millisecond
	MaxDuration = 10 * time.Minute
)

// ErrCommand is the cause where a command is out of its bounds.
var ErrCommand = errors.New("unusable command")

// Kind is what a command asks.
type Kind uint8

// The kinds of commands.
const (
	Acquire Kind = iota + 1
	Renew
	Release
)

// Command is one entry of the log. Its encoded form is stored: the tags keep it.
type Command struct {
	Kind   Kind   `json:"Kind"`
	Client string `json:"Client"` // who asks
	// Incarnation of the client's process: commands of an earlier one change nothing any more.
	Incarnation uint64 `json:"Start"`
	// Seq numbers the client's commands from 1; a repeat of the last one has the same answer.
	Seq   uint64 `json:"Seq"`
	Lease string `json:"Duty"` // its name
	// Slots is, with Acquire, how many may hold the lease at once. The first to ask for a lease that nobody
	// holds or waits for settles it.
	Slots        int           `json:"Places"`
	Duration     time.Duration `json:"Lease"` // with Acquire and Renew
	FencingToken uint64        `json:"Fence"` // with Renew and Release: of the grant
	At           time.Duration `json:"At"`    // the log's time, which the leader gives it
}

// check holds a command to the bounds.
func (c *Command) check() error {
	switch {
	case c.Client == "" || len(c.Client) > MaxNameBytes || c.Lease == "" || len(c.Lease) > MaxNameBytes:
		return commandError("names of 1 to %d bytes are needed", MaxNameBytes)
	case c.Kind < Acquire || c.Kind > Release:
		return commandError("kind %d is none", c.Kind)
	case c.Seq == 0 || c.Incarnation == 0:
		return commandError("start and number must be above 0")
	case c.Kind == Acquire && (c.Slots < 1 || c.Slots > MaxSlots):
		return commandError("places must be 1 to %d", MaxSlots)
	case c.Kind != Release && (c.Duration < MinDuration || c.Duration > MaxDuration):
		return commandError("a lease must be %v to %v", MinDuration, MaxDuration)
	}
	return nil
}

func commandError(format string, args ...any) error {
	return fielderror.CauseWithText(ErrCommand, format, args...)
}

// Verdict is what a command came to.
type Verdict uint8

// The verdicts.
const (
	Granted  Verdict = iota + 1
	Queued           // the client waits in the queue
	Released         // the client neither holds nor waits any more
	Expired          // the grant is no longer the client's
	Stale            // the command is of an earlier process, or older than one that was applied
	Rejected         // the command cannot be
)

// String words a verdict.
func (v Verdict) String() string {
	return [...]string{"none", "granted", "taken", "released", "lapsed", "stale", "refused"}[min(v, Rejected)]
}

// Answer is what the client is told. The table keeps each client's last one: the tags keep its encoded form.
type Answer struct {
	Verdict       Verdict       `json:"Verdict"`
	FencingToken  uint64        `json:"Fence"` // of the grant
	Duration      time.Duration `json:"Lease"` // of the grant, from before the client asked
	QueuePosition int           `json:"Ahead"` // with Queued: how many wait before it
	Reason        string        `json:"Why"`   // with Rejected
}

// rejected is the answer to a command that cannot be.
func rejected(format string, args ...any) Answer {
	return Answer{Verdict: Rejected, Reason: fmt.Sprintf(format, args...)}
}
