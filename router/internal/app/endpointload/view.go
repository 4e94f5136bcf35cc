// Package endpointload polls the load reports and cache events of the endpoints and publishes them as an immutable view.
package endpointload

import (
	"time"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/port"
)

// State is the state of one endpoint. It does not change after publication.
type State struct {
	Endpoint port.Endpoint
	Pool     *catalogue.Pool
	// Load is the latest report; zero until the first one.
	Load engine.Load
	// ReportedAt is when Load was read, on the boot-time clock.
	ReportedAt time.Duration
	// FailedPolls is the number of failed polls since the last report.
	FailedPolls int
	// Leaving is set if the instance list or the endpoint's own report says that it leaves.
	Leaving bool
}

// unhealthyThreshold is the number of consecutive failed polls that mark an endpoint as unhealthy. A single failure may be a
// connection that went silent.
const unhealthyThreshold = 2

// Healthy reports whether the endpoint answers polls.
func (s *State) Healthy() bool { return s.FailedPolls < unhealthyThreshold }

// Slots, Blocks, BlockTokens, PrefillRate and LinkRate return the value of the report, or of the pool before the first report.

// Slots is the number of concurrent requests of a decode endpoint.
func (s *State) Slots() int { return firstPositive(s.Load.Slots, s.Pool.Slots) }

// Blocks is the number of KV cache blocks.
func (s *State) Blocks() int64 { return firstPositive(s.Load.TotalBlocks, s.Pool.Blocks) }

// BlockTokens is the number of tokens per KV cache block.
func (s *State) BlockTokens() int64 { return firstPositive(s.Load.BlockTokens, s.Pool.BlockTokens) }

// PrefillRate is in tokens per second.
func (s *State) PrefillRate() float64 {
	return firstPositive(s.Load.PrefillRate, float64(s.Pool.PrefillRate))
}

// LinkRate is in bytes per second.
func (s *State) LinkRate() float64 { return firstPositive(s.Load.LinkRate, float64(s.Pool.LinkRate)) }

// defaultTokenInterval is used until an engine reports its own. It is the latency target between tokens.
const defaultTokenInterval = 56 * time.Millisecond

// TokenInterval is the time between output tokens.
func (s *State) TokenInterval() time.Duration {
	if s.Load.TokenIntervalMS > 0 {
		return time.Duration(s.Load.TokenIntervalMS * float64(time.Millisecond))
	}
	return defaultTokenInterval
}

func firstPositive[T int | int64 | float64](a, b T) T {
	if a > 0 {
		return a
	}
	return b
}

// ModelGroup holds the endpoints of one model.
type ModelGroup struct {
	Prefill, Decode []*State
}

// View is a consistent set of endpoint states.
type View struct {
	ByName  map[string]*State
	ByModel map[string]*ModelGroup
}

func newView(states []*State) *View {
	v := &View{ByName: make(map[string]*State, len(states)), ByModel: map[string]*ModelGroup{}}
	for _, s := range states {
		v.ByName[s.Endpoint.Name] = s
		group := v.ByModel[s.Pool.Model]
		if group == nil {
			group = &ModelGroup{}
			v.ByModel[s.Pool.Model] = group
		}
		if s.Endpoint.Role == platform.RolePrefill {
			group.Prefill = append(group.Prefill, s)
		} else {
			group.Decode = append(group.Decode, s)
		}
	}
	return v
}
