package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/machine"
	"auburnstack/core/upkeep"
	"auburnstack/io/inventory"
	"auburnstack/io/runner"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// machinesInterval is the pause between two requests for the list of machines while an upkeep wave is in progress.
	machinesInterval = time.Second
	// upkeepTimeout is the timeout of one attempt to order the upkeep of a machine.
	upkeepTimeout = time.Second
	// upkeepPrefix is the prefix of the store keys under which the records of upkeep waves are stored.
	upkeepPrefix = "auburnstack/upkeep/"
)

// UpkeepCodec encodes the status of an upkeep wave. Operators read the status from the store.
type UpkeepCodec interface {
	// StatusKey returns the key of a wave's status.
	StatusKey(number upkeep.Number) string
	// EncodeStatus returns the value of a wave's status.
	EncodeStatus(record upkeep.Record) ([]byte, error)
}

// machinesListed reports the current list of all machines.
type machinesListed struct{ machines []machine.Machine }

// upkeepAnswered reports the outcome of an order for the upkeep of a machine.
type upkeepAnswered struct {
	begin   upkeep.Begin
	outcome upkeep.Outcome
}

// waveRecorded reports that the record of an upkeep wave has been stored.
type waveRecorded struct{ record upkeep.Record }

func (waveRecorded) isEvent()   {}
func (machinesListed) isEvent() {}
func (upkeepAnswered) isEvent() {}

// readWaves loads the records of upkeep waves that earlier leaders have stored.
func (t *term) readWaves(ctx context.Context) error {
	page, err := t.config.Store.Range(ctx, upkeepPrefix)
	if err != nil {
		return err
	}
	var records []upkeep.Record
	for _, item := range page.Items {
		var record upkeep.Record
		if err := json.Unmarshal(item.Value, &record); err != nil {
			t.logSkippedRecord(errors.WithMessagef(err, "the record %s can't be read", item.Key))
			continue
		}
		records = append(records, record)
	}
	t.waves = upkeep.New(records)
	t.waves.SetWaves(t.policy().Waves, time.Now())
	return nil
}

// watchMachines periodically requests the list of machines while a wave is in progress.
func (t *term) watchMachines(ctx context.Context) {
	for ctx.Err() == nil {
		if t.wavesActive.Load() {
			t.listMachines(ctx)
		}
		wait.For(ctx, machinesInterval)
	}
}

func (t *term) listMachines(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	machines, err := t.config.Inventory.List(ctx)
	if err != nil {
		t.config.Log.Warn("listing machines failed", "error", err.Error())
		return
	}
	t.post(machinesListed{machines: machines})
}

// advanceWaves determines which steps of the upkeep waves are due now, and carries them out.
func (t *term) advanceWaves(now time.Time) {
	t.wavesActive.Store(t.waves.Active())
	for _, action := range t.waves.Decide(now, t.planner.Occupancy) {
		switch a := action.(type) {
		case upkeep.Retire:
			t.config.Log.Info("worker retires for upkeep", "worker", a.Worker, "retired", a.Retired)
			t.planner.Retire(a.Worker, a.Retired)
		case upkeep.Begin:
			t.config.Log.Info("upkeep ordered", "machine", a.Machine, "wave", a.Wave)
			t.spawn(func() { t.orderUpkeep(a) })
		case upkeep.Report:
			t.config.Log.Info("wave reported", "wave", a.Record.Number, "begun", len(a.Record.Begun),
				"complete", a.Record.Complete)
			t.reports = append(t.reports, a.Record)
		}
	}
	t.storeNextReport()
}

// storeNextReport starts to store the next report on an upkeep wave. Only one report is in flight at a time, so that an
// older report can't overwrite a newer one.
func (t *term) storeNextReport() {
	if t.reportInFlight || len(t.reports) == 0 {
		return
	}
	t.reportInFlight = true
	record := t.reports[0]
	t.reports = t.reports[1:]
	t.spawn(func() {
		if t.storeReport(record) {
			t.post(waveRecorded{record: record})
		}
	})
}

func (t *term) orderUpkeep(begin upkeep.Begin) {
	ctx, cancel := context.WithTimeout(t.role.Context(), upkeepTimeout)
	defer cancel()
	if !t.role.Valid() {
		return
	}
	err := t.config.Inventory.Maintain(ctx, inventory.Order{
		Machine: begin.Machine, Wave: begin.Wave, Holder: t.config.Name, Fence: runner.Fence(t.role.Fence),
	})
	if err != nil {
		t.config.Log.Warn("upkeep not confirmed", "machine", begin.Machine, "wave", begin.Wave, "error", err.Error())
	}
	if errors.Is(err, inventory.ErrFenced) {
		t.role.Resign()
		return
	}
	t.post(upkeepAnswered{begin: begin, outcome: upkeepOutcome(err)})
}

func upkeepOutcome(err error) upkeep.Outcome {
	switch {
	case err == nil:
		return upkeep.Begun
	case errors.Is(err, inventory.ErrBusy), errors.Is(err, inventory.ErrRefused):
		return upkeep.Refused
	case errors.Is(err, inventory.ErrImpossible):
		return upkeep.Impossible
	default:
		return upkeep.Unknown
	}
}

// storeReport stores the record of an upkeep wave together with the wave's status for operators. It retries until it
// succeeds or the term ends, and reports whether it succeeded.
func (t *term) storeReport(record upkeep.Record) bool {
	transaction, err := t.reportTransaction(record)
	if err != nil {
		t.config.Log.Error("encoding wave report failed", "wave", record.Number, "error", err.Error())
		t.role.Resign()
		return false
	}
	for t.role.Valid() {
		err := t.commitReport(transaction)
		var conflict *store.ConflictError
		if err == nil {
			return true
		}
		switch {
		case errors.As(err, &conflict):
			t.role.Resign()
			return false
		case errors.Is(err, store.ErrInvalid):
			// Sent again, it would be rejected again, and hold up the reports on all other waves.
			t.config.Log.Error("the store rejects a wave report", "wave", record.Number, "error", err.Error())
			t.config.Metrics.recordRejected()
			return true
		}
		t.config.Log.Warn("storing wave report failed", "wave", record.Number, "error", err.Error())
		wait.For(t.role.Context(), retryPause)
	}
	return false
}

func (t *term) reportTransaction(record upkeep.Record) (store.Transaction, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return store.Transaction{}, errors.WithStack(err)
	}
	status, err := t.config.Upkeep.EncodeStatus(record)
	if err != nil {
		return store.Transaction{}, err
	}
	return store.Transaction{
		Conditions: []store.Condition{t.role.Condition()},
		Puts: []store.Put{
			{Key: fmt.Sprintf("%s%d", upkeepPrefix, record.Number), Value: value},
			{Key: t.config.Upkeep.StatusKey(record.Number), Value: status},
		},
	}, nil
}

func (t *term) commitReport(transaction store.Transaction) error {
	ctx, cancel := context.WithTimeout(t.role.Context(), storeTimeout)
	defer cancel()
	_, err := t.config.Store.Commit(ctx, transaction)
	return err
}
