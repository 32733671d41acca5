package coordinator

import (
	"fmt"
	"strings"
	"time"

	"auburnstack/core/account"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/resources"
)

const (
	// usageInterval is the time between two readings of the accounts' usage.
	usageInterval = time.Second
	// leaveLimitAfter is the time for which an account must be below its limit until it counts as having left it. The end
	// of each task brings a busy account below its limit for a moment.
	leaveLimitAfter = 5 * time.Second
	// maxAccountLines is the largest number of lines about accounts, and of lines about jobs above their limits, that one
	// reading logs. A configuration may change all limits at once.
	maxAccountLines = 40
)

// accountWatch logs and publishes what the accounts with a limit or weight hold and wait for.
type accountWatch struct {
	config Config
	// next is the time of the next reading.
	next time.Time
	// reached holds the accounts that are at their limits. over holds the jobs that are known to wait for a higher limit.
	reached map[account.Name]*reachedLimit
	over    map[graph.ID]bool
	// unconfirmed is set while the configuration is not confirmed.
	unconfirmed bool
}

// reachedLimit is the state of an account that is at its limit.
type reachedLimit struct {
	since time.Time
	// belowSince is the time since which the account has been below its limit; zero if it is at it.
	belowSince time.Time
}

func newAccountWatch(config Config) *accountWatch {
	return &accountWatch{config: config, reached: map[account.Name]*reachedLimit{}, over: map[graph.ID]bool{}}
}

// watchAccounts reads the usage of accounts at intervals. It reads nothing if no account has a limit or weight, except
// to end what was reported before.
func (t *term) watchAccounts(now time.Time) {
	w := t.accounts
	if now.Before(w.next) {
		return
	}
	w.next = now.Add(usageInterval)
	if !t.policy().SharesService() {
		w.update(nil, nil, now)
		return
	}
	w.updateConfirmed(t.policyConfirmed())
	w.update(t.planner.AccountUsage(), t.planner.JobsOverLimit(), now)
}

// updateConfirmed logs when the starts of accounts with a limit begin and cease to wait for the configuration to be
// confirmed.
func (w *accountWatch) updateConfirmed(confirmed bool) {
	switch {
	case w.unconfirmed && confirmed:
		w.config.Log.Info("configuration confirmed again")
	case !w.unconfirmed && !confirmed:
		w.config.Log.Warn("configuration not confirmed, starts of accounts with a limit wait", "after", maxPolicyAge.String())
	}
	w.unconfirmed = !confirmed
}

// update takes a reading of the usage of accounts, and of the jobs that wait for a higher limit.
func (w *accountWatch) update(usages []planner.AccountUsage, over []planner.JobOverLimit, now time.Time) {
	w.config.Metrics.setAccounts(usages, over)
	lines := 0
	present := map[account.Name]bool{}
	for i := range usages {
		present[usages[i].Account] = true
		lines += w.updateAccount(&usages[i], lines < maxAccountLines, now)
	}
	for name := range w.reached {
		if !present[name] {
			delete(w.reached, name)
			w.config.Log.Info("account has no limit any more", "account", name)
		}
	}
	if lines > maxAccountLines {
		w.config.Log.Info("more accounts reached or left their limits", "accounts", lines-maxAccountLines)
	}
	w.updateOver(over)
}

// updateAccount takes a reading of one account. It returns the number of lines, 0 or 1, that it logs if mayLog is set.
func (w *accountWatch) updateAccount(u *planner.AccountUsage, mayLog bool, now time.Time) int {
	state, reached := w.reached[u.Account]
	switch full := atLimit(u); {
	case full && reached:
		state.belowSince = time.Time{}
	case full:
		w.reached[u.Account] = &reachedLimit{since: now}
		if mayLog {
			w.config.Log.Info("account reached its limit", "account", u.Account, "held", describeHeld(u),
				"waiting", u.Waiting, "waitingForLimit", u.WaitingForLimit)
		}
		return 1
	case reached && state.belowSince.IsZero():
		state.belowSince = now
	case reached && now.Sub(state.belowSince) >= leaveLimitAfter:
		delete(w.reached, u.Account)
		if mayLog {
			w.config.Log.Info("account left its limit", "account", u.Account, "held", describeHeld(u),
				"after", now.Sub(state.since).String(), "waiting", u.Waiting)
		}
		return 1
	}
	return 0
}

// updateOver logs the jobs that wait for a higher limit, each once.
func (w *accountWatch) updateOver(over []planner.JobOverLimit) {
	known := w.over
	w.over = map[graph.ID]bool{}
	lines := 0
	for i := range over {
		o := &over[i]
		w.over[o.Job] = true
		if known[o.Job] {
			continue
		}
		lines++
		if lines <= maxAccountLines {
			w.config.Log.Warn("job waits for a higher limit", "job", o.Job, "account", o.Account, "units", o.Units,
				"reason", o.Reason)
		}
	}
	if lines > maxAccountLines {
		w.config.Log.Warn("more jobs wait for higher limits", "jobs", lines-maxAccountLines)
	}
}

// atLimit reports whether an account holds all that its limit allows of a resource, or has units that the limit leaves
// no room for.
func atLimit(u *planner.AccountUsage) bool {
	if u.WaitingForLimit > 0 {
		return true
	}
	for _, r := range limitedResources(u) {
		if r.running+r.reserved >= r.limit {
			return true
		}
	}
	return false
}

// resourceUsage is what an account holds of a resource for which it has a limit.
type resourceUsage struct {
	name                     string
	running, reserved, limit int64
}

// limitedResources returns the resources for which an account has a limit.
func limitedResources(u *planner.AccountUsage) []resourceUsage {
	var list []resourceUsage
	for _, r := range allResources(u) {
		if r.limit > 0 {
			list = append(list, r)
		}
	}
	return list
}

func allResources(u *planner.AccountUsage) []resourceUsage {
	usage := func(name string, amount func(resources.Amounts) int64) resourceUsage {
		return resourceUsage{name: name, running: amount(u.Running), reserved: amount(u.Reserved), limit: amount(u.Limit)}
	}
	return []resourceUsage{
		usage("cpu", func(a resources.Amounts) int64 { return a.CPU }),
		usage("memory", func(a resources.Amounts) int64 { return a.Memory }),
		usage("accelerators", func(a resources.Amounts) int64 { return a.Accelerators }),
	}
}

// describeHeld returns what an account holds of each limited resource, as in "accelerators 441 of 441".
func describeHeld(u *planner.AccountUsage) string {
	var texts []string
	for _, r := range limitedResources(u) {
		texts = append(texts, fmt.Sprintf("%s %d of %d", r.name, r.running+r.reserved, r.limit))
	}
	return strings.Join(texts, ", ")
}
