package node

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/domain/health"
	"tanagerwood.dev/router/internal/domain/pace"
)

// paceInterval is the interval at which it is recorded which endpoints can be used. An endpoint that is ejected cannot for longer.
const paceInterval = 200 * time.Millisecond

// observeEndpoints records which endpoints can be used, for the services whose endpoints are paced.
func (p *components) observeEndpoints() {
	now := clock.System{}.Boot()
	usable := map[string][]routing.Endpoint{}
	for role, listed := range p.state.endpointsByRole(p.paces.InForce) {
		inUse := p.availability.Usable(listed, p.state.leavingGrace, now)
		id := func(ep routing.Endpoint) string { return ep.ID }
		usable[role.service] = append(usable[role.service], health.UsableEndpoints(p.health, inUse, id, now)...)
	}
	for service, endpoints := range usable {
		p.paces.Observe(service, endpoints, now)
	}
}

// role is a stage of a service.
type role struct {
	service string
	stage   routing.Stage
}

// endpointsByRole returns the endpoints of services that are not leaving. Those that change to another stage are in use, and do not start.
func (s routingState) endpointsByRole(included func(service string) bool) map[role][]routing.Endpoint {
	out := map[role][]routing.Endpoint{}
	services := map[string]bool{}
	for _, ep := range s.Endpoints().ByID {
		include, known := services[ep.Service]
		if !known {
			include = included(ep.Service)
			services[ep.Service] = include
		}
		if include && !ep.Leaving {
			key := role{ep.Service, ep.Stage}
			out[key] = append(out[key], ep)
		}
	}
	return out
}

// paceSampleSize and paceSampleAlpha are the parameters of the sample of times to full use.
const (
	paceSampleSize  = 1028
	paceSampleAlpha = 0.015
)

// recordPace logs that an endpoint is paced, or that it is in full use again.
func (n *Node) recordPace(e pace.Event) {
	if !e.FullUse {
		n.options.Logger.Info().Str("event", "endpoint.paced").Str("endpoint", e.Endpoint.ID).Str("reason", string(e.Reason)).Msg("")
		return
	}
	n.options.Logger.Info().Str("event", "endpoint.full_use").Str("endpoint", e.Endpoint.ID).Int64("after_ms", e.After.Milliseconds()).
		Int("refusals", e.Refusals).Msg("")
	duration := n.components.Load().metrics.GetOrRegister("pace.milliseconds", func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(paceSampleSize, paceSampleAlpha))
	}).(metrics.Histogram)
	duration.Update(e.After.Milliseconds())
}
