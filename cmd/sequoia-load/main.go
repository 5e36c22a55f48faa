// Command sequoia-load is an open-loop load generator: it sends requests through
// the system at a fixed rate and reports latency and outcomes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/load"
)

func main() {
	app := kingpin.New("sequoia-load", "Open-loop load generator for sequoiacove.")
	var cfg load.Config
	app.Flag("directory", "Lookup address of an instance; repeatable.").Required().StringsVar(&cfg.LookupAddresses)
	app.Flag("host", "Host name whose routes are looked up.").Required().StringVar(&cfg.Host)
	app.Flag("region", "Region of a simulated caller; repeatable.").StringsVar(&cfg.Regions)
	app.Flag("rate", "Requests per second.").Default("100").Float64Var(&cfg.Rate)
	app.Flag("duration", "Duration of the load.").Default("10s").DurationVar(&cfg.Duration)
	app.Flag("seed", "Seed of the request schedule.").Default("1").Uint64Var(&cfg.Seed)
	app.Flag("even", "Space requests evenly instead of as a Poisson process.").BoolVar(&cfg.EvenSpacing)
	app.Flag("non-idempotent", "Fraction of requests that are not idempotent, 0 to 1.").Default("0").Float64Var(&cfg.NonIdempotentFraction)
	app.Flag("work-ms", "Execution time of a request in milliseconds.").Default("5").Float64Var(&cfg.WorkMS)
	app.Flag("long-part", "Fraction of idempotent requests that run for --long-work-ms, 0 to 1.").Default("0").Float64Var(&cfg.LongFraction)
	app.Flag("long-work-ms", "Execution time of a long request in milliseconds.").Default("250").Float64Var(&cfg.LongWorkMS)
	app.Flag("deadline", "Time that a caller waits for a response.").Default(load.DefaultTimeout.String()).DurationVar(&cfg.Timeout)
	app.Flag("attempt-timeout", "Timeout of one attempt of an idempotent request; 0 for none.").Default("0s").DurationVar(&cfg.AttemptTimeout)
	app.Flag("max-in-flight", "Maximum number of requests in flight.").Default(fmt.Sprint(load.DefaultMaxInFlight)).IntVar(&cfg.MaxInFlight)
	app.Flag("body-bytes", "Body size in bytes of requests that are not idempotent.").Default("200").IntVar(&cfg.BodyBytes)
	app.Flag("run-id", "Prefix of the request tokens.").Default("run").StringVar(&cfg.RunID)
	output := app.Flag("output", "Output format: table or json.").Default("table").Enum("table", "json")
	records := app.Flag("records", "File to write one JSON record per request to.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report := load.Run(ctx, cfg)
	if err := writeReport(report, *output, *records); err != nil {
		fmt.Fprintln(os.Stderr, "sequoia-load:", err)
		os.Exit(1)
	}
}

// writeReport saves the request records if recordsFile is set and prints the summary
// in the output format.
func writeReport(report *load.Report, output, recordsFile string) error {
	if recordsFile != "" {
		if err := report.SaveRecords(recordsFile); err != nil {
			return err
		}
	}
	summary := report.Summary()
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	return summary.WriteTable(os.Stdout)
}
