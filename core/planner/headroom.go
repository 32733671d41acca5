package planner

import (
	"sort"
	"time"

	"auburnstack/core/endpoint"
	"auburnstack/core/graph"
)

const (
	// headroomWindow is the time over which urgent demand is measured.
	headroomWindow = 6 * time.Second
	// headroomCover is the time for which free room must cover urgent demand, until room is made by stopping other work.
	headroomCover = 4500 * time.Millisecond
	// maxHeadroom bounds the part of all accelerators that is kept free.
	maxHeadroom = 0.45
	// minHeadroom is the part that is kept free for a queue of urgent jobs even when none have come lately.
	minHeadroom = 0.1
)

// headroom measures how many accelerators urgent jobs ask for, so that as many can be kept free of other work. Stopping
// work takes time and throws some of it away.
type headroom struct {
	arrivals []arrival
}

// arrival is an urgent job's demand of accelerators.
type arrival struct {
	at           time.Time
	accelerators int64
}

func (h *headroom) recordArrival(job *graph.Job, now time.Time) {
	var sum int64
	for i := range job.Steps {
		if len(job.Steps[i].After) == 0 {
			sum += job.Steps[i].Needs.Accelerators * int64(job.Steps[i].Tasks)
		}
	}
	h.arrivals = append(h.arrivals, arrival{at: now, accelerators: sum})
}

// target returns the accelerators to be kept free out of a total.
func (h *headroom) target(total int64, now time.Time) int64 {
	for len(h.arrivals) > 0 && now.Sub(h.arrivals[0].at) > headroomWindow {
		h.arrivals = h.arrivals[1:]
	}
	var sum int64
	for _, a := range h.arrivals {
		sum += a.accelerators
	}
	cover := int64(float64(sum) * headroomCover.Seconds() / headroomWindow.Seconds())
	return max(int64(minHeadroom*float64(total)), min(cover, int64(maxHeadroom*float64(total))))
}

// spareCapacity is what units that are not urgent may take of a service's accelerators.
type spareCapacity struct {
	// available is what they may take now, ceiling what they could take if nothing ran.
	available, ceiling int64
	// headroomRacks lists the racks in which the headroom lies: those with the most free accelerators. Urgent gangs mostly ask for
	// one rack, so free accelerators in many racks would not serve them.
	headroomRacks map[endpoint.Rack]bool
}

// allows tells whether a number of accelerators may be taken. What is more than could ever be left may take all.
func (s *spareCapacity) allows(wanted int64) bool {
	return wanted <= s.available || wanted > s.ceiling
}

// hasUrgentQueue tells whether a service has a queue of urgent jobs.
func (p *Planner) hasUrgentQueue(service string) bool {
	for i := range p.policy.Queues {
		if p.policy.Queues[i].Service == service && p.policy.Queues[i].Priority == 0 {
			return true
		}
	}
	return false
}

// computeSpare returns what units that are not urgent may take now.
func (p *Planner) computeSpare(service string, now time.Time) *spareCapacity {
	var total, free int64
	racks := map[endpoint.Rack]int64{}
	for _, w := range p.workersByName {
		if w.Service != service || !p.accepts(w, now) {
			continue
		}
		total += w.Capacity.Accelerators
		available := max(w.free().Accelerators, 0)
		free += available
		racks[w.Rack] += available
	}
	if !p.hasUrgentQueue(service) || !p.prefersUrgent() {
		return &spareCapacity{available: free, ceiling: total}
	}
	target := p.headroom.target(total, now)
	return &spareCapacity{available: free - target, ceiling: total - target, headroomRacks: racksWithMostFree(racks, target)}
}

// racksWithMostFree returns the racks with the most free accelerators that together have at least a number of them.
func racksWithMostFree(racks map[endpoint.Rack]int64, wanted int64) map[endpoint.Rack]bool {
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
