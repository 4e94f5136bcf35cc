// Package rebalance orders engines to change between the prefill and the decode stage, so that neither stage is idle while
// requests wait for the other.
//
// The leading instance watches the load and sends the orders. Each engine gets at most one order in its lifetime. An entry that
// can be created only once on the platform decides which instance sends it and provides its fencing token. Two orders to one
// engine therefore neither overlap nor overtake each other, even if instances disagree on the leader or an order takes effect
// late.
package rebalance

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/stages"
)

const (
	// leaderPeriod is the time between samples of the work at the leader. The work changes within about 100 ms, the time of
	// reading a prompt.
	leaderPeriod = 200 * time.Millisecond
	// followerPeriod is the time between checks on the other instances.
	followerPeriod = time.Second
	// lateOrderGrace is added to the engine's switch time to get how long the engine receives no requests: orders may take effect
	// seconds late.
	lateOrderGrace = 5 * time.Second
	// maxClaimAge is the greatest age of a claim at which its order is sent. An instance that was suspended after the claim does
	// not send the order.
	maxClaimAge = time.Second
	// maxRoundDuration bounds the time of the orders of one check, which are sent one after another: a slow store takes seconds
	// for each claim.
	maxRoundDuration = time.Second
	// orderTimeout bounds one order. Engines answer orders at once.
	orderTimeout = time.Second
	// unlistedTimeout is how long an engine must be missing from the list before its claim is removed. It exceeds the time for
	// which entries may be missing while the platform's store is unavailable.
	unlistedTimeout = time.Minute
	// claimRenewalPause is how long no instance sends orders after the platform was restored from a backup. It exceeds
	// followerPeriod and an outage of a few calls.
	claimRenewalPause = 5 * time.Second
)

// ClaimStore holds the claims, which decide which instance may send an order to an engine.
type ClaimStore interface {
	// ClaimEngine creates the claim of an engine and returns its fencing token. The error wraps routing.ErrConflict if the claim
	// exists.
	ClaimEngine(ctx context.Context, endpoint, instance string) (token uint64, err error)
	// RemoveClaim removes the claim of an engine that no longer exists.
	RemoveClaim(ctx context.Context, endpoint string) error
	// Era increases when the platform is restored from a backup, in which entries may be missing.
	Era() uint64
}

// StageOrderer sends stage orders to engines. Errors that wrap routing.ErrNotRun mean that the order was not and will not be
// carried out.
type StageOrderer interface {
	OrderStage(ctx context.Context, ep routing.Endpoint, to routing.Stage, instance string, token uint64) error
}

// FleetState provides the current configuration and the engines, without those that are changing their stage.
type FleetState interface {
	Services() []*routing.Service
	Stage(service string, stage routing.Stage) []routing.Endpoint
	// CountChanging returns the number of engines of a service that are changing to the stage.
	CountChanging(service string, to routing.Stage) int
	IsListed(endpoint string) bool
	// Settled reports whether the list of engines is current. While the platform is unavailable, the list still holds engines
	// that have left.
	Settled() bool
}

// Deps are the dependencies of a Rebalancer.
type Deps struct {
	// InstanceName is the name of this instance, which orders carry as their holder.
	InstanceName string
	State        FleetState
	EndpointLoad *inflight.Tracker
	Transitions  *stages.Transitions
	Claims       ClaimStore
	Orders       StageOrderer
	// IsLeader reports whether this instance is the leader, which alone sends orders.
	IsLeader func() bool
	// OnTransitionsChanged is called when Transitions has changed.
	OnTransitionsChanged func()
	Boot                 func() time.Duration
	Logger               *log.Logger
}

// Rebalancer watches the work and sends orders to engines. It is not safe for concurrent use.
type Rebalancer struct {
	Deps

	planners map[string]*stages.Planner
	// ordered holds the engines that this instance has tried to claim. The value is when the engine was first missing from the
	// list; zero while it is listed.
	ordered map[string]time.Duration
	// era is the platform's era in which the claims were last renewed, ordersAllowedAt the time since boot from which orders may
	// be sent.
	era             uint64
	ordersAllowedAt time.Duration
	// claimed holds those engines of ordered whose claim belongs to this instance.
	claimed map[string]bool
}

// New returns a Rebalancer.
func New(d Deps) *Rebalancer {
	return &Rebalancer{Deps: d, planners: map[string]*stages.Planner{}, ordered: map[string]time.Duration{}, claimed: map[string]bool{}}
}

// Run calls Rebalance periodically until ctx ends.
func (r *Rebalancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.Rebalance(ctx)
		period := followerPeriod
		if r.IsLeader() {
			period = leaderPeriod
		}
		background.SleepContext(ctx, period)
	}
}

// Rebalance samples the work and sends the orders that it calls for.
func (r *Rebalancer) Rebalance(ctx context.Context) {
	r.forgetUnlisted(ctx)
	r.renewClaims(ctx)
	if !r.IsLeader() {
		clear(r.planners) // the samples would be outdated if this instance became the leader again much later
		return
	}
	now := r.Boot()
	for _, service := range r.State.Services() {
		if service.Engine != nil && service.Engine.StageChangeTime > 0 {
			r.rebalanceService(ctx, service, now)
		}
	}
}

