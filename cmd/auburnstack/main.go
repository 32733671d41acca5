// Command auburnstack is the daemon of an entry VM and the command-line tool of operators and callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Serve    *serveCommand    `arg:"subcommand:serve" help:"run the daemon of an entry VM"`
	Entry    *entryCommand    `arg:"subcommand:entry" help:"run the daemon of an entry VM on the users' platform"`
	Check    *checkCommand    `arg:"subcommand:check" help:"check a configuration of the users' platform"`
	Tables   *tablesCommand   `arg:"subcommand:tables" help:"read and edit the operators' tables"`
	Request  *requestCommand  `arg:"subcommand:request" help:"send an urgent request"`
	Job      *jobCommand      `arg:"subcommand:job" help:"submit and follow jobs"`
	Status   *statusCommand   `arg:"subcommand:status" help:"show VMs, failure domains and pools"`
	Timeline *timelineCommand `arg:"subcommand:timeline" help:"show the events of all VMs in one order"`
	Explain  *explainCommand  `arg:"subcommand:explain" help:"show the history of a job from the logs of the VMs"`
	Load     *loadCommand     `arg:"subcommand:load" help:"send a mixed load and check every reply"`
}

// Description returns the text that --help shows first.
func (arguments) Description() string {
	return "auburnstack schedules multi-accelerator jobs and urgent requests under client account guarantees."
}

// Epilogue returns the text that --help shows last.
func (arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 another edit came first, 4 not run, 5 unknown whether run, " +
		"6 mistakes in the input, 7 not in force everywhere, 8 load checks failed."
}

func main() {
	os.Exit(execute(os.Args[1:]))
}

// execute runs one command line and returns the exit code.
func execute(commandLine []string) int {
	var args arguments
	parser, err := arg.NewParser(arg.Config{Program: "auburnstack"}, &args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "auburnstack:", err)
		return exitFailed
	}
	parser.MustParse(commandLine)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, parser, args); err != nil {
		fmt.Fprintln(os.Stderr, "auburnstack:", err)
		return exitCode(err)
	}
	return 0
}

func run(ctx context.Context, parser *arg.Parser, args arguments) error {
	switch {
	case args.Serve != nil:
		return args.Serve.run(ctx)
	case args.Entry != nil:
		return args.Entry.run(ctx)
	case args.Check != nil:
		return args.Check.run()
	case args.Tables != nil:
		return args.Tables.run(ctx, parser)
	case args.Request != nil:
		return args.Request.run(ctx)
	case args.Job != nil:
		return args.Job.run(ctx, parser)
	case args.Status != nil:
		return args.Status.run(ctx)
	case args.Timeline != nil:
		return args.Timeline.run(ctx)
	case args.Explain != nil:
		return args.Explain.run()
	case args.Load != nil:
		return args.Load.run(ctx)
	default:
		parser.Fail("a subcommand is required")
		return nil
	}
}
