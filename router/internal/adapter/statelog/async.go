package statelog

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// maxQueuedLines limits the log lines that wait to be written. At 300 bytes a line, the queue takes about 1 MB.
const maxQueuedLines = 4096

// AsyncWriter writes log lines in a goroutine of its own, so that logging does not block requests. If the queue is full, lines are
// dropped and counted.
//
// It replaces the AsyncWriter of phuslu/log v1.0.121, which reads the length of a line after passing the line to another
// goroutine; this is a data race with the reuse of the line's buffer.
type AsyncWriter struct {
	out io.Writer
	// queue holds the lines in order; nil stops the writing goroutine.
	queue   chan *bytes.Buffer
	buffers sync.Pool
	dropped atomic.Int64
	// done is closed when all lines are written; writeErr is the last write error and may be read only after that.
	done     chan struct{}
	writeErr error
}

// NewAsyncWriter returns an AsyncWriter that writes to w. Close ends its goroutine.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: w, queue: make(chan *bytes.Buffer, maxQueuedLines), done: make(chan struct{})}
	a.buffers.New = func() any { return new(bytes.Buffer) }
	go a.run()
	return a
}

// WriteEntry implements log.Writer.
func (a *AsyncWriter) WriteEntry(e *log.Entry) (int, error) {
	return (&log.IOWriter{Writer: queueWriter{a}}).WriteEntry(e)
}

// queueWriter is an io.Writer that queues the complete lines of the logger.
type queueWriter struct{ *AsyncWriter }

// Write implements io.Writer. It copies the line and never blocks.
func (q queueWriter) Write(line []byte) (int, error) {
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
			a.writeErr = err
		}
		a.buffers.Put(b)
	}
}

// DroppedLines returns the number of lines dropped so far.
func (a *AsyncWriter) DroppedLines() int64 { return a.dropped.Load() }

// Close writes the queued lines and returns the last write error. Lines that are logged later are not written.
func (a *AsyncWriter) Close() error {
	a.queue <- nil
	<-a.done
	return a.writeErr
}
