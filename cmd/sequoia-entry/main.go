// Command sequoia-entry runs the request path of one instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/entry"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

func main() {
	app := kingpin.New("sequoia-entry", "Serves the callers of one instance and steers their requests.")
	path := app.Flag("settings", "INI file of the instance.").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*path); err != nil {
		fmt.Fprintln(os.Stderr, "sequoia-entry:", err)
		os.Exit(1)
	}
}

func run(path string) error {
	s, err := settings.LoadInstance(path)
	if err != nil {
		return err
	}
	logger := event.NewLogger(os.Stderr, s.LogLevel, "entry", s.ID)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process, err := entry.NewProcess(s, logger)
	if err != nil {
		return err
	}
	process.Run(ctx)
	return nil
}
