package memworker

import (
	"time"

	"auburnstack/core/graph"
	"auburnstack/core/resources"
)

// LimitGrace is the time for which starts may still use a limit after a lower one has replaced it. All VMs know a new
// configuration after that time.
const LimitGrace = 3 * time.Second

// earlierLimit is a limit that was in force until the time until.
type earlierLimit struct {
	limit resources.Amounts
	until time.Time
}

// SetLimit sets the largest amounts that all runs may have together, as all jobs of a fleet belong to one account. 0
// means no limit for that resource. The runs go on, also those above the limit.
func (f *Fleet) SetLimit(limit resources.Amounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.earlierLimits = append(f.earlierLimits, earlierLimit{limit: f.limit, until: time.Now()})
	f.limit = limit
}

// allowedLimit returns the limit that starts must respect now: of each resource the highest limit of the last
// LimitGrace, 0 if one of them was none. That bound does not hold for late orders, which may use any earlier limit.
func (f *Fleet) allowedLimit() resources.Amounts {
	allowed := f.limit
	for _, earlier := range f.earlierLimits {
		if f.orderNote == "" && time.Since(earlier.until) > LimitGrace {
			continue
		}
		allowed = resources.Amounts{
			CPU:          higherLimit(allowed.CPU, earlier.limit.CPU),
			Memory:       higherLimit(allowed.Memory, earlier.limit.Memory),
			Accelerators: higherLimit(allowed.Accelerators, earlier.limit.Accelerators),
		}
	}
	return allowed
}

func higherLimit(a, b int64) int64 {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// checkLimit records a violation if the start of a task raises the amounts of all runs above the limit.
func (f *Fleet) checkLimit(task graph.TaskID) {
	limit := f.allowedLimit()
	if limit == (resources.Amounts{}) {
		return
	}
	needs := f.plans[task.Job].Needs
	sum := needs
	for _, w := range f.workers {
		sum = sum.Add(w.used())
	}
	if exceeds(needs.CPU, sum.CPU, limit.CPU) || exceeds(needs.Memory, sum.Memory, limit.Memory) ||
		exceeds(needs.Accelerators, sum.Accelerators, limit.Accelerators) {
		f.recordViolation("%s starts above the limit of its account: %+v of %+v", task, sum, limit)
	}
}

// exceeds reports whether a start with the given need has raised the sum of a resource above a limit; 0 means no limit.
func exceeds(need, sum, limit int64) bool {
	return need > 0 && limit > 0 && sum > limit
}

// UsesHalf reports whether all runs together use at least half of the limit in some resource. The users count no job of
// such an account as lost.
func (f *Fleet) UsesHalf() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum resources.Amounts
	for _, w := range f.workers {
		sum = sum.Add(w.used())
	}
	half := func(used, limit int64) bool { return limit > 0 && 2*used >= limit }
	return half(sum.CPU, f.limit.CPU) || half(sum.Memory, f.limit.Memory) ||
		half(sum.Accelerators, f.limit.Accelerators)
}
