package instance

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// logBufferBytes bounds the log lines that wait to be written.
	logBufferBytes = 256 << 10
	// logInterval is the longest time that a line waits.
	logInterval = 100 * time.Millisecond
)

// logWriter passes log lines on without ever blocking: lines that find the
// buffer full are dropped and counted.
type logWriter struct {
	out io.Writer

	mu       sync.Mutex
	buffer   bytes.Buffer
	flushing bytes.Buffer
	dropped  int64
	total    int64
	closed   chan struct{}
	done     chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one whole line.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total++
	if w.buffer.Len()+len(line) > logBufferBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffer.Write(line)
	return len(line), nil
}

// Dropped returns the number of lines dropped so far and of all lines.
func (w *logWriter) Dropped() (dropped, total int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped, w.total
}

func (w *logWriter) run() {
	defer close(w.done)
	t := time.NewTicker(logInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			w.flush()
		case <-w.closed:
			w.flush()
			return
		}
	}
}

// flush writes the waiting lines. Lines that cannot be written are lost, as
// there is nowhere left to report it.
func (w *logWriter) flush() {
	w.mu.Lock()
	w.buffer, w.flushing = w.flushing, w.buffer
	w.mu.Unlock()
	if w.flushing.Len() > 0 {
		_, _ = w.out.Write(w.flushing.Bytes())
		w.flushing.Reset()
	}
}

// Close writes what waits, but waits itself for no longer than limit.
func (w *logWriter) Close(limit time.Duration) {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
