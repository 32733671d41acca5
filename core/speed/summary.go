package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
)

const (
	// summaryVersion is the version of the layout of summaries. Other versions are not read.
	summaryVersion = 1
	// MaxSummary bounds the number of workers in a summary. A summary of 2,000 workers takes about 0.13 s on the slowest
	// links of 10 Mbit/s.
	MaxSummary = 2000
	// perUnit is the number of units in which a summary holds a log speed of 1.
	perUnit = 1000
	// maxRestoredAge bounds the age that a summary may have according to the clocks of two VMs.
	maxRestoredAge = 24 * time.Hour
	// restoredVariance is added to each estimate that is read, because the worker may have changed since.
	restoredVariance = 0.05 * 0.05
)

// ErrSummary reports a summary that has another version or values out of range.
var ErrSummary = errors.New("the summary of speeds is invalid")

// Summary holds the estimates of the workers observed last, for the next leader.
type Summary struct {
	Version int
	// At is the time of the summary.
	At      time.Time
	Kinds   []string
	Racks   []endpoint.Rack
	Workers []WorkerSummary
}

// WorkerSummary is the estimate of one worker. Mean, Deviation and Shared are in thousandths.
type WorkerSummary struct {
	Name endpoint.Name `json:"n"`
	// Kind and Rack are indexes in the lists of the summary.
	Kind      int `json:"k"`
	Rack      int `json:"r"`
	Mean      int `json:"m"`
	Deviation int `json:"d"`
	// Shared is the standard deviation of the part of the error that compared workers share.
	Shared  int `json:"s"`
	Samples int `json:"c"`
	// Age is the number of seconds since the last observation.
	Age int `json:"a"`
}

// Summary returns the estimates of the given number of workers, but at most MaxSummary, those observed last.
func (m *Model) Summary(limit int, now time.Time) Summary {
	s := Summary{Version: summaryVersion, At: now}
	kinds, racks := map[string]int{}, map[endpoint.Rack]int{}
	list := m.byAge()
	list = list[max(len(list)-min(limit, MaxSummary), 0):]
	slices.SortFunc(list, func(a, b *state) int { return cmp.Compare(a.worker.Name, b.worker.Name) })
	for _, w := range list {
		copied := *w
		copied.advance(m.prior(w.worker), now)
		s.Workers = append(s.Workers, WorkerSummary{
			Name: w.worker.Name, Kind: indexOf(&s.Kinds, kinds, w.worker.Kind), Rack: indexOf(&s.Racks, racks, w.worker.Rack),
			Mean: int(math.Round(copied.mean * perUnit)), Deviation: int(math.Ceil(math.Sqrt(copied.variance) * perUnit)),
			Shared: int(math.Sqrt(copied.shared) * perUnit), Samples: copied.samples,
			Age: int(max(now.Sub(copied.observedAt), 0) / time.Second),
		})
	}
	return s
}

// indexOf returns the index of a text in a list and adds the text if it is missing.
func indexOf[T comparable](list *[]T, known map[T]int, text T) int {
	i, found := known[text]
	if !found {
		i = len(*list)
		known[text] = i
		*list = append(*list, text)
	}
	return i
}

// Restore returns the model of a summary, or ErrSummary.
func Restore(s Summary, now time.Time) (*Model, error) {
	if s.Version != summaryVersion {
		return nil, errors.WithMessagef(ErrSummary, "version %d", s.Version)
	}
	if len(s.Workers) > MaxSummary {
		return nil, errors.WithMessagef(ErrSummary, "%d workers", len(s.Workers))
	}
	m := New()
	passed := min(max(now.Sub(s.At), 0), maxRestoredAge)
	for i := range s.Workers {
		w := &s.Workers[i]
		if !w.valid(&s) {
			return nil, errors.WithMessagef(ErrSummary, "worker %d", i)
		}
		deviation, shared := float64(w.Deviation)/perUnit, float64(w.Shared)/perUnit
		state := &state{
			worker: Worker{Name: w.Name, Kind: s.Kinds[w.Kind], Rack: s.Racks[w.Rack]}, mean: float64(w.Mean) / perUnit,
			variance: deviation*deviation + restoredVariance, shared: shared * shared, samples: w.Samples,
			updatedAt: now.Add(-passed), observedAt: now.Add(-passed - time.Duration(w.Age)*time.Second),
		}
		m.Forget(w.Name)
		m.workers[w.Name] = state
		m.addToPools(state, 1)
	}
	return m, nil
}

// valid reports whether all values of a worker are in range.
func (w *WorkerSummary) valid(s *Summary) bool {
	const maxDeviation, maxSamples, maxAge = 10 * perUnit, 1 << 40, 1 << 31
	return w.Name != "" && w.Kind >= 0 && w.Kind < len(s.Kinds) && w.Rack >= 0 && w.Rack < len(s.Racks) &&
		w.Mean >= -maxLog*perUnit && w.Mean <= maxLog*perUnit && w.Deviation > 0 && w.Deviation <= maxDeviation &&
		w.Shared >= 0 && w.Shared <= w.Deviation && w.Samples > 0 && w.Samples <= maxSamples && w.Age >= 0 && w.Age <= maxAge
}
