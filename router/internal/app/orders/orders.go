// Package orders sends orders to engines. One instance at a time orders an endpoint: it holds the endpoint's order lease
// in the platform, and each order carries the lease's fencing number.
package orders

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/domain/orderlease"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	// pollPeriod is the time between looks at a lease that somebody else holds.
	pollPeriod = 100 * time.Millisecond
	// platformTimeout bounds a platform call.
	platformTimeout = time.Second
)

// Deps are what a Manager works with. Service sends the orders, because it asks a gate before each write.
type Deps struct {
	Clock         port.Clock
	Config        port.Config
	Platform      port.Platform
	Membership    port.Membership
	ServiceClient port.Service
	Events        port.EventLog
}

// Manager sends orders and keeps the leases for them. It is safe for concurrent use.
type Manager struct {
	Deps
	mu     sync.Mutex
	states map[string]*state
}

// state is the lease of one endpoint; its mutex lets one order through at a time.
type state struct {
	mu    sync.Mutex
	lease *orderlease.Lease
	watch orderlease.ExpiryWatch
}

// New returns a Manager that holds no leases.
func New(d Deps) *Manager { return &Manager{Deps: d, states: make(map[string]*state)} }

// SendOrder sends one order. It waits until this instance holds the endpoint's lease and may send, or until ctx ends.
func (m *Manager) SendOrder(ctx context.Context, ep port.Endpoint, kind engine.OrderKind, argument string) (engine.OrderResult, error) {
	s := m.state(ep.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := m.hold(ctx, s, ep); err != nil {
		return engine.OrderResult{}, err
	}
	order := engine.Order{Kind: kind, Argument: argument, Fencing: s.lease.Record.FencingToken}
	result, err := m.send(ctx, s, ep, order)
	if err == nil && !result.Accepted && result.HighestFencing > order.Fencing {
		s.lease = nil
		m.Events.Record(event.Event{Kind: event.OrderRefused, Endpoint: ep.Name, Detail: string(kind) + " " + argument})
		return result, fault.New(fault.Conflict, "another instance orders this endpoint; ask that one or repeat the order")
	}
	return result, err
}

func (m *Manager) state(endpoint string) *state {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.states[endpoint]
	if !ok {
		s = &state{}
		m.states[endpoint] = s
	}
	return s
}

// hold returns when the lease is held and allows sending.
func (m *Manager) hold(ctx context.Context, s *state, ep port.Endpoint) error {
	for {
		if s.lease != nil && s.lease.MaySend(m.Clock.Boot()) {
			return nil
		}
		var err error
		switch {
		case s.lease == nil:
			err = m.acquire(ctx, s, ep)
		case s.lease.NeedsRenewal(m.Clock.Boot()):
			err = m.renew(ctx, s, ep)
		}
		if err != nil && !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.PlatformDown) {
			return err
		}
		if s.lease != nil && s.lease.MaySend(m.Clock.Boot()) {
			return nil
		}
		if !pause(ctx, pollPeriod) {
			return fault.Wrap(ctx.Err(), fault.Timeout, openai.NotRun, "the endpoint's order lease was not free in time; repeat the order")
		}
	}
}

// send posts the order on a fresh connection. The lease is checked on the boot-time clock before each write, so an
// instance that was paused on the way here does not send.
func (m *Manager) send(ctx context.Context, s *state, ep port.Endpoint, order engine.Order) (engine.OrderResult, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return engine.OrderResult{}, err
	}
	lease := *s.lease
	ctx, cancel := context.WithTimeout(ctx, orderlease.SendTimeout)
	defer cancel()
	ctx = servicepath.WithBeforeWrite(ctx, func(bool) error {
		if !lease.MaySend(m.Clock.Boot()) {
			return fault.New(fault.NotConfirmed, "the order lease has too little time left; repeat the order")
		}
		return nil
	})
	resp, err := m.ServiceClient.Call(ctx, ep, port.ServiceCall{
		Method: http.MethodPost, Path: "/orders", Header: http.Header{"Content-Type": {"application/json"}}, Body: body, Fresh: true,
	})
	if err != nil {
		return engine.OrderResult{}, err
	}
	m.Events.Record(event.Event{Kind: event.OrderSent, Endpoint: ep.Name, Detail: string(order.Kind) + " " + order.Argument})
	return parseResult(resp)
}

func parseResult(resp port.ServiceResponse) (result engine.OrderResult, err error) {
	if resp.Status != http.StatusOK && resp.Status != http.StatusConflict {
		return result, fault.New(fault.EndpointRefused, "the endpoint refused the order: "+http.StatusText(resp.Status))
	}
	if err := json.Unmarshal(resp.Body, &result); err != nil {
		return result, fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the endpoint's answer to an order is not valid")
	}
	return result, nil
}

// Close gives up the leases, so that the next holders need not wait. Call it when no order is under way.
func (m *Manager) Close(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.states {
		s.mu.Lock()
		m.release(ctx, s, name)
		s.mu.Unlock()
	}
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
