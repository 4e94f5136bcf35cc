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
	// reconcilePause is how long an engine is left alone after an order: its load report lags, and loading takes time.
	reconcilePause = 30 * time.Second
	// orderTimeout bounds one order, including the wait for a lapsed lease of another holder.
	orderTimeout = 20 * time.Second
	loadTimeout  = time.Second
	// roleBoth is what engines report that serve both roles; they need no order.
	roleBoth = "both"
)

// Reconciler orders the engines that this instance owns to serve what their pool in the catalogue says.
type Reconciler struct {
	manager *Manager
	engine  port.Engine
	// quietUntil is when an endpoint may get its next order, on the boot-time clock.
	quietUntil map[string]time.Duration
}

// NewReconciler returns a reconciler that sends its orders through the manager.
func NewReconciler(m *Manager, e port.Engine) *Reconciler {
	return &Reconciler{manager: m, engine: e, quietUntil: make(map[string]time.Duration)}
}

// Run compares until ctx ends.
func (r *Reconciler) Run(ctx context.Context) {
	background.RunEvery(ctx, reconcilePeriod, r.ReconcileAll)
}

// ReconcileAll compares each owned engine with its pool once.
func (r *Reconciler) ReconcileAll(ctx context.Context) {
	for _, ep := range r.manager.Config.Endpoints() {
		if ep.Leaving || ep.Role != platform.RolePrefill && ep.Role != platform.RoleDecode {
			continue
		}
		if _, self := r.manager.Membership.Owner(ep.Name); self && r.manager.Clock.Boot() >= r.quietUntil[ep.Name] {
			r.reconcile(ctx, ep)
		}
	}
}

func (r *Reconciler) reconcile(ctx context.Context, ep port.Endpoint) {
	pool, ok := r.manager.Config.Current().Pool(ep.Pool)
	if !ok {
		return
	}
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	load, err := r.engine.Load(loadCtx, ep)
	cancel()
	if err != nil {
		return
	}
	if load.Model != pool.Model {
		r.order(ctx, ep, engine.OrderLoadModel, pool.Model)
	} else if load.Role != string(pool.Role) && load.Role != roleBoth {
		r.order(ctx, ep, engine.OrderSetRole, string(pool.Role))
	}
}

// order sends one order. One that certainly did not run is repeated in the next round by whoever owns the endpoint then;
// after any other the endpoint is left alone for a while, because loading again would cost the weight store's rate.
func (r *Reconciler) order(ctx context.Context, ep port.Endpoint, kind engine.OrderKind, argument string) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := r.manager.SendOrder(ctx, ep, kind, argument)
	if err == nil || fault.As(err).Outcome != openai.NotRun {
		r.quietUntil[ep.Name] = r.manager.Clock.Boot() + reconcilePause
	}
}
