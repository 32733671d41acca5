package site

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/standin/memworker"
)

// TestRejectedRecordHoldsUpNoOther lets the store reject the progress of one job for good. The job ends as failed, and
// all others run. It guards against a record that is sent again for ever, with all other records behind it: nothing
// started any more on the site.
func TestRejectedRecordHoldsUpNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 3, 8)
		defer f.close()
		// The VMs know of a higher limit than the store has.
		f.store.SetValueLimit(2 << 10)
		time.Sleep(2 * time.Second)
		large := f.submit(batchQueue, oneStep(60, false, 0), memworker.Plan{Work: 2 * time.Second})
		var others []graph.ID
		for range 4 {
			others = append(others, f.submit(batchQueue, oneStep(2, false, 1), memworker.Plan{Work: 2 * time.Second}))
		}
		qt.Check(t, f.awaitAll(batchQueue, others, graph.Complete, 10*time.Second), qt.HasLen, 0)
		qt.Check(t, f.awaitAll(batchQueue, []graph.ID{large}, graph.Failed, 10*time.Second), qt.HasLen, 0)
		rejections := f.store.Rejections()
		time.Sleep(10 * time.Second)
		qt.Check(t, f.store.Rejections(), qt.Equals, rejections, qt.Commentf("sent again"))
	})
}
