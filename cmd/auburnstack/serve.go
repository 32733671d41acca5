package main

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/io/entry"
	"auburnstack/io/settings"
	"auburnstack/platform"
)

type serveCommand struct {
	Settings string `arg:"required" help:"INI file with the VM's settings"`
	Check    bool   `help:"check the settings and exit"`
}

func (c *serveCommand) run(ctx context.Context) error {
	loaded, err := settings.Load(c.Settings)
	if err != nil {
		return &exitError{code: exitInvalidInput, cause: err.Error()}
	}
	if c.Check {
		return nil
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name: string(loaded.VM.Name), Level: hclog.LevelFromString(loaded.Log.Level), JSONFormat: loaded.Log.JSON,
	})
	store := platform.NewStore(loaded.Platform.Address, func(call string, took time.Duration, err error) {
		if err != nil {
			log.Debug("store call failed", "call", call, "took", took.String(), "error", err.Error())
		}
	})
	defer store.Close()
	daemon, err := entry.NewDaemon(loaded, store, log)
	if err != nil {
		return err
	}
	log.Info("serving", "callers", loaded.VM.CallerAddress, "operators", loaded.VM.OperatorAddress)
	<-ctx.Done()
	log.Info("leaving")
	daemon.Close()
	log.Info("stopped")
	return nil
}
