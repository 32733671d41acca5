package scheduler

import (
	"time"

	"auburnstack/core/cell"
	"auburnstack/core/endpoint"
	"auburnstack/core/job"
	"auburnstack/core/pool"
	"auburnstack/core/route"
	"auburnstack/core/shape"
)

// Job is what the scheduler knows of a job.
type Job struct {
	ID        job.ID
	Pool      pool.Name
	Class     route.Class
	Shape     shape.Shape
	Submitted time.Time
	// Avoid lists workers on which the job has failed.
	Avoid []endpoint.Name
}

// FromRecord returns what the scheduler needs of a job record.
func FromRecord(r job.Record) Job {
	return Job{ID: r.ID, Pool: r.Pool, Class: r.Class, Shape: r.Shape, Submitted: r.Submitted, Avoid: r.FailedOn}
}

type gangPhase int

const (
	// pending gangs hold accelerators that borrowed work is leaving.
	pending gangPhase = iota
	launched
	stopping
)

// gang is a job that holds accelerators.
type gang struct {
	Job
	term  Term
	phase gangPhase
	// workers has one entry for each member; all are different.
	workers []cell.Worker
	// uses is parallel to workers for guaranteed gangs and empty for borrowed ones.
	uses    []blockUse
	started time.Time
}

// lostWork estimates the work that a stop loses, in accelerator-seconds.
func (g *gang) lostWork(now time.Time) float64 {
	return float64(g.Shape.Total()) * now.Sub(g.started).Seconds()
}
