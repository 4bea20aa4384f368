// Package cputime reads the processor time of the calling thread, so that a measurement on a busy
// machine does not count the time of other programs.
package cputime

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Hold keeps the calling goroutine on its thread until release is called; Thread means nothing else.
func Hold() (release func()) {
	runtime.LockOSThread()
	return runtime.UnlockOSThread
}

// Thread is how much processor time the calling thread has taken.
func Thread() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		return 0 // Linux has this clock always; without it no processor time is told
	}
	return time.Duration(t.Nano())
}
