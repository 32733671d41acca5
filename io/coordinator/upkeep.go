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
	// machinesInterval is the time between two readings of the machines while a wave is under way.
	machinesInterval = time.Second
	// upkeepTimeout bounds one call about a machine.
	upkeepTimeout = time.Second
	// upkeepPrefix is that of the records of waves.
	upkeepPrefix = "auburnstack/upkeep/"
)

// UpkeepCodec writes what operators read of a wave.
type UpkeepCodec interface {
	// StatusKey is the key that operators read.
	StatusKey(number upkeep.Number) string
	// EncodeStatus returns its value.
	EncodeStatus(record upkeep.Record) ([]byte, error)
}

// machinesListed holds all machines.
type machinesListed struct{ machines []machine.Machine }

// upkeepAnswered is the answer to the order of an upkeep.
type upkeepAnswered struct {
	begin   upkeep.Begin
	outcome upkeep.Outcome
}

// waveRecorded tells that a report has been stored.
type waveRecorded struct{ record upkeep.Record }

func (waveRecorded) isEvent()   {}
func (machinesListed) isEvent() {}
func (upkeepAnswered) isEvent() {}

// readWaves reads what earlier leaders have recorded of waves.
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

// watchMachines reads the machines while a wave is under way.
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
		t.config.Log.Warn("machines not read", "error", err.Error())
		return
	}
	t.post(machinesListed{machines: machines})
}

// advanceWaves carries out what the waves need now.
func (t *term) advanceWaves(now time.Time) {
	t.wavesActive.Store(t.waves.Active())
	for _, action := range t.waves.Decide(now, t.planner.Occupied) {
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

// storeNextReport stores the next report; one is under way at a time, so that none replaces a later one.
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

// storeReport stores the record of a wave and tells the operators, until that is done or the term ends.
func (t *term) storeReport(record upkeep.Record) bool {
	transaction, err := t.reportTransaction(record)
	if err != nil {
		t.config.Log.Error("wave not reported", "wave", record.Number, "error", err.Error())
		t.role.Resign()
		return false
	}
	for t.role.Valid() {
		err := t.commitReport(transaction)
		var conflict *store.ConflictError
		if err == nil {
			return true
		}
		if errors.As(err, &conflict) {
			t.role.Resign()
			return false
		}
		t.config.Log.Warn("wave not reported", "wave", record.Number, "error", err.Error())
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
