package planner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"auburnstack/core/account"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
)

// unlimited stands for the limit of a resource that has none. It leaves room for sums without overflow.
const unlimited = math.MaxInt64 / 4

// holding is the planner's state of one client account: what the account holds on all workers, and its limit. All
// amounts count the full needs of tasks, also those of filler tasks, which reserve less on their workers.
type holding struct {
	account account.Name
	// limit is the configured limit; 0 means no limit for that resource. limited is set if there is a limit for any
	// resource.
	limit   resources.Amounts
	limited bool
	// weight is the configured weight; 0 means that there is none.
	weight float64
	// running holds the amounts of the runs that were ordered to start and have not ended, including the runs that are
	// being stopped.
	running resources.Amounts
	// reserved holds the amounts of the placements whose start was not ordered. recording is the part of reserved that
	// belongs to placements that were submitted for storage.
	reserved, recording resources.Amounts
	// unexpected holds the amounts of the runs that workers report and that should not exist.
	unexpected resources.Amounts
	// stopping holds the members whose runs are being stopped. It has no members that were ordered to stop while the
	// account had no limit.
	stopping map[*member]struct{}
	// lesser counts the members in running and reserved whose queue has a priority above 0. Only these may be stopped in
	// favor of other work of the account.
	lesser int
	// shares holds the amounts in running and reserved by the service of the worker.
	shares []*serviceShare
	// unfinished counts the jobs of the account that the planner has and that have not ended.
	unfinished int
	// arrivals is only used if an account has a weight.
	arrivals arrivals
}

// serviceShare is what an account holds on the workers of one service: runs that have not ended and placements.
type serviceShare struct {
	service string
	held    resources.Amounts
}

// holdingOf returns the state of an account. It adds the account if it is not known yet.
func (p *Planner) holdingOf(name account.Name) *holding {
	h, known := p.holdings[name]
	if !known {
		h = &holding{account: name, stopping: map[*member]struct{}{}}
		p.holdings[name] = h
	}
	return h
}

// applyAccounts takes the limits and weights of accounts from the policy in force. It reports whether one has changed.
func (p *Planner) applyAccounts() bool {
	configured := map[account.Name]*policy.Account{}
	for i := range p.policy.Accounts {
		a := &p.policy.Accounts[i]
		if _, known := configured[a.Name]; !known {
			configured[a.Name] = a
			p.holdingOf(a.Name)
		}
	}
	wasWeighted := p.anyWeighted
	p.anyLimited, p.anyWeighted = false, false
	changed := false
	for name, h := range p.holdings {
		a, known := configured[name]
		if !known {
			a = &policy.Account{}
		}
		changed = changed || h.limit != a.Limit || h.weight != a.Weight
		h.limit, h.limited = a.Limit, a.Limit != resources.Amounts{}
		p.arrivalsChanged = p.arrivalsChanged || h.weight != a.Weight
		h.weight = a.Weight
		p.anyLimited = p.anyLimited || h.limited
		p.anyWeighted = p.anyWeighted || h.weight > 0
	}
	p.arrivalsChanged = p.arrivalsChanged || p.anyWeighted != wasWeighted
	return changed
}

// sortedHoldings returns all accounts sorted by name, which makes decisions deterministic.
func (p *Planner) sortedHoldings() []*holding {
	return slices.SortedFunc(maps.Values(p.holdings), func(a, b *holding) int { return cmp.Compare(a.account, b.account) })
}

// bound returns the largest amounts that the account may hold.
func (h *holding) bound() resources.Amounts {
	bound := h.limit
	for _, amount := range []*int64{&bound.CPU, &bound.Memory, &bound.Accelerators} {
		if *amount == 0 {
			*amount = unlimited
		}
	}
	return bound
}

// free returns the amounts that can be reserved for the account. An amount is negative if the limit was lowered below
// what the account holds. The account then gets nothing new, not even in another resource, as on a worker that is over
// its capacity.
func (h *holding) free() resources.Amounts {
	return h.bound().Sub(h.running).Sub(h.unexpected).Sub(h.reserved)
}

// allows reports whether the given amounts can be reserved for the account.
func (h *holding) allows(needs resources.Amounts) bool {
	return !h.limited || needs.Fits(h.free())
}

// allowsRecord reports whether a placement can start with all placements that were submitted for storage.
func (h *holding) allowsRecord(needs resources.Amounts) bool {
	return !h.limited || needs.Fits(h.bound().Sub(h.running).Sub(h.unexpected).Sub(h.recording))
}

// allowsStart reports whether runs with the given needs can start now.
func (h *holding) allowsStart(needs resources.Amounts) bool {
	return !h.limited || needs.Fits(h.bound().Sub(h.running).Sub(h.unexpected))
}

// stopsDue returns the amounts of the runs that are being stopped and can be expected to end soon: their workers
// answer, and they were ordered to stop within capacityTimeout.
func (h *holding) stopsDue(now time.Time) resources.Amounts {
	var sum resources.Amounts
	for m := range h.stopping {
		if m.worker.responsive && now.Sub(m.stoppingSince) <= capacityTimeout {
			sum = sum.Add(m.unit.spec().Needs)
		}
	}
	return sum
}

// share returns what the account holds on the workers of a service.
func (h *holding) share(service string) *serviceShare {
	for _, s := range h.shares {
		if s.service == service {
			return s
		}
	}
	s := &serviceShare{service: service}
	h.shares = append(h.shares, s)
	return s
}

// needs returns the amounts that all tasks of the unit need together.
func (u *unit) needs() resources.Amounts {
	return u.spec().Needs.Times(u.size())
}

// holdReserved counts a new member as reserved.
func (m *member) holdReserved() {
	h, needs := m.unit.job.holding, m.unit.spec().Needs
	h.reserved = h.reserved.Add(needs)
	m.share = h.share(m.worker.Service)
	m.share.held = m.share.held.Add(needs)
	m.countLesser()
}

// countLesser counts the member in holding.lesser if its queue has a priority above 0 now, and takes it out otherwise.
func (m *member) countLesser() {
	lesser := m.unit.job.queue.Priority > 0
	switch h := m.unit.job.holding; {
	case lesser && !m.lesser:
		h.lesser++
	case !lesser && m.lesser:
		h.lesser--
	}
	m.lesser = lesser
}

// holdOrdered counts a reserved member as running.
func (m *member) holdOrdered() {
	h, needs := m.unit.job.holding, m.unit.spec().Needs
	h.reserved = h.reserved.Sub(needs)
	h.running = h.running.Add(needs)
}

// holdStopping counts a running member as being stopped since the given time.
func (m *member) holdStopping(now time.Time) {
	m.stoppingSince = now
	if h := m.unit.job.holding; h.limited {
		h.stopping[m] = struct{}{}
	}
}

// holdReleased stops counting a member that is reserved or running.
func (m *member) holdReleased() {
	h, needs := m.unit.job.holding, m.unit.spec().Needs
	if m.state == planned {
		h.reserved = h.reserved.Sub(needs)
	} else {
		h.running = h.running.Sub(needs)
	}
	m.share.held = m.share.held.Sub(needs)
	if m.lesser {
		h.lesser--
	}
	if m.stopping {
		delete(h.stopping, m)
	}
}
