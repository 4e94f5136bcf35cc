package modelpath

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
)

// stripes is the number of locks that open requests and attempts are spread over.
const stripes = 64

// Registry holds the open requests and their attempts. It implements port.Inflight.
type Registry struct {
	open     atomic.Int64
	draining atomic.Bool
	stripe   [stripes]registryStripe
}

type registryStripe struct {
	mu       sync.Mutex
	requests map[string]*openRequest
	attempts map[string]struct{}
}

type openRequest struct {
	customer string
	digest   config.KeyDigest
	cancel   context.CancelCauseFunc
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	for i := range r.stripe {
		r.stripe[i].requests = map[string]*openRequest{}
		r.stripe[i].attempts = map[string]struct{}{}
	}
	return r
}

func (r *Registry) at(id string) *registryStripe {
	return &r.stripe[xxhash.Sum64String(id)%stripes]
}

// Has implements port.Inflight.
func (r *Registry) Has(attempt string) bool {
	s := r.at(attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.attempts[attempt]
	return ok
}

// OpenRequests returns the number of open requests, queued ones included.
func (r *Registry) OpenRequests() int { return int(r.open.Load()) }

// StopAccepting refuses requests from now on. Open ones go on.
func (r *Registry) StopAccepting() { r.draining.Store(true) }

// CancelAll ends all open requests; those that sent something to an endpoint end with outcome partial.
func (r *Registry) CancelAll() {
	r.each(func(o *openRequest) {
		o.cancel(fault.New(fault.Draining, "the instance is stopping; repeat the request"))
	})
}

// withdraw ends the open requests whose key is not granted any more.
func (r *Registry) withdraw(s *config.Snapshot) (ended []string) {
	r.each(func(o *openRequest) {
		if !granted(s, o) {
			ended = append(ended, o.customer)
			o.cancel(errWithdrawn())
		}
	})
	return ended
}

func (r *Registry) each(f func(*openRequest)) {
	for i := range r.stripe {
		s := &r.stripe[i]
		s.mu.Lock()
		for _, o := range s.requests {
			f(o)
		}
		s.mu.Unlock()
	}
}

func granted(s *config.Snapshot, o *openRequest) bool {
	customer, ok := s.CustomerByKey(o.digest)
	return ok && customer.Name == o.customer
}

func errWithdrawn() *fault.Error {
	return fault.New(fault.KeyWithdrawn, "the key was withdrawn; use another one")
}

// add counts the request before it looks at draining, so that a drain that saw none open cannot miss it.
func (r *Registry) add(id string, o *openRequest) error {
	r.open.Add(1)
	if r.draining.Load() {
		r.open.Add(-1)
		return fault.New(fault.Draining, "the instance is stopping; repeat the request at another one").WithRetryAfter(retryWhenDraining)
	}
	s := r.at(id)
	s.mu.Lock()
	s.requests[id] = o
	s.mu.Unlock()
	return nil
}

func (r *Registry) remove(id string) {
	s := r.at(id)
	s.mu.Lock()
	delete(s.requests, id)
	s.mu.Unlock()
	r.open.Add(-1)
}

func (r *Registry) addAttempt(id string) {
	s := r.at(id)
	s.mu.Lock()
	s.attempts[id] = struct{}{}
	s.mu.Unlock()
}

func (r *Registry) removeAttempt(id string) {
	s := r.at(id)
	s.mu.Lock()
	delete(s.attempts, id)
	s.mu.Unlock()
}