func (r *Rebalancer) rebalanceService(ctx context.Context, service *routing.Service, now time.Duration) {
	planner := r.planners[service.Name]
	if planner == nil {
		planner = &stages.Planner{}
		r.planners[service.Name] = planner
	}
	pool := stages.Pool{
		Prefill: r.enginesInStage(service.Name, routing.Prefill), Decode: r.enginesInStage(service.Name, routing.Decode),
		SwitchingToPrefill: r.State.CountChanging(service.Name, routing.Prefill), SwitchingToDecode: r.State.CountChanging(service.Name, routing.Decode),
	}
	planner.Observe(now, pool, engines.Capacity{Slots: service.Engine.Slots, Tokens: service.Engine.MemoryTokens})
	if !r.State.Settled() || now < r.ordersAllowedAt {
		return
	}
	chosen, to := planner.NextSwitches(now, pool)
	for _, e := range chosen {
		if r.Boot()-now > maxRoundDuration {
			return // the sampled work is outdated
		}
		r.orderEngine(ctx, e.Endpoint, to, service.Engine.StageChangeTime, pool)
	}
}

func (r *Rebalancer) enginesInStage(service string, stage routing.Stage) []stages.Engine {
	var out []stages.Engine
	for _, ep := range r.State.Stage(service, stage) {
		_, ordered := r.ordered[ep.ID]
		out = append(out, stages.Engine{Endpoint: ep, Load: r.EndpointLoad.TotalAt(ep.ID), Switchable: !ordered})
	}
	return out
}

// orderEngine claims the engine and sends the order. The engine is never claimed again, whatever the result: a claim whose reply
// is lost may exist, and an order without a reply may still be carried out.
func (r *Rebalancer) orderEngine(ctx context.Context, ep routing.Endpoint, to routing.Stage, switchTime time.Duration, pool stages.Pool) {
	r.ordered[ep.ID] = 0
	logEntry := func(err error) *log.Entry {
		e := r.Logger.Info()
		if err != nil {
			e = r.Logger.Warn().Err(err)
		}
		return e.Str("endpoint", ep.ID).Str("to", string(to)).Int("prefill", len(pool.Prefill)).Int("decode", len(pool.Decode)).
			Int("to_prefill", pool.SwitchingToPrefill).Int("to_decode", pool.SwitchingToDecode)
	}
	start := r.Boot()
	token, err := r.Claims.ClaimEngine(ctx, ep.ID, r.InstanceName)
	if err != nil {
		logEntry(err).Str("event", "stage.not_claimed").Msg("the engine keeps its stage")
		return
	}
	r.claimed[ep.ID] = true
	if age := r.Boot() - start; age > maxClaimAge {
		logEntry(nil).Str("event", "stage.claim_too_old").Dur("age", age).Msg("the engine keeps its stage")
		return
	}
	r.Transitions.Add(ep.ID, to, r.Boot()+switchTime+lateOrderGrace)
	r.OnTransitionsChanged()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err = r.Orders.OrderStage(ctx, ep, to, r.InstanceName, token)
	if errors.Is(err, routing.ErrNotRun) {
		r.Transitions.Remove(ep.ID)
		r.OnTransitionsChanged()
		logEntry(err).Str("event", "stage.refused").Uint64("token", token).Msg("")
		return
	}
	logEntry(err).Str("event", "stage.ordered").Uint64("token", token).Msg("")
}

// renewClaims creates the claims of this instance again after the platform was restored from a backup. Until all instances have
// done so, none may send orders, because an engine could get a second one.
func (r *Rebalancer) renewClaims(ctx context.Context) {
	era := r.Claims.Era()
	if era == r.era {
		return
	}
	r.ordersAllowedAt = r.Boot() + claimRenewalPause
	for id := range r.claimed {
		_, err := r.Claims.ClaimEngine(ctx, id, r.InstanceName)
		if err != nil && !errors.Is(err, routing.ErrConflict) {
			r.Logger.Warn().Str("event", "stage.claim_not_renewed").Str("endpoint", id).Uint64("era", era).Err(err).Msg("trying again")
			return
		}
	}
	r.Logger.Info().Str("event", "stage.claims_renewed").Uint64("era", era).Int("claims", len(r.claimed)).Msg("")
	r.era = era
}

// forgetUnlisted removes the claims of engines that have been missing from the list for unlistedTimeout.
func (r *Rebalancer) forgetUnlisted(ctx context.Context) {
	now := r.Boot()
	for id, missingSince := range r.ordered {
		switch {
		case r.State.IsListed(id):
			r.ordered[id] = 0
		case missingSince == 0:
			r.ordered[id] = now
		case now-missingSince > unlistedTimeout:
			r.forgetEngine(ctx, id)
		}
	}
}

func (r *Rebalancer) forgetEngine(ctx context.Context, id string) {
	if r.claimed[id] {
		if err := r.Claims.RemoveClaim(ctx, id); err != nil {
			r.Logger.Warn().Str("event", "stage.claim_not_removed").Str("endpoint", id).Err(err).Msg("trying again")
			r.ordered[id] = r.Boot()
			return
		}
	}
	delete(r.claimed, id)
	delete(r.ordered, id)
}
