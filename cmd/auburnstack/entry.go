package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"auburnstack/io/linelog"
	"auburnstack/platform/entry"
)

// settingsVariable is the name of the environment variable with the path of the settings file. The flag --settings
// overrides the environment variable.
const settingsVariable = "AUBURNSTACK_SETTINGS"

type entryCommand struct {
	Settings string `arg:"env:AUBURNSTACK_SETTINGS" help:"INI file with the VM's settings"`
	Check    bool   `help:"check the settings and exit"`
	LogLevel string `arg:"--log-level" default:"info" help:"trace, debug, info, warn or error"`
}

func (c *entryCommand) run(ctx context.Context) error {
	if c.Settings == "" {
		return &exitError{code: exitInvalidInput, cause: "--settings or " + settingsVariable + " is required"}
	}
	if c.Check {
		if err := entry.Check(c.Settings); err != nil {
			return &exitError{code: exitInvalidInput, cause: err.Error()}
		}
		return nil
	}
	lines := linelog.New(os.Stdout)
	defer lines.Close()
	log := hclog.New(&hclog.LoggerOptions{
		Level: hclog.LevelFromString(c.LogLevel), JSONFormat: true, Output: lines, DisableTime: false,
	})
	return serve(ctx, log, func() (daemon, error) { return entry.New(c.Settings, log) })
}

// daemon is a running entry.Daemon.
type daemon interface {
	// Reload applies the settings file again.
	Reload() error
	// Close stops the daemon and waits until it has stopped.
	Close()
}

// serve starts a daemon and runs it until the context ends. It reloads the settings at each SIGHUP, which would end the
// process if it arrived while nothing listens for it.
func serve(ctx context.Context, log hclog.Logger, start func() (daemon, error)) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	running, err := start()
	if err != nil {
		log.Error("daemon failed to start", "error", err.Error())
		return err
	}
	for {
		select {
		case <-ctx.Done():
			begun := time.Now()
			log.Info("leaving")
			running.Close()
			log.Info("stopped", "took", time.Since(begun).String())
			return nil
		case <-reload:
			if err := running.Reload(); err != nil {
				log.Error("settings not reloaded", "error", fmt.Sprint(err))
			}
		}
	}
}
