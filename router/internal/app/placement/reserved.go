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

// reserved is a placement: a pair with its reservations.
type reserved struct {
	placer *Placer
	job    modelpath.PlacementRequest
	need   need
	policy *scheduling.Scheduler
	pair   scheduling.Pair

	prefill, decode port.Endpoint
	queued          time.Duration
	prefillHeld     atomic.Bool
	decodeHeld      atomic.Bool
}

// PrefillEndpoint implements modelpath.Placement.
func (r *reserved) PrefillEndpoint() port.Endpoint { return r.prefill }

// reserve takes both ends of the pair, or neither and tells how long to wait. The decode endpoint comes first, because
// its slots are what is scarce: a refusal there costs one message and leaves no trace at the prefill endpoint.
func (r *reserved) reserve(ctx context.Context, slack time.Duration) (time.Duration, bool) {
	view := r.placer.Loads.View()
	prefill, decode := view.ByName[r.pair.Prefill.Name], view.ByName[r.pair.Decode.Name]
	if prefill == nil || decode == nil {
		return minPause, false
	}
	r.prefill, r.decode = prefill.Endpoint, decode.Endpoint
	// left is the time to the deadline that waiting may use up; a job that is late already is placed only if that needs
	// no waiting.
	left := max(0, slack-r.pair.PrefillTime-r.pair.TransferTime-r.pair.Decode.TokenInterval)
	if !r.policy.DeferDecode {
		if wait, ok := r.reserveDecode(ctx, left); !ok {
			return wait, false
		}
	}
	return r.reservePrefill(ctx, left)
}

// reserveDecode asks for a slot at the time at which the prefill would end by the latest report.
func (r *reserved) reserveDecode(ctx context.Context, left time.Duration) (time.Duration, bool) {
	begin := min(r.pair.Prefill.Backlog, prefillQueue)
	end := begin + r.pair.PrefillTime
	within := min(decodeWithin, max(0, left-begin))
	slot := r.ask(ctx, r.decode, r.decodeRequest(end, within))
	r.decodeHeld.Store(slot.Granted)
	return time.Duration(slot.InMS)*time.Millisecond - end - within, slot.Granted
}

func (r *reserved) reservePrefill(ctx context.Context, left time.Duration) (time.Duration, bool) {
	within := min(prefillQueue, left)
	begin := r.ask(ctx, r.prefill, peer.ReserveRequest{
		Prefill: true, WithinMS: within.Milliseconds(), PromptTokens: r.need.job.PromptTokens,
		CachedTokens: min(r.pair.Prefill.CachedTokens, r.need.job.PromptTokens),
	})
	r.prefillHeld.Store(begin.Granted)
	if !begin.Granted {
		r.Release()
	}
	return time.Duration(begin.InMS)*time.Millisecond - within, begin.Granted
}

func (r *reserved) decodeRequest(at, within time.Duration) peer.ReserveRequest {
	j := r.need.job
	return peer.ReserveRequest{
		InMS: at.Milliseconds(), WithinMS: within.Milliseconds(),
		PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens, KVBytes: j.KVBytes,
	}
}

func (r *reserved) ask(ctx context.Context, ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply {
	m.Attempt = r.job.AttemptID
	switch r.policy.ReservationMode {
	case scheduling.ReserveAtOwner:
		return r.placer.Reservations.Reserve(ctx, ep, m)
	case scheduling.ReserveLocally:
		return r.placer.Reservations.Estimate(ep, m)
	default:
		return peer.ReserveReply{Granted: true}
	}
}

// DecodeEndpoint implements modelpath.Placement. The policy prefill-first chooses here, by the newest reports.
func (r *reserved) DecodeEndpoint(context.Context) (port.Endpoint, error) {
	if !r.policy.DeferDecode {
		return r.decode, nil
	}
	group := r.placer.Loads.View().ByModel[r.job.Model.Name]
	if group == nil {
		return port.Endpoint{}, noEndpoint()
	}
	candidates := r.placer.candidates(group.Decode, r.job, r.need)
	pairs := r.policy.Rank(r.placer.Rand, &r.need.job, []*scheduling.Endpoint{r.pair.Prefill}, candidates)
	if len(pairs) == 0 {
		return port.Endpoint{}, noEndpoint()
	}
	state := r.placer.Loads.View().ByName[pairs[0].Decode.Name]
	if state == nil {
		return port.Endpoint{}, noEndpoint()
	}
	r.decode = state.Endpoint
	return r.decode, nil
}

// SwitchDecodeEndpoint implements modelpath.Placement.
func (r *reserved) SwitchDecodeEndpoint(ctx context.Context, avoid map[string]bool) (port.Endpoint, bool) {
	group := r.placer.Loads.View().ByModel[r.job.Model.Name]
	if group == nil {
		return port.Endpoint{}, false
	}
	var candidates []*scheduling.Endpoint
	for _, c := range r.placer.candidates(group.Decode, r.job, r.need) {
		if !avoid[c.Name] && !c.Excluded && c.Healthy {
			candidates = append(candidates, c)
		}
	}
	for _, pair := range r.policy.Rank(r.placer.Rand, &r.need.job, []*scheduling.Endpoint{r.pair.Prefill}, candidates) {
		state := r.placer.Loads.View().ByName[pair.Decode.Name]
		if state == nil || !r.ask(ctx, state.Endpoint, r.decodeRequest(0, 0)).Granted {
			continue
		}
		ep := state.Endpoint
		if r.decodeHeld.Swap(true) {
			r.placer.Reservations.Release(r.decode, r.job.AttemptID)
		}
		r.decode = ep
		return ep, true
	}
	return port.Endpoint{}, false
}

// QueueTime implements modelpath.Placement.
func (r *reserved) QueueTime() time.Duration { return r.queued }

// FinishPrefill implements modelpath.Placement. It also notes the prompt's blocks, which the endpoint now has cached.
func (r *reserved) FinishPrefill(int64) {
	r.releasePrefill()
	r.placer.PrefixIndex.Store(r.prefill.Name, r.job.BlockHashes...)
}

// Release implements modelpath.Placement.
func (r *reserved) Release() {
	r.releasePrefill()
	if r.decodeHeld.CompareAndSwap(true, false) {
		r.placer.Reservations.Release(r.decode, r.job.AttemptID)
	}
}

func (r *reserved) releasePrefill() {
	if r.prefillHeld.CompareAndSwap(true, false) {
		r.placer.Reservations.Release(r.prefill, r.job.AttemptID)
	}
}
