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

// InflightRegistry holds the open requests and their attempts. It implements port.Inflight.
type InflightRegistry struct {
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

// NewInflightRegistry returns an empty registry.
func NewInflightRegistry() *InflightRegistry {
	r := &InflightRegistry{}
	for i := range r.stripe {
		r.stripe[i].requests = map[string]*openRequest{}
		r.stripe[i].attempts = map[string]struct{}{}
	}
	return r
}

func (r *InflightRegistry) at(id string) *registryStripe {
	return &r.stripe[xxhash.Sum64String(id)%stripes]
}

// Has implements port.Inflight.
func (r *InflightRegistry) Has(attempt string) bool {
	s := r.at(attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.attempts[attempt]
	return ok
}

// OpenRequests returns the number of open requests, queued ones included.
func (r *InflightRegistry) OpenRequests() int { return int(r.open.Load()) }

// StopAccepting refuses requests from now on. Open ones go on.
func (r *InflightRegistry) StopAccepting() { r.draining.Store(true) }

// CancelAll ends all open requests; those that sent something to an endpoint end with outcome partial.
func (r *InflightRegistry) CancelAll() {
	r.each(func(o *openRequest) {
		o.cancel(fault.New(fault.Draining, "the instance is stopping; repeat the request"))
	})
}

// withdraw ends the open requests whose key is not granted any more.
func (r *InflightRegistry) withdraw(s *config.Snapshot) (ended []string) {
	r.each(func(o *openRequest) {
		if !granted(s, o) {
			ended = append(ended, o.customer)
			o.cancel(errWithdrawn())
		}
	})
	return ended
}

func (r *InflightRegistry) each(f func(*openRequest)) {
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
func (r *InflightRegistry) add(id string, o *openRequest) error {
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

func (r *InflightRegistry) remove(id string) {
	s := r.at(id)
	s.mu.Lock()
	delete(s.requests, id)
	s.mu.Unlock()
	r.open.Add(-1)
}

func (r *InflightRegistry) addAttempt(id string) {
	s := r.at(id)
	s.mu.Lock()
	s.attempts[id] = struct{}{}
	s.mu.Unlock()
}

func (r *InflightRegistry) removeAttempt(id string) {
	s := r.at(id)
	s.mu.Lock()
	delete(s.attempts, id)
	s.mu.Unlock()
}
