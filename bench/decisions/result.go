package main

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"auburnstack/core/route"
	"auburnstack/core/scheduler"
)

// result holds the measurements of one replay. The arrays have an element for each class of jobs.
type result struct {
	completion [3]*hdrhistogram.Histogram
	slowdown   [3]float64
	jobs       [3]int
	decision   *hdrhistogram.Histogram
	// repeatedWork is the work that stopped jobs do again, in accelerator-seconds.
	repeatedWork float64
	reclaims     int
	stops        int
	// free is the sum over the samples of the number of free accelerators.
	// unusable is the sum over the samples of the number of free accelerators that no waiting job can use.
	// largestFree is the sum over the samples of the field LargestFree of the scheduler's summary.
	free, unusable float64
	largestFree    float64
	samples        int
	// outWork is the work, in accelerator-hours, that is done while the second failure domain is taken out, and for the
	// same length of time after outTo.
	outWork float64
	// rackSpread is the sum over the starts of gangs of the ratio of the number of racks that the gang uses to the
	// smallest possible number of racks.
	rackSpread float64
	gangs      int
	// series holds for each sample the share of the accelerators of the sampled failure domain that are free but that no
	// waiting job can use.
	series []float64
}

const maxCompletionMillis = int64(1000 * time.Hour / time.Millisecond)

func newResult() *result {
	r := &result{decision: hdrhistogram.New(1, int64(time.Minute), 3)}
	for class := range r.completion {
		r.completion[class] = hdrhistogram.New(1, maxCompletionMillis, 3)
	}
	return r
}

// completed records the completion time and the slowdown of a job. The slowdown is the ratio of the completion time to
// the run time, where a run time below 10 s counts as 10 s.
func (r *result) completed(p *replayedJob, now time.Duration) {
	took := now - p.at
	_ = r.completion[p.class].RecordValue(took.Milliseconds())
	r.slowdown[p.class] += float64(took) / float64(max(p.runtime, 10*time.Second))
	r.jobs[p.class]++
}

// countOutWork adds to outWork the part of a run that falls into the period that outWork covers.
func (r *result) countOutWork(p workload, j *replayedJob, from, to time.Duration) {
	from, to = max(from, p.outFrom), min(to, p.outTo+(p.outTo-p.outFrom))
	if to > from {
		r.outWork += (to - from).Hours() * float64(j.shape.Total())
	}
}

func (r *result) stopped(a scheduler.Stop, p *replayedJob, repeated time.Duration) {
	r.stops++
	if a.Reason == scheduler.Reclaimed {
		r.reclaims++
	}
	r.repeatedWork += repeated.Seconds() * float64(p.shape.Total())
}

// launched adds to rackSpread, except for jobs with one member, the ratio of the number of racks that a gang uses to
// the smallest possible number of racks.
func (r *result) launched(a scheduler.Launch, p *replayedJob, rack int) {
	if p.shape.Members < 2 {
		return
	}
	racks := map[int]bool{}
	for _, name := range a.Workers {
		var number int
		_, _ = fmt.Sscanf(string(name[len(name)-5:]), "%d", &number)
		racks[number/rack] = true
	}
	r.rackSpread += float64(len(racks)) / float64((p.shape.Members+rack-1)/rack)
	r.gangs++
}

// decided records the time that a decision took, divided by the number of its actions, except for decisions without
// actions.
func (r *result) decided(took time.Duration, actions int) {
	if actions > 0 {
		_ = r.decision.RecordValue(int64(took) / int64(actions))
	}
}

func (r *result) sampled(s scheduler.Summary, unusable int, p workload) {
	r.free += float64(s.Free)
	r.unusable += float64(unusable)
	r.largestFree += float64(s.LargestFree)
	r.samples++
	r.series = append(r.series, float64(unusable)/float64(p.workers*p.accelerators))
}

// mean returns the mean completion time of a class.
func (r *result) mean(class route.Class) time.Duration {
	return time.Duration(r.completion[class].Mean()) * time.Millisecond
}

func (r *result) p99(class route.Class) time.Duration {
	return time.Duration(r.completion[class].ValueAtQuantile(99)) * time.Millisecond
}

func (r *result) meanSlowdown(class route.Class) float64 {
	return r.slowdown[class] / float64(max(r.jobs[class], 1))
}

// unusableShare returns the share of the free accelerators, over all samples, that no waiting job could use.
func (r *result) unusableShare() float64 {
	if r.free == 0 {
		return 0
	}
	return r.unusable / r.free
}
