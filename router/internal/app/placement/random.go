package placement

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/port"
)

// RandomPlacer places each job immediately on a random pair of endpoints.
type RandomPlacer struct{ Config port.Config }

// Place implements modelpath.Placer.
func (r RandomPlacer) Place(_ context.Context, job modelpath.PlacementRequest) (modelpath.Placement, error) {
	prefill, prefillOK := r.pick(job, platform.RolePrefill)
	decode, decodeOK := r.pick(job, platform.RoleDecode)
	if !prefillOK || !decodeOK {
		return nil, noEndpointError()
	}
	return unreservedPair{config: r.Config, prefill: prefill, decode: decode}, nil
}

// pick selects a random endpoint. Excluded endpoints are used only if there are no others.
func (r RandomPlacer) pick(job modelpath.PlacementRequest, role platform.InstanceRole) (port.Endpoint, bool) {
	var candidates, excluded []port.Endpoint
	for _, ep := range r.Config.Endpoints() {
		pool, ok := r.Config.Current().Pool(ep.Pool)
		if !ok || ep.Role != role || pool.Model != job.Model.Name || ep.Leaving {
			continue
		}
		if job.ExcludedEndpoints[ep.Name] {
			excluded = append(excluded, ep)
		} else {
			candidates = append(candidates, ep)
		}
	}
	if len(candidates) == 0 {
		candidates = excluded
	}
	if len(candidates) == 0 {
		return port.Endpoint{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}

// unreservedPair is a placement without reservations.
type unreservedPair struct {
	config          port.Config
	prefill, decode port.Endpoint
}

func (p unreservedPair) PrefillEndpoint() port.Endpoint                        { return p.prefill }
func (p unreservedPair) DecodeEndpoint(context.Context) (port.Endpoint, error) { return p.decode, nil }
func (p unreservedPair) QueueTime() time.Duration                              { return 0 }
func (p unreservedPair) SwitchDecodeEndpoint(context.Context, map[string]bool) (port.Endpoint, bool) {
	return port.Endpoint{}, false
}
func (p unreservedPair) DecodeLeaves() bool {
	return !slices.ContainsFunc(p.config.Endpoints(), func(ep port.Endpoint) bool { return ep.Name == p.decode.Name && !ep.Leaving })
}
func (p unreservedPair) FinishPrefill(int64) {}
func (p unreservedPair) Release()            {}
