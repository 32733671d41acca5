// Package command implements the command line of the standin tool.
package command

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"run the key-value service and serve the list"`
	Worker   *workerCommand   `arg:"subcommand:worker" help:"run the endpoints of a failure domain"`
	Site     *siteCommand     `arg:"subcommand:site" help:"write the settings, tables, list and load plan of a small site"`
	Verify   *verifyCommand   `arg:"subcommand:verify" help:"compare the load report with the journals of the workers"`
}

// Description returns the text that --help shows first.
func (arguments) Description() string {
	return "standin runs a simulated platform and simulated endpoints for demos and tests."
}

// Execute runs the command line of this process and returns its exit code.
func Execute() int {
	if err := execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return 1
	}
	return 0
}

func execute() error {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case args.Platform != nil:
		err = args.Platform.run(ctx)
	case args.Worker != nil:
		err = args.Worker.run(ctx)
	case args.Site != nil:
		err = args.Site.run()
	case args.Verify != nil:
		err = args.Verify.run()
	default:
		parser.Fail("a subcommand is required")
	}
	return err
}
