package coordinator

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/graph"
	"auburnstack/core/policy"
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
// if the key is absent, or does not concern the submission.
func WithdrawnKey(id graph.ID) string { return withdrawnPrefix + string(id) }

// Withdrawal is the value of a WithdrawnKey.
type Withdrawal struct {
	// Origins are the submissions that were withdrawn. An origin without an account is a queue that asks for no key, and
	// stands for all submissions to it.
	Origins []graph.Origin
	// Accounts and Anonymous are set in records of earlier builds, which did not store the queue.
	Accounts  []account.Name `json:",omitempty"`
	Anonymous bool           `json:",omitempty"`
}

// Add returns the withdrawal with that of another origin.
func (w Withdrawal) Add(origin graph.Origin) Withdrawal {
	w.Origins = append(slices.Clone(w.Origins), origin)
	return w
}

// Names reports whether an origin was withdrawn itself.
func (w Withdrawal) Names(origin graph.Origin) bool {
	return slices.ContainsFunc(w.Origins, origin.Same)
}

// Concerns reports whether a submission is withdrawn. The parameter anonymous is set if its queue asks for no key.
func (w Withdrawal) Concerns(origin graph.Origin, anonymous bool) bool {
	return w.Names(origin) || w.Names(graph.Origin{Queue: origin.Queue, Address: origin.Address}) ||
		slices.Contains(w.Accounts, origin.ClientAccount) || w.Anonymous && anonymous
}

// DecodeWithdrawal decodes the value of a WithdrawnKey; an absent one concerns no submission.
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

// DecodeOrigin decodes how an accepted job was submitted.
func DecodeOrigin(item store.Item) (graph.Origin, error) {
	var job struct {
		Queue         string
		ClientAccount account.Name
		AcceptedBy    policy.Address
	}
	err := json.Unmarshal(item.Value, &job)
	origin := graph.Origin{Queue: job.Queue, Address: job.AcceptedBy, ClientAccount: job.ClientAccount}
	return origin, errors.WithMessagef(err, "the record %s can't be read", item.Key)
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
