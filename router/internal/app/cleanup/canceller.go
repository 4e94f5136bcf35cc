// Package cleanup frees engine memory that is held for requests whose callers are gone. The Canceller repeats cancels until
// engines acknowledge them. The Reaper finds requests that no live instance knows.
package cleanup

import (
	"context"
	"sync"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/port"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// cancelTimeout bounds one attempt, so that an unresponsive connection does not delay the next attempt.
	cancelTimeout = time.Second
)

// Canceller cancels attempts at engines in the background. It is safe for concurrent use.
type Canceller struct {
	engine port.Engine
	config port.Config
	events port.EventLog
	ctx    context.Context
	stop   context.CancelFunc

	mu      sync.Mutex
	pending map[pendingCancel]struct{}
	idle    chan struct{}
}

type pendingCancel struct{ endpoint, attempt string }

// NewCanceller returns a Canceller. Close ends it.
func NewCanceller(engine port.Engine, config port.Config, events port.EventLog) *Canceller {
	c := &Canceller{engine: engine, config: config, events: events, pending: make(map[pendingCancel]struct{}), idle: closedChannel()}
	c.ctx, c.stop = context.WithCancel(context.Background())
	return c
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Cancel cancels the attempt at the endpoint. It returns immediately; the cancel is repeated until it is acknowledged or the
// endpoint is no longer listed.
func (c *Canceller) Cancel(ep port.Endpoint, attempt string) {
	p := pendingCancel{ep.Name, attempt}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, dup := c.pending[p]; dup || c.ctx.Err() != nil {
		return
	}
	if len(c.pending) == 0 {
		c.idle = make(chan struct{})
	}
	c.pending[p] = struct{}{}
	go c.cancelUntilAcknowledged(ep, p)
}

// Pending returns the number of cancels that are not yet acknowledged.
func (c *Canceller) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// WaitIdle returns when no cancel is pending, or when ctx ends.
func (c *Canceller) WaitIdle(ctx context.Context) error {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close abandons the pending cancels.
func (c *Canceller) Close() { c.stop() }

func (c *Canceller) cancelUntilAcknowledged(ep port.Endpoint, p pendingCancel) {
	defer c.removePending(p)
	for backoff := firstBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if c.tryCancel(ep, p.attempt) {
			c.events.Record(event.Event{Kind: event.AttemptCancelled, Request: p.attempt, Endpoint: ep.Name})
			return
		}
		if !sleepContext(c.ctx, backoff) || !c.isListed(ep) {
			return
		}
	}
}

func (c *Canceller) tryCancel(ep port.Endpoint, attempt string) bool {
	ctx, cancel := context.WithTimeout(c.ctx, cancelTimeout)
	defer cancel()
	return c.engine.Cancel(ctx, ep, attempt) == nil
}

// isListed reports whether the endpoint is still in the instance list at the same address.
func (c *Canceller) isListed(ep port.Endpoint) bool {
	for _, known := range c.config.Endpoints() {
		if known.Name == ep.Name && known.URL == ep.URL {
			return true
		}
	}
	return false
}

func (c *Canceller) removePending(p pendingCancel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, p)
	if len(c.pending) == 0 {
		close(c.idle)
	}
}

func sleepContext(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
