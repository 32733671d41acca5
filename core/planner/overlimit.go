package planner

import (
	"cmp"
	"slices"

	"auburnstack/core/account"
	"auburnstack/core/graph"
	"auburnstack/core/resources"
)

// JobOverLimit describes a job that waits because a task or gang of it needs more than the limit of its account. The
// limit was lowered after the job was accepted.
type JobOverLimit struct {
	Job     graph.ID
	Account account.Name
	// Units is the number of such units that wait.
	Units int
	// Reason describes one of them.
	Reason string
}

// JobsOverLimit returns the jobs that wait for a higher limit of their account, sorted by ID.
func (p *Planner) JobsOverLimit() []JobOverLimit {
	limits := map[account.Name]resources.Amounts{}
	for i := range p.policy.Accounts {
		if a := &p.policy.Accounts[i]; a.Limit != (resources.Amounts{}) {
			limits[a.Name] = p.policy.Limit(a.Name)
		}
	}
	if len(limits) == 0 {
		return nil
	}
	found := map[graph.ID]*JobOverLimit{}
	for u := range p.waiting {
		limit, limited := limits[u.job.ClientAccount]
		if !limited {
			continue
		}
		err := u.spec().CheckLimit(limit)
		if err == nil {
			continue
		}
		if found[u.job.ID] == nil {
			found[u.job.ID] = &JobOverLimit{Job: u.job.ID, Account: u.job.ClientAccount, Reason: err.Error()}
		}
		found[u.job.ID].Units++
	}
	list := make([]JobOverLimit, 0, len(found))
	for _, job := range found {
		list = append(list, *job)
	}
	slices.SortFunc(list, func(a, b JobOverLimit) int { return cmp.Compare(a.Job, b.Job) })
	return list
}
