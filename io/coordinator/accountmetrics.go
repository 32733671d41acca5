package coordinator

import (
	"fmt"
	"io"

	"auburnstack/core/account"
	"auburnstack/core/planner"
)

// accountReading is the last reading of the accounts with a limit or weight. It is immutable.
type accountReading struct {
	usages []planner.AccountUsage
	// over holds the number of units of each account that need more than its limit.
	over map[account.Name]int
}

// setAccounts publishes a reading; an empty one removes the metrics of all accounts.
func (m *Metrics) setAccounts(usages []planner.AccountUsage, over []planner.JobOverLimit) {
	if len(usages) == 0 {
		m.accounts.Store(nil)
		return
	}
	reading := &accountReading{usages: usages, over: map[account.Name]int{}}
	for i := range over {
		reading.over[over[i].Account] += over[i].Units
	}
	m.accounts.Store(reading)
}

// writeAccounts writes the metrics of the last reading. They are written from the reading, because a metric for each of
// a thousand accounts would have to be registered and removed with each change of the configuration or of the leader.
func (m *Metrics) writeAccounts(w io.Writer) {
	reading := m.accounts.Load()
	if reading == nil {
		return
	}
	for i := range reading.usages {
		u := &reading.usages[i]
		for _, r := range allResources(u) {
			writeAccountMetric(w, "running", u.Account, "resource", r.name, r.running)
			writeAccountMetric(w, "reserved", u.Account, "resource", r.name, r.reserved)
			if r.limit > 0 {
				writeAccountMetric(w, "limit", u.Account, "resource", r.name, r.limit)
			}
		}
		writeAccountMetric(w, "units_waiting", u.Account, "reason", "limit", int64(u.WaitingForLimit))
		writeAccountMetric(w, "units_waiting", u.Account, "reason", "other", int64(u.Waiting-u.WaitingForLimit))
		_, _ = fmt.Fprintf(w, "auburnstack_account_weight{account=%q} %g\n", u.Account, u.Weight)
		_, _ = fmt.Fprintf(w, "auburnstack_account_units_over_limit{account=%q} %d\n", u.Account, reading.over[u.Account])
	}
}

func writeAccountMetric(w io.Writer, metric string, name account.Name, label, value string, number int64) {
	_, _ = fmt.Fprintf(w, "auburnstack_account_%s{account=%q,%s=%q} %d\n", metric, name, label, value, number)
}
