package coordinator

import (
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"auburnstack/core/graph"
	"auburnstack/io/store"
)

// Keys of the store.
const (
	// InboxPrefix is that of what callers have handed in: jobs and cancellations.
	InboxPrefix    = "auburnstack/inbox/"
	jobPrefix      = InboxPrefix + "job/"
	cancelPrefix   = InboxPrefix + "cancel/"
	progressPrefix = "auburnstack/progress/"
)

// JobKey is the key of an accepted job.
func JobKey(id graph.ID) string { return jobPrefix + string(id) }

// CancelKey is the key of a job's cancellation.
func CancelKey(id graph.ID) string { return cancelPrefix + string(id) }

// ProgressKey is the key of a job's progress.
func ProgressKey(id graph.ID) string { return progressPrefix + string(id) }

// DecodeJob reads an accepted job.
func DecodeJob(item store.Item) (*graph.Job, error) {
	job := &graph.Job{}
	if err := json.Unmarshal(item.Value, job); err != nil {
		return nil, errors.WithMessagef(err, "the record %s can't be read", item.Key)
	}
	return job, nil
}

// DecodeProgress reads a job's progress.
func DecodeProgress(item store.Item) (graph.Progress, error) {
	var progress graph.Progress
	if err := json.Unmarshal(item.Value, &progress); err != nil {
		return progress, errors.WithMessagef(err, "the record %s can't be read", item.Key)
	}
	return progress, nil
}

// decodeInbox sorts items into jobs and cancellations. A record that can't be read is reported and left out, so that it
// does not hold up the others.
func decodeInbox(items []store.Item, report func(error)) jobsAccepted {
	var found jobsAccepted
	for _, item := range items {
		if id, isCancel := strings.CutPrefix(item.Key, cancelPrefix); isCancel {
			found.canceled = append(found.canceled, graph.ID(id))
			continue
		}
		job, err := DecodeJob(item)
		if err != nil {
			report(err)
			continue
		}
		found.jobs = append(found.jobs, job)
	}
	return found
}
