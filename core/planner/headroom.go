package planner

import (
	"sort"
	"time"

	"auburnstack/core/endpoint"
)

const (
	// headroomWindow is the length of the time before now over which the demand of arriving urgent jobs is measured.
	headroomWindow = 6 * time.Second
	// headroomCover is the time for which the headroom, the capacity kept free for urgent jobs, must satisfy urgent
	// demand alone, until preemption has freed more capacity.
	headroomCover = 4500 * time.Millisecond
	// maxHeadroom is the largest share of all accelerators that is kept free.
	maxHeadroom = 0.45
	// minHeadroom is the share of all accelerators that is kept free if the service has a queue of urgent jobs, even if
	// no urgent job arrived recently.
	minHeadroom = 0.1
)

// headroom measures the accelerators that urgent jobs ask for, in order to keep the same number of accelerators free of
// other work. Freeing accelerators by preemption instead would take time and lose some of the stopped work.
type headroom struct {
	arrivals []arrival
}

// arrival is the number of accelerators that an urgent job asked for when it arrived.
type arrival struct {
	at           time.Time
	queue        *queue
	holding      *holding
	accelerators int64
}

// recordArrival records the number of accelerators that an urgent job asks for in the steps that can start at once.
func (h *headroom) recordArrival(job *jobState, now time.Time) {
	var sum int64
	for i := range job.Steps {
		if len(job.Steps[i].After) == 0 {
			sum += job.Steps[i].Needs.Accelerators * int64(job.Steps[i].Tasks)
		}
	}
	h.arrivals = append(h.arrivals, arrival{at: now, queue: job.queue, holding: job.holding, accelerators: sum})
}

// target returns the number of accelerators of a service to keep free, given their total number. Arrivals count for the
// service that their queue uses now, if they are still urgent.
func (h *headroom) target(service string, total int64, now time.Time) int64 {
	for len(h.arrivals) > 0 && now.Sub(h.arrivals[0].at) > headroomWindow {
		h.arrivals = h.arrivals[1:]
	}
	var sum int64
	var limited map[*holding]int64
	for _, a := range h.arrivals {
		if a.queue.Priority != 0 || a.queue.Service != service {
			continue
		}
		if !a.holding.limited {
			sum += a.accelerators
			continue
		}
		if limited == nil {
			limited = map[*holding]int64{}
		}
		limited[a.holding] += a.accelerators
	}
	cover := coverOf(sum)
	for account, sum := range limited {
		// The account can use no more than its limit, however much it asks for.
		cover += min(coverOf(sum), account.bound().Accelerators)
	}
	return max(int64(minHeadroom*float64(total)), min(cover, int64(maxHeadroom*float64(total))))
}

// coverOf returns the number of accelerators that satisfy the demand of headroomWindow for headroomCover.
func coverOf(demand int64) int64 {
	return int64(float64(demand) * headroomCover.Seconds() / headroomWindow.Seconds())
}

// spareCapacity limits how many accelerators of a service may be used by units that are not urgent.
type spareCapacity struct {
	// available is the number of accelerators that units that are not urgent may take now. ceiling is the number of
	// accelerators that these units could take if nothing ran.
	available, ceiling int64
	// free is the number of accelerators that can be reserved, including those kept free, and total the number of all.
	free, total int64
	// keptFree holds the racks that are kept free for urgent units: those with the most free accelerators. Most urgent
	// gangs ask for a single rack, so free accelerators scattered over many racks would not help them.
	keptFree map[endpoint.Rack]bool
}

// allows reports whether a unit may take the given number of accelerators. A unit without accelerators takes none that
// are kept free. A unit that needs more accelerators than ceiling is exempt from this limit, because it could never be
// placed otherwise.
func (s *spareCapacity) allows(wanted int64) bool {
	return wanted == 0 || wanted <= s.available || wanted > s.ceiling
}

// allowsWaiting reports whether a unit that has waited for headroomWait may take the given number of accelerators, kept
// free or not. The users count a job as lost if it has nothing running for 3 s although there is room for twice as much
// and less than half of the service is in use.
func (s *spareCapacity) allowsWaiting(wanted int64) bool {
	return 2*wanted <= s.free && 2*s.free > s.total
}

// hasUrgentQueue reports whether a service has a queue of urgent jobs.
func (p *Planner) hasUrgentQueue(service string) bool {
	for i := range p.policy.Queues {
		if p.policy.Queues[i].Service == service && p.policy.Queues[i].Priority == 0 {
			return true
		}
	}
	return false
}

// computeSpare returns the capacity of a service that is available to units that are not urgent.
func (p *Planner) computeSpare(service string, now time.Time) *spareCapacity {
	var total, free, slow int64
	racks := map[endpoint.Rack]int64{}
	for _, w := range p.workersByName {
		if w.Service != service || !p.accepts(w, now) {
			continue
		}
		total += w.Capacity.Accelerators
		available := w.usableAccelerators()
		free += available
		if p.isSlowForUrgent(w, now) {
			slow += available
			continue
		}
		racks[w.Rack] += available
	}
	if !p.hasUrgentQueue(service) || !p.prefersUrgent() {
		return &spareCapacity{available: free, ceiling: total, free: free, total: total}
	}
	target := p.headroom.target(service, total, now)
	available := free - target
	if slow > 0 {
		// Urgent units don't need the workers that are too slow for them.
		available = max(available, slow)
	}
	return &spareCapacity{
		available: available, ceiling: total - target, free: free, total: total, keptFree: freestRacks(racks, target),
	}
}

// freestRacks returns the racks with the most free accelerators: as many racks as are needed to have the wanted number
// of free accelerators together.
func freestRacks(racks map[endpoint.Rack]int64, wanted int64) map[endpoint.Rack]bool {
	names := make([]endpoint.Rack, 0, len(racks))
	for rack := range racks {
		names = append(names, rack)
	}
	sort.Slice(names, func(i, j int) bool {
		if racks[names[i]] != racks[names[j]] {
			return racks[names[i]] > racks[names[j]]
		}
		return names[i] < names[j]
	})
	kept := map[endpoint.Rack]bool{}
	for _, rack := range names {
		if wanted <= 0 {
			break
		}
		kept[rack] = true
		wanted -= racks[rack]
	}
	return kept
}
