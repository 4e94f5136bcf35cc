// Package progress limits calls by the time in which nothing of their answer arrives, so that long answers over slow links are read to their
// end.
package progress

import (
	"context"
	"io"
	"time"
)

// Timeout ends the context of a call when nothing has arrived for a time.
type Timeout struct {
	timer  *time.Timer
	period time.Duration
	onPart func()
}

// WithTimeout returns a context that ends with the cause context.DeadlineExceeded if nothing has arrived after the time first, and then, if
// nothing more has arrived for a period. The function onPart is called for each part. cancel releases what the context holds.
func WithTimeout(ctx context.Context, first, period time.Duration, onPart func()) (_ context.Context, _ *Timeout, cancel func()) {
	ctx, cancelCause := context.WithCancelCause(ctx)
	timer := time.AfterFunc(first, func() { cancelCause(context.DeadlineExceeded) })
	return ctx, &Timeout{timer: timer, period: period, onPart: onPart}, func() {
		timer.Stop()
		cancelCause(nil)
	}
}

// Reader returns a reader of the answer, whose parts extend the context.
func (t *Timeout) Reader(answer io.Reader) io.Reader { return &reader{Reader: answer, timeout: t} }

type reader struct {
	io.Reader
	timeout *Timeout
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.timeout.timer.Reset(r.timeout.period)
		r.timeout.onPart()
	}
	return n, err
}
