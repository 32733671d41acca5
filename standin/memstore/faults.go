package memstore

import (
	"time"
)

// Faults configures the simulated faults in the calls of one client, or of all clients.
type Faults struct {
	// Down leaves calls unanswered.
	// Refuse rejects calls without carrying them out.
	Down, Refuse bool
	// Slow is added to the latency of each call.
	Slow time.Duration
	// LateReplies is the time that the answer to a call takes to arrive after the call was carried out.
	LateReplies time.Duration
	// BytesPerSecond is the bandwidth at which the values in the answers to ranges and watches arrive; 0 means no limit.
	BytesPerSecond int
	// PerItem is the transfer time of each item of a range, as on a slow link.
	PerItem time.Duration
	// WatchBytes is the maximum size of all values in one answer to a watch; a larger answer fails with
	// store.ErrTooLarge. Zero means no limit.
	WatchBytes int
	// WatchesUnanswered leaves watches unanswered. Other calls are answered.
	WatchesUnanswered bool
	// LoseReplies is the share of writes that are carried out but get no reply.
	// LateWrites is the share of writes that are carried out up to three seconds late and get no reply.
	LoseReplies, LateWrites float64
}
