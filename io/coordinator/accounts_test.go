package coordinator

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"auburnstack/core/account"
	"auburnstack/core/graph"
	"auburnstack/core/planner"
	"auburnstack/core/policy"
	"auburnstack/core/resources"
	"auburnstack/io/policywatch"
)

// newTestAccountWatch returns a watch that logs to the returned buffer and writes its metrics to the returned set.
func newTestAccountWatch() (*accountWatch, *bytes.Buffer, *metrics.Set) {
	log, set := &bytes.Buffer{}, metrics.NewSet()
	return newAccountWatch(Config{
		Metrics: NewMetrics(set), Log: hclog.New(&hclog.LoggerOptions{Output: log, DisableTime: true}),
	}), log, set
}

// usageOf returns the usage of an account that has a limit of ten accelerators.
func usageOf(name account.Name, running, reserved int64, waitingForLimit int) planner.AccountUsage {
	return planner.AccountUsage{
		Account: name, Limit: resources.Amounts{Accelerators: 10}, Weight: 2.5,
		Running:  resources.Amounts{CPU: 1000, Accelerators: running},
		Reserved: resources.Amounts{Accelerators: reserved}, Waiting: waitingForLimit + 1, WaitingForLimit: waitingForLimit,
	}
}

// TestAccountLimitLines guards against an account at its limit that the log does not name, and against a line for each end
// of a task of a busy account.
func TestAccountLimitLines(t *testing.T) {
	w, log, _ := newTestAccountWatch()
	now := time.Unix(1000, 0)
	read := func(after time.Duration, usages ...planner.AccountUsage) string {
		log.Reset()
		now = now.Add(after)
		w.update(usages, nil, now)
		return log.String()
	}
	qt.Check(t, read(0, usageOf("a", 9, 0, 0)), qt.Equals, "")
	qt.Check(t, read(time.Second, usageOf("a", 8, 2, 0)), qt.Equals, "[INFO]  account reached its limit: account=a "+
		"held=\"accelerators 10 of 10\" waiting=1 waitingForLimit=0\n")
	qt.Check(t, read(time.Second, usageOf("a", 8, 0, 0)), qt.Equals, "")
	qt.Check(t, read(4*time.Second, usageOf("a", 8, 0, 3)), qt.Equals, "", qt.Commentf("a gang waits for the limit"))
	qt.Check(t, read(time.Second, usageOf("a", 8, 0, 0)), qt.Equals, "")
	qt.Check(t, read(4*time.Second, usageOf("a", 9, 0, 0)), qt.Equals, "")
	qt.Check(t, read(time.Second, usageOf("a", 9, 0, 0)), qt.Equals,
		"[INFO]  account left its limit: account=a held=\"accelerators 9 of 10\" after=11s waiting=1\n")
	read(time.Second, usageOf("a", 12, 0, 0))
	qt.Check(t, read(time.Second), qt.Equals, "[INFO]  account has no limit any more: account=a\n")

	var many []planner.AccountUsage
	for i := range 1100 {
		many = append(many, usageOf(account.Name(fmt.Sprint("a", i)), 10, 0, 0))
	}
	qt.Check(t, strings.Count(read(time.Second, many...), "\n"), qt.Equals, maxAccountLines+1)
}

// TestJobsOverLimitLines checks that each job that waits for a higher limit is named once.
func TestJobsOverLimitLines(t *testing.T) {
	w, log, set := newTestAccountWatch()
	over := []planner.JobOverLimit{{Job: "j", Account: "a", Units: 3, Reason: "too large"}}
	usages := []planner.AccountUsage{usageOf("a", 0, 0, 3)}
	w.update(usages, over, time.Unix(1000, 0))
	w.update(usages, over, time.Unix(1001, 0))
	qt.Check(t, strings.Count(log.String(), "job waits for a higher limit: job=j account=a units=3"), qt.Equals, 1)
	qt.Check(t, metricsOf(set), qt.Contains, `auburnstack_account_units_over_limit{account="a"} 3`)
}

func metricsOf(set *metrics.Set) string {
	var out bytes.Buffer
	set.WritePrometheus(&out)
	return out.String()
}

// TestAccountMetrics guards against accounts that the metrics do not show, and against readings of a VM that no longer
// leads or of accounts that have no limit any more.
func TestAccountMetrics(t *testing.T) {
	w, _, set := newTestAccountWatch()
	qt.Check(t, metricsOf(set), qt.Equals, "")
	w.update([]planner.AccountUsage{usageOf("a", 7, 2, 3)}, nil, time.Unix(1000, 0))
	qt.Check(t, metricsOf(set), qt.Equals, `auburnstack_account_running{account="a",resource="cpu"} 1000
auburnstack_account_reserved{account="a",resource="cpu"} 0
auburnstack_account_running{account="a",resource="memory"} 0
auburnstack_account_reserved{account="a",resource="memory"} 0
auburnstack_account_running{account="a",resource="accelerators"} 7
auburnstack_account_reserved{account="a",resource="accelerators"} 2
auburnstack_account_limit{account="a",resource="accelerators"} 10
auburnstack_account_units_waiting{account="a",reason="limit"} 3
auburnstack_account_units_waiting{account="a",reason="other"} 1
auburnstack_account_weight{account="a"} 2.5
auburnstack_account_units_over_limit{account="a"} 0
`)
	w.update(nil, nil, time.Unix(1001, 0))
	qt.Check(t, metricsOf(set), qt.Equals, "")
}

// TestAccountWatchInTerm checks that a term reads the usage of the planner, and nothing while no account has a limit.
func TestAccountWatchInTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCapacityTerm(t)
		defer c.close()
		p := &policy.Policy{Queues: []policy.Queue{{Name: "urgent", Service: "assay"}}}
		c.config.Policy = func() *policywatch.Snapshot { return &policywatch.Snapshot{Policy: p} }
		log, set := &bytes.Buffer{}, metrics.NewSet()
		c.config.Metrics, c.config.Log = NewMetrics(set), hclog.New(&hclog.LoggerOptions{Output: log})
		c.accounts = newAccountWatch(c.config)
		c.info.Capacity = resources.Amounts{Accelerators: 8}
		c.register()
		c.planner.Submit(&graph.Job{ID: "b", ClientAccount: "lab", Queue: "urgent", Accepted: time.Now(), Steps: []graph.Step{
			{Tasks: 2, Needs: resources.Amounts{Accelerators: 2}, AbsenceLimit: -1},
			{Tasks: 1, Needs: resources.Amounts{Accelerators: 64}, AbsenceLimit: -1},
		}}, time.Now())
		qt.Assert(t, c.place(), qt.HasLen, 2)
		c.watchAccounts(time.Now())
		qt.Check(t, metricsOf(set)+log.String(), qt.Equals, "")

		p = &policy.Policy{Accounts: []policy.Account{{Name: "lab", Limit: resources.Amounts{Accelerators: 4}}}, Queues: p.Queues}
		c.handle(policyChanged{})
		time.Sleep(usageInterval)
		c.watchAccounts(time.Now())
		qt.Check(t, metricsOf(set), qt.Contains, `auburnstack_account_running{account="lab",resource="accelerators"} 4`)
		qt.Check(t, log.String(), qt.Contains, "account reached its limit: account=lab held=\"accelerators 4 of 4\"")
		qt.Check(t, log.String(), qt.Contains, "job waits for a higher limit: job=b account=lab units=1")
	})
}
