// Command sequoiactl is the command-line tool for operators; package ctl implements
// it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/sequoiacove/sequoiacove/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
