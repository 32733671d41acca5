package entry

import (
	"context"
	"time"

	"auburnstack/io/membership"
	"auburnstack/io/tables"
)

const (
	// maxTablesAge is the maximum age of the last proof that this VM holds the accepted revision of the tables. If the
	// proof is older, requests first wait for a refresh.
	maxTablesAge = 3 * time.Second
	// refreshTimeout is the timeout of one attempt to bring the tables up to date.
	refreshTimeout = 500 * time.Millisecond
	// refreshRetryInterval is the minimum time between two attempts to bring the tables up to date while neither the
	// store nor a peer can be reached, as in an isolated failure domain.
	refreshRetryInterval = 5 * time.Second
)

// tablesRefresher implements dispatch.TablesRefresher: it brings the tables up to date before they are used to route
// requests. A VM that resumes after a pause would otherwise send requests to a failure domain that was taken out by the
// operators during the pause.
type tablesRefresher struct {
	follower *tables.Follower
	gossiper *membership.Gossiper

	// semaphore is held during an attempt to refresh the tables. It is a channel and not a mutex, so that requests can
	// stop waiting for it at their deadlines.
	semaphore chan struct{}
	// lastAttempt is the time at which the last attempt ended; guarded by semaphore.
	lastAttempt time.Time
}

func newTablesRefresher(follower *tables.Follower, gossiper *membership.Gossiper) *tablesRefresher {
	return &tablesRefresher{follower: follower, gossiper: gossiper, semaphore: make(chan struct{}, 1)}
}

// AwaitCurrentTables returns once the tables are proven current, after one attempt of at most refreshTimeout, or when
// ctx is done. It makes no attempt within refreshRetryInterval of the last one, so that an isolated failure domain
// continues to serve requests by the tables that it holds.
func (f *tablesRefresher) AwaitCurrentTables(ctx context.Context) {
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

func (f *tablesRefresher) isFresh() bool {
	return f.follower.Age(time.Now()) <= maxTablesAge
}
