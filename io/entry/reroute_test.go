package entry_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/job"
	"auburnstack/core/shape"
	"auburnstack/io/jobs"
)

// northPools has a pool in each failure domain for the account Auditors. routesText uses the one in North, which is
// guaranteed nothing.
const northPools = `
[Pool.Desks]
ClientAccount = Desks
Shape = 2x8
Count = 0
FailureDomains = North, East

[Pool.Auditors]
ClientAccount = Auditors
Shape = 1x4
Count = 0
FailureDomains = North

[Pool.Spare]
ClientAccount = Auditors
Shape = 1x4
Count = 1
FailureDomains = East
`

// TestReroutedJob guards against a job that waits for a full failure domain after its route has got a pool in an idle
// one, because the job keeps the pool of its acceptance.
func TestReroutedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1)
		defer f.close()
		s := &session{fleet: f}
		s.put(0, northPools)
		time.Sleep(workStarts)
		submit := func(id job.ID, members, accelerators int, duration time.Duration) job.ID {
			_, err := s.nextNode().Jobs.Submit(context.Background(), "Auditors", jobs.Submission{
				ID: id, Kind: "Sample", Shape: shape.Shape{Members: members, Accelerators: accelerators},
				Payload: fmt.Appendf(nil, `{"Duration":%d}`, duration),
			})
			qt.Assert(t, err, qt.IsNil)
			return "Auditors:" + id
		}
		blocking := submit("blocking", workersPerRack*racksPerDomain, 8, 10*time.Minute)
		time.Sleep(startBound)
		waits := submit("waits", 1, 4, time.Second)
		time.Sleep(startBound)
		_, started := f.started()[blocking]
		qt.Assert(t, started, qt.IsTrue)
		_, started = f.started()[waits]
		qt.Assert(t, started, qt.IsFalse)

		routes := strings.Replace(routesText, "Pool = Auditors", "Pool = Spare", 1)
		qt.Assert(t, s.putTables(1, routes, northPools), qt.IsTrue)
		time.Sleep(startBound)
		_, started = f.started()[waits]
		qt.Check(t, started, qt.IsTrue)
	})
}
