package planner

import (
	"cmp"
	"slices"

	"auburnstack/core/account"
	"auburnstack/core/resources"
)

// AccountUsage describes what an account with a limit or a weight holds and waits for.
type AccountUsage struct {
	Account account.Name
	// Running holds the amounts of all runs that were ordered and have not ended. Reserved holds the amounts of placements
	// whose start was not ordered yet.
	Running, Reserved resources.Amounts
	// Limit and Weight are those of the policy.
	Limit  resources.Amounts
	Weight float64
	// Waiting is the number of units that wait for placement. WaitingForLimit counts those of them that the limit leaves
	// no room for.
	Waiting, WaitingForLimit int
}

// AccountUsage returns the usage of each account with a limit or weight, sorted by name.
func (p *Planner) AccountUsage() []AccountUsage {
	usages := map[account.Name]*AccountUsage{}
	var list []*AccountUsage
	for i := range p.policy.Accounts {
		if a := &p.policy.Accounts[i]; a.Shares() && usages[a.Name] == nil {
			usage := &AccountUsage{Account: a.Name, Limit: a.Limit, Weight: a.Weight}
			usages[a.Name] = usage
			list = append(list, usage)
		}
	}
	if len(list) == 0 {
		return nil
	}
	for _, w := range p.workers {
		for m := range w.members {
			if usage := usages[m.unit.job.ClientAccount]; usage != nil {
				usage.addMember(m)
			}
		}
	}
	for u := range p.waiting {
		if usage := usages[u.job.ClientAccount]; usage != nil {
			usage.addWaiting(u)
		}
	}
	result := make([]AccountUsage, 0, len(list))
	for _, usage := range list {
		result = append(result, *usage)
	}
	slices.SortFunc(result, func(a, b AccountUsage) int { return cmp.Compare(a.Account, b.Account) })
	return result
}

func (a *AccountUsage) addMember(m *member) {
	switch m.state {
	case planned:
		a.Reserved = a.Reserved.Add(m.unit.spec().Needs)
	case unconfirmed, active:
		a.Running = a.Running.Add(m.unit.spec().Needs)
	case ended:
	}
}

func (a *AccountUsage) addWaiting(u *unit) {
	a.Waiting++
	needs := u.spec().Needs.Times(u.size())
	held := a.Running.Add(a.Reserved).Add(needs)
	if exceeds(needs.CPU, held.CPU, a.Limit.CPU) || exceeds(needs.Memory, held.Memory, a.Limit.Memory) ||
		exceeds(needs.Accelerators, held.Accelerators, a.Limit.Accelerators) {
		a.WaitingForLimit++
	}
}

// exceeds reports whether a need raises the amount that is held above a limit; 0 means no limit. A unit that needs
// nothing of a resource may start while the account is above a limit that was lowered.
func exceeds(need, held, limit int64) bool {
	return need > 0 && limit > 0 && held > limit
}
