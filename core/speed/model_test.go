package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/endpoint"
)

var start = time.Unix(1000, 0)

// truth is a set of workers with known speeds.
type truth struct {
	random  *rand.Rand
	workers []Worker
	logs    []float64
}

// newTruth returns workers in racks of eight that have the given speeds in random order.
func newTruth(count int, speeds ...float64) *truth {
	t := &truth{random: rand.New(rand.NewPCG(1, 2))}
	for i := range count {
		t.workers = append(t.workers, Worker{
			Name: endpoint.Name(fmt.Sprintf("w%03d", i)), Kind: "a", Rack: endpoint.Rack(fmt.Sprint("r", i/8)),
		})
		t.logs = append(t.logs, math.Log(speeds[i%len(speeds)]))
	}
	t.random.Shuffle(count, func(i, j int) { t.logs[i], t.logs[j] = t.logs[j], t.logs[i] })
	return t
}

// gang returns the rates of a gang of unknown work on random workers, with errors of the given standard deviation.
func (t *truth) gang(size int, deviation float64) []Rate {
	work := t.random.NormFloat64()
	var rates []Rate
	for _, i := range t.random.Perm(len(t.workers))[:size] {
		rates = append(rates, Rate{
			Worker: t.workers[i], Log: t.logs[i] - work + deviation*t.random.NormFloat64(), Deviation: deviation,
		})
	}
	return rates
}

// errors returns the root mean square error of the estimates and the share of the workers whose true speed is more than
// three standard deviations from the estimate.
func (t *truth) errors(m *Model, now time.Time) (rms, outside float64) {
	for i, w := range t.workers {
		e := m.Estimate(w, now)
		distance := e.Mean - t.logs[i]
		rms += distance * distance
		if math.Abs(distance) > 3*e.Deviation {
			outside++
		}
	}
	n := float64(len(t.workers))
	return math.Sqrt(rms / n), outside / n
}

// TestErrorByGangs guards against a model that does not converge to the true speeds, or is too sure of itself, when the
// members of gangs report their progress.
func TestErrorByGangs(t *testing.T) {
	known := newTruth(48, 0.6, 1, 1.6)
	m := New()
	now := start
	// A third of the workers has no observation after one gang for each worker on average.
	bounds := map[int]float64{0: 0.41, 1: 0.3, 2: 0.2, 4: 0.05, 8: 0.04, 16: 0.04}
	t.Log("gangs for each worker, error of the log speed, share outside of three deviations")
	gangs := 0
	for _, perWorker := range []int{0, 1, 2, 4, 8, 16} {
		for ; gangs < perWorker*48/5; gangs++ {
			now = now.Add(100 * time.Millisecond)
			m.Observe(known.gang(5, 0.03), Unknown(), now)
		}
		rms, outside := known.errors(m, now)
		t.Logf("%2d  %.3f  %.3f", perWorker, rms, outside)
		qt.Check(t, rms <= bounds[perWorker], qt.IsTrue, qt.Commentf("%d: %v", perWorker, rms))
		qt.Check(t, outside <= 0.1, qt.IsTrue, qt.Commentf("%d: %v", perWorker, outside))
	}
}

// TestGangsInRacks guards against a false certainty of the level of a rack whose workers are compared only with each
// other, and against levels that a few gangs on several racks don't correct.
func TestGangsInRacks(t *testing.T) {
	known := newTruth(48, 0.6, 1, 1.6)
	m := New()
	for range 300 {
		rack := known.workers[known.random.IntN(48)].Rack
		var rates []Rate
		for _, r := range known.gang(48, 0.03) {
			if r.Worker.Rack == rack && len(rates) < 5 {
				rates = append(rates, r)
			}
		}
		m.Observe(rates, Unknown(), start)
	}
	rms, outside := known.errors(m, start)
	t.Logf("in racks only: %.3f %.3f", rms, outside)
	qt.Check(t, rms < 0.25, qt.IsTrue, qt.Commentf("%v", rms))
	qt.Check(t, outside <= 0.1, qt.IsTrue, qt.Commentf("%v", outside))
	for range 30 {
		m.Observe(known.gang(13, 0.03), Unknown(), start)
	}
	rms, outside = known.errors(m, start)
	t.Logf("with 30 across: %.3f %.3f", rms, outside)
	qt.Check(t, rms < 0.08, qt.IsTrue, qt.Commentf("%v", rms))
	qt.Check(t, outside <= 0.1, qt.IsTrue, qt.Commentf("%v", outside))
}

