package planner

import (
	"cmp"
	"slices"

	"auburnstack/core/account"
	"auburnstack/core/resources"
)

// AccountUsage describes what an account with a limit or a weight holds and what it waits for.
type AccountUsage struct {
	Account account.Name
	// Running holds the amounts of everything that workers may be running for the account, including runs whose start
	// was not answered, runs that are being stopped and reported runs that should not exist.
	Running resources.Amounts
	// Reserved holds the amounts of placements whose start was not ordered.
	Reserved resources.Amounts
	// Limit is the configured limit; 0 means no limit for that resource.
	Limit resources.Amounts
	// Weight is the configured weight; 0 means that there is none.
	Weight float64
	// Waiting counts the units that are ready and not placed. WaitingForLimit counts those of them that exceed what the
	// limit leaves to the account now, whether or not workers have free capacity.
	Waiting, WaitingForLimit int
}

// AccountUsage returns the usage of each account with a limit or a weight, sorted by name.
func (p *Planner) AccountUsage() []AccountUsage {
	if !p.anyLimited && !p.anyWeighted {
		return nil
	}
	var list []AccountUsage
	waitingUnits, forLimit := map[*holding]int{}, map[*holding]int{}
	for u := range p.waiting {
		h := u.job.holding
		waitingUnits[h]++
		if !h.allows(u.needs()) {
			forLimit[h]++
		}
	}
	for _, h := range p.holdings {
		if !h.limited && h.weight == 0 {
			continue
		}
		list = append(list, AccountUsage{
			Account: h.account, Running: h.running.Add(h.unexpected), Reserved: h.reserved, Limit: h.limit,
			Weight: h.weight, Waiting: waitingUnits[h], WaitingForLimit: forLimit[h],
		})
	}
	slices.SortFunc(list, func(a, b AccountUsage) int { return cmp.Compare(a.Account, b.Account) })
	return list
}
