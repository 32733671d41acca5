package memworker

import (
	"time"

	"auburnstack/core/resources"
)

// Plan tells how the tasks of a job behave.
type Plan struct {
	Work  time.Duration
	Needs resources.Amounts
	// Gang is the number of tasks that work only together; 0 for independent tasks.
	Gang int
	// Fails is the number of runs of each task that fail.
	Fails int
}
