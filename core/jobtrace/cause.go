package jobtrace

import (
	"fmt"
	"strings"
	"time"
)

// Cause names why a job ended as it did, or why it has not.
func Cause(lines []Line) string {
	ended := last(lines, "job ended")
	if ended == nil {
		return unended(lines)
	}
	switch ended.Fields["state"] {
	case "Failed":
		return fmt.Sprintf("%s: %s", ended.Fields["reason"], failedRuns(lines))
	case "Canceled":
		return "the caller has canceled it"
	default:
		return lateness(lines, ended)
	}
}

func last(lines []Line, message string) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Message == message {
			return &lines[i]
		}
	}
	return nil
}

// unended explains a job that no leader has seen end.
func unended(lines []Line) string {
	if start := last(lines, "starting"); start != nil {
		return "its tasks were still at work at the end of the logs, or their ends were not recorded"
	}
	if accepted(lines) {
		return "it was accepted and never started: there was no room, or no VM led"
	}
	if answer := last(lines, "answered"); answer != nil {
		return fmt.Sprintf("it was not accepted: %s, %s", answer.Fields["answer"], answer.Fields["reason"])
	}
	return "the logs do not tell"
}

func accepted(lines []Line) bool {
	for i := range lines {
		if lines[i].Message == "answered" && lines[i].Fields["method"] == "POST" && lines[i].Fields["answer"] == "done" {
			return true
		}
	}
	return last(lines, "job queued") != nil
}

func failedRuns(lines []Line) string {
	var runs []string
	for i := range lines {
		if lines[i].Message == "run ended" && lines[i].Fields["how"] == "failed" {
			runs = append(runs, fmt.Sprintf("%s run %s on %s",
				lines[i].Fields["task"], lines[i].Fields["run"], lines[i].Fields["worker"]))
		}
	}
	return strings.Join(runs, ", ")
}

// lateness compares a finished job with its objective.
func lateness(lines []Line, ended *Line) string {
	took, objective := duration(ended, "took"), duration(ended, "objective")
	if took <= objective {
		return fmt.Sprintf("it finished in %s, within its objective of %s", took.Round(time.Millisecond),
			objective.Round(time.Millisecond))
	}
	var reasons []string
	if waited := duration(ended, "waited"); waited > time.Duration(0.1*float64(objective)) {
		reasons = append(reasons, fmt.Sprintf("it waited %s for room", waited.Round(time.Millisecond)))
	}
	if stops := ended.Fields["stops"]; stops != "" {
		reasons = append(reasons, "it was stopped: "+stops)
	}
	if failures := ended.Fields["failures"]; failures != "" && failures != "0" {
		reasons = append(reasons, "runs failed: "+failedRuns(lines))
	}
	if len(reasons) == 0 {
		reasons = append(reasons, "its tasks took longer than estimated")
	}
	return fmt.Sprintf("late, %s against an objective of %s: %s", took.Round(time.Millisecond),
		objective.Round(time.Millisecond), strings.Join(reasons, "; "))
}

// duration reads a field, or returns 0 if the line has no such field.
func duration(line *Line, name string) time.Duration {
	d, err := time.ParseDuration(line.Fields[name])
	if err != nil {
		return 0
	}
	return d
}
