// Command sequoia-load sends requests through the system at a fixed rate and
// reports latency and outcomes.
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
	app.Flag("directory", "Look-up address of an instance; repeatable.").Required().StringsVar(&cfg.LookupAddresses)
	app.Flag("host", "Name under which the routes are listed.").Required().StringVar(&cfg.Host)
	app.Flag("region", "Region of a simulated caller; repeatable.").StringsVar(&cfg.Regions)
	app.Flag("rate", "Requests per second.").Default("100").Float64Var(&cfg.Rate)
	app.Flag("duration", "How long to send.").Default("10s").DurationVar(&cfg.Duration)
	app.Flag("seed", "Seed of the plan.").Default("1").Uint64Var(&cfg.Seed)
	app.Flag("even", "Space requests evenly instead of as a Poisson process.").BoolVar(&cfg.EvenSpacing)
	app.Flag("non-idempotent", "Part of requests that are not idempotent, 0 to 1.").Default("0").Float64Var(&cfg.NonIdempotentFraction)
	app.Flag("work-ms", "Execution time that a request asks for.").Default("5").Float64Var(&cfg.WorkMS)
	app.Flag("long-part", "Part of requests that ask for --long-work-ms.").Default("0").Float64Var(&cfg.LongFraction)
	app.Flag("long-work-ms", "Execution time of long requests.").Default("250").Float64Var(&cfg.LongWorkMS)
	app.Flag("deadline", "Time a caller waits for an answer.").Default(load.DefaultDeadline.String()).DurationVar(&cfg.Deadline)
	app.Flag("attempt-timeout", "Bound of one submission of an idempotent request; 0 for none.").Default("0s").DurationVar(&cfg.AttemptTimeout)
	app.Flag("max-in-flight", "Bound of open requests.").Default(fmt.Sprint(load.DefaultMaxInFlight)).IntVar(&cfg.MaxInFlight)
	app.Flag("body-bytes", "Body size of requests that are not idempotent.").Default("200").IntVar(&cfg.BodyBytes)
	app.Flag("run-id", "Prefix of the request tokens.").Default("run").StringVar(&cfg.RunID)
	output := app.Flag("output", "table or json.").Default("table").Enum("table", "json")
	records := app.Flag("records", "File that receives one JSON record per request.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report := load.Run(ctx, cfg)
	if err := write(report, *output, *records); err != nil {
		fmt.Fprintln(os.Stderr, "sequoia-load:", err)
		os.Exit(1)
	}
}

func write(report *load.Report, output, records string) error {
	if records != "" {
		if err := report.SaveRecords(records); err != nil {
			return err
		}
	}
	summary := report.Summary()
	if output == "json" {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	return summary.WriteTable(os.Stdout)
}
