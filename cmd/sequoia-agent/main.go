// Command sequoia-agent runs the control plane of one instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/agent"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

func main() {
	app := kingpin.New("sequoia-agent", "Control plane of one instance: configuration, membership and the operator API.")
	file := app.Flag("settings", "Settings file of the instance.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*file); err != nil {
		fmt.Fprintln(os.Stderr, "sequoia-agent:", err)
		os.Exit(1)
	}
}

func run(file string) error {
	s, err := settings.LoadInstance(file)
	if err != nil {
		return err
	}
	logger := event.NewLogger(os.Stderr, s.LogLevel, "agent", s.ID)
	a, err := agent.New(s, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return a.Run(ctx)
}
