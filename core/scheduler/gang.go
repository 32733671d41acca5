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

// Job holds the part of a job record that the scheduler needs.
type Job struct {
	ID job.ID
	// Route is the key of the job's route. Pool and Class are those of the route: while the job waits, as the tables in
	// force have them or, if they lack the route, as they were last; while the job holds accelerators, as they were when
	// these were assigned.
	Route     route.Key
	Pool      pool.Name
	Class     route.Class
	Shape     shape.Shape
	Submitted time.Time
	// Avoid lists the workers on which the job has failed.
	Avoid []endpoint.Name
}

// FromRecord returns the Job for a job record.
func FromRecord(r job.Record) Job {
	return Job{
		ID: r.ID, Route: r.RouteKey(), Pool: r.Pool, Class: r.Class, Shape: r.Shape, Submitted: r.Submitted,
		Avoid: r.FailedOn,
	}
}

type gangPhase int

const (
	// pending gangs wait to launch until the gangs that are stopped for them have ended.
	pending gangPhase = iota
	launched
	stopping
)

// gang is a job to which accelerators are assigned. A pending gang, which waits to launch, holds its accelerators
// already.
type gang struct {
	Job
	term  Term
	phase gangPhase
	// workers has one entry for each member; no worker occurs twice.
	workers []cell.Worker
	// uses holds the place of each member in a block, parallel to workers; it is empty for borrowed gangs.
	uses    []blockUse
	started time.Time
}

// lostWork estimates the work that is lost if the gang is stopped now, in accelerator-seconds.
func (g *gang) lostWork(now time.Time) float64 {
	return float64(g.Shape.Total()) * now.Sub(g.started).Seconds()
}
