package orders

import (
	"context"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	// reconcilePeriod is the time between comparisons of an owned engine with its pool.
	reconcilePeriod = 5 * time.Second
	// orderCooldown is how long an engine gets no further order after one: its load report lags, and loading a model takes time.
	orderCooldown = 30 * time.Second
	// reconcileOrderTimeout bounds one order, including the wait for another holder's lease to expire.
	reconcileOrderTimeout = 20 * time.Second
	loadReportTimeout     = time.Second
	// roleBoth is the role that engines report which serve both prefill and decode. They need no order.
	roleBoth = "both"
)

// Reconciler orders the engines that this instance owns to serve the model and the role of their pool in the catalogue.
type Reconciler struct {
	manager *Manager
	engine  port.Engine
	// cooldownUntil is when an endpoint may get its next order, on the boot-time clock.
	cooldownUntil map[string]time.Duration
}

// NewReconciler returns a Reconciler that sends its orders through the manager.
func NewReconciler(m *Manager, e port.Engine) *Reconciler {
	return &Reconciler{manager: m, engine: e, cooldownUntil: make(map[string]time.Duration)}
}

// Run reconciles periodically until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	background.RunEvery(ctx, reconcilePeriod, r.ReconcileAll)
}

// ReconcileAll compares each owned engine with its pool once.
func (r *Reconciler) ReconcileAll(ctx context.Context) {
	for _, ep := range r.manager.Config.Endpoints() {
		if ep.Leaving || ep.Role != platform.RolePrefill && ep.Role != platform.RoleDecode {
			continue
		}
		if _, self := r.manager.Membership.Owner(ep.Name); self && r.manager.Clock.Boot() >= r.cooldownUntil[ep.Name] {
			r.reconcileEndpoint(ctx, ep)
		}
	}
}

func (r *Reconciler) reconcileEndpoint(ctx context.Context, ep port.Endpoint) {
	pool, ok := r.manager.Config.Current().Pool(ep.Pool)
	if !ok {
		return
	}
	loadCtx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	load, err := r.engine.Load(loadCtx, ep)
	cancel()
	if err != nil {
		return
	}
	if load.Model != pool.Model {
		r.sendOrder(ctx, ep, engine.OrderLoadModel, pool.Model)
	} else if load.Role != string(pool.Role) && load.Role != roleBoth {
		r.sendOrder(ctx, ep, engine.OrderSetRole, string(pool.Role))
	}
}

// sendOrder sends one order. An order that certainly did not run is repeated in the next round by the instance that owns the
// endpoint then. After any other result the endpoint gets no order for orderCooldown, because loading a model again would use the
// limited rate of the weight store.
func (r *Reconciler) sendOrder(ctx context.Context, ep port.Endpoint, kind engine.OrderKind, argument string) {
	ctx, cancel := context.WithTimeout(ctx, reconcileOrderTimeout)
	defer cancel()
	_, err := r.manager.SendOrder(ctx, ep, kind, argument)
	if err == nil || fault.As(err).Outcome != openai.NotRun {
		r.cooldownUntil[ep.Name] = r.manager.Clock.Boot() + orderCooldown
	}
}