// TestErrorByTasks guards against independent tasks being ignored, or trusted more than their own differences allow.
func TestErrorByTasks(t *testing.T) {
	const own = 0.21
	known := newTruth(48, 0.6, 1, 1.6)
	m := New()
	bounds := map[int]float64{2: 0.25, 8: 0.15, 32: 0.1}
	t.Log("tasks for each worker, error of the log speed")
	tasks := 0
	for _, perWorker := range []int{2, 8, 32} {
		for tasks < perWorker*48 {
			common := Unknown()
			for _, r := range known.gang(16, own) {
				common = m.Observe([]Rate{r}, common, start)
				tasks++
			}
		}
		rms, outside := known.errors(m, start)
		t.Logf("%2d  %.3f  %.3f", perWorker, rms, outside)
		qt.Check(t, rms <= bounds[perWorker], qt.IsTrue, qt.Commentf("%d: %v", perWorker, rms))
		qt.Check(t, outside <= 0.1, qt.IsTrue, qt.Commentf("%d: %v", perWorker, outside))
	}
}

// TestAlike guards against differences that are learned from noise where workers are alike.
func TestAlike(t *testing.T) {
	known := newTruth(48, 1)
	m := New()
	for range 200 {
		m.Observe(known.gang(5, 0.05), Unknown(), start)
	}
	rms, _ := known.errors(m, start)
	qt.Check(t, rms < 0.04, qt.IsTrue, qt.Commentf("%v", rms))
	for _, w := range known.workers {
		qt.Check(t, m.Estimate(w, start).Reaches(0.85) > 0.8, qt.IsTrue)
	}
}

// TestSingleTask guards against conclusions from one task whose work is unknown.
func TestSingleTask(t *testing.T) {
	m := New()
	w := Worker{Name: "w", Kind: "a", Rack: "r"}
	for range 50 {
		m.Observe([]Rate{{Worker: w, Log: -1.5, Deviation: 0.21}}, Unknown(), start)
	}
	e := m.Estimate(w, start)
	qt.Check(t, math.Abs(e.Mean) < 0.35, qt.IsTrue, qt.Commentf("%+v", e))
	qt.Check(t, e.Deviation > 0.25, qt.IsTrue, qt.Commentf("%+v", e))
	qt.Check(t, m.Estimate(Worker{Name: "x", Kind: "b"}, start).Mean, qt.Equals, 0.0)
}

// TestSlowForSeconds guards against a worker that stays marked as slow after six seconds in which it was slow, and
// against its slowness being charged to the other members of its gangs.
func TestSlowForSeconds(t *testing.T) {
	known := newTruth(16, 0.6, 1, 1, 1)
	m := New()
	now := start
	observe := func(worker int, shift float64, count int) {
		for range count {
			now = now.Add(time.Second)
			rates := known.gang(16, 0.03)
			for i := range rates {
				if rates[i].Worker == known.workers[worker] {
					rates[i].Log += shift
				}
			}
			m.Observe(rates, Unknown(), now)
		}
	}
	observe(0, 0, 20)
	var others [16]Estimate
	for i := range others {
		others[i] = m.Estimate(known.workers[i], now)
	}
	before := others[0]
	observe(0, -math.Log(6), 6)
	during := m.Estimate(known.workers[0], now)
	qt.Check(t, during.Mean < before.Mean-1.5, qt.IsTrue, qt.Commentf("%+v %+v", before, during))
	for i := 1; i < 16; i++ {
		qt.Check(t, math.Abs(m.Estimate(known.workers[i], now).Mean-others[i].Mean) < 0.05, qt.IsTrue)
	}
	idle := m.Estimate(known.workers[0], now.Add(11*time.Second))
	qt.Check(t, math.Abs(idle.Mean-before.Mean) < 0.1, qt.IsTrue, qt.Commentf("%+v %+v", before, idle))
	observe(0, 0, 1)
	after := m.Estimate(known.workers[0], now)
	qt.Check(t, math.Abs(after.Mean-before.Mean) < 0.1, qt.IsTrue, qt.Commentf("%+v %+v", before, after))
}

