package memworker

import (
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
)

// ShrinkGrace is the time for which starts may still use the capacity that a worker had before the capacity shrank.
const ShrinkGrace = ContactTime + RegistrationInterval

// earlierCapacity is a capacity that a worker had until the time until.
type earlierCapacity struct {
	capacity resources.Amounts
	until    time.Time
}

// SetCapacity changes the capacity of a worker. Its runs go on, also those that no longer fit.
func (f *Fleet) SetCapacity(name endpoint.Name, capacity resources.Amounts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[name]
	w.earlierCapacities = append(w.earlierCapacities, earlierCapacity{capacity: w.info.Capacity, until: time.Now()})
	w.info.Capacity = capacity
}

// allowedCapacity returns the capacity that starts may use now: of each resource the largest amount that the worker had
// in the last ShrinkGrace. That bound does not hold for late orders, which may use what the worker ever had.
func (w *simulatedWorker) allowedCapacity() resources.Amounts {
	allowed := w.info.Capacity
	for _, earlier := range w.earlierCapacities {
		if w.fleet.orderNote == "" && time.Since(earlier.until) > ShrinkGrace {
			continue
		}
		allowed = resources.Amounts{
			CPU:          max(allowed.CPU, earlier.capacity.CPU),
			Memory:       max(allowed.Memory, earlier.capacity.Memory),
			Accelerators: max(allowed.Accelerators, earlier.capacity.Accelerators),
		}
	}
	return allowed
}
