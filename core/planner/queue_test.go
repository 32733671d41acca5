package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/policy"
)

// queueAt returns a queue with a name, a prefix and a priority.
func queueAt(name, prefix string, priority int) policy.Queue {
	return policy.Queue{Name: name, Host: "h", Prefix: prefix, Service: "assay", Priority: priority}
}

// TestQueueIsKnownByAddress lets a leader take over whose policy gives the queues of jobs other names.
// Guards against jobs that take the settings of another queue, or keep old ones, and are counted for another one.
func TestQueueIsKnownByAddress(t *testing.T) {
	now := time.Unix(1000, 0)
	accepted := queueAt("first", "/first/", 1)
	for name, test := range map[string]struct {
		queues []policy.Queue
		want   int
	}{
		"another name":      {[]policy.Queue{queueAt("fresh", "/first/", 2)}, 2},
		"names exchanged":   {[]policy.Queue{queueAt("first", "/second/", 3), queueAt("second", "/first/", 2)}, 2},
		"its name is taken": {[]policy.Queue{queueAt("first", "/second/", 3)}, 1},
	} {
		p := New(testSettings(), &policy.Policy{Queues: test.queues})
		job := &graph.Job{ID: "job", Queue: accepted.Name, AcceptedBy: accepted, Steps: []graph.Step{{Tasks: 1}}}
		p.Restore(job, graph.Progress{ID: "job", State: graph.Queued}, now)
		queue, _ := p.Queue("job")
		qt.Check(t, queue.Priority, qt.Equals, test.want, qt.Commentf(name))
		qt.Check(t, p.Pending(), qt.DeepEquals, map[string]int{"h/first/": 1}, qt.Commentf(name))
	}
}
