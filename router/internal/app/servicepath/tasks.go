package servicepath

import (
	"context"
	"sync"
)

// taskGroup runs functions that outlive their callers. Unlike a sync.WaitGroup it may be given new ones during a wait, as
// happens in a draining instance.
type taskGroup struct {
	mu      sync.Mutex
	running int
	idle    chan struct{}
}

func (t *taskGroup) start(f func()) {
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

func (t *taskGroup) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running--; t.running == 0 {
		close(t.idle)
	}
}

// wait returns nil as soon as no function is running, or the error of ctx if that ends first.
func (t *taskGroup) wait(ctx context.Context) error {
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
