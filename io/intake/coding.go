package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/answer"
	"auburnstack/core/graph"
	"auburnstack/io/bounded"
)

const (
	// codingPlaces is the number of submissions that are decoded or encoded at a time. The decoder may allocate eight
	// times a body and 192 KiB, so that two bodies of the largest size take 4.4 MB. None of it waits for another machine.
	codingPlaces = 2
	// valueCopies is the number of copies of an encoded job while it is stored: the value, its base64 form, and a buffer
	// of up to twice that size in which the transaction is encoded.
	valueCopies = 4
)

// errNoRoom reports that there is no memory for a submission, or no place within its deadline. Nothing was stored.
var errNoRoom = errors.New("there is no memory for the submission")

// takePlace waits until fewer than codingPlaces submissions are being decoded or encoded. It returns errNoRoom if the
// context ends before; otherwise the caller must call leavePlace.
func (i *Intake) takePlace(ctx context.Context) error {
	select {
	case i.coding <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.WithStack(errNoRoom)
	}
}

func (i *Intake) leavePlace() { <-i.coding }

// decode decodes and validates the job of a submission, and charges the memory that it takes.
func (i *Intake) decode(ctx context.Context, c *call) (*graph.Job, error) {
	if err := i.takePlace(ctx); err != nil {
		return nil, err
	}
	defer i.leavePlace()
	job, err := i.codec.DecodeJob(c.Body)
	if err != nil {
		return nil, err
	}
	job.ID, job.ClientAccount, job.Queue, job.Accepted = c.id, c.account, c.queue.Name, time.Now()
	job.AcceptedBy = c.queue
	if err := job.Validate(); err != nil {
		return nil, err
	}
	if !bounded.ChargeServed(ctx, job.DecodedBytes()) {
		return nil, errors.WithStack(errNoRoom)
	}
	return job, nil
}

// encode encodes a job for the store, and charges the memory that its copies take until it is stored.
func (i *Intake) encode(ctx context.Context, job *graph.Job) ([]byte, error) {
	if err := i.takePlace(ctx); err != nil {
		return nil, err
	}
	defer i.leavePlace()
	value, err := json.Marshal(job)
	if err != nil {
		return nil, err
	}
	if !bounded.ChargeServed(ctx, job.DecodedBytes()+valueCopies*int64(len(value))) {
		return nil, errors.WithStack(errNoRoom)
	}
	return value, nil
}

// answerCodingError returns the answer to a submission that was not decoded or encoded.
func (i *Intake) answerCodingError(err error) answer.Answer {
	if errors.Is(err, errNoRoom) {
		return i.refusal(errNoRoom.Error())
	}
	return answer.Answer{Kind: answer.Invalid, Reason: err.Error()}
}
