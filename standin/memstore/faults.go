package memstore

import (
	"time"
)

// Faults are what goes wrong with the calls of one client, or of all.
type Faults struct {
	// Down makes calls end without an answer, Refuse with a refusal.
	Down, Refuse bool
	// Slow is added to the time of each call.
	Slow time.Duration
	// PerItem is the time that each item of a range takes, as on a slow link.
	PerItem time.Duration
	// LoseReplies is the share of writes that are done without an answer, LateWrites the share of writes that are done
	// up to three seconds later without an answer.
	LoseReplies, LateWrites float64
}
