// Command graphs measures the planner of job graphs on simulated, seeded loads. It compares the planner with baselines
// and with an oracle that has true estimates and no faulty workers.
package main

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"auburnstack/core/planner"
)

type arguments struct {
	Out      string   `default:"out" help:"folder for the CSV file and plots"`
	Seeds    int      `default:"10" help:"number of sequences for each pattern"`
	Sites    []string `help:"kingston, association; default: both"`
	Patterns []string `help:"patterns to simulate; default: all"`
	Variants []string `help:"variants to simulate; default: all"`
}

// variant is a planner configuration with the name under which its results are printed.
type variant struct {
	name  string
	order planner.Order
	fit   planner.Fit
	// exactEstimates gives the planner the true durations of tasks as estimates. No caller knows the true durations.
	exactEstimates bool
	// noFaults removes slow, failing and stalled workers from the pattern.
	noFaults bool
	// learnSpeeds makes the planner learn the speeds of workers.
	learnSpeeds bool
}

func variants() []variant {
	return []variant{
		{name: "product"},
		{name: "speeds", learnSpeeds: true},
		{name: "arrival", order: planner.ByArrival{}},
		{name: "shortest", order: planner.ByWork{}},
		{name: "objective", order: planner.ByObjective{}},
		{name: "random", order: planner.RandomOrder{Seed: 1}},
		{name: "best-fit", fit: planner.BestFit{}},
		{name: "first-fit", fit: planner.FirstFit{}},
		{name: "oracle", exactEstimates: true, noFaults: true},
	}
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if err := execute(args); err != nil {
		fmt.Fprintln(os.Stderr, "graphs:", err)
		os.Exit(1)
	}
}

func execute(args arguments) error {
	if err := os.MkdirAll(args.Out, 0o750); err != nil {
		return errors.WithStack(err)
	}
	file, err := os.Create(filepath.Join(args.Out, "graphs.csv"))
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	rows := csv.NewWriter(file)
	defer rows.Flush()
	header := []string{"site", "pattern", "variant"}
	for _, c := range columns {
		header = append(header, c.name, c.name+"-half")
	}
	if err := rows.Write(header); err != nil {
		return errors.WithStack(err)
	}
	for _, s := range []site{kingston(), association()} {
		if len(args.Sites) > 0 && !slices.Contains(args.Sites, s.name) {
			continue
		}
		if err := compare(args, s, rows); err != nil {
			return err
		}
	}
	return nil
}

// column is a column of the printed table of results. The function value returns the figure of the column for one
// sequence.
type column struct {
	name  string
	value func(r *result) float64
}

var columns = []column{
	{"credit", func(r *result) float64 { return r.credit }},
	{"urgent", func(r *result) float64 { return r.urgent }},
	{"largest", func(r *result) float64 { return r.largest }},
	{"account", func(r *result) float64 { return r.worstAccount }},
	{"seconds", func(r *result) float64 { return r.completion }},
	{"wasted", func(r *result) float64 { return r.wasted }},
	{"whole", func(r *result) float64 { return r.emptyWorkers }},
	{"done-out", func(r *result) float64 { return r.outWork }},
}

// compare simulates every pattern of a site with every variant on the same sequences. It writes the table of results,
// the CSV rows and the plot.
func compare(args arguments, s site, rows *csv.Writer) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "%s\t", s.name)
	for _, c := range columns {
		fmt.Fprintf(table, "%s\t", c.name)
	}
	fmt.Fprintln(table)
	credits := map[string][]float64{}
	var names []string
	for _, p := range patterns() {
		if len(args.Patterns) > 0 && !slices.Contains(args.Patterns, p.name) {
			continue
		}
		names = append(names, p.name)
		for _, v := range variants() {
			if len(args.Variants) > 0 && !slices.Contains(args.Variants, v.name) {
				continue
			}
			estimates := summarize(simulateSeeds(&s, p, v, args.Seeds))
			credits[v.name] = append(credits[v.name], estimates[0].mean)
			if err := writeRow(table, rows, []string{s.name, p.name, v.name}, estimates); err != nil {
				return err
			}
		}
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	return plotCredits(filepath.Join(args.Out, "graphs-"+s.name+".png"), s.name, names, credits)
}

// simulateSeeds simulates one sequence for each seed, several at a time, and returns their results.
func simulateSeeds(s *site, p pattern, v variant, seeds int) []result {
	if v.noFaults {
		p.slow, p.failing, p.stalled = 0, 0, 0
	}
	results := make([]result, seeds)
	var group sync.WaitGroup
	const parallel = 4
	slots := make(chan struct{}, parallel)
	for i := range seeds {
		group.Go(func() {
			slots <- struct{}{}
			results[i] = simulate(s, &p, v, uint64(i+1)).result()
			<-slots
		})
	}
	group.Wait()
	return results
}

func summarize(results []result) []meanEstimate {
	var estimates []meanEstimate
	for _, c := range columns {
		var values []float64
		for i := range results {
			values = append(values, c.value(&results[i]))
		}
		estimates = append(estimates, estimateMean(values))
	}
	return estimates
}

func writeRow(table *tabwriter.Writer, rows *csv.Writer, names []string, estimates []meanEstimate) error {
	fmt.Fprintf(table, "%s %s\t", names[1], names[2])
	row := slices.Clone(names)
	for _, e := range estimates {
		fmt.Fprintf(table, "%.3f ±%.3f\t", e.mean, e.halfWidth)
		row = append(row, fmt.Sprintf("%.4f", e.mean), fmt.Sprintf("%.4f", e.halfWidth))
	}
	fmt.Fprintln(table)
	return errors.WithStack(rows.Write(row))
}

// plotCredits writes a bar chart of the mean credit of each variant for each pattern.
func plotCredits(path, title string, names []string, credits map[string][]float64) error {
	const barWidth = vg.Length(6)
	p := plot.New()
	p.Title.Text = title + ": worth earned of the worth offered"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = true
	for i, v := range variants() {
		values, simulated := credits[v.name]
		if !simulated {
			continue
		}
		bars, err := plotter.NewBarChart(plotter.Values(values), barWidth)
		if err != nil {
			return errors.WithStack(err)
		}
		bars.Color = palette[i%len(palette)]
		bars.LineStyle.Width = 0
		bars.Offset = barWidth * vg.Length(float64(i)-float64(len(variants())-1)/2)
		p.Add(bars)
		p.Legend.Add(v.name, bars)
	}
	p.NominalX(names...)
	return errors.WithStack(p.Save(40*vg.Centimeter, 14*vg.Centimeter, path))
}
