// Package jobs accepts jobs from callers and returns their state.
package jobs

import (
	"context"
	"fmt"
	"regexp"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/destination"
	"auburnstack/core/domain"
	"auburnstack/core/job"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/scheduler"
	"auburnstack/core/shape"
	"auburnstack/core/timeline"
	"auburnstack/io/jobbook"
	"auburnstack/io/membership"
	"auburnstack/io/tables"
)

// Errors of the service. Any error other than these and *InvalidError means that the store did not answer. It is then
// unknown whether a write took effect.
var (
	// ErrNotFound reports that a job does not exist or belongs to another client account.
	ErrNotFound = errors.New("there is no such job")
	// ErrMismatch reports that the ID of a submitted job already belongs to a different job.
	ErrMismatch = errors.New("the ID belongs to another job")
	// ErrWithdrawn reports a submission of a job that was canceled before it was accepted.
	ErrWithdrawn = errors.New("the job was canceled before it was accepted")
	// ErrLeaving reports that a new job was refused because this VM is leaving its site, that is, it is shutting down.
	ErrLeaving = errors.New("the VM is leaving")
)

// InvalidError reports a job that is refused because of its content. A retry without changes is refused too, unless the
// tables or the platform's list of endpoints have changed.
type InvalidError struct {
	Reason string
}

// Error returns the reason.
func (e *InvalidError) Error() string {
	return e.Reason
}

