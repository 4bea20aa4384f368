package ahead

import (
	"errors"
	"os/exec"
)

// Rig is what a play needs of the program that plays it.
type Rig struct {
	Root    string // the repository
	Dir     string // an empty folder for the gateway
	Trouble bool   // play the disruption
	// Note writes a line to the record.
	Note func(format string, args ...any)
	// Started is called with each gateway process; ended is closed at its end. The caller ends the process if the play does not.
	Started func(cmd *exec.Cmd, control string, ended chan struct{})
}

// Play plays a case and returns how the rule was broken. An error for which ErrCannotRun holds says that it could not run.
type Play func(rig Rig) (broken []string, err error)

// Plays are the plays by name.
var Plays = map[string]Play{"requests-ahead": playStop, "long-answers": playLongAnswers, "slow-hosts": playSlowHosts}

// ErrCannotRun is the cause of errors that do not concern the rule.
var ErrCannotRun = errors.New("the case could not run")
