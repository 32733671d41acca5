package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what is sent, answered and run to a file, with the seconds since the start of the case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// newRecord creates the file.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// Add writes one line.
func (r *record) Add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close closes the file.
func (r *record) Close() {
	_ = r.file.Close()
}
