package entry

import (
	"context"
	"time"

	"auburnstack/io/membership"
	"auburnstack/io/tables"
)

const (
	// requestFreshFor is how long requests are sent without a proof that the held tables are the accepted ones.
	requestFreshFor = 3 * time.Second
	// refreshLimit bounds one try to bring the tables up to date.
	refreshLimit = 500 * time.Millisecond
	// refreshPause is the time between two tries while nothing can be reached, as in an isolated failure domain.
	refreshPause = 5 * time.Second
)

// freshness brings the tables up to date before requests are sent by them. A VM that wakes from a pause would
// otherwise send requests to a failure domain that was taken out meanwhile.
type freshness struct {
	follower *tables.Follower
	gossiper *membership.Gossiper

	// turn is held during a try. A channel in place of a mutex lets requests give up the wait at their deadlines.
	turn chan struct{}
	// tried is when the last try ended; guarded by turn.
	tried time.Time
}

func newFreshness(follower *tables.Follower, gossiper *membership.Gossiper) *freshness {
	return &freshness{follower: follower, gossiper: gossiper, turn: make(chan struct{}, 1)}
}

// AwaitCurrentTables returns once the tables are proven current, or after one bounded try. In an isolated failure domain
// requests are served on by the tables at hand.
func (f *freshness) AwaitCurrentTables(ctx context.Context) {
	if f.isFresh() {
		return
	}
	select {
	case f.turn <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-f.turn }()
	if f.isFresh() || time.Since(f.tried) < refreshPause {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshLimit)
	defer cancel()
	if f.follower.Refresh(ctx) != nil {
		f.gossiper.Round(ctx)
	}
	f.tried = time.Now()
}

func (f *freshness) isFresh() bool {
	return f.follower.Age(time.Now()) <= requestFreshFor
}
