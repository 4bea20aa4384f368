package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the account of one run: what was sent, answered and run, with times since the start of the run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken int
}

// newRecord creates the record file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// printf adds a line.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// breach adds a line about a broken rule and counts it.
func (r *record) breach(format string, args ...any) {
	r.printf("BROKEN "+format, args...)
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
}

// breaches returns the number of broken rules.
func (r *record) breaches() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
