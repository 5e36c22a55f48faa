// Package event defines the numbered log events of all processes.
//
// Every log line of the system carries an event number in the attribute
// "event", so that alarms can match on numbers instead of texts. The catalogue
// assigns each number a level, a text and the action that an operator takes; Log
// writes an event by its number. docs/events.md lists all events.
package event

import (
	"context"
	"io"
	"log/slog"
	"time"
)

// ID is the number of a log event.
type ID uint16

// Info describes a log event.
type Info struct {
	ID    ID
	Level slog.Level
	Text  string
	// Action is what the operator should do when the event is logged.
	Action string
}

var byID = func() map[ID]Info {
	m := make(map[ID]Info, len(catalogue))
	for _, info := range catalogue {
		m[info.ID] = info
	}
	return m
}()

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Info { return append([]Info(nil), catalogue...) }

// Log writes the event with the level and text from the catalogue. It builds
// the record directly because a logger would determine the source location of
// every call, which is not logged.
func Log(logger *slog.Logger, id ID, args ...any) {
	info, ok := byID[id]
	if !ok {
		info = Info{Level: slog.LevelError, Text: "unlisted event"}
	}
	ctx, handler := context.Background(), logger.Handler()
	if !handler.Enabled(ctx, info.Level) {
		return
	}
	r := slog.NewRecord(time.Now(), info.Level, info.Text, 0)
	r.AddAttrs(slog.Uint64("event", uint64(id)))
	r.Add(args...)
	// A write error is ignored: there is nowhere else to report it.
	_ = handler.Handle(ctx, r)
}

// NewLogger returns a logger that writes JSON lines with the names of the process
// and the instance.
func NewLogger(w io.Writer, level slog.Level, process, instance string) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("process", process, "instance", instance)
}

// DiscardLogger returns a logger that writes nothing.
func DiscardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }
