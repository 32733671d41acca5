// Command decisions measures the scheduler on seeded arrival sequences. It compares its placement policy with
// baselines.
package main

import (
	"encoding/csv"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"auburnstack/core/placement"
	"auburnstack/core/route"
)

type arguments struct {
	Out      string   `default:"out" help:"folder for CSV files and plots"`
	Seeds    int      `default:"3" help:"number of arrival sequences for each site"`
	Sites    []string `help:"kingston, association, two-years; default: the first two"`
	Capacity bool     `help:"measure time and memory of decisions from 48 to 20000 workers instead"`
}

// namedPolicy is a placement policy and its name. The printed results, CSV files and plots show this name.
type namedPolicy struct {
	name   string
	policy func(seed uint64) placement.Policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"adjacent", func(uint64) placement.Policy { return placement.Adjacent{} }},
		{"first fit", func(uint64) placement.Policy { return placement.FirstFit{} }},
		{"best fit", func(uint64) placement.Policy { return placement.BestFit{} }},
		{"random", func(seed uint64) placement.Policy {
			return placement.Random{Source: rand.New(rand.NewPCG(seed, 3))}
		}},
	}
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, "decisions:", err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	if args.Capacity {
		return measureCapacity()
	}
	if err := os.MkdirAll(args.Out, 0o750); err != nil {
		return errors.WithStack(err)
	}
	sites := args.Sites
	if len(sites) == 0 {
		sites = []string{"kingston", "association"}
	}
	for _, name := range sites {
		if err := compare(args, siteWorkload(name)); err != nil {
			return err
		}
	}
	return nil
}

func siteWorkload(name string) workload {
	switch name {
	case "association":
		return association()
	case "two-years":
		return twoYears()
	default:
		return kingston()
	}
}

var header = []string{
	"policy", "seed", "urgent mean", "urgent p99", "long mean", "long p99", "long slowdown", "batch mean", "batch p99",
	"unusable free", "largest in rack", "racks/fewest", "work out and back", "work repeated", "stops", "reclaims",
	"decision p99",
}

// compare replays the same arrival sequences with every policy. It prints the table of results and writes the CSV file
// and the plot.
func compare(args arguments, p workload) error {
	var rows [][]string
	series := map[string][]float64{}
	fmt.Printf("== %s\n", p.name)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	printRow(w, header)
	for seed := range args.Seeds {
		for _, n := range policies() {
			r := newReplay(p, n.policy(uint64(seed)), uint64(seed)).run()
			row := r.row(n.name, seed)
			printRow(w, row)
			rows = append(rows, row)
			if seed == 0 {
				series[n.name] = r.series
			}
		}
	}
	if err := w.Flush(); err != nil {
		return errors.WithStack(err)
	}
	if err := writeCSV(filepath.Join(args.Out, p.name+".csv"), rows); err != nil {
		return err
	}
	return writePlot(filepath.Join(args.Out, p.name+".png"), p, series)
}

func printRow(w *tabwriter.Writer, row []string) {
	for _, value := range row {
		fmt.Fprintf(w, "%s\t", value)
	}
	fmt.Fprintln(w)
}

func (r *result) row(name string, seed int) []string {
	seconds := func(d time.Duration) string { return fmt.Sprintf("%.0fs", d.Seconds()) }
	return []string{
		name, fmt.Sprint(seed), seconds(r.mean(route.Urgent)), seconds(r.p99(route.Urgent)),
		seconds(r.mean(route.Long)), seconds(r.p99(route.Long)), fmt.Sprintf("%.2f", r.meanSlowdown(route.Long)),
		seconds(r.mean(route.Batch)), seconds(r.p99(route.Batch)), fmt.Sprintf("%.3f", r.unusableShare()),
		fmt.Sprintf("%.2f", r.largestFree/float64(max(r.samples, 1))),
		fmt.Sprintf("%.2f", r.rackSpread/float64(max(r.gangs, 1))),
		fmt.Sprintf("%.0fh", r.outWork),
		fmt.Sprintf("%.0fs", r.repeatedWork), fmt.Sprint(r.stops), fmt.Sprint(r.reclaims),
		time.Duration(r.decision.ValueAtQuantile(99)).String(),
	}
}

func writeCSV(file string, rows [][]string) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.WithStack(err)
	}
	w := csv.NewWriter(f)
	err = w.WriteAll(append([][]string{header}, rows...))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.WithStack(err)
}

// writePlot draws one line for each policy: the share of the accelerators that are free but that no waiting job can
// use, in each sample of the first sequence.
func writePlot(file string, p workload, series map[string][]float64) error {
	chart := plot.New()
	chart.Title.Text = p.name + ": free accelerators that no waiting job can use"
	chart.X.Label.Text = "sample"
	chart.Y.Label.Text = "part of a failure domain"
	for i, n := range policies() {
		points := make(plotter.XYs, len(series[n.name]))
		for k, y := range series[n.name] {
			points[k].X, points[k].Y = float64(k), y
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.WithStack(err)
		}
		line.Color = colors[i]
		chart.Add(line)
		chart.Legend.Add(n.name, line)
	}
	return errors.WithStack(chart.Save(24*vg.Centimeter, 12*vg.Centimeter, file))
}
