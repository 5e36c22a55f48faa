// Command sequoia-entry serves the callers of one instance.
package main

import (
	"context"
	"log/slog"

	"github.com/sequoiacove/sequoiacove/pkg/entry"
	"github.com/sequoiacove/sequoiacove/pkg/process"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

func main() {
	process.Main("sequoia-entry", "entry", "Serves the callers of one instance and steers their requests.", run)
}

func run(ctx context.Context, s *settings.Instance, logger *slog.Logger) error {
	e, err := entry.NewProcess(s, logger)
	if err != nil {
		return err
	}
	e.Run(ctx)
	return nil
}
