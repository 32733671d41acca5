// Package answer describes the answers that callers get to their requests.
package answer

import (
	"time"

	"auburnstack/core/graph"
)

// Kind classifies an answer by what became of the request.
type Kind int

// The kinds of answers.
const (
	// Done confirms that a submission or a cancellation is stored.
	Done Kind = iota
	// State reports the state of a job.
	State
	// Pending reports the number of waiting jobs in a queue.
	Pending
	// NoQueue reports that no queue has the path of the request.
	NoQueue
	// NoKey reports that the API key of the request belongs to no client account.
	NoKey
	// Forbidden reports that the job belongs to another client account.
	Forbidden
	// NoJob reports that the job does not exist.
	NoJob
	// Invalid reports that the request cannot be parsed or that another job has its ID.
	Invalid
	// TooLarge reports that the body of the request exceeds the maximum size.
	TooLarge
	// Refused reports that the request had no effect and will have none.
	Refused
	// Overloaded reports that the request was refused because too many jobs wait already.
	Overloaded
	// Unknown reports that the request may or may not have had an effect; the caller should send it again.
	Unknown
)

// DeniesEffect reports whether an answer of this kind says that a submission or cancellation had no effect and will
// have none. NoJob is not among them: it confirms a cancellation.
func (k Kind) DeniesEffect() bool {
	switch k {
	case NoQueue, NoKey, Forbidden, Invalid, TooLarge, Refused, Overloaded:
		return true
	default:
		return false
	}
}

// Answer holds what a caller is told in reply to a request.
type Answer struct {
	Kind Kind
	// State is the state of the job; set only for the kind State.
	State graph.State
	// Pending is the number of waiting jobs; set only for the kind Pending.
	Pending int
	// RetryAfter is the time after which a caller should repeat a refused request; 0 means that no time is given.
	RetryAfter time.Duration
	// Reason explains the answer in logs and to callers.
	Reason string
}

// String returns the name of the kind.
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
