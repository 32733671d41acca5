package jobtrace

import (
	"fmt"
	"strings"
	"time"
)

// Cause explains the outcome of a job from the job's log lines. If the job has not ended, Cause explains why it has
// not.
func Cause(lines []Line) string {
	ended := lastLine(lines, "job ended")
	if ended == nil {
		return explainUnfinished(lines)
	}
	switch ended.Fields["state"] {
	case "Failed":
		if givenUp := lastLine(lines, "job given up"); givenUp != nil {
			return fmt.Sprintf("%s: %s", ended.Fields["reason"], crashes(lines, givenUp.Fields["task"]))
		}
		return fmt.Sprintf("%s: %s", ended.Fields["reason"], failedRuns(lines))
	case "Canceled":
		return "the caller has canceled it"
	default:
		return explainFinished(lines, ended)
	}
}

// lastLine returns the last line with the given message, or nil if there is none.
func lastLine(lines []Line, message string) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Message == message {
			return &lines[i]
		}
	}
	return nil
}

// explainUnfinished explains why a job has not ended; it is called if no line reports the end of the job.
func explainUnfinished(lines []Line) string {
	start, above := lastLine(lines, "starting"), lastLine(lines, "job waits for a higher limit")
	if above != nil && (start == nil || start.At.Before(above.At)) {
		return fmt.Sprintf("it waits until the limit of its account %s is raised: %s",
			above.Fields["account"], above.Fields["reason"])
	}
	if start != nil {
		return "its tasks were still at work at the end of the logs, or their ends were not recorded"
	}
	if limit := limitBeforeStart(lines); limit != nil {
		return "it was accepted and never started: " + describeLimit(limit)
	}
	if wasAccepted(lines) {
		return "it was accepted and never started: there was no room, or no VM led"
	}
	if answer := lastLine(lines, "answered"); answer != nil {
		return fmt.Sprintf("it was not accepted: %s, %s", answer.Fields["answer"], answer.Fields["reason"])
	}
	return "the logs do not tell"
}

// limitBeforeStart returns the last line that says, before the job's first start, that its account was at its limit, or
// nil if there is none.
func limitBeforeStart(lines []Line) *Line {
	var limit *Line
	for i := range lines {
		switch lines[i].Message {
		case "starting":
			return limit
		case reachedLimit:
			limit = &lines[i]
		}
	}
	return limit
}

func describeLimit(limit *Line) string {
	return fmt.Sprintf("its account %s was at its limit (%s)", limit.Fields["account"], limit.Fields["held"])
}

// wasAccepted reports whether a VM answered the submission with success, or a leader queued the job.
func wasAccepted(lines []Line) bool {
	for i := range lines {
		if lines[i].Message == "answered" && lines[i].Fields["method"] == "POST" && lines[i].Fields["answer"] == "done" {
			return true
		}
	}
	return lastLine(lines, "job queued") != nil
}

// failedRuns lists the failed runs with their tasks and workers.
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

// crashes lists the runs of a task that may have crashed their workers, with the evidence.
func crashes(lines []Line, task string) string {
	var runs []string
	for i := range lines {
		if fields := lines[i].Fields; lines[i].Message == "crash attributed" && fields["task"] == task {
			runs = append(runs, fmt.Sprintf("%s run %s on %s (%s after the start, %s)",
				fields["task"], fields["run"], fields["worker"], fields["after"], fields["evidence"]))
		}
	}
	return strings.Join(runs, ", ")
}

// explainFinished compares the completion time of a completed job with its objective and lists the causes of a delay.
func explainFinished(lines []Line, ended *Line) string {
	took, objective := duration(ended, "took"), duration(ended, "objective")
	if took <= objective {
		return fmt.Sprintf("it finished in %s, within its objective of %s", took.Round(time.Millisecond),
			objective.Round(time.Millisecond))
	}
	var reasons []string
	if waited := duration(ended, "waited"); waited > time.Duration(0.1*float64(objective)) {
		reason := fmt.Sprintf("it waited %s for room", waited.Round(time.Millisecond))
		if limit := limitBeforeStart(lines); limit != nil {
			reason += ", " + describeLimit(limit)
		}
		reasons = append(reasons, reason)
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

// duration returns the value of a field, or 0 if the field is missing or is not a duration.
func duration(line *Line, name string) time.Duration {
	d, err := time.ParseDuration(line.Fields[name])
	if err != nil {
		return 0
	}
	return d
}
