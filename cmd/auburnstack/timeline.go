package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/timeline"
	"auburnstack/io/operator"
)

type timelineCommand struct {
	operatorAccess
	Follow bool   `help:"keep running and print new events"`
	Trace  string `help:"write trace JSON to this file instead of text"`
}

// followInterval is the time between two reads of the timeline of events.
const followInterval = time.Second

func (c *timelineCommand) run(ctx context.Context) error {
	events, err := c.read(ctx)
	if err != nil {
		return err
	}
	if c.Trace != "" {
		return writeTrace(c.Trace, events)
	}
	if err := timeline.WriteText(os.Stdout, events); err != nil || !c.Follow {
		return err
	}
	return c.follow(ctx, events)
}

func (c *timelineCommand) read(ctx context.Context) ([]timeline.Event, error) {
	var view operator.TimelineReply
	err := c.client().get(ctx, "/v1/timeline", &view)
	return view.Events, err
}

// follow reads the timeline repeatedly and prints the events that are new in each read, in order.
func (c *timelineCommand) follow(ctx context.Context, shown []timeline.Event) error {
	seen := map[timeline.Event]bool{}
	for _, event := range shown {
		seen[event] = true
	}
	for ctx.Err() == nil {
		time.Sleep(followInterval)
		events, err := c.read(ctx)
		if err != nil {
			continue
		}
		var newEvents []timeline.Event
		for _, event := range events {
			if !seen[event] {
				seen[event] = true
				newEvents = append(newEvents, event)
			}
		}
		if err := timeline.WriteText(os.Stdout, newEvents); err != nil {
			return err
		}
	}
	return nil
}

func writeTrace(file string, events []timeline.Event) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := timeline.WriteTrace(f, events); err != nil {
		_ = f.Close()
		return err
	}
	return errors.WithStack(f.Close())
}
