package store

import (
	"context"
	"time"
)

// stallKey is the key of the context value that WithStallTimeout sets.
type stallKey struct{}

// WithStallTimeout returns a context with which Range and Watch fail with ErrUnanswered when nothing of the answer has
// arrived for the given time, in addition to the time that a watch waits. An answer that keeps arriving may take until
// the context's deadline, as on a slow link.
func WithStallTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, stallKey{}, timeout)
}

// StallTimeout returns the time that WithStallTimeout has set, or the given default.
func StallTimeout(ctx context.Context, otherwise time.Duration) time.Duration {
	if timeout, set := ctx.Value(stallKey{}).(time.Duration); set {
		return timeout
	}
	return otherwise
}
