package entry

import (
	"context"
	"time"

	"auburnstack/io/membership"
	"auburnstack/io/tables"
)

const (
	// maxTablesAge is how long requests are sent without a proof that the held tables are the accepted ones.
	maxTablesAge = 3 * time.Second
	// refreshTimeout bounds one try to bring the tables up to date.
	refreshTimeout = 500 * time.Millisecond
	// refreshRetryInterval is the time between two tries while nothing can be reached, as in an isolated failure domain.
	refreshRetryInterval = 5 * time.Second
)

// freshness brings the tables up to date before requests are sent by them. A VM that wakes from a pause would
// otherwise send requests to a failure domain that was taken out meanwhile.
type freshness struct {
	follower *tables.Follower
	gossiper *membership.Gossiper

	// semaphore is held during a try. A channel in place of a mutex lets requests give up the wait at their deadlines.
	semaphore chan struct{}
	// lastAttempt is when the last try ended; guarded by turn.
	lastAttempt time.Time
}

func newFreshness(follower *tables.Follower, gossiper *membership.Gossiper) *freshness {
	return &freshness{follower: follower, gossiper: gossiper, semaphore: make(chan struct{}, 1)}
}

// AwaitFresh returns once the tables are proven current, or after one bounded try. In an isolated failure domain
// requests are served on by the tables at hand.
func (f *freshness) AwaitFresh(ctx context.Context) {
	if f.isFresh() {
		return
	}
	select {
	case f.semaphore <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-f.semaphore }()
	if f.isFresh() || time.Since(f.lastAttempt) < refreshRetryInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if f.follower.Refresh(ctx) != nil {
		f.gossiper.Round(ctx)
	}
	f.lastAttempt = time.Now()
}

func (f *freshness) isFresh() bool {
	return f.follower.Age(time.Now()) <= maxTablesAge
}
