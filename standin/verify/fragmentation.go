package verify

import (
	"fmt"
	"io"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
)

// sampleInterval is the time between two samples of the free accelerators.
const sampleInterval = 250 * time.Millisecond

// Fragmentation describes how far the free accelerators were spread over partly used workers while tasks ran.
type Fragmentation struct {
	Samples int
	// Stranded is the share of the free accelerators that are on partly used workers, averaged over all samples. A gang
	// member that needs a whole worker does not fit there.
	Stranded float64
	// MinFreeInRack is the minimum over all samples of the number of wholly free workers in the rack that has the most
	// wholly free workers.
	MinFreeInRack int
	// MeanFreeInRack is the mean over all samples of the number of wholly free workers in the rack that has the most
	// wholly free workers.
	MeanFreeInRack float64
}

// MeasureFragmentation samples the use of accelerators in the journal of the workers from the start of the first task
// to the end of the last task.
func MeasureFragmentation(e Evidence) Fragmentation {
	var f Fragmentation
	first, last := e.span()
	for at := first; at.Before(last); at = at.Add(sampleInterval) {
		used := e.usedAt(at)
		stranded, inRack := e.measureFree(used)
		if f.Samples == 0 || inRack < f.MinFreeInRack {
			f.MinFreeInRack = inRack
		}
		f.Samples++
		f.Stranded += (stranded - f.Stranded) / float64(f.Samples)
		f.MeanFreeInRack += (float64(inRack) - f.MeanFreeInRack) / float64(f.Samples)
	}
	return f
}

// Write prints the measurements on one line.
func (f Fragmentation) Write(w io.Writer) {
	fmt.Fprintf(w, "fragmentation: %.1f%% of free accelerators on partly used workers, "+
		"largest gang of whole workers in one rack: mean %.1f, least %d (%d looks)\n",
		100*f.Stranded, f.MeanFreeInRack, f.MinFreeInRack, f.Samples)
}

// span returns the start of the first task and the end of the last task.
func (e Evidence) span() (first, last time.Time) {
	for _, entry := range e.Journal {
		if entry.Request != "" {
			continue
		}
		if first.IsZero() || entry.Began.Before(first) {
			first = entry.Began
		}
		if entry.Ended.After(last) {
			last = entry.Ended
		}
	}
	return first, last
}

// usedAt returns the number of accelerators that tasks held on each worker at a given time.
func (e Evidence) usedAt(at time.Time) map[endpoint.Name]int {
	used := map[endpoint.Name]int{}
	for _, entry := range e.Journal {
		running := entry.Request == "" && !entry.Began.After(at) && (entry.Ended.IsZero() || entry.Ended.After(at))
		if running {
			used[entry.Worker] += entry.Accelerators
		}
	}
	return used
}

// measureFree returns the share of the free accelerators that are on partly used workers, and the largest number of
// wholly free workers in one rack.
func (e Evidence) measureFree(used map[endpoint.Name]int) (stranded float64, inRack int) {
	free, partly := 0, 0
	whole := map[rackKey]int{}
	for _, w := range e.Endpoints {
		left := max(w.Accelerators-used[w.Name], 0)
		free += left
		if left < w.Accelerators {
			partly += left
			continue
		}
		rack := rackKey{failureDomain: w.FailureDomain, rack: w.Rack}
		whole[rack]++
		inRack = max(inRack, whole[rack])
	}
	if free == 0 {
		return 0, inRack
	}
	return float64(partly) / float64(free), inRack
}

// rackKey identifies a rack by its failure domain and its name.
type rackKey struct {
	failureDomain domain.Name
	rack          endpoint.Rack
}
