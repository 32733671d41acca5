package jobbook

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/job"
)

const (
	// withdrawnRetention is the time for which a withdrawn job can't be submitted. It is longer than any submission that
	// was sent before the withdrawal can be on its way: VMs give up a commit after commitTimeout and callers after 30 s,
	// and the VMs' clocks differ by less than the rest.
	withdrawnRetention = 5 * time.Minute
	// MaxWithdrawn is the largest number of withdrawn jobs in one page. They take less than 64 kB of it.
	MaxWithdrawn = 256
)

// Errors about withdrawn jobs, which were canceled before they were accepted.
var (
	// ErrWithdrawn reports a submission of a job that was withdrawn.
	ErrWithdrawn = errors.New("the job was canceled before it was accepted")
	// ErrExists reports that a job can't be withdrawn, because it has a record.
	ErrExists = errors.New("the job was accepted")
	// ErrWithdrawalsFull reports that too many other jobs were withdrawn lately. The job may still be submitted.
	ErrWithdrawalsFull = errors.New("too many jobs without a record were canceled")
)

// Withdraw makes later submissions of a job without a record fail, also those that were sent before. It fails with
// ErrExists, ErrWithdrawalsFull or page.ErrUnknownEffect.
func (b *Book) Withdraw(ctx context.Context, id job.ID, now time.Time) error {
	return b.commit(ctx, id, func(c *contents) error {
		if _, exists := c.Jobs[id]; exists {
			return ErrExists
		}
		kept := map[job.ID]time.Time{id: now}
		for other, at := range c.Withdrawn {
			if other != id && isWithdrawn(at, now) {
				kept[other] = at
			}
		}
		if len(kept) > MaxWithdrawn {
			return ErrWithdrawalsFull
		}
		c.Withdrawn = kept
		return nil
	})
}

// isWithdrawn reports whether a withdrawal at the given time still holds.
func isWithdrawn(at, now time.Time) bool {
	return now.Sub(at) < withdrawnRetention
}
