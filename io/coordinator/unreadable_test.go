package coordinator

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/graph"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/io/election"
	"auburnstack/io/policywatch"
	"auburnstack/io/store"
	"auburnstack/standin/memstore"
)

// TestUnreadableProgress guards against a leader that resigns, and all its successors after it, because a job whose record
// of progress can't be read is planned anew and the new record conflicts with the stored one.
func TestUnreadableProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := memstore.New(1)
		for _, id := range []graph.ID{"bad", "sound"} {
			job, err := json.Marshal(&graph.Job{ID: id, Queue: "long", Accepted: time.Now(), Steps: []graph.Step{
				{Tasks: 1, Needs: resources.Amounts{Accelerators: 1}, Label: "a", AbsenceLimit: -1},
			}})
			qt.Assert(t, err, qt.IsNil)
			service.Put(JobKey(id), job)
		}
		service.Put(ProgressKey("bad"), []byte(`{"Units":[`))
		c := newCapacityTerm(t)
		defer c.close()
		c.config.Store = service.Client()
		c.config.Policy = func() *policywatch.Snapshot {
			return &policywatch.Snapshot{Policy: &policy.Policy{Queues: []policy.Queue{{Name: "long", Service: "assay"}}}}
		}
		service.Put(election.Key, []byte("{}"))
		item, err := service.Client().Get(context.Background(), election.Key)
		qt.Assert(t, err, qt.IsNil)
		c.role.Resign()
		c.role = election.NewRole(context.Background(), item.Revision, 1, func() time.Duration { return 0 }, time.Hour)
		_, err = c.loadRecords(context.Background())
		qt.Assert(t, err, qt.IsNil)
		c.register()
		c.planner.Tick()
		c.planner.Plan(time.Now())
		c.flush()
		time.Sleep(time.Second)
		c.handleEvents()
		qt.Check(t, c.role.Valid(), qt.IsTrue)
		for _, id := range []graph.ID{"bad", "sound"} {
			item, err := service.Client().Get(context.Background(), ProgressKey(id))
			qt.Assert(t, err, qt.IsNil)
			record, err := DecodeProgress(item)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, record.Units, qt.HasLen, 1, qt.Commentf("%s", id))
		}
		qt.Check(t, store.Revision(0) < c.revisions[ProgressKey("bad")], qt.IsTrue)
	})
}
