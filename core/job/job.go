// Package job describes jobs: gangs of tasks that are accepted once, run as a whole and finish once.
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

// ID identifies a job. The caller chooses it, so a repeated submission is the same job.
type ID string

// Attempt numbers the starts of a job from 1. The number of the next start is stored before that start,
// so two schedulers never start the same one after the record has moved on.
type Attempt uint32

// State is the place of a job in its life.
type State string

// The states of a job. Finished, Failed and Canceled are final.
const (
	Accepted State = "Accepted"
	Running  State = "Running"
	Finished State = "Finished"
	Failed   State = "Failed"
	Canceled State = "Canceled"
)

// Final tells whether a state is never left again.
func (s State) Final() bool {
	return s == Finished || s == Failed || s == Canceled
}

// MaxResult bounds a job's result in bytes.
const MaxResult = 4 << 10

// MaxPayload bounds the input of a job in bytes.
const MaxPayload = 4 << 10

// Record is what the platform's service keeps of a job.
type Record struct {
	ID ID
	// Version grows with each stored change, so that a reading that arrives late is recognized.
	Version       uint64
	ClientAccount account.Name
	Kind          route.Kind
	Class         route.Class
	Pool          pool.Name
	Shape         shape.Shape
	Payload       []byte `json:",omitempty"`
	// FailureDomain is where the job is scheduled; changed only by that domain's scheduler or after it was taken out.
	FailureDomain domain.Name
	State         State
	// Attempt is the one that runs or may be started next; it never falls.
	Attempt Attempt
	// FailedOn lists the different workers on which a member failed by itself.
	FailedOn []endpoint.Name `json:",omitempty"`
	// CancelRequested asks the scheduler to stop the job.
	CancelRequested bool      `json:",omitempty"`
	Reason          string    `json:",omitempty"`
	Result          []byte    `json:",omitempty"`
	Submitted       time.Time `json:",omitzero"`
	Ended           time.Time `json:",omitzero"`
}

// Errors of transitions.
var (
	// ErrFinal reports a change to a job that has ended.
	ErrFinal = errors.New("the job has ended")
	// ErrAttempt reports a message about an attempt that is not the current one.
	ErrAttempt = errors.New("the attempt is not the current one")
	// ErrMismatch reports a repeated submission that differs from the accepted job.
	ErrMismatch = errors.New("another job has this ID")
)

// SameSubmission tells whether a repeated submission is the accepted job.
func (r Record) SameSubmission(other Record) bool {
	return r.ClientAccount == other.ClientAccount && r.Kind == other.Kind &&
		r.Shape == other.Shape && string(r.Payload) == string(other.Payload)
}

// Begin notes that the current attempt has started.
func (r Record) Begin(attempt Attempt) (Record, error) {
	if err := r.checkAttempt(attempt); err != nil {
		return r, err
	}
	r.State = Running
	return r, nil
}

// Finish records the result of an attempt; the first result recorded stands.
func (r Record) Finish(attempt Attempt, result []byte, now time.Time) (Record, error) {
	if err := r.checkAttempt(attempt); err != nil {
		return r, err
	}
	r.State = Finished
	r.Result = result
	r.Ended = now
	return r, nil
}

// Requeue prepares the next attempt after one ended without a result. failedOn names the worker on which a member
// failed by itself; it is empty when the attempt ended for another reason.
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

// Fail ends a job without a result.
func (r Record) Fail(reason string, now time.Time) (Record, error) {
	if r.State.Final() {
		return r, ErrFinal
	}
	r.State = Failed
	r.Reason = reason
	r.Ended = now
	return r, nil
}

// Cancel ends a job on the caller's request.
func (r Record) Cancel(now time.Time) (Record, error) {
	if r.State.Final() {
		return r, ErrFinal
	}
	r.State = Canceled
	r.Ended = now
	return r, nil
}

func (r Record) checkAttempt(attempt Attempt) error {
	if r.State.Final() {
		return ErrFinal
	}
	if r.Attempt != attempt {
		return ErrAttempt
	}
	return nil
}
