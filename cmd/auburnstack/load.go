package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"auburnstack/io/load"
)

type loadCommand struct {
	Plan   string `arg:"required" help:"INI file with the load to send"`
	Report string `help:"write the outcome of every request and job to this file as JSON"`
}

func (c *loadCommand) run(ctx context.Context) error {
	plan, err := load.ReadPlan(c.Plan)
	if err != nil {
		return &exitError{code: exitInvalidInput, cause: err.Error()}
	}
	report := load.NewRunner(plan).Run(ctx, os.Stderr)
	report.Write(os.Stdout)
	if c.Report != "" {
		if err := writeJSON(c.Report, report); err != nil {
			return err
		}
	}
	counts := report.Count()
	if counts.Wrong > 0 || counts.JobsFinished < counts.JobsAccepted {
		return &exitError{code: exitChecksFailed, cause: "answers were wrong, or accepted jobs did not finish"}
	}
	return nil
}

func writeJSON(file string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(file, text, 0o600))
}