// TestLastingChange guards against an earlier speed that is assumed again after the worker has been slow for minutes.
func TestLastingChange(t *testing.T) {
	known := newTruth(8, 1)
	m := New()
	now := start
	for i := range 140 {
		if i == 20 {
			known.logs[3] = math.Log(0.5)
		}
		now = now.Add(time.Second)
		m.Observe(known.gang(8, 0.03), Unknown(), now)
	}
	qt.Check(t, m.Estimate(known.workers[3], now.Add(time.Minute)).Mean < -0.5, qt.IsTrue)
}

// TestHeavyTail guards against one task of a step that takes seven times as long making its worker appear slow.
func TestHeavyTail(t *testing.T) {
	known := newTruth(24, 1)
	m := New()
	common := Unknown()
	for range 8 {
		for _, r := range known.gang(24, 0.21) {
			common = m.Observe([]Rate{r}, common, start)
		}
	}
	w := known.workers[5]
	before := m.Estimate(w, start)
	m.Observe([]Rate{{Worker: w, Log: common.Mean - math.Log(7), Deviation: 0.21}}, common, start)
	qt.Check(t, before.Mean-m.Estimate(w, start).Mean < 0.1, qt.IsTrue)
}

// TestOtherKind guards against the use of what was learned about another machine under the same name.
func TestOtherKind(t *testing.T) {
	known := newTruth(8, 0.6, 1.6)
	m := New()
	for range 20 {
		m.Observe(known.gang(5, 0.03), Unknown(), start)
	}
	w := known.workers[0]
	w.Kind = "b"
	e := m.Estimate(w, start)
	qt.Check(t, e, qt.Equals, Estimate{Deviation: priorDeviation})
	m.Observe([]Rate{{Worker: w, Log: 1, Deviation: 0.03}}, Unknown(), start)
	qt.Check(t, m.Estimate(w, start).Samples, qt.Equals, 1)
	m.Forget(w.Name)
	m.Forget("unknown")
	qt.Check(t, m.Len(), qt.Equals, 7)
}

// TestPools guards against workers without observations being taken for average ones in a kind that is slow, and
// against a kind with all speeds giving a false certainty.
func TestPools(t *testing.T) {
	slow, mixed := newTruth(24, 0.6), newTruth(24, 0.6, 1, 1.6)
	for i := range slow.workers {
		slow.workers[i].Kind, slow.workers[i].Name = "slow", "s"+slow.workers[i].Name
	}
	m := New()
	for range 200 {
		rates := mixed.gang(5, 0.03)
		work := mixed.random.NormFloat64()
		for i := range rates {
			rates[i].Log += work
		}
		i := slow.random.IntN(24)
		rates = append(rates, Rate{Worker: slow.workers[i], Deviation: 0.03,
			Log: rates[0].Log - m.trueLog(mixed, rates[0].Worker) + slow.logs[i]})
		m.Observe(rates, Unknown(), start)
	}
	e := m.Estimate(Worker{Name: "new", Kind: "slow", Rack: "other"}, start)
	qt.Check(t, e.Reaches(0.85) < 0.2, qt.IsTrue, qt.Commentf("%+v", e))
	e = m.Estimate(Worker{Name: "new", Kind: "a", Rack: "other"}, start)
	qt.Check(t, e.Deviation > 0.3, qt.IsTrue, qt.Commentf("%+v", e))
}

func (*Model) trueLog(t *truth, w Worker) float64 {
	for i := range t.workers {
		if t.workers[i] == w {
			return t.logs[i]
		}
	}
	return 0
}

