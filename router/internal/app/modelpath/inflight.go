package modelpath

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
)

// shardCount is the number of shards, each with its own lock, that requests and attempts are distributed over.
const shardCount = 64

// InflightRegistry holds the open requests and their attempts. It implements port.Inflight.
type InflightRegistry struct {
	open     atomic.Int64
	draining atomic.Bool
	shards   [shardCount]registryShard
}

type registryShard struct {
	mu       sync.Mutex
	requests map[string]*openRequest
	attempts map[string]struct{}
}

type openRequest struct {
	customer string
	digest   config.KeyDigest
	cancel   context.CancelCauseFunc
	state    atomic.Int32
}

// States of an open request. A request leaves stateUnsent once, when it is sent or when a planned stop ends its wait.
const (
	stateUnsent int32 = iota
	stateSent
	stateWaitEnded
)

// markSent records that the request is about to be sent to an endpoint. It returns false if a planned stop has ended its wait.
func (o *openRequest) markSent() bool {
	return o.state.CompareAndSwap(stateUnsent, stateSent) || o.state.Load() == stateSent
}

// NewInflightRegistry returns an empty registry.
func NewInflightRegistry() *InflightRegistry {
	r := &InflightRegistry{}
	for i := range r.shards {
		r.shards[i].requests = map[string]*openRequest{}
		r.shards[i].attempts = map[string]struct{}{}
	}
	return r
}

func (r *InflightRegistry) shard(id string) *registryShard {
	return &r.shards[xxhash.Sum64String(id)%shardCount]
}

// Has implements port.Inflight.
func (r *InflightRegistry) Has(attempt string) bool {
	s := r.shard(attempt)
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.attempts[attempt]
	return ok
}

// OpenRequests returns the number of open requests, including queued ones.
func (r *InflightRegistry) OpenRequests() int { return int(r.open.Load()) }

// StopAccepting makes the registry refuse new requests. Open requests continue.
func (r *InflightRegistry) StopAccepting() { r.draining.Store(true) }

// EndWaits refuses new requests and the open ones of which no endpoint has received anything. The others continue.
func (r *InflightRegistry) EndWaits() {
	r.StopAccepting()
	r.forEachRequest(func(o *openRequest) {
		if o.state.CompareAndSwap(stateUnsent, stateWaitEnded) {
			o.cancel(drainingError())
		}
	})
}

// CancelAll cancels all open requests. Those that have sent something to an endpoint end with outcome partial.
func (r *InflightRegistry) CancelAll() {
	r.forEachRequest(func(o *openRequest) { o.cancel(drainingError()) })
}

func drainingError() *fault.Error {
	return fault.New(fault.Draining, "the instance is stopping; repeat the request at another one").WithRetryAfter(drainRetryAfter)
}

// cancelWithdrawn cancels the open requests whose key is no longer valid and returns their customers.
func (r *InflightRegistry) cancelWithdrawn(s *config.Snapshot) (ended []string) {
	r.forEachRequest(func(o *openRequest) {
		if !isKeyGranted(s, o) {
			ended = append(ended, o.customer)
			o.cancel(keyWithdrawnError())
		}
	})
	return ended
}

func (r *InflightRegistry) forEachRequest(f func(*openRequest)) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, o := range s.requests {
			f(o)
		}
		s.mu.Unlock()
	}
}

func isKeyGranted(s *config.Snapshot, o *openRequest) bool {
	customer, ok := s.CustomerByKey(o.digest)
	return ok && customer.Name == o.customer
}

func keyWithdrawnError() *fault.Error {
	return fault.New(fault.KeyWithdrawn, "the key was withdrawn; use another one")
}

// addRequest counts and adds the request before it checks draining, so that a drain that sees no open request cannot miss one, and
// EndWaits none that waits.
func (r *InflightRegistry) addRequest(id string, o *openRequest) error {
	r.open.Add(1)
	s := r.shard(id)
	s.mu.Lock()
	s.requests[id] = o
	s.mu.Unlock()
	if r.draining.Load() {
		r.removeRequest(id)
		return drainingError()
	}
	return nil
}

func (r *InflightRegistry) removeRequest(id string) {
	s := r.shard(id)
	s.mu.Lock()
	delete(s.requests, id)
	s.mu.Unlock()
	r.open.Add(-1)
}

func (r *InflightRegistry) addAttempt(id string) {
	s := r.shard(id)
	s.mu.Lock()
	s.attempts[id] = struct{}{}
	s.mu.Unlock()
}

func (r *InflightRegistry) removeAttempt(id string) {
	s := r.shard(id)
	s.mu.Lock()
	delete(s.attempts, id)
	s.mu.Unlock()
}
