// Command sequoia-bench measures the steering against stand-in upstreams and
// prints the figures beside their targets. It exits with an error when an
// invariant breaks, not when a target is missed.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/bench"
)

func main() {
	app := kingpin.New("sequoia-bench", "Measures the steering against stand-in upstreams.")
	names := app.Flag("scenario", "Scenario to run; repeat for several, default all.").Enums(bench.Scenarios()...)
	sizes := app.Flag("size", "Size of the service; repeat for several, default both.").Enums(bench.Large.Name, bench.Small.Name)
	runs := app.Flag("runs", "Runs of each scenario.").Default("1").Int()
	seconds := app.Flag("seconds", "Length of the arrivals of each variant in seconds.").Default("6").Float64()
	seed := app.Flag("seed", "Seed of the first run; later runs add to it.").Default("1").Uint64()
	variant := app.Flag("variant", "Variant to run; default all.").Enum(bench.Variants()...)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	options := bench.Options{Duration: time.Duration(*seconds * float64(time.Second)), Seed: *seed, Variant: *variant}
	report, err := run(*names, *sizes, *runs, options)
	report.Write(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "sequoia-bench:", err)
		os.Exit(1)
	}
	if report.Broken() {
		os.Exit(2)
	}
}

func run(names, sizes []string, runs int, options bench.Options) (*bench.Report, error) {
	report := bench.NewReport()
	if len(names) == 0 {
		names = bench.Scenarios()
	}
	for _, name := range names {
		for _, size := range selectedSizes(sizes) {
			for i := range runs {
				o := options
				o.Seed += uint64(i)
				if err := bench.Run(name, size, o, report); err != nil {
					return report, err
				}
			}
		}
	}
	return report, nil
}

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
