// Package rebalance orders engines to change between the prefill and the decode stage, so that neither idles while requests wait
// for the other.
//
// The instance that leads watches the work and orders; every engine gets at most one order in its life. An exclusive entry
// on the platform decides which instance sends it, and gives its fencing token: two orders to one engine can neither overlap
// nor overtake each other, also if instances disagree on who leads, or an order takes effect late.
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
	// checkPeriod is the time between samples of the work, which changes within some 100 ms, the time of reading a prompt.
	checkPeriod = 200 * time.Millisecond
	// idlePeriod is the time between checks of an instance that does not lead.
	idlePeriod = time.Second
	// lateEffect is how much longer than the engine's switch time a change may take until requests go to the engine again:
	// orders may be carried out seconds late.
	lateEffect = 5 * time.Second
	// claimValidity is how old a claim may be when its order is sent. An instance that was suspended in between drops it.
	claimValidity = time.Second
	// roundTime bounds the orders of one check, which follow each other: a slow store takes seconds for each claim.
	roundTime = time.Second
	// orderTimeout bounds an order, which engines answer at once.
	orderTimeout = time.Second
	// unlistedFor is how long an engine must be off the list until its claim is removed: longer than entries lapse for
	// while the platform's store is away.
	unlistedFor = time.Minute
	// renewTime is how long nobody orders after the platform has come back from a copy. It exceeds idlePeriod and an outage of a
	// few calls.
	renewTime = 5 * time.Second
)

// ClaimStore keeps the entries that decide which instance may order an engine.
type ClaimStore interface {
	// ClaimEngine creates the engine's entry and returns its fencing token. The error wraps routing.ErrConflict if there is
	// one.
	ClaimEngine(ctx context.Context, endpoint, instance string) (token uint64, err error)
	// RemoveClaim removes the entry of an engine that is gone.
	RemoveClaim(ctx context.Context, endpoint string) error
	// Era rises when the platform comes back from a copy, in which entries may be missing.
	Era() uint64
}

// StageOrderer sends orders to engines. Errors that wrap routing.ErrNotRun say that the order is not and will not be carried out.
type StageOrderer interface {
	OrderStage(ctx context.Context, ep routing.Endpoint, to routing.Stage, instance string, token uint64) error
}

// FleetState gives the configuration and the engines in force, without those that are changing.
type FleetState interface {
	Services() []*routing.Service
	Stage(service string, stage routing.Stage) []routing.Endpoint
	// CountChanging counts the engines of a service that are changing to the stage.
	CountChanging(service string, to routing.Stage) int
	IsListed(endpoint string) bool
	// Settled reports whether the list of engines is current. Without the platform, engines that have left are still listed.
	Settled() bool
}

// Deps are what a Service works with.
type Deps struct {
	// InstanceName is this instance's name, which orders carry as their holder.
	InstanceName string
	State        FleetState
	EndpointLoad *inflight.Tracker
	Transitions  *stages.Transitions
	Claims       ClaimStore
	Orders       StageOrderer
	// IsLeader reports whether this instance is the one that acts.
	IsLeader func() bool
	// OnTransitionsChanged is called when transitions have changed.
	OnTransitionsChanged func()
	Boot                 func() time.Duration
	Logger               *log.Logger
}

// Rebalancer watches the work and orders engines. Its methods must not run at the same time.
type Rebalancer struct {
	Deps

	planners map[string]*stages.Planner
	// ordered holds the engines that this instance has tried to claim. The time is since when the engine is off the list,
	// zero while it is on it.
	ordered map[string]time.Duration
	// era is the platform's era as of the last check, orderFrom the time since boot from which engines may be ordered.
	era       uint64
	orderFrom time.Duration
	// claimed are those of ordered whose claim is this instance's.
	claimed map[string]bool
}

// New returns a service.
func New(d Deps) *Rebalancer {
	return &Rebalancer{Deps: d, planners: map[string]*stages.Planner{}, ordered: map[string]time.Duration{}, claimed: map[string]bool{}}
}

// Run checks until ctx ends.
func (s *Rebalancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.Rebalance(ctx)
		period := idlePeriod
		if s.IsLeader() {
			period = checkPeriod
		}
		background.SleepContext(ctx, period)
	}
}

// Rebalance samples the work and orders engines.
func (s *Rebalancer) Rebalance(ctx context.Context) {
	s.forget(ctx)
	s.renewClaims(ctx)
	if !s.IsLeader() {
		clear(s.planners) // what this instance has seen ends here; it may lead again much later
		return
	}
	now := s.Boot()
	for _, service := range s.State.Services() {
		if service.Engine != nil && service.Engine.SwitchTime > 0 {
			s.checkService(ctx, service, now)
		}
	}
}

