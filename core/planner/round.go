package planner

import (
	"time"

	"auburnstack/core/account"
	"auburnstack/core/endpoint"
	"auburnstack/core/resources"
)

// maxExamined is the number of workers and running tasks that one call of Plan examines to place waiting units. It
// limits the duration of a decision, because leases must be renewed and reports handled however much work waits.
const maxExamined = 60000

// round is one pass over all waiting units. A call of Plan that has examined maxExamined workers ends; the next call
// continues the round with the units that were not tried yet, the most urgent first.
type round struct {
	now time.Time
	// number distinguishes successive rounds.
	number uint64
	// examined counts the workers and running tasks examined by the current call of Plan. The call ends when it exceeds
	// limit.
	examined, limit int
	// failed holds the demands (the properties that decide whether a unit can be placed) for which no placement was
	// found.
	failed map[demand]bool

	// The fields below describe the site as it is in the current call of Plan.

	// spare holds the capacity of each service that is available to units that are not urgent.
	spare map[string]*spareCapacity
	// views holds the workers of each service that accept tasks.
	views map[string]*serviceView
	// accountDemand holds the number of accelerators that all unfinished jobs of priority 0 of an account ask for.
	accountDemand map[account.Name]int64
	// victims holds the units that may be stopped in favor of urgent ones. It is nil until an urgent unit needs it.
	victims *victims
}

// serviceView lists the workers of one service that accept tasks, sorted by name.
type serviceView struct {
	accepting []*worker
	// withAccelerators lists the accepting workers that have free accelerators. On a busy site there are few of them.
	withAccelerators []*worker
	// racks lists the accepting workers of each rack.
	racks map[endpoint.Rack][]*worker
}

// continueRound returns the round that the last call of Plan has not finished, or a new one.
func (p *Planner) continueRound(now time.Time) *round {
	if p.round == nil {
		p.rounds++
		p.round = &round{number: p.rounds, limit: p.examineLimit, failed: map[demand]bool{}}
	}
	r := p.round
	r.now, r.examined = now, 0
	r.spare = map[string]*spareCapacity{}
	r.accountDemand = nil
	r.forgetWorkers()
	return r
}

// forgetWorkers makes the round look at the workers and their runs again, after work was stopped.
func (r *round) forgetWorkers() {
	r.views = map[string]*serviceView{}
	r.victims = nil
}

// exhausted reports whether the current call of Plan has examined as many workers as it may.
func (r *round) exhausted() bool {
	return r.examined >= r.limit
}

// untried returns the units that the round has not tried to place yet.
func (r *round) untried(units []*unit) []*unit {
	list := units[:0]
	for _, u := range units {
		if u.triedIn != r.number {
			list = append(list, u)
		}
	}
	return list
}

func (r *round) markTried(units []*unit) {
	for _, u := range units {
		u.triedIn = r.number
	}
}

// spareFor returns the spare capacity of a service and computes it once per call of Plan.
func (p *Planner) spareFor(r *round, service string) *spareCapacity {
	if _, counted := r.spare[service]; !counted {
		r.spare[service] = p.computeSpare(service, r.now)
	}
	return r.spare[service]
}

// viewOf returns the workers of a service that accept tasks.
func (p *Planner) viewOf(r *round, service string) *serviceView {
	if view, known := r.views[service]; known {
		return view
	}
	view := &serviceView{racks: map[endpoint.Rack][]*worker{}}
	for _, w := range p.workersByName {
		if w.Service != service || !p.accepts(w, r.now) {
			continue
		}
		view.accepting = append(view.accepting, w)
		view.racks[w.Rack] = append(view.racks[w.Rack], w)
		if w.usableAccelerators() > 0 {
			view.withAccelerators = append(view.withAccelerators, w)
		}
	}
	r.views[service] = view
	return view
}

// open returns the workers that may have enough free capacity for tasks with the given needs.
func (v *serviceView) open(needs resources.Amounts) []*worker {
	if needs.Accelerators > 0 {
		return v.withAccelerators
	}
	return v.accepting
}

// demandOf returns the number of accelerators that all unfinished jobs of priority 0 of an account ask for.
func (p *Planner) demandOf(r *round, name account.Name) int64 {
	if r.accountDemand == nil {
		r.accountDemand = map[account.Name]int64{}
		for _, j := range p.jobs {
			if j.queue.Priority != 0 || j.state.Final() {
				continue
			}
			for i := range j.Steps {
				r.accountDemand[j.ClientAccount] += j.Steps[i].Needs.Accelerators * int64(j.Steps[i].Tasks)
			}
		}
	}
	return r.accountDemand[name]
}

// withinGuarantee reports whether a unit has priority 0 and its account's total demand at priority 0 does not exceed
// the account's guarantee.
func (p *Planner) withinGuarantee(r *round, u *unit) bool {
	return u.job.queue.Priority == 0 && p.demandOf(r, u.job.ClientAccount) <= p.policy.Guaranteed(u.job.ClientAccount)
}

// demand holds the properties that decide whether a unit can be placed. If one unit cannot be placed, no other unit
// with the same demand can be placed until capacity is freed, so the rest of the round skips the units with this
// demand.
type demand struct {
	service        string
	priority       int
	size           int
	needs          resources.Amounts
	label          string
	dataRack       string
	sameRack       bool
	remote         bool
	avoidsHeadroom bool
	longRunning    bool
	// entitled is the account whose guarantee allows the unit to stop work of other accounts, or empty.
	entitled account.Name
	// limited is the account whose limit the unit exceeds, or empty. Other accounts' units do not fail for that.
	limited account.Name
	// unit is set for units whose placement depends on more than the other fields.
	unit *unit
}

// demandFor returns the demand of a unit. The workers that a unit may use also depend on its spread limit, its earlier
// failures, on crashes and on the adviser's answers.
func (p *Planner) demandFor(r *round, u *unit) demand {
	d := p.commonDemand(r, u)
	if u.spec().SpreadLimit > 0 || len(u.avoidedWorkers) > 0 || u.mostCrashes() > 0 || u.advised() {
		d.unit = u
	}
	return d
}

// commonDemand returns the demand of a unit without the limits that apply to this unit alone. A unit whose common
// demand cannot be placed cannot be placed either.
func (p *Planner) commonDemand(r *round, u *unit) demand {
	step := u.spec()
	d := demand{
		service: u.job.queue.Service, priority: u.job.queue.Priority, size: u.size(), needs: step.Reserved(),
		label: step.Label, dataRack: step.DataRack, sameRack: step.SameRack, remote: u.mayBeRemote(r.now),
		avoidsHeadroom: !u.urgent() && !u.advised() && r.now.Sub(u.waitingSince) < headroomWait,
		longRunning:    step.LongRunning,
	}
	if u.exceedsLimit() {
		d.limited = u.job.ClientAccount
	}
	if u.urgent() && p.withinGuarantee(r, u) {
		d.entitled = u.job.ClientAccount
	}
	return d
}

// knownToFail reports whether an earlier unit of the round shows that a unit cannot be placed.
func (p *Planner) knownToFail(r *round, u *unit) bool {
	return len(r.failed) > 0 && (r.failed[p.commonDemand(r, u)] || r.failed[p.demandFor(r, u)])
}
