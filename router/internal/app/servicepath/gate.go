package servicepath

import "context"

// BeforeWriteFunc is asked before each write of a call to its connection. First is true if no byte of the call has left yet. An
// error stops the write.
type BeforeWriteFunc func(first bool) error

type gateKey struct{}

// WithBeforeWrite returns a context whose service call asks the gate.
func WithBeforeWrite(ctx context.Context, g BeforeWriteFunc) context.Context {
	return context.WithValue(ctx, gateKey{}, g)
}

// BeforeWriteFromContext returns the gate of the context, or nil.
func BeforeWriteFromContext(ctx context.Context) BeforeWriteFunc {
	g, _ := ctx.Value(gateKey{}).(BeforeWriteFunc)
	return g
}
