package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"auburnstack/core/job"
	"auburnstack/core/route"
	"auburnstack/core/shape"
	"auburnstack/io/jobs"
)

type jobCommand struct {
	Submit *jobSubmitCommand `arg:"subcommand:submit" help:"submit a job"`
	Status *jobIDCommand     `arg:"subcommand:status" help:"show a job"`
	Wait   *jobIDCommand     `arg:"subcommand:wait" help:"wait for the end of a job"`
	Cancel *jobIDCommand     `arg:"subcommand:cancel" help:"cancel a job"`
	Result *jobIDCommand     `arg:"subcommand:result" help:"print the result of a finished job"`
}

func (c *jobCommand) run(ctx context.Context, parser *arg.Parser) error {
	switch {
	case c.Submit != nil:
		return c.Submit.run(ctx)
	case c.Status != nil:
		return c.Status.show(ctx, http.MethodGet)
	case c.Wait != nil:
		return c.Wait.wait(ctx)
	case c.Cancel != nil:
		return c.Cancel.show(ctx, http.MethodDelete)
	case c.Result != nil:
		return c.Result.result(ctx)
	default:
		return parser.FailSubcommand("a subcommand is required", "job")
	}
}

type jobSubmitCommand struct {
	callerAccess
	Kind    string `arg:"positional,required" help:"kind of work, as the routes table names it"`
	ID      string `arg:"required" help:"ID of the job; submitting the same ID again does not create another job"`
	Shape   string `default:"1x1" help:"MEMBERSxACCELERATORS"`
	Payload string `help:"input of the job"`
}

func (c *jobSubmitCommand) run(ctx context.Context) error {
	wanted, err := shape.Parse(c.Shape)
	if err != nil {
		return &exitError{code: exitInvalidInput, cause: err.Error()}
	}
	body, err := json.Marshal(jobs.Submission{
		ID: job.ID(c.ID), Kind: route.Kind(c.Kind), Shape: wanted, Payload: []byte(c.Payload),
	})
	if err != nil {
		return errors.WithStack(err)
	}
	record, err := callJob(ctx, c.client(), http.MethodPost, "/v1/jobs", body)
	if err != nil {
		return err
	}
	printJob(record)
	return nil
}

type jobIDCommand struct {
	callerAccess
	ID string `arg:"positional,required" help:"ID of the job"`
}

func (c *jobIDCommand) read(ctx context.Context, method string) (job.Record, error) {
	return callJob(ctx, c.client(), method, "/v1/jobs/"+c.ID, nil)
}

func (c *jobIDCommand) show(ctx context.Context, method string) error {
	record, err := c.read(ctx, method)
	if err != nil {
		return err
	}
	printJob(record)
	return nil
}

// jobWaitInterval is the time between two queries of the job's state.
const jobWaitInterval = 300 * time.Millisecond

// wait polls until the job has ended. A reply with the outcome NotRun ends the wait early; after any other error the
// polling continues.
func (c *jobIDCommand) wait(ctx context.Context) error {
	for {
		record, err := c.read(ctx, http.MethodGet)
		if err == nil && record.State.Final() {
			printJob(record)
			return nil
		}
		if exitCode(err) == exitNotRun {
			return err
		}
		select {
		case <-time.After(jobWaitInterval):
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
}

func (c *jobIDCommand) result(ctx context.Context) error {
	record, err := c.read(ctx, http.MethodGet)
	if err != nil {
		return err
	}
	if record.State != job.Finished {
		return errors.Errorf("the job is %s", record.State)
	}
	_, err = os.Stdout.Write(record.Result)
	return errors.WithStack(err)
}

func callJob(ctx context.Context, c *client, method, path string, body []byte) (job.Record, error) {
	got, err := c.call(ctx, method, path, nil, body)
	if err != nil {
		return job.Record{}, &exitError{code: exitUnknown, cause: "Unknown: " + err.Error()}
	}
	if got.status != http.StatusOK {
		return job.Record{}, refusalError(got)
	}
	var record job.Record
	return record, errors.WithStack(json.Unmarshal(got.body, &record))
}

func printJob(record job.Record) {
	fmt.Printf("%s %s, attempt %d, shape %s, in %s",
		record.ID, record.State, record.Attempt, record.Shape, record.FailureDomain)
	if record.Reason != "" {
		fmt.Printf(": %s", record.Reason)
	}
	fmt.Println()
}
