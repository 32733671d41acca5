package coordinator

import (
	"strings"

	"auburnstack/core/planner"
)

// reportFindings counts what the planner has concluded, and logs it. Of the expired leases it logs maxRemovedLines.
func (t *term) reportFindings() {
	expired := 0
	for _, finding := range t.planner.TakeFindings() {
		t.config.Metrics.found(finding)
		if _, isExpired := finding.(planner.LeaseExpired); isExpired {
			expired++
			if expired > maxRemovedLines {
				continue
			}
		}
		t.logFinding(finding)
	}
	if expired > maxRemovedLines {
		t.config.Log.Info("runs lost with more expired leases", "workers", expired-maxRemovedLines)
	}
}

func (t *term) logFinding(finding planner.Finding) {
	switch f := finding.(type) {
	case planner.WorkerRestarted:
		lost, unconfirmed := describeRuns(f.Runs)
		t.config.Log.Warn("worker restarted with runs on it", "worker", f.Worker, "incarnation", f.Ended, "next", f.Next,
			"lost", len(f.Runs), "runs", lost, "unconfirmed", unconfirmed)
	case planner.CrashAttributed:
		t.config.Log.Warn("crash attributed", "job", f.Task.Job, "task", f.Task.String(), "run", f.Run, "worker", f.Worker,
			"after", f.Age.String(), "evidence", evidence(f.Unambiguous), "crashes", f.Crashes,
			"unambiguous", f.UnambiguousCrashes)
	case planner.JobGivenUp:
		t.config.Log.Warn("job given up", "job", f.Task.Job, "task", f.Task.String(), "crashes", f.Crashes,
			"unambiguous", f.UnambiguousCrashes, "excused", f.ExcusedCrashes)
	case planner.LeaseExpired:
		t.config.Log.Info("runs lost with an expired lease", "worker", f.Worker, "runs", f.Runs,
			"registered", f.Registered, "waited", f.Waited.String())
	}
}

// evidence describes how well the evidence in a planner.CrashAttributed singles out its task.
func evidence(unambiguous bool) string {
	if unambiguous {
		return "unambiguous"
	}
	return "ambiguous"
}

// maxListedRuns limits the number of runs that a log line lists.
const maxListedRuns = 20

// describeRuns lists the first of the given runs with their ages, and those of them that no report has confirmed.
func describeRuns(runs []planner.LostRun) (all, unconfirmed string) {
	var texts, young []string
	for _, run := range runs[:min(len(runs), maxListedRuns)] {
		text := run.Task.String() + " after " + run.Age.String()
		texts = append(texts, text)
		if !run.Confirmed {
			young = append(young, run.Task.String())
		}
	}
	return strings.Join(texts, ", "), strings.Join(young, ", ")
}