// maxID is the maximum length of a job's ID in bytes.
const maxID = 128

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]*(/[A-Za-z0-9_.-]+)?$`)

// Submission is what a caller sends to start a job.
type Submission struct {
	// ID is chosen by the caller. A repeated submission with the same ID refers to the same job. The IDs of a batch share
	// the part before the slash, so that the jobs are stored together.
	ID    job.ID
	Kind  route.Kind
	Shape shape.Shape
	// Payload is the input of the job, at most job.MaxPayload bytes.
	Payload []byte `json:",omitempty"`
}

// Notifier tells the scheduler of a failure domain that job records have changed.
type Notifier interface {
	Notify(ctx context.Context, target domain.Name, ids []job.ID)
}

// Service lets callers submit, query and cancel jobs. It is safe for concurrent use.
type Service struct {
	book      *jobbook.Book
	follower  *tables.Follower
	directory *membership.Directory
	notifier  Notifier
	recorder  *timeline.Recorder
	leaving   atomic.Bool
}

// New returns a Service that accepts jobs until Leave is called.
func New(
	book *jobbook.Book, follower *tables.Follower, directory *membership.Directory,
	notifier Notifier, recorder *timeline.Recorder,
) *Service {
	return &Service{book: book, follower: follower, directory: directory, notifier: notifier, recorder: recorder}
}

// Leave makes the service refuse new jobs from now on.
func (s *Service) Leave() {
	s.leaving.Store(true)
}

// Submit stores a job and notifies the scheduler of its failure domain. It fails with *InvalidError, ErrMismatch,
// ErrWithdrawn or ErrLeaving. After any other error it is unknown whether the job was stored.
func (s *Service) Submit(ctx context.Context, owner account.Name, submission Submission) (job.Record, error) {
	if s.leaving.Load() {
		return job.Record{}, ErrLeaving
	}
	record, err := s.newRecord(owner, submission)
	if err != nil {
		return job.Record{}, err
	}
	stored, err := s.book.Submit(ctx, record)
	if errors.Is(err, job.ErrMismatch) {
		return job.Record{}, ErrMismatch
	}
	if errors.Is(err, jobbook.ErrWithdrawn) {
		return job.Record{}, ErrWithdrawn
	}
	if err != nil {
		return job.Record{}, err
	}
	s.recorder.Record(timeline.JobAccepted, string(stored.ID), "for "+string(stored.FailureDomain))
	s.notifier.Notify(ctx, stored.FailureDomain, []job.ID{stored.ID})
	return withCallerID(stored), nil
}

func (s *Service) newRecord(owner account.Name, submission Submission) (job.Record, error) {
	if len(submission.ID) > maxID || !idPattern.MatchString(string(submission.ID)) {
		return job.Record{}, &InvalidError{Reason: fmt.Sprintf("the ID is not NAME or NAME/NAME of at most %d bytes", maxID)}
	}
	if !submission.Shape.Valid() {
		return job.Record{}, &InvalidError{Reason: shape.ErrShape.Error()}
	}
	if len(submission.Payload) > job.MaxPayload {
		return job.Record{}, &InvalidError{Reason: fmt.Sprintf("the payload is larger than %d bytes", job.MaxPayload)}
	}
	current := s.follower.Current()
	found, routed := current.Route(route.Key{ClientAccount: owner, Kind: submission.Kind})
	if !routed {
		return job.Record{}, &InvalidError{Reason: "there is no route for this kind"}
	}
	p, _ := current.Pool(found.Pool)
	if err := s.checkFit(p, submission.Shape); err != nil {
		return job.Record{}, err
	}
	target, _ := destination.Choose(p, submission.Shape, current.IsIn, s.summary)
	if target == "" {
		// All failure domains of the pool are in state Out. The job waits in the first one.
		target = p.FailureDomains[0]
	}
	return job.Record{
		ID: internalID(owner, submission.ID), ClientAccount: owner, Kind: submission.Kind, Class: found.Class,
		Pool: found.Pool, Shape: submission.Shape, Payload: submission.Payload, FailureDomain: target,
		State: job.Accepted, Attempt: 1, Submitted: time.Now(),
	}, nil
}

func (s *Service) summary(name domain.Name) (scheduler.Summary, bool) {
	known, ok := s.directory.Summary(name)
	return known.Summary, ok
}

// checkFit refuses a job that would fit into no failure domain of its pool even if no other job ran there. It accepts
// every job while this VM knows no endpoints.
func (s *Service) checkFit(p pool.Pool, wanted shape.Shape) error {
	endpoints := s.directory.Endpoints()
	if len(endpoints) == 0 {
		return nil
	}
	for _, name := range p.FailureDomains {
		fitting := 0
		for _, e := range endpoints {
			if e.FailureDomain == name && e.Accelerators >= wanted.Accelerators {
				fitting++
			}
		}
		if fitting >= wanted.Members {
			return nil
		}
	}
	return &InvalidError{Reason: fmt.Sprintf("no failure domain of pool %s has %d workers with %d accelerators",
		p.Name, wanted.Members, wanted.Accelerators)}
}

// Status returns the record of a job that belongs to the client account. It fails with ErrNotFound or a platform error.
func (s *Service) Status(ctx context.Context, owner account.Name, id job.ID) (job.Record, error) {
	record, err := s.book.Get(ctx, internalID(owner, id))
	if errors.Is(err, jobbook.ErrNotFound) {
		return job.Record{}, ErrNotFound
	}
	return withCallerID(record), err
}

// Cancel requests the cancellation of a job that belongs to the client account. It does not change an ended job. It
// fails with ErrNotFound if there is no such job; a submission that was sent before can't take effect any more then.
func (s *Service) Cancel(ctx context.Context, owner account.Name, id job.ID) (job.Record, error) {
	record, err := s.requestCancel(ctx, owner, id)
	if errors.Is(err, jobbook.ErrNotFound) {
		err = s.book.Withdraw(ctx, internalID(owner, id), time.Now())
		if err == nil {
			return job.Record{}, ErrNotFound
		}
	}
	if errors.Is(err, jobbook.ErrExists) {
		// The job was accepted between the two calls.
		record, err = s.requestCancel(ctx, owner, id)
	}
	if err != nil {
		return job.Record{}, err
	}
	s.notifier.Notify(ctx, record.FailureDomain, []job.ID{record.ID})
	return withCallerID(record), nil
}

func (s *Service) requestCancel(ctx context.Context, owner account.Name, id job.ID) (job.Record, error) {
	return s.book.Update(ctx, internalID(owner, id), func(r job.Record) (job.Record, error) {
		if !r.State.Final() {
			r.CancelRequested = true
		}
		return r, nil
	})
}
