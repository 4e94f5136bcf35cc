package placement

import (
	"context"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/domain/scheduling"
	"tanagerwood.dev/router/internal/port"
)

// reservedPair is a placement: a pair of endpoints with their reservations.
type reservedPair struct {
	placer       *Placer
	job          modelpath.PlacementRequest
	requirements jobRequirements
	policy       *scheduling.Scheduler
	pair         scheduling.Pair

	prefill, decode port.Endpoint
	queuedFor       time.Duration
	prefillReserved atomic.Bool
	decodeReserved  atomic.Bool
}

// PrefillEndpoint implements modelpath.Placement.
func (r *reservedPair) PrefillEndpoint() port.Endpoint { return r.prefill }

// reserve reserves both endpoints of the pair, or neither and returns how long to wait. The decode endpoint comes first because
// its slots are the scarce resource: a refusal there costs one message and needs no release at the prefill endpoint.
func (r *reservedPair) reserve(ctx context.Context, slack time.Duration) (time.Duration, bool) {
	view := r.placer.Loads.View()
	prefill, decode := view.ByName[r.pair.Prefill.Name], view.ByName[r.pair.Decode.Name]
	if prefill == nil || decode == nil {
		return minRetryPause, false
	}
	r.prefill, r.decode = prefill.Endpoint, decode.Endpoint
	// left is the time until the deadline that may be spent on waiting. A job that is already late is placed only if it does not
	// have to wait.
	left := max(0, slack-r.pair.PrefillTime-r.pair.TransferTime-r.pair.Decode.TokenInterval)
	if !r.policy.DeferDecode {
		if wait, ok := r.reserveDecode(ctx, left); !ok {
			return wait, false
		}
	}
	return r.reservePrefill(ctx, left)
}

// reserveDecode requests a slot for the time at which the prefill is expected to end according to the latest report.
func (r *reservedPair) reserveDecode(ctx context.Context, left time.Duration) (time.Duration, bool) {
	start := min(r.pair.Prefill.Backlog, maxPrefillWait)
	end := start + r.pair.PrefillTime
	tolerance := min(decodeSlotTolerance, max(0, left-start))
	reply := r.reserveAt(ctx, r.decode, r.decodeRequest(end, tolerance))
	r.decodeReserved.Store(reply.Granted)
	return time.Duration(reply.FreeInMS)*time.Millisecond - end - tolerance, reply.Granted
}

func (r *reservedPair) reservePrefill(ctx context.Context, left time.Duration) (time.Duration, bool) {
	maxWait := min(maxPrefillWait, left)
	reply := r.reserveAt(ctx, r.prefill, peer.ReserveRequest{
		Prefill: true, MaxDelayMS: maxWait.Milliseconds(), PromptTokens: r.requirements.job.PromptTokens,
		CachedTokens: min(r.pair.Prefill.CachedTokens, r.requirements.job.PromptTokens),
	})
	r.prefillReserved.Store(reply.Granted)
	if !reply.Granted {
		r.Release()
	}
	return time.Duration(reply.FreeInMS)*time.Millisecond - maxWait, reply.Granted
}

func (r *reservedPair) decodeRequest(at, within time.Duration) peer.ReserveRequest {
	j := r.requirements.job
	return peer.ReserveRequest{
		StartInMS: at.Milliseconds(), MaxDelayMS: within.Milliseconds(),
		PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens, KVBytes: j.KVBytes,
	}
}

func (r *reservedPair) reserveAt(ctx context.Context, ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply {
	m.Attempt = r.job.AttemptID
	switch r.policy.ReservationMode {
	case scheduling.ReserveAtOwner:
		return r.placer.Reservations.Reserve(ctx, ep, m)
	case scheduling.ReserveLocally:
		return r.placer.Reservations.ReserveLocally(ep, m)
	default:
		return peer.ReserveReply{Granted: true}
	}
}

// DecodeEndpoint implements modelpath.Placement. The policy prefill-first selects the endpoint here, using the latest reports.
func (r *reservedPair) DecodeEndpoint(context.Context) (port.Endpoint, error) {
	if !r.policy.DeferDecode {
		return r.decode, nil
	}
	group := r.placer.Loads.View().ByModel[r.job.Model.Name]
	if group == nil {
		return port.Endpoint{}, noEndpointError()
	}
	candidates := r.placer.candidates(group.Decode, r.job, r.requirements)
	pairs := r.policy.Rank(r.placer.Rand, &r.requirements.job, []*scheduling.Endpoint{r.pair.Prefill}, candidates)
	if len(pairs) == 0 {
		return port.Endpoint{}, noEndpointError()
	}
	state := r.placer.Loads.View().ByName[pairs[0].Decode.Name]
	if state == nil {
		return port.Endpoint{}, noEndpointError()
	}
	r.decode = state.Endpoint
	return r.decode, nil
}

// DecodeLeaves implements modelpath.Placement.
func (r *reservedPair) DecodeLeaves() bool {
	state := r.placer.Loads.View().ByName[r.decode.Name]
	return state == nil || state.Leaving
}

// SwitchDecodeEndpoint implements modelpath.Placement.
func (r *reservedPair) SwitchDecodeEndpoint(ctx context.Context, avoid map[string]bool) (port.Endpoint, bool) {
	group := r.placer.Loads.View().ByModel[r.job.Model.Name]
	if group == nil {
		return port.Endpoint{}, false
	}
	var candidates []*scheduling.Endpoint
	for _, c := range r.placer.candidates(group.Decode, r.job, r.requirements) {
		if !avoid[c.Name] && !c.Excluded && c.Healthy {
			candidates = append(candidates, c)
		}
	}
	for _, pair := range r.policy.Rank(r.placer.Rand, &r.requirements.job, []*scheduling.Endpoint{r.pair.Prefill}, candidates) {
		state := r.placer.Loads.View().ByName[pair.Decode.Name]
		if state == nil || !r.reserveAt(ctx, state.Endpoint, r.decodeRequest(0, 0)).Granted {
			continue
		}
		ep := state.Endpoint
		if r.decodeReserved.Swap(true) {
			r.placer.Reservations.Release(r.decode, r.job.AttemptID)
		}
		r.decode = ep
		return ep, true
	}
	return port.Endpoint{}, false
}

// QueueTime implements modelpath.Placement.
func (r *reservedPair) QueueTime() time.Duration { return r.queuedFor }

// FinishPrefill implements modelpath.Placement. It also adds the prompt's blocks, which the endpoint now has cached, to the prefix
// index.
func (r *reservedPair) FinishPrefill(int64) {
	r.releasePrefill()
	r.placer.PrefixIndex.Store(r.prefill.Name, r.job.BlockHashes...)
}

// Release implements modelpath.Placement.
func (r *reservedPair) Release() {
	r.releasePrefill()
	if r.decodeReserved.CompareAndSwap(true, false) {
		r.placer.Reservations.Release(r.decode, r.job.AttemptID)
	}
}

func (r *reservedPair) releasePrefill() {
	if r.prefillReserved.CompareAndSwap(true, false) {
		r.placer.Reservations.Release(r.prefill, r.job.AttemptID)
	}
}
