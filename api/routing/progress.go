package routing

import "context"

type progressKey struct{}

// WithProgress returns a context whose calls of the platform call f whenever a part of an answer arrives.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ReportProgress says that a part of the answer to a call has arrived.
func ReportProgress(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}
