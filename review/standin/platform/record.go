package platform

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"auburnstack/review/taskworker"
)

// Record collects what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	begun time.Time

	mu     sync.Mutex
	lines  []line
	events []*taskworker.Event
}

// line is one line of the record.
type line struct {
	at   time.Time
	text string
}

// NewRecord returns an empty record that begins now.
func NewRecord() *Record {
	return &Record{begun: time.Now()}
}

// Note adds a line.
func (r *Record) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at: time.Now(), text: fmt.Sprintf(format, args...)})
}

// add adds what a worker has done.
func (r *Record) add(e *taskworker.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// Events returns what the workers have done so far, in order of time.
func (r *Record) Events() []*taskworker.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// Offset returns the seconds from the record's beginning to a time.
func (r *Record) Offset(t time.Time) float64 {
	return t.Sub(r.begun).Seconds()
}

// Write writes the record to a file, in order of time.
func (r *Record) Write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	lines := slices.Clone(r.lines)
	for _, e := range r.events {
		lines = append(lines, line{at: e.At, text: e.String()})
		if !e.Acknowledged.IsZero() {
			text := fmt.Sprintf("%s is told that end %d (%s run %d %s) is taken note of",
				e.Worker, e.Number, e.Task, e.Run, e.What)
			lines = append(lines, line{at: e.Acknowledged, text: text})
		}
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.at.Compare(b.at) })
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(file)
	for _, l := range lines {
		_, _ = fmt.Fprintf(out, "%9.3f %s\n", r.Offset(l.at), l.text)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	return file.Close()
}
