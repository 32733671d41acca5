package coordinator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"auburnstack/core/account"
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
	// withdrawnPrefix is the prefix of the keys of jobs that were canceled before they were accepted.
	withdrawnPrefix = "auburnstack/withdrawn/"
)

// JobKey returns the key of an accepted job.
func JobKey(id graph.ID) string { return jobPrefix + string(id) }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id graph.ID) string { return cancelPrefix + string(id) }

// WithdrawnKey returns the key that says that a job was canceled before it was accepted. A submission takes effect only
// if the key is absent, or does not name the submission's account.
func WithdrawnKey(id graph.ID) string { return withdrawnPrefix + string(id) }

// Withdrawal is the value of a WithdrawnKey.
type Withdrawal struct {
	// Accounts are the client accounts that have canceled the job. Anonymous is set if it was canceled in a queue that
	// asks for no key.
	Accounts  []account.Name
	Anonymous bool `json:",omitempty"`
}

// Add returns the withdrawal with that of another caller.
func (w Withdrawal) Add(name account.Name, anonymous bool) Withdrawal {
	if !slices.Contains(w.Accounts, name) {
		w.Accounts = append(slices.Clone(w.Accounts), name)
	}
	w.Anonymous = w.Anonymous || anonymous
	return w
}

// Concerns reports whether a submission of the account is withdrawn.
func (w Withdrawal) Concerns(name account.Name, anonymous bool) bool {
	return slices.Contains(w.Accounts, name) || w.Anonymous && anonymous
}

// DecodeWithdrawal decodes the value of a WithdrawnKey; an absent one names no account.
func DecodeWithdrawal(item store.Item) (Withdrawal, error) {
	var w Withdrawal
	if item.Revision == 0 {
		return w, nil
	}
	err := json.Unmarshal(item.Value, &w)
	return w, errors.WithMessagef(err, "the record %s can't be read", item.Key)
}

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