// TestDecay guards against estimates that are kept for ever without observations.
func TestDecay(t *testing.T) {
	known := newTruth(8, 0.6, 1.6)
	m := New()
	for range 20 {
		m.Observe(known.gang(5, 0.03), Unknown(), start)
	}
	w := known.workers[0]
	soon, late := m.Estimate(w, start.Add(time.Minute)), m.Estimate(w, start.Add(10*forgetTime))
	// Eight workers that are compared only with each other leave their common level uncertain.
	qt.Check(t, soon.Deviation < 0.2, qt.IsTrue, qt.Commentf("%+v", soon))
	qt.Check(t, late.Deviation > 0.25, qt.IsTrue, qt.Commentf("%+v", late))
}

// TestOddNumbers guards against values that are not finite, and times that go back, spoiling estimates.
func TestOddNumbers(t *testing.T) {
	m := New()
	w := Worker{Name: "w"}
	for _, r := range []Rate{
		{w, math.NaN(), 1}, {w, math.Inf(1), 1}, {w, 1, math.NaN()}, {w, 1, 0}, {w, 1, -1}, {w, 1, math.Inf(1)},
	} {
		m.Observe([]Rate{r}, Unknown(), start)
	}
	qt.Check(t, m.Len(), qt.Equals, 0)
	x := Worker{Name: "x"}
	for i, common := range []Common{{}, {Mean: math.NaN(), Variance: 1}, {Variance: math.NaN()}, {Variance: -1}, Unknown()} {
		m.Observe([]Rate{{w, 1e300, 1e-300}, {x, -1e300, 1e-9}, {w, 0, 1}}, common, start.Add(-time.Duration(i)*time.Hour))
	}
	m.Observe(nil, Unknown(), start)
	for _, worker := range []Worker{w, x} {
		e := m.Estimate(worker, start)
		qt.Check(t, finite(e.Mean) && finite(e.Deviation) && e.Deviation > 0, qt.IsTrue, qt.Commentf("%+v", e))
		qt.Check(t, math.Abs(e.Mean) <= maxLog, qt.IsTrue, qt.Commentf("%+v", e))
	}
}

// TestBound guards against growth without limit as workers come and go under new names.
func TestBound(t *testing.T) {
	m := New()
	for i := range MaxWorkers + 2000 {
		w := Worker{Name: endpoint.Name(fmt.Sprint(i)), Kind: "a", Rack: endpoint.Rack(fmt.Sprint(i / 8))}
		m.Observe([]Rate{{w, 0, 0.1}}, Unknown(), start.Add(time.Duration(i)*time.Millisecond))
	}
	qt.Check(t, m.Len() <= MaxWorkers, qt.IsTrue)
	qt.Check(t, m.Estimate(Worker{Name: "0", Kind: "a"}, start).Samples, qt.Equals, 0)
	qt.Check(t, len(m.racks) <= MaxWorkers/8+1, qt.IsTrue)
}

// BenchmarkObserve measures one observation of a gang of five, with 20,000 known workers.
func BenchmarkObserve(b *testing.B) {
	known := newTruth(MaxWorkers, 0.6, 1, 1.6)
	m := New()
	for i, w := range known.workers {
		m.Observe([]Rate{{w, known.logs[i], 0.1}}, Common{Variance: 0.01}, start)
	}
	gang := known.gang(5, 0.03)
	b.ReportAllocs()
	for b.Loop() {
		m.Observe(gang, Unknown(), start)
	}
}

// BenchmarkEstimate measures one estimate, with 20,000 known workers.
func BenchmarkEstimate(b *testing.B) {
	known := newTruth(MaxWorkers, 0.6, 1, 1.6)
	m := New()
	for i, w := range known.workers {
		m.Observe([]Rate{{w, known.logs[i], 0.1}}, Common{Variance: 0.01}, start)
	}
	i := 0
	for b.Loop() {
		m.Estimate(known.workers[i%MaxWorkers], start)
		i++
	}
}
