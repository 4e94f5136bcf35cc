package routing

import "context"

type progressKey struct{}

// WithProgress returns a context with which calls to the platform invoke f whenever a part of a response arrives.
func WithProgress(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, progressKey{}, f)
}

// ReportProgress invokes the function of WithProgress, if there is one. Calls use it whenever a part of a response arrives.
func ReportProgress(ctx context.Context) {
	if f, ok := ctx.Value(progressKey{}).(func()); ok {
		f()
	}
}
