package main

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"auburnstack/platform"
)

type checkCommand struct {
	Config       string `arg:"positional,required" help:"file with the value of op/config, as JSON"`
	Current      string `help:"file with the version in force; shows the differences"`
	Accelerators int64  `help:"number of accelerators of all workers; checks the sum of the guarantees"`
	Strict       bool   `help:"exit with 6 for warnings, too"`
}

func (c *checkCommand) run() error {
	text, err := os.ReadFile(c.Config)
	if err != nil {
		return errors.WithStack(err)
	}
	report := platform.CheckConfig(text, c.Accelerators)
	changes, err := c.compare(text, &report)
	if err != nil {
		return err
	}
	c.write(os.Stdout, &report, changes)
	if len(report.Errors) > 0 || c.Strict && len(report.Warnings) > 0 {
		return &exitError{code: exitInvalidInput, cause: fmt.Sprintf("%s: errors: %d, warnings: %d",
			c.Config, len(report.Errors), len(report.Warnings))}
	}
	return nil
}

// compare returns the differences from the version in force. It adds a warning if the version number does not rise.
func (c *checkCommand) compare(text []byte, report *platform.ConfigReport) ([]string, error) {
	if c.Current == "" {
		return nil, nil
	}
	current, err := os.ReadFile(c.Current)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	changes, newer, err := platform.CompareConfigs(current, text)
	switch {
	case err != nil && len(report.Errors) > 0:
		// The report says already that the new configuration can't be read.
		return nil, nil
	case err != nil:
		return nil, &exitError{code: exitInvalidInput, cause: c.Current + ": " + err.Error()}
	case !newer:
		report.Warnings = append(report.Warnings, platform.Problem{
			Path: "version", Message: "it is not above that of the version in force",
		})
	}
	return changes, nil
}

func (c *checkCommand) write(out io.Writer, report *platform.ConfigReport, changes []string) {
	for _, problem := range report.Errors {
		_, _ = fmt.Fprintln(out, "error:", problem)
	}
	for _, problem := range report.Warnings {
		_, _ = fmt.Fprintln(out, "warning:", problem)
	}
	for _, change := range changes {
		_, _ = fmt.Fprintln(out, "change:", change)
	}
	_, _ = fmt.Fprintf(out, "errors: %d, warnings: %d, changes: %d\n",
		len(report.Errors), len(report.Warnings), len(changes))
}
