package coordinator

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"auburnstack/core/graph"
	"auburnstack/io/store"
)

// Prefixes of the keys in the store.
const (
	// InboxPrefix is the prefix of the keys of accepted jobs and cancellations.
	InboxPrefix    = "auburnstack/inbox/"
	jobPrefix      = InboxPrefix + "job/"
	cancelPrefix   = InboxPrefix + "cancel/"
	progressPrefix = "auburnstack/progress/"
)

// JobKey returns the key of an accepted job.
func JobKey(id graph.ID) string { return jobPrefix + string(id) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id graph.ID) string { return cancelPrefix + string(id) }

// ProgressKey returns the key of a job's progress, or of its first part if it has several.
func ProgressKey(id graph.ID) string { return partKey(id, 0) }

// partKey returns the key of a part of a job's progress.
func partKey(id graph.ID, part int) string {
	if part == 0 {
		return progressPrefix + string(id)
	}
	return fmt.Sprintf("%s%s/%d", progressPrefix, id, part)
}

// DecodeJob decodes an accepted job.
func DecodeJob(item store.Item) (*graph.Job, error) {
	job := &graph.Job{}
	if err := json.Unmarshal(item.Value, job); err != nil {
		return nil, errors.WithMessagef(err, "the record %s can't be read", item.Key)
	}
	return job, nil
}

// DecodeProgress decodes a job's progress, or a part of it.
func DecodeProgress(item store.Item) (graph.Progress, error) {
	var progress graph.Progress
	if err := json.Unmarshal(item.Value, &progress); err != nil {
		return progress, errors.WithMessagef(err, "the record %s can't be read", item.Key)
	}
	return progress, nil
}

// decodeInbox decodes items into jobs and cancellations. It reports and skips a job that can't be decoded, so that the
// other jobs are still decoded.
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
