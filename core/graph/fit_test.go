package graph

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"auburnstack/core/resources"
	"auburnstack/core/roster"
)

// TestCheckFit guards against refusing a job that workers could hold, now or once absent ones are back, and against
// accepting one that no workers can hold.
func TestCheckFit(t *testing.T) {
	sizes := []roster.Size{
		{Service: "assay", Capacity: resources.Amounts{CPU: 8000, Memory: 8000, Accelerators: 8}, Workers: 4},
		{Service: "assay", Capacity: resources.Amounts{CPU: 16000, Memory: 4000}, Workers: 2},
		{Service: "other", Capacity: resources.Amounts{CPU: 64000, Memory: 64000, Accelerators: 64}, Workers: 1},
	}
	for _, test := range []struct {
		name       string
		step       Step
		service    string
		impossible bool
	}{
		{"fits one worker", Step{Tasks: 1, Needs: resources.Amounts{Accelerators: 8}}, "assay", false},
		{"fits a worker without accelerators", Step{Tasks: 1, Needs: resources.Amounts{CPU: 16000}}, "assay", false},
		{"more accelerators than any worker", Step{Tasks: 1, Needs: resources.Amounts{Accelerators: 9}}, "assay", true},
		{"more CPU and accelerators than any one worker has", Step{Tasks: 1, Needs: resources.Amounts{CPU: 9000, Accelerators: 1}}, "assay", true},
		{"many tasks one after the other", Step{Tasks: 99, Needs: resources.Amounts{Accelerators: 8}}, "assay", false},
		{"a gang that fits once absent workers are back", Step{Tasks: 8, Gang: true, Needs: resources.Amounts{Accelerators: 8}}, "assay", false},
		{"a gang too wide even with absent workers", Step{Tasks: 9, Gang: true, Needs: resources.Amounts{Accelerators: 8}}, "assay", true},
		{"a gang too wide for the spread limit", Step{Tasks: 9, Gang: true, SpreadLimit: 1, Needs: resources.Amounts{Accelerators: 1}}, "assay", true},
		{"filler tasks reserve no CPU", Step{Tasks: 1, Fills: true, Needs: resources.Amounts{CPU: 99000}}, "assay", false},
		{"a service without known workers", Step{Tasks: 1, Needs: resources.Amounts{Accelerators: 99}}, "unknown", false},
	} {
		job := &Job{Steps: []Step{test.step}}
		err := job.CheckFit(test.service, sizes)
		if test.impossible {
			qt.Check(t, err, qt.ErrorIs, ErrImpossible, qt.Commentf(test.name))
		} else {
			qt.Check(t, err, qt.IsNil, qt.Commentf(test.name))
		}
	}
}

// TestCheckLimit guards against accepting a job that waits for good because its account's limit is too small for a single
// task or gang, and against refusing one whose tasks fit one after the other.
func TestCheckLimit(t *testing.T) {
	limit := resources.Amounts{CPU: 8000, Accelerators: 16}
	for _, test := range []struct {
		name string
		step Step
		over bool
	}{
		{"fits exactly", Step{Tasks: 2, Gang: true, Needs: resources.Amounts{CPU: 4000, Accelerators: 8}}, false},
		{"many tasks one after the other", Step{Tasks: 99, Needs: resources.Amounts{Accelerators: 16}}, false},
		{"a task", Step{Tasks: 1, Needs: resources.Amounts{Accelerators: 17}}, true},
		{"a gang", Step{Tasks: 3, Gang: true, Needs: resources.Amounts{Accelerators: 8}}, true},
		{"a gang of the largest size", Step{Tasks: MaxTasks, Gang: true, Needs: resources.Amounts{CPU: MaxAmount}}, true},
		{"a filler task counts with its CPU", Step{Tasks: 1, Fills: true, Needs: resources.Amounts{CPU: 8001}}, true},
		{"a resource without limit", Step{Tasks: 1, Needs: resources.Amounts{Memory: MaxAmount}}, false},
	} {
		job := &Job{Steps: []Step{{Tasks: 1}, test.step}}
		if test.over {
			qt.Check(t, job.CheckLimit(limit), qt.ErrorIs, ErrOverLimit, qt.Commentf(test.name))
		} else {
			qt.Check(t, job.CheckLimit(limit), qt.IsNil, qt.Commentf(test.name))
		}
		qt.Check(t, job.CheckLimit(resources.Amounts{}), qt.IsNil, qt.Commentf(test.name))
	}
}
