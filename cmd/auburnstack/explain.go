package main

import (
	"io"
	"os"

	"github.com/pkg/errors"

	"auburnstack/core/jobtrace"
)

type explainCommand struct {
	Job  string   `arg:"positional,required" help:"ID of the job"`
	Logs []string `arg:"positional" help:"log files of any number of VMs; standard input if none is named"`
}

func (c *explainCommand) run() error {
	var logs []io.Reader
	for _, path := range c.Logs {
		file, err := os.Open(path)
		if err != nil {
			return errors.WithStack(err)
		}
		defer func() { _ = file.Close() }()
		logs = append(logs, file)
	}
	if len(logs) == 0 {
		logs = append(logs, os.Stdin)
	}
	lines, err := jobtrace.Read(c.Job, logs...)
	if err != nil {
		return err
	}
	return jobtrace.Write(os.Stdout, lines)
}
