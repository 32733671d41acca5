package main

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"auburnstack/io/operator"
)

type statusCommand struct {
	operatorAccess
}

func (c *statusCommand) run(ctx context.Context) error {
	var fleet operator.FleetReply
	if err := c.client().get(ctx, "/v1/fleet", &fleet); err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printVMs(w, fleet)
	printDomains(w, fleet)
	printPools(w, fleet)
	return w.Flush()
}

func printVMs(w *tabwriter.Writer, fleet operator.FleetReply) {
	fmt.Fprintln(w, "VM\tDOMAIN\tSTATE\tREVISION\tPROVEN\tREQUESTS\tQUEUED")
	for _, v := range fleet.VMs {
		state := "live"
		if v.Leaving {
			state = "leaving"
		}
		age := (time.Duration(v.FreshMillis) * time.Millisecond).String() + " ago"
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%d\n", v.VM, v.FailureDomain, state, v.Revision, age, v.Running, v.Queued)
	}
	for _, name := range fleet.Unreachable {
		fmt.Fprintf(w, "%s\t\tunreachable\n", name)
	}
}

// printDomains prints a row for each failure domain, with the figures of the VM that runs the scheduler of this failure
// domain.
func printDomains(w *tabwriter.Writer, fleet operator.FleetReply) {
	fmt.Fprintln(w, "\nDOMAIN\tSCHEDULER\tACCELERATORS\tFREE\tFREE IN ONE RACK\tRUNNING\tWAITING\tUNBOUND\tFROZEN")
	for _, v := range fleet.VMs {
		s := v.Controller
		if s.Scheduler == "" {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d workers\t%d\t%d\t%d\t%t\n", s.Summary.FailureDomain, s.Scheduler,
			s.Summary.Accelerators, s.Summary.Free, s.Summary.LargestFree, s.Summary.Running, s.Summary.Waiting,
			s.Summary.UnboundBlocks, s.Frozen)
	}
}

func printPools(w *tabwriter.Writer, fleet operator.FleetReply) {
	fmt.Fprintln(w, "\nPOOL\tDOMAIN\tBLOCKS\tBOUND\tUSED\tBORROWED")
	for _, v := range fleet.VMs {
		for _, use := range v.Controller.Pools {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", use.Pool, v.FailureDomain, use.Blocks, use.Bound, use.Used, use.Borrowed)
		}
	}
}
