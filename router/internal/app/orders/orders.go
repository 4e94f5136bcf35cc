// Package orders sends orders to engines. Only one instance at a time sends orders to an endpoint: it holds the endpoint's order
// lease in the platform, and each order carries the fencing token of the lease.
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
	// leasePollInterval is the time between reads of a lease that another instance holds.
	leasePollInterval = 100 * time.Millisecond
	platformTimeout   = time.Second
)

// Deps are the dependencies of a Manager. ServiceClient sends the orders, because it calls the check of
// servicepath.WithBeforeWrite before each write.
type Deps struct {
	Clock         port.Clock
	Config        port.Config
	Platform      port.Platform
	Membership    port.Membership
	ServiceClient port.Service
	Events        port.EventLog
}

// Manager sends orders and holds the leases for them. It is safe for concurrent use.
type Manager struct {
	Deps
	mu     sync.Mutex
	leases map[string]*endpointLease
}

// endpointLease is the lease of one endpoint. Its mutex serialises the orders to the endpoint.
type endpointLease struct {
	mu    sync.Mutex
	lease *orderlease.Lease
	watch orderlease.ExpiryWatch
}

// New returns a Manager that holds no leases.
func New(d Deps) *Manager { return &Manager{Deps: d, leases: make(map[string]*endpointLease)} }

// SendOrder sends one order. It waits until this instance holds the endpoint's lease and may send, or until ctx ends.
func (m *Manager) SendOrder(ctx context.Context, ep port.Endpoint, kind engine.OrderKind, argument string) (engine.OrderResult, error) {
	l := m.leaseOf(ep.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := m.ensureLease(ctx, l, ep); err != nil {
		return engine.OrderResult{}, err
	}
	order := engine.Order{Kind: kind, Argument: argument, Fencing: l.lease.Record.FencingToken}
	result, err := m.postOrder(ctx, l, ep, order)
	if err == nil && !result.Accepted && result.HighestFencing > order.Fencing {
		l.lease = nil
		m.Events.Record(event.Event{Kind: event.OrderRefused, Endpoint: ep.Name, Detail: string(kind) + " " + argument})
		return result, fault.New(fault.Conflict, "another instance orders this endpoint; ask that one or repeat the order")
	}
	return result, err
}

func (m *Manager) leaseOf(endpoint string) *endpointLease {
	m.mu.Lock()
	defer m.mu.Unlock()
	l, ok := m.leases[endpoint]
	if !ok {
		l = &endpointLease{}
		m.leases[endpoint] = l
	}
	return l
}

// ensureLease returns when this instance holds the lease and may send.
func (m *Manager) ensureLease(ctx context.Context, l *endpointLease, ep port.Endpoint) error {
	for {
		if l.lease != nil && l.lease.MaySend(m.Clock.Boot()) {
			return nil
		}
		var err error
		switch {
		case l.lease == nil:
			err = m.acquire(ctx, l, ep)
		case l.lease.NeedsRenewal(m.Clock.Boot()):
			err = m.renew(ctx, l, ep)
		}
		if err != nil && !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.PlatformUnavailable) {
			return err
		}
		if l.lease != nil && l.lease.MaySend(m.Clock.Boot()) {
			return nil
		}
		if !sleep(ctx, leasePollInterval) {
			return fault.Wrap(ctx.Err(), fault.Timeout, openai.NotRun, "the endpoint's order lease was not free in time; repeat the order")
		}
	}
}

// postOrder posts the order on a fresh connection. The lease is checked on the boot-time clock before each write, so that an
// instance that was suspended meanwhile does not send.
func (m *Manager) postOrder(ctx context.Context, l *endpointLease, ep port.Endpoint, order engine.Order) (engine.OrderResult, error) {
	body, err := json.Marshal(order)
	if err != nil {
		return engine.OrderResult{}, err
	}
	lease := *l.lease
	ctx, cancel := context.WithTimeout(ctx, orderlease.SendTimeout)
	defer cancel()
	ctx = servicepath.WithBeforeWrite(ctx, func(bool) error {
		if !lease.MaySend(m.Clock.Boot()) {
			return fault.New(fault.InstanceNotConfirmed, "the order lease has too little time left; repeat the order")
		}
		return nil
	})
	resp, err := m.ServiceClient.Call(ctx, ep, port.ServiceCall{
		Method: http.MethodPost, Path: "/orders", Header: http.Header{"Content-Type": {"application/json"}}, Body: body, NewConnection: true,
	})
	if err != nil {
		return engine.OrderResult{}, err
	}
	m.Events.Record(event.Event{Kind: event.OrderSent, Endpoint: ep.Name, Detail: string(order.Kind) + " " + order.Argument})
	return parseOrderResult(resp)
}

func parseOrderResult(resp port.ServiceResponse) (result engine.OrderResult, err error) {
	if resp.Status != http.StatusOK && resp.Status != http.StatusConflict {
		return result, fault.New(fault.EndpointRefused, "the endpoint refused the order: "+http.StatusText(resp.Status))
	}
	if err := json.Unmarshal(resp.Body, &result); err != nil {
		return result, fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the endpoint's answer to an order is not valid")
	}
	return result, nil
}

// Close releases the leases, so that the next holders need not wait. It must not be called while an order is in progress.
func (m *Manager) Close(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, l := range m.leases {
		l.mu.Lock()
		m.release(ctx, l, name)
		l.mu.Unlock()
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
