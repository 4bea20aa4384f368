package lease

import (
	"errors"
	"fmt"
	"time"

	"thymebend/internal/fielderror"
)

// Bounds of a table and of its commands.
const (
	MaxNameBytes = 64     // maximum length of a lease's or a client's name
	MaxLeases    = 20_000 // maximum number of leases in a table
	MaxSlots     = 100    // maximum number of holders of one lease
	MaxQueue     = 500    // maximum number of clients that wait for one lease
	MaxClients   = 2_000  // maximum number of clients in a table
	// MinDuration and MaxDuration bound the duration of a grant.
	MinDuration = 100 * time.Millisecond
	MaxDuration = 10 * time.Minute
)

// ErrCommand is returned for a command with a missing or unknown value, or with a value outside its bounds.
var ErrCommand = errors.New("invalid command")

// Kind is the operation that a command requests.
type Kind uint8

// The kinds of commands.
const (
	Acquire Kind = iota + 1
	Renew
	Release
)

// Command is one entry of the log. Its encoded form is stored, so the tags must not change.
type Command struct {
	Kind   Kind   `json:"Kind"`
	Client string `json:"Client"` // name of the client that sends the command
	// Incarnation is that of the client's process. Once a command of a later incarnation has been applied, commands
	// of an earlier one have no effect.
	Incarnation uint64 `json:"Start"`
	// Seq numbers the client's commands from 1. A repetition of the last command gets the same answer.
	Seq   uint64 `json:"Seq"`
	Lease string `json:"Duty"` // name of the lease
	// Slots is, with Acquire, the maximum number of simultaneous holders of the lease. The first command for a lease
	// without holders and queue sets it; later commands must name the same number.
	Slots        int           `json:"Places"`
	Duration     time.Duration `json:"Lease"` // with Acquire and Renew: duration of the grant
	FencingToken uint64        `json:"Fence"` // with Renew and Release: token of the grant
	At           time.Duration `json:"At"`    // log time, set by the leader
}

// validate checks that a command is within the bounds. The texts of its errors reach the Reason of answers, which is
// stored in the replicated table: replicas with different texts would differ.
func (c *Command) validate() error {
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

// Verdict is the outcome of a command.
type Verdict uint8

// The verdicts.
const (
	Granted  Verdict = iota + 1
	Queued           // the client waits in the queue
	Released         // the client neither holds the lease nor waits for it
	Expired          // the grant has expired, or was issued to another client or process
	Stale            // the command is from an earlier process, or older than a command already applied
	Rejected         // the command is invalid or exceeds a bound
)

// String returns the name of a verdict.
func (v Verdict) String() string {
	return [...]string{"none", "granted", "taken", "released", "lapsed", "stale", "refused"}[min(v, Rejected)]
}

// Answer is the answer to a command. The table stores the last one of each client, so the tags must not change.
type Answer struct {
	Verdict       Verdict       `json:"Verdict"`
	FencingToken  uint64        `json:"Fence"` // with Granted: token of the grant
	Duration      time.Duration `json:"Lease"` // with Granted: counted by the client from before it sent the command
	QueuePosition int           `json:"Ahead"` // with Queued: number of clients ahead in the queue
	Reason        string        `json:"Why"`   // with Rejected: what is wrong with the command
}

// rejected returns the answer to a command that is rejected, with the reason.
func rejected(format string, args ...any) Answer {
	return Answer{Verdict: Rejected, Reason: fmt.Sprintf(format, args...)}
}
