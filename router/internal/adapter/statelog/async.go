package statelog

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/phuslu/log"
)

// queuedLines is how many log lines may wait to be written. At 300 bytes a line they take about 1 MB.
const queuedLines = 4096

// AsyncWriter writes log lines beside the request path. Lines that find the queue full are dropped and counted.
type AsyncWriter struct {
	queue   log.AsyncWriter
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	return &AsyncWriter{queue: log.AsyncWriter{
		Writer: &log.IOWriter{Writer: w}, ChannelSize: queuedLines, DiscardOnFull: true,
	}}
}

// WriteEntry implements log.Writer.
func (a *AsyncWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := a.queue.WriteEntry(e)
	if errors.Is(err, log.ErrAsyncWriterFull) {
		a.dropped.Add(1)
	}
	return n, err
}

// Dropped is the number of lines that were dropped.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// Close writes the waiting lines.
func (a *AsyncWriter) Close() error { return a.queue.Close() }
