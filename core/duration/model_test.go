package duration

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var key = Key{Queue: "urgent", Account: "x", Shape: "gang"}

// sample draws a duration: the median ratio times a lognormal error, with a heavy tail.
func sample(random *rand.Rand, median, deviation, heavy float64) time.Duration {
	ratio := median * math.Exp(deviation*random.NormFloat64())
	if random.Float64() < heavy {
		ratio *= heavyFactor
	}
	return time.Duration(ratio * float64(time.Second))
}

// TestQuantiles guards against quantiles that do not converge to the true ones, or that are narrower than the evidence.
func TestQuantiles(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	m := New()
	t.Log("samples, 0.1, 0.5, 0.9 of the distribution with median 2, deviation 0.3 and 3 percent heavy")
	samples := 0
	for _, n := range []int{0, 1, 4, 16, 64, 256, 1024} {
		for ; samples < n; samples++ {
			m.Observe(key, time.Second, sample(random, 2, 0.3, 0.03))
		}
		low, median, high := m.Quantile(key, time.Second, 0.1), m.Quantile(key, time.Second, 0.5), m.Quantile(key, time.Second, 0.9)
		t.Logf("%4d  %.2f  %.2f  %.2f", n, low.Seconds(), median.Seconds(), high.Seconds())
		qt.Check(t, low < median && median < high, qt.IsTrue)
		switch {
		case n == 0:
			qt.Check(t, math.Abs(math.Log(median.Seconds())) < 0.1, qt.IsTrue)
			qt.Check(t, high.Seconds() > 2, qt.IsTrue)
		case n >= 64:
			qt.Check(t, math.Abs(math.Log(median.Seconds()/2)) < 0.15, qt.IsTrue)
			qt.Check(t, low.Seconds() > 1 && high.Seconds() < 5, qt.IsTrue)
		}
	}
}

// TestHeavyTailMedian guards against a typical duration that a few long tasks raise, as they raise a mean.
func TestHeavyTailMedian(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	m := New()
	for range 500 {
		m.Observe(key, time.Second, sample(random, 1, 0.9, 0.03))
	}
	median := m.Quantile(key, time.Second, 0.5).Seconds()
	qt.Check(t, math.Abs(math.Log(median)) < 0.2, qt.IsTrue, qt.Commentf("%v", median))
	qt.Check(t, m.Quantile(key, time.Second, 0.99).Seconds() > 5, qt.IsTrue)
}

// TestSharing guards against a new account that starts without the experience of its queue, and against an account that
// differs being judged by the others.
func TestSharing(t *testing.T) {
	m := New()
	for range 100 {
		m.Observe(key, time.Second, 3*time.Second)
	}
	other := Key{Queue: "urgent", Account: "y", Shape: "gang"}
	qt.Check(t, m.Quantile(other, time.Second, 0.5).Seconds() > 2.5, qt.IsTrue)
	for range 50 {
		m.Observe(other, time.Second, time.Second/2)
	}
	qt.Check(t, m.Quantile(other, time.Second, 0.5).Seconds() < 0.7, qt.IsTrue)
	qt.Check(t, m.Quantile(key, time.Second, 0.5).Seconds() > 2.5, qt.IsTrue)
	qt.Check(t, m.Quantile(Key{Queue: "batch"}, time.Second, 0.5).Seconds() < 1.2, qt.IsTrue)
}

// TestOddDurations guards against values at the ends of their range, and growth without limit.
func TestOddDurations(t *testing.T) {
	m := New()
	for _, estimate := range []time.Duration{-1, 0, 1, math.MaxInt64} {
		for _, took := range []time.Duration{-1, 0, 1, math.MaxInt64} {
			m.Observe(key, estimate, took)
		}
	}
	for _, q := range []float64{-1, 0, 0.5, 1, 2, math.NaN()} {
		d := m.Quantile(key, time.Second, q)
		qt.Check(t, d > 0 && d < time.Minute, qt.IsTrue, qt.Commentf("%v: %v", q, d))
	}
	for i := range 2 * MaxKeys {
		m.Observe(Key{Queue: fmt.Sprint(i)}, time.Second, time.Second)
	}
	qt.Check(t, len(m.keys), qt.Equals, MaxKeys)
	qt.Check(t, len(m.queues), qt.Equals, maxQueues)
}

// BenchmarkQuantile measures one quantile.
func BenchmarkQuantile(b *testing.B) {
	m := New()
	m.Observe(key, time.Second, time.Second)
	for b.Loop() {
		m.Quantile(key, time.Second, 0.5)
	}
}
