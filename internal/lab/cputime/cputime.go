// Package cputime measures the processor time of the calling thread, so that a measurement on a busy machine does not
// include the time of other programs.
package cputime

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// LockThread locks the calling goroutine to its operating system thread until release is called. Processor
// times of the thread are comparable only within this time.
func LockThread() (release func()) {
	runtime.LockOSThread()
	return runtime.UnlockOSThread
}

// ThreadTime returns the processor time that the calling thread has used.
func ThreadTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0 // does not happen on Linux, which always has this clock
	}
	return time.Duration(t.Nano())
}
