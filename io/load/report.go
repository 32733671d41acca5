package load

import (
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"auburnstack/core/account"
	"auburnstack/core/job"
	"auburnstack/core/request"
	"auburnstack/core/route"
	"auburnstack/core/shape"
)

// RequestResult is the result of one request, as its caller saw it.
type RequestResult struct {
	ClientAccount account.Name
	ID            request.ID
	Kind          route.Kind
	// OnceOnly is set for requests that are not idempotent.
	OnceOnly bool
	// Outcome is Answered, NotRun or Unknown.
	Outcome string
	Reason  string `json:",omitempty"`
	// Wrong is set when the answer does not belong to the request.
	Wrong bool `json:",omitempty"`
	Sent  time.Time
	Took  time.Duration
}

// JobResult is the result of one job, as its caller saw it.
type JobResult struct {
	ClientAccount account.Name
	ID            job.ID
	Shape         shape.Shape
	// Accepted is set once a VM has confirmed the submission.
	Accepted bool
	State    job.State
	// Wrong is set when the result does not belong to the job.
	Wrong bool `json:",omitempty"`
	Sent  time.Time
	// Ended is the end time from the job's record.
	Ended time.Time `json:",omitzero"`
	// Class is Gang or Batch.
	Class string
}

// Report holds the results of all callers.
type Report struct {
	Requests []RequestResult
	Jobs     []JobResult
	// Direct holds the results of calls that were sent directly to endpoints.
	Direct []DirectResult
}

// Counts holds the numbers of requests and jobs in a report, by result. Wrong counts requests and jobs together.
type Counts struct {
	Answered, NotRun, Unknown, Wrong, JobsAccepted, JobsFinished int
}

// Count returns the numbers of requests and jobs in the report, by result.
func (r Report) Count() Counts {
	var c Counts
	for _, result := range r.Requests {
		switch result.Outcome {
		case "Answered":
			c.Answered++
		case "NotRun":
			c.NotRun++
		default:
			c.Unknown++
		}
		if result.Wrong {
			c.Wrong++
		}
	}
	for _, result := range r.Jobs {
		if result.Accepted {
			c.JobsAccepted++
		}
		if result.State == job.Finished {
			c.JobsFinished++
		}
		if result.Wrong {
			c.Wrong++
		}
	}
	return c
}

const (
	// maxLatency is the upper bound of the histograms, in microseconds.
	maxLatency = int64(time.Hour / time.Microsecond)
	// significantDigits is the number of significant decimal digits that the histograms keep.
	significantDigits = 3
)

// Write prints the totals and the latency percentiles as a table.
func (r Report) Write(w io.Writer) {
	c := r.Count()
	fmt.Fprintf(w, "requests: %d answered, %d not run, %d unknown, %d wrong\n", c.Answered, c.NotRun, c.Unknown, c.Wrong)
	fmt.Fprintf(w, "jobs: %d accepted, %d finished\n", c.JobsAccepted, c.JobsFinished)
	urgent := latencies(r.Requests, func(result RequestResult) (time.Duration, bool) {
		return result.Took, result.Outcome == "Answered" && !result.OnceOnly
	})
	writeLatency(w, "urgent request", urgent)
	if len(r.Direct) > 0 {
		r.writeDirect(w, urgent)
	}
	for _, class := range []string{"Gang", "Batch"} {
		completion := latencies(r.Jobs, func(result JobResult) (time.Duration, bool) {
			return result.Ended.Sub(result.Sent), result.Class == class && result.State == job.Finished
		})
		writeLatency(w, class+" completion", completion)
	}
}

// latencies returns a histogram, in microseconds, of the durations that the function measure returns together with
// true.
func latencies[Result any](results []Result, measure func(Result) (time.Duration, bool)) *hdrhistogram.Histogram {
	h := hdrhistogram.New(1, maxLatency, significantDigits)
	for _, result := range results {
		if took, counts := measure(result); counts {
			_ = h.RecordValue(took.Microseconds())
		}
	}
	return h
}

// writeDirect prints the latencies of direct calls and the ratio of the latencies of urgent requests to the latencies
// of direct calls.
func (r Report) writeDirect(w io.Writer, urgent *hdrhistogram.Histogram) {
	direct := latencies(r.Direct, func(result DirectResult) (time.Duration, bool) { return result.Took, result.Answered })
	writeLatency(w, "direct call", direct)
	ratio := func(q float64) float64 {
		return float64(urgent.ValueAtQuantile(q)) / float64(max(direct.ValueAtQuantile(q), 1))
	}
	fmt.Fprintf(w, "%-18s p50=%.2f p99=%.2f p99.9=%.2f\n", "urgent / direct", ratio(50), ratio(99), ratio(99.9))
}

func writeLatency(w io.Writer, name string, h *hdrhistogram.Histogram) {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	fmt.Fprintf(w, "%-18s n=%d p50=%s p99=%s p99.9=%s max=%s\n",
		name, h.TotalCount(), at(50), at(99), at(99.9), time.Duration(h.Max())*time.Microsecond)
}
