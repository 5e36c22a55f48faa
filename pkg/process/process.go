// Package process holds what the mains of the two processes of an instance
// share: the command line, the settings file, the logger and the stop signal.
package process

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

// Run is the work of a process; it returns after ctx has ended.
type Run func(ctx context.Context, s *settings.Instance, logger *slog.Logger) error

// Main reads the command line and the settings and runs the process until it
// ends or receives SIGTERM or SIGINT. Errors end it with status 1.
func Main(binary, role, help string, run Run) {
	app := kingpin.New(binary, help)
	file := app.Flag("settings", "Settings file of the instance.").Required().ExistingFile()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := start(*file, role, run); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", binary, err)
		os.Exit(1)
	}
}

func start(file, role string, run Run) error {
	s, err := settings.LoadInstance(file)
	if err != nil {
		event.Log(event.NewLogger(os.Stderr, slog.LevelInfo, role, ""), event.SettingsInvalid, "file", file, "errors", result.Detail(err))
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, s, event.NewLogger(os.Stderr, s.LogLevel, role, s.ID))
}
