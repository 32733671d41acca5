package memworker

import (
	"time"

	"auburnstack/core/graph"
)

// Departure is the end of a worker that has left for good, with the tasks that it ran.
type Departure struct {
	At    time.Time
	Tasks []graph.TaskID
}
