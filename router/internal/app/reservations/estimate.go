package reservations

import (
	"strconv"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/port"
)

// estimatePrefix marks the entries that stand for load which a report shows and this instance did not cause.
const estimatePrefix = "reported/"

// Estimate reserves in a local table that is built from the newest load report and this instance's own reservations.
func (s *Service) Estimate(ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply {
	s.estimated.Inc(1)
	state := s.Loads.View().ByName[ep.Name]
	if state == nil || state.Leaving {
		return peer.ReserveReply{InMS: leavingMS}
	}
	now := s.Clock.Boot()
	t := load(&s.local, ep.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	s.size(t, ep)
	if state.ReportedAt != t.reportedAt {
		t.reportedAt = state.ReportedAt
		t.decode.Reconcile(now, reported(state, t.decode.GrantedAttempts()))
		t.prefill.Reconcile(now, reportedBacklog(state, t.prefill.GrantedAttempts()))
	}
	return t.reserve(now, m)
}

// reported turns a report into entries: the own ones, and as many others as the report has more. Others are taken to be
// half way through an answer of average size.
func reported(s *endpointload.State, own []string) []engine.Request {
	list := keep(own, engine.PhaseDecode)
	others := s.Load.Running - len(own)
	if others <= 0 {
		return list
	}
	perRequest := s.Load.UsedBlocks / int64(max(s.Load.Running, 1))
	for i := range others {
		list = append(list, engine.Request{
			ID: estimateID(s, i), Phase: engine.PhaseDecode, Blocks: perRequest,
			OutputTokens: estimatedOutput / 2, MaxTokens: estimatedOutput,
		})
	}
	return list
}

// estimatedOutput is the length of an answer of which nothing is known, in tokens.
const estimatedOutput = 256

func reportedBacklog(s *endpointload.State, own []string) []engine.Request {
	list := keep(own, engine.PhasePrefill)
	if s.Load.PrefillTokens > 0 && len(own) == 0 {
		list = append(list, engine.Request{ID: estimateID(s, 0), Phase: engine.PhasePrefill, PromptTokens: s.Load.PrefillTokens})
	}
	return list
}

// keep lists own reservations as present, so that the table does not drop them.
func keep(own []string, phase engine.Phase) []engine.Request {
	list := make([]engine.Request, 0, len(own))
	for _, id := range own {
		list = append(list, engine.Request{ID: id, Phase: phase})
	}
	return list
}

// estimateID differs from report to report, so that each one replaces the entries of the one before.
func estimateID(s *endpointload.State, i int) string {
	return estimatePrefix + strconv.FormatInt(int64(s.ReportedAt), 10) + "/" + strconv.Itoa(i)
}
