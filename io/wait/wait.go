// Package wait pauses a goroutine for a duration or until its context ends.
package wait

import (
	"context"
	"time"
)

// For returns after a duration, or when the context ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
