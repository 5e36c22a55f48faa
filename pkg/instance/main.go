package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// memoryLimitFraction is the fraction of the configured memory that is set as
	// the soft memory limit of the Go runtime. The garbage collector runs more
	// often near that limit.
	memoryLimitFraction = 0.6
	// gcPercent is below the default of 100: it trades CPU time for memory.
	gcPercent = 60
	// logCloseTimeout limits the final flush of the log.
	logCloseTimeout = 200 * time.Millisecond
)

// Main runs an instance until SIGTERM or an interrupt and returns the exit
// status of the process. settingsVariable is the environment variable that may
// name the settings file.
func Main(args []string, settingsVariable string, p Platform) int {
	// A hangup ends a process that does not catch it, also while the process starts or
	// stops.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	app := kingpin.New("sequoia-instance", "Runs one instance, which steers the requests of callers to upstreams.")
	file := app.Flag("settings", "Settings file of the instance.").Envar(settingsVariable).Required().ExistingFile()
	check := app.Flag("check", "Check the settings and exit.").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "sequoia-instance: %v\n", err)
		return 2
	}
	content, err := os.ReadFile(*file)
	if err != nil {
		fmt.Fprintf(os.Stderr, "sequoia-instance: %v\n", err)
		return 1
	}
	s, err := ParseSettings(content)
	if err != nil {
		event.Log(event.NewLogger(os.Stdout, 0, "instance", ""), event.SettingsInvalid, "file", *file, "errors", result.Detail(err))
		return 1
	}
	if *check {
		return 0
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(megabytesToBytes(s.MemoryLimitMB))))
	out := newLogWriter(os.Stdout)
	defer out.Close(logCloseTimeout)
	logger := event.NewLogger(out, s.LogLevel, "instance", s.ID)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	i := New(Options{Settings: s, Platform: p, Now: time.Now, Random: rand.Float64, Logger: logger})
	go i.logDropCounts(ctx, out)
	go i.watchSettings(ctx, hangups, *file, content)
	if err := i.Run(ctx); err != nil {
		event.Log(logger, event.ListenerFailed, "error", err.Error())
		return 1
	}
	return 0
}

// logDropCounts periodically logs the number of dropped log lines and rejected
// caller connections.
func (i *Instance) logDropCounts(ctx context.Context, out *logWriter) {
	const interval = 5 * time.Second
	t := time.NewTicker(interval)
	defer t.Stop()
	var lastDropped, lastRejected int64
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		if dropped, total := out.LineCounts(); dropped > lastDropped {
			event.Log(i.logger, event.LogLinesDropped, "dropped", dropped-lastDropped, "all", total)
			lastDropped = dropped
		}
		if rejected := i.ingress.RejectedConnections(); rejected > lastRejected {
			event.Log(i.logger, event.ConnectionsRejected, "connections", rejected-lastRejected, "all", rejected, "open", i.ingress.Connections())
			lastRejected = rejected
		}
	}
}
