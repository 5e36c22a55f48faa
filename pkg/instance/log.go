package instance

import (
	"bytes"
	"io"
	"sync"
	"time"
)

const (
	// logBufferBytes is the maximum total size of the buffered log lines.
	logBufferBytes = 256 << 10
	// logFlushInterval is the time between flushes, and thus the longest time
	// that a line stays buffered.
	logFlushInterval = 100 * time.Millisecond
)

// logWriter buffers log lines and writes them in the background, so that a slow
// reader never blocks the caller of Write. Lines that do not fit into the buffer
// are dropped and counted.
type logWriter struct {
	out io.Writer

	mu     sync.Mutex
	buffer bytes.Buffer
	// flushBuffer holds the lines that flush is writing to out.
	flushBuffer  bytes.Buffer
	droppedLines int64
	totalLines   int64
	closed       chan struct{}
	done         chan struct{}
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, closed: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. Each call must pass one complete line.
func (w *logWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.totalLines++
	if w.buffer.Len()+len(line) > logBufferBytes {
		w.droppedLines++
		return len(line), nil
	}
	w.buffer.Write(line)
	return len(line), nil
}

// LineCounts returns the number of dropped lines and the total number of lines.
func (w *logWriter) LineCounts() (dropped, total int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedLines, w.totalLines
}

func (w *logWriter) run() {
	defer close(w.done)
	t := time.NewTicker(logFlushInterval)
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

// flush writes the buffered lines. Write errors are ignored, because there is
// nowhere else to report them.
func (w *logWriter) flush() {
	w.mu.Lock()
	w.buffer, w.flushBuffer = w.flushBuffer, w.buffer
	w.mu.Unlock()
	if w.flushBuffer.Len() > 0 {
		_, _ = w.out.Write(w.flushBuffer.Bytes())
		w.flushBuffer.Reset()
	}
}

// Close flushes the buffered lines and waits at most limit for the flush.
func (w *logWriter) Close(limit time.Duration) {
	close(w.closed)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}
