package servicepath

import "context"

// BeforeWriteFunc is called before each write of a call to its connection; first is true if no byte of the call has been written
// yet. An error prevents the write.
type BeforeWriteFunc func(first bool) error

type beforeWriteKey struct{}

// WithBeforeWrite returns a context with which a service call invokes f before each write.
func WithBeforeWrite(ctx context.Context, f BeforeWriteFunc) context.Context {
	return context.WithValue(ctx, beforeWriteKey{}, f)
}

// BeforeWriteFromContext returns the hook set by WithBeforeWrite, or nil.
func BeforeWriteFromContext(ctx context.Context) BeforeWriteFunc {
	f, _ := ctx.Value(beforeWriteKey{}).(BeforeWriteFunc)
	return f
}
