package servicepath

import (
	"context"
	"sync"
)

// tasks runs work that outlives its caller. Unlike a sync.WaitGroup it may get new work while somebody waits, as a
// draining instance does.
type tasks struct {
	mu      sync.Mutex
	running int
	idle    chan struct{}
}

func (t *tasks) start(f func()) {
	t.mu.Lock()
	if t.running++; t.running == 1 {
		t.idle = make(chan struct{})
	}
	t.mu.Unlock()
	go func() {
		defer t.end()
		f()
	}()
}

func (t *tasks) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running--; t.running == 0 {
		close(t.idle)
	}
}

// wait returns nil at a moment at which nothing runs.
func (t *tasks) wait(ctx context.Context) error {
	t.mu.Lock()
	running, idle := t.running, t.idle
	t.mu.Unlock()
	if running == 0 {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
