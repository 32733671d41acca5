// Package answer describes what callers are told.
package answer

import (
	"time"

	"auburnstack/core/graph"
)

// Kind tells what became of a caller's request.
type Kind int

// The kinds of answers.
const (
	// Done confirms a submission or a cancellation: it is stored.
	Done Kind = iota
	// State shows the state of a job.
	State
	// Pending shows how many jobs of a queue wait.
	Pending
	// NoQueue reports a path that no queue has.
	NoQueue
	// NoKey reports a key that belongs to no client account.
	NoKey
	// Forbidden reports a job of another client account.
	Forbidden
	// NoJob reports a job that does not exist.
	NoJob
	// Invalid reports a request that can't be read.
	Invalid
	// TooLarge reports a body over the limit.
	TooLarge
	// Refused reports a request that had no effect and will have none.
	Refused
	// Overloaded reports a refusal since too much waits already.
	Overloaded
	// Unknown reports a request that may have had an effect: the caller should send it again.
	Unknown
)

// Answer is what a caller is told.
type Answer struct {
	Kind Kind
	// State is set for the kind State.
	State graph.State
	// Pending is set for the kind Pending.
	Pending int
	// RetryAfter is when a refused caller should come back; 0 to leave it open.
	RetryAfter time.Duration
	// Reason explains the answer in logs and to callers.
	Reason string
}

// String names the kind.
func (k Kind) String() string {
	names := [...]string{
		"done", "state", "pending", "no queue", "no key", "forbidden", "no job", "invalid", "too large",
		"refused", "overloaded", "unknown",
	}
	if k < 0 || int(k) >= len(names) {
		return "invalid kind"
	}
	return names[k]
}
