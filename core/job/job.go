// Package job describes jobs. A job is a gang of tasks that run together; it is accepted once and finishes once.
package job

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/shape"
)

// ID identifies a job. The caller chooses it, so that a repeated submission is recognized as the same job.
type ID string

// Attempt is the number of an attempt to run a job, counted from 1. It is stored in the job's record before the attempt
// starts. Once the record has advanced to the next attempt, no scheduler starts the earlier one again.
type Attempt uint32

// State is the stage of a job's life cycle.
type State string

// The states of a job. Finished, Failed and Canceled are final.
const (
	Accepted State = "Accepted"
	Running  State = "Running"
	Finished State = "Finished"
	Failed   State = "Failed"
	Canceled State = "Canceled"
)

// Final reports whether a state is final, so that the job never changes its state again.
func (s State) Final() bool {
	return s == Finished || s == Failed || s == Canceled
}

// MaxResult is the maximum size of a job's result in bytes.
const MaxResult = 4 << 10

// MaxPayload is the maximum size of a job's input in bytes.
const MaxPayload = 4 << 10

// Record is the record of a job in the platform's store.
type Record struct {
	ID ID
	// Version increases with each stored change, so that an outdated copy of the record can be recognized.
	Version       uint64
	ClientAccount account.Name
	Kind          route.Kind
	// Class and Pool are those of the job's route when the job was accepted. They apply if the tables lack the route.
	Class   route.Class
	Pool    pool.Name
	Shape   shape.Shape
	Payload []byte `json:",omitempty"`
	// FailureDomain is the failure domain that schedules the job. The field is changed only by the scheduler of this
	// failure domain or, once operators have taken the failure domain out, by another VM.
	FailureDomain domain.Name
	State         State
	// Attempt is the number of the attempt that runs or, while none runs, of the next one; it never decreases.
	Attempt Attempt
	// FailedOn lists the workers on which a member of the job has failed: at most one worker for each attempt, and each
	// worker only once. A member that was stopped does not count as failed.
	FailedOn []endpoint.Name `json:",omitempty"`
	// CancelRequested is set when the caller has asked to cancel the job; the scheduler then stops the job.
	CancelRequested bool      `json:",omitempty"`
	Reason          string    `json:",omitempty"`
	Result          []byte    `json:",omitempty"`
	Submitted       time.Time `json:",omitzero"`
	Ended           time.Time `json:",omitzero"`
}

// The errors that changes to a record return.
var (
	// ErrFinal rejects a change to a job that has ended.
	ErrFinal = errors.New("the job has ended")
	// ErrAttempt rejects a change by an attempt that is not the current one.
	ErrAttempt = errors.New("the attempt is not the current one")
	// ErrMismatch rejects a submission whose ID belongs to a different job.
	ErrMismatch = errors.New("another job has this ID")
)

// RouteKey returns the key of the job's route.
func (r Record) RouteKey() route.Key {
	return route.Key{ClientAccount: r.ClientAccount, Kind: r.Kind}
}

// SameSubmission reports whether two records come from the same submission: account, kind, shape and payload agree.
func (r Record) SameSubmission(other Record) bool {
	return r.ClientAccount == other.ClientAccount && r.Kind == other.Kind &&
		r.Shape == other.Shape && string(r.Payload) == string(other.Payload)
}

// Begin records that the current attempt has started.
func (r Record) Begin(attempt Attempt) (Record, error) {
	if err := r.checkAttempt(attempt); err != nil {
		return r, err
	}
	r.State = Running
	return r, nil
}

// Finish records the result of the current attempt and ends the job. Later results are rejected with ErrFinal.
func (r Record) Finish(attempt Attempt, result []byte, now time.Time) (Record, error) {
	if err := r.checkAttempt(attempt); err != nil {
		return r, err
	}
	r.State = Finished
	r.Result = result
	r.Ended = now
	return r, nil
}

// Requeue records that the current attempt ended without a result, and makes the job wait for the next attempt.
// failedOn is the worker on which a member failed; it is empty if the attempt ended for another reason.
func (r Record) Requeue(attempt Attempt, failedOn endpoint.Name) (Record, error) {
	if err := r.checkAttempt(attempt); err != nil {
		return r, err
	}
	r.State = Accepted
	r.Attempt++
	if failedOn != "" && !slices.Contains(r.FailedOn, failedOn) {
		r.FailedOn = append(slices.Clone(r.FailedOn), failedOn)
	}
	return r, nil
}

// Fail ends a job as failed, without a result.
func (r Record) Fail(reason string, now time.Time) (Record, error) {
	if r.State.Final() {
		return r, ErrFinal
	}
	r.State = Failed
	r.Reason = reason
	r.Ended = now
	return r, nil
}

// Cancel ends a job as canceled, at the caller's request.
func (r Record) Cancel(now time.Time) (Record, error) {
	if r.State.Final() {
		return r, ErrFinal
	}
	r.State = Canceled
	r.Ended = now
	return r, nil
}

// checkAttempt returns an error if the job has ended or if attempt is not its current attempt.
func (r Record) checkAttempt(attempt Attempt) error {
	if r.State.Final() {
		return ErrFinal
	}
	if r.Attempt != attempt {
		return ErrAttempt
	}
	return nil
}
