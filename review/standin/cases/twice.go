package main

import (
	"fmt"

	"auburnstack/review/platform"
	"auburnstack/review/taskworker"
)

// startsAfterDone returns the starts of tasks after a run of theirs has ended done, if that end was taken note of and
// the worker's lease did not lapse between the two (TWICE).
func startsAfterDone(record *platform.Record) []string {
	done := map[string]*taskworker.Event{}
	var breaks []string
	for _, e := range record.Events() {
		earlier := done[e.Task]
		switch {
		case e.What == "done" && !e.Acknowledged.IsZero() && !e.LeaseLapsed && earlier == nil:
			done[e.Task] = e
		case e.What == "start" && earlier != nil:
			breaks = append(breaks, fmt.Sprintf(
				"%s: run %d starts at %.3f on %s, though run %d has ended done at %.3f on %s, which was taken note of at %.3f",
				e.Task, e.Run, record.Offset(e.At), e.Worker, earlier.Run, record.Offset(earlier.At), earlier.Worker,
				record.Offset(earlier.Acknowledged)))
		}
	}
	return breaks
}
