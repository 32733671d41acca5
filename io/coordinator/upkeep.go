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
	// maintainTimeout bounds one call about a machine.
	maintainTimeout = time.Second
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

// maintained is the answer to the order of an upkeep.
type maintained struct {
	begin   upkeep.Begin
	outcome upkeep.Outcome
}

// waveRecorded tells that a report has been stored.
type waveRecorded struct{ record upkeep.Record }

func (waveRecorded) isEvent()   {}
func (machinesListed) isEvent() {}
func (maintained) isEvent()     {}

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
			t.skipped(errors.WithMessagef(err, "the record %s can't be read", item.Key))
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

// maintainWaves carries out what the waves need now.
func (t *term) maintainWaves(now time.Time) {
	t.wavesActive.Store(t.waves.Active())
	for _, action := range t.waves.Decide(now, t.planner.Occupancy) {
		switch a := action.(type) {
		case upkeep.Retire:
			t.config.Log.Info("worker retires for upkeep", "worker", a.Worker, "retired", a.Retired)
			t.planner.Retire(a.Worker, a.Retired)
		case upkeep.Begin:
			t.config.Log.Info("upkeep ordered", "machine", a.Machine, "wave", a.Wave)
			t.spawn(func() { t.maintain(a) })
		case upkeep.Report:
			t.config.Log.Info("wave reported", "wave", a.Record.Number, "begun", len(a.Record.Begun),
				"complete", a.Record.Complete)
			t.reports = append(t.reports, a.Record)
		}
	}
	t.sendReport()
}

// sendReport stores the next report; one is under way at a time, so that none replaces a later one.
func (t *term) sendReport() {
	if t.reporting || len(t.reports) == 0 {
		return
	}
	t.reporting = true
	record := t.reports[0]
	t.reports = t.reports[1:]
	t.spawn(func() {
		if t.reportWave(record) {
			t.post(waveRecorded{record: record})
		}
	})
}

func (t *term) maintain(begin upkeep.Begin) {
	ctx, cancel := context.WithTimeout(t.role.Context(), maintainTimeout)
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
	t.post(maintained{begin: begin, outcome: upkeepOutcome(err)})
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

// reportWave stores the record of a wave and tells the operators, until that is done or the term ends.
func (t *term) reportWave(record upkeep.Record) bool {
	transaction, err := t.waveReport(record)
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

func (t *term) waveReport(record upkeep.Record) (store.Transaction, error) {
	own, err := json.Marshal(record)
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
			{Key: fmt.Sprintf("%s%d", upkeepPrefix, record.Number), Value: own},
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
