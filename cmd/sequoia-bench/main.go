// Command sequoia-bench benchmarks traffic steering against stand-in upstreams
// and prints the results next to their targets. It exits with status 1 if a run
// fails and with status 2 if an invariant is violated; a missed target does not
// change the exit status.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/bench"
)

func main() {
	app := kingpin.New("sequoia-bench", "Benchmarks traffic steering against stand-in upstreams.")
	scenarios := app.Flag("scenario", "Scenario to run; repeatable, default all.").Enums(bench.Scenarios()...)
	sizeNames := app.Flag("size", "Size of the service; repeatable, default both.").Enums(bench.Large.Name, bench.Small.Name)
	runs := app.Flag("runs", "Number of runs of each scenario.").Default("1").Int()
	seconds := app.Flag("seconds", "Duration of the load on each variant, in seconds.").Default("6").Float64()
	seed := app.Flag("seed", "Seed of the first run; it increases by 1 with each further run.").Default("1").Uint64()
	bound := app.Flag("bound", "Instead of the scenarios, compute what an all-knowing dispatcher could serve of the deployment in this INI file.").ExistingFile()
	variant := app.Flag("variant", "Variant to run; default all.").Enum(bench.Variants()...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *bound != "" {
		if err := writeBounds(*bound, *seed, *runs); err != nil {
			fmt.Fprintln(os.Stderr, "sequoia-bench:", err)
			os.Exit(1)
		}
		return
	}
	options := bench.Options{Duration: time.Duration(*seconds * float64(time.Second)), Seed: *seed, Variant: *variant}
	report, err := run(*scenarios, *sizeNames, *runs, options)
	report.Write(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sequoia-bench:", err)
		os.Exit(1)
	}
	if report.HasViolations() {
		os.Exit(2)
	}
}

// writeBounds prints the bound of a deployment for consecutive seeds.
func writeBounds(path string, seed uint64, runs int) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	d, err := bench.ParseDeployment(data)
	if err != nil {
		return err
	}
	for i := range runs {
		if err := d.Bound(seed + uint64(i)).Write(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}

// run executes runCount runs, with consecutive seeds, of every combination of a
// scenario and a size. Empty lists select all scenarios or sizes.
func run(scenarios, sizeNames []string, runCount int, options bench.Options) (*bench.Report, error) {
	report := bench.NewReport()
	if len(scenarios) == 0 {
		scenarios = bench.Scenarios()
	}
	for _, scenario := range scenarios {
		for _, size := range selectedSizes(sizeNames) {
			for i := range runCount {
				o := options
				o.Seed += uint64(i)
				if err := bench.Run(scenario, size, o, report); err != nil {
					return report, err
				}
			}
		}
	}
	return report, nil
}

// selectedSizes returns the sizes with the given names, or all sizes if no name is
// given.
func selectedSizes(names []string) []bench.Size {
	if len(names) == 0 {
		return []bench.Size{bench.Large, bench.Small}
	}
	var sizes []bench.Size
	for _, name := range names {
		if name == bench.Large.Name {
			sizes = append(sizes, bench.Large)
		} else {
			sizes = append(sizes, bench.Small)
		}
	}
	return sizes
}
