// Command sequoia-agent runs the control plane of one instance.
package main

import (
	"context"
	"log/slog"

	"github.com/sequoiacove/sequoiacove/pkg/agent"
	"github.com/sequoiacove/sequoiacove/pkg/process"
	"github.com/sequoiacove/sequoiacove/pkg/settings"
)

func main() {
	process.Main("sequoia-agent", "agent", "Control plane of one instance: configuration, membership and the operator API.", run)
}

func run(ctx context.Context, s *settings.Instance, logger *slog.Logger) error {
	a, err := agent.New(s, logger)
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
