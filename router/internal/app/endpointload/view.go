// Package loads polls the endpoints' load reports and cache events and publishes them as an immutable view.
package endpointload

import (
	"time"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/port"
)

// State is what is known of one endpoint. It is never changed after publication.
type State struct {
	Endpoint port.Endpoint
	Pool     *catalogue.Pool
	// Load is the newest report; zero until the first one.
	Load engine.Load
	// ReportedAt is when Load was read, on the boot-time clock.
	ReportedAt time.Duration
	// FailedPolls counts the polls that failed since the last report.
	FailedPolls int
	// Leaving is set by the instance list or by the endpoint's own report.
	Leaving bool
}

// unhealthyAfter is the number of failed polls in a row that mark an endpoint. One failure may be a connection that
// went silent.
const unhealthyAfter = 2

// Healthy reports whether the endpoint answers polls.
func (s *State) Healthy() bool { return s.FailedPolls < unhealthyAfter }

// Slots, Blocks, BlockTokens, PrefillRate and LinkRate are those of the report, or of the pool before the first one.

// Slots is the number of concurrent requests of a decode endpoint.
func (s *State) Slots() int { return first(s.Load.Slots, s.Pool.Slots) }

// Blocks is the number of KV cache blocks.
func (s *State) Blocks() int64 { return first(s.Load.TotalBlocks, s.Pool.Blocks) }

// BlockTokens is the number of tokens that a block holds.
func (s *State) BlockTokens() int64 { return first(s.Load.BlockTokens, s.Pool.BlockTokens) }

// PrefillRate is in tokens a second.
func (s *State) PrefillRate() float64 { return first(s.Load.PrefillRate, float64(s.Pool.PrefillRate)) }

// LinkRate is in bytes a second.
func (s *State) LinkRate() float64 { return first(s.Load.LinkRate, float64(s.Pool.LinkRate)) }

// defaultTokenInterval applies until an engine has reported its own; it is the latency target between tokens.
const defaultTokenInterval = 56 * time.Millisecond

// TokenInterval is the time between output tokens.
func (s *State) TokenInterval() time.Duration {
	if s.Load.TokenIntervalMS > 0 {
		return time.Duration(s.Load.TokenIntervalMS * float64(time.Millisecond))
	}
	return defaultTokenInterval
}

func first[T int | int64 | float64](a, b T) T {
	if a > 0 {
		return a
	}
	return b
}

// ModelGroup holds the endpoints of one model.
type ModelGroup struct {
	Prefill, Decode []*State
}

// View is a consistent set of states.
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