func (s *Rebalancer) checkService(ctx context.Context, service *routing.Service, now time.Duration) {
	planner := s.planners[service.Name]
	if planner == nil {
		planner = &stages.Planner{}
		s.planners[service.Name] = planner
	}
	pool := stages.Pool{
		Prefill: s.engines(service.Name, routing.Prefill), Decode: s.engines(service.Name, routing.Decode),
		SwitchingToPrefill: s.State.CountChanging(service.Name, routing.Prefill), SwitchingToDecode: s.State.CountChanging(service.Name, routing.Decode),
	}
	planner.Observe(now, pool, engines.Capacity{Slots: service.Engine.Slots, Tokens: service.Engine.MemoryTokens})
	if !s.State.Settled() || now < s.orderFrom {
		return
	}
	chosen, to := planner.NextSwitches(now, pool)
	for _, e := range chosen {
		if s.Boot()-now > roundTime {
			return // the work may be another by now
		}
		s.order(ctx, e.Endpoint, to, service.Engine.SwitchTime, pool)
	}
}

func (s *Rebalancer) engines(service string, stage routing.Stage) []stages.Engine {
	var out []stages.Engine
	for _, ep := range s.State.Stage(service, stage) {
		_, ordered := s.ordered[ep.ID]
		out = append(out, stages.Engine{Endpoint: ep, Load: s.EndpointLoad.TotalAt(ep.ID), Switchable: !ordered})
	}
	return out
}

// order claims the engine and sends the order. The engine is never claimed again, whatever comes of it: a claim without an
// answer may have been made, and an order without one may still be carried out.
func (s *Rebalancer) order(ctx context.Context, ep routing.Endpoint, to routing.Stage, switchTime time.Duration, pool stages.Pool) {
	s.ordered[ep.ID] = 0
	line := func(err error) *log.Entry {
		e := s.Logger.Info()
		if err != nil {
			e = s.Logger.Warn().Err(err)
		}
		return e.Str("endpoint", ep.ID).Str("to", string(to)).Int("prefill", len(pool.Prefill)).Int("decode", len(pool.Decode)).
			Int("to_prefill", pool.SwitchingToPrefill).Int("to_decode", pool.SwitchingToDecode)
	}
	began := s.Boot()
	token, err := s.Claims.ClaimEngine(ctx, ep.ID, s.InstanceName)
	if err != nil {
		line(err).Str("event", "stage.not_claimed").Msg("the engine keeps its stage")
		return
	}
	s.claimed[ep.ID] = true
	if age := s.Boot() - began; age > claimValidity {
		line(nil).Str("event", "stage.claim_too_old").Dur("age", age).Msg("the engine keeps its stage")
		return
	}
	s.Transitions.Add(ep.ID, to, s.Boot()+switchTime+lateEffect)
	s.OnTransitionsChanged()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err = s.Orders.OrderStage(ctx, ep, to, s.InstanceName, token)
	if errors.Is(err, routing.ErrNotRun) {
		s.Transitions.Remove(ep.ID)
		s.OnTransitionsChanged()
		line(err).Str("event", "stage.refused").Uint64("token", token).Msg("")
		return
	}
	line(err).Str("event", "stage.ordered").Uint64("token", token).Msg("")
}

// renewClaims enters the claims of this instance again after the platform has come back from a copy. Until all instances have done
// so, nobody may order: an engine would get a second order.
func (s *Rebalancer) renewClaims(ctx context.Context) {
	era := s.Claims.Era()
	if era == s.era {
		return
	}
	s.orderFrom = s.Boot() + renewTime
	for id := range s.claimed {
		_, err := s.Claims.ClaimEngine(ctx, id, s.InstanceName)
		if err != nil && !errors.Is(err, routing.ErrConflict) {
			s.Logger.Warn().Str("event", "stage.claim_not_renewed").Str("endpoint", id).Uint64("era", era).Err(err).Msg("trying again")
			return
		}
	}
	s.Logger.Info().Str("event", "stage.claims_renewed").Uint64("era", era).Int("claims", len(s.claimed)).Msg("")
	s.era = era
}

// forget removes the claims of engines that are gone.
func (s *Rebalancer) forget(ctx context.Context) {
	now := s.Boot()
	for id, since := range s.ordered {
		switch {
		case s.State.IsListed(id):
			s.ordered[id] = 0
		case since == 0:
			s.ordered[id] = now
		case now-since > unlistedFor:
			s.remove(ctx, id)
		}
	}
}

func (s *Rebalancer) remove(ctx context.Context, id string) {
	if s.claimed[id] {
		if err := s.Claims.RemoveClaim(ctx, id); err != nil {
			s.Logger.Warn().Str("event", "stage.claim_not_removed").Str("endpoint", id).Err(err).Msg("trying again")
			s.ordered[id] = s.Boot()
			return
		}
	}
	delete(s.claimed, id)
	delete(s.ordered, id)
}
