// Lab plays the cases of the review: it starts the gateway with the command of the deploy file and stands in for its
// clients, its servers and discovery, all on loopback addresses.
//
//	lab CASE COMMAND RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 in the environment
// leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is what a case runs in.
type world struct {
	rec     *record
	run     string // the command of the deploy file
	dir     string // a temporary folder
	trouble bool
}

// cases are the cases by name.
var cases = map[string]func(*world) error{
	"restart": restartDuringUploads,
	"upgrade": upgradeDuringSlowRequests,
	"hang":    hangDuringUploads,
	"slow":    slowReaders,
	"gone":    clientsGone,
	"flood":   floodOfEmptyLines,
}

// init keeps the main goroutine on the main thread: the gateways get SIGKILL when the thread that started them ends, so
// that none is left behind if this process is killed.
func init() { runtime.LockOSThread() }

func main() { os.Exit(play()) }

// play runs one case and returns the exit code.
func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE COMMAND RECORD")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	w := &world{rec: rec, run: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	rec.printf("case %s on %s, trouble %v", os.Args[1], time.Now().UTC().Format(time.RFC3339), w.trouble)
	if err := cases[os.Args[1]](w); err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	if n := rec.breaches(); n > 0 {
		rec.printf("result: the rule was broken %d times", n)
		fmt.Println("the rule was broken", n, "times")
		return exitBroken
	}
	rec.printf("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
