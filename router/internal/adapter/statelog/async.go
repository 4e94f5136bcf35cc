package statelog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// queuedLines is how many log lines may wait to be written. At 300 bytes a line they take about 1 MB.
const queuedLines = 4096

// AsyncWriter writes log lines beside the request path. Lines that find the queue full are dropped and counted.
//
// The AsyncWriter of phuslu/log v1.0.121 is not used: it reads a line's length after it has handed the line over, which
// is a data race with the line's next use.
type AsyncWriter struct {
	out io.Writer
	// queue has the lines in order; nil ends the writing.
	queue   chan *bytes.Buffer
	buffers sync.Pool
	dropped atomic.Int64
	// done is closed when all lines are written; err is the last failure of a write and may be read then.
	done chan struct{}
	err  error
}

// NewAsyncWriter returns a writer to w.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: w, queue: make(chan *bytes.Buffer, queuedLines), done: make(chan struct{})}
	a.buffers.New = func() any { return new(bytes.Buffer) }
	go a.run()
	return a
}

// WriteEntry implements log.Writer.
func (a *AsyncWriter) WriteEntry(e *log.Entry) (int, error) {
	return (&log.IOWriter{Writer: lineQueue{a}}).WriteEntry(e)
}

// lineQueue takes a line that the logger has completed.
type lineQueue struct{ *AsyncWriter }

// Write implements io.Writer. It copies the line and never waits.
func (q lineQueue) Write(line []byte) (int, error) {
	b := q.buffers.Get().(*bytes.Buffer)
	b.Reset()
	b.Write(line)
	select {
	case q.queue <- b:
	default:
		q.dropped.Add(1)
		q.buffers.Put(b)
	}
	return len(line), nil
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for b := <-a.queue; b != nil; b = <-a.queue {
		if _, err := a.out.Write(b.Bytes()); err != nil {
			a.err = err
		}
		a.buffers.Put(b)
	}
}

// DroppedLines is the number of lines that were dropped.
func (a *AsyncWriter) DroppedLines() int64 { return a.dropped.Load() }

// Close writes the waiting lines and returns the last failure of a write. Later lines are not written.
func (a *AsyncWriter) Close() error {
	a.queue <- nil
	<-a.done
	return a.err
}
