package reservations

import (
	"strconv"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/port"
)

// estimatePrefix is the id prefix of table entries that represent load from a report that this instance did not cause.
const estimatePrefix = "reported/"

// ReserveLocally reserves in a local table that is built from the newest load report and this instance's own reservations.
func (s *Service) ReserveLocally(ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply {
	s.estimated.Inc(1)
	state := s.Loads.View().ByName[ep.Name]
	if state == nil || state.Leaving {
		return peer.ReserveReply{FreeInMS: leavingWaitMS}
	}
	now := s.Clock.Boot()
	t := loadTable(&s.estimates, ep.Name)
	t.mu.Lock()
	defer t.mu.Unlock()
	s.updateSize(t, ep)
	if state.ReportedAt != t.reportedAt {
		t.reportedAt = state.ReportedAt
		t.decode.Reconcile(now, reportedRequests(state, t.decode.GrantedAttempts()))
		t.prefill.Reconcile(now, reportedBacklog(state, t.prefill.GrantedAttempts()))
	}
	return t.reserve(now, m)
}

// reportedRequests converts a load report to table entries: this instance's own requests, and one entry for each further running
// request. The latter are assumed to be half way through a response of average size.
func reportedRequests(s *endpointload.State, ownAttempts []string) []engine.Request {
	list := keepOwn(ownAttempts, engine.PhaseDecode)
	others := s.Load.Running - len(ownAttempts)
	if others <= 0 {
		return list
	}
	perRequest := s.Load.UsedBlocks / int64(max(s.Load.Running, 1))
	for i := range others {
		list = append(list, engine.Request{
			ID: estimateID(s, i), Phase: engine.PhaseDecode, Blocks: perRequest,
			OutputTokens: defaultOutputTokens / 2, MaxTokens: defaultOutputTokens,
		})
	}
	return list
}

// defaultOutputTokens is the assumed output length of requests about which nothing is known.
const defaultOutputTokens = 256

func reportedBacklog(s *endpointload.State, ownAttempts []string) []engine.Request {
	list := keepOwn(ownAttempts, engine.PhasePrefill)
	if s.Load.PrefillTokens > 0 && len(ownAttempts) == 0 {
		list = append(list, engine.Request{ID: estimateID(s, 0), Phase: engine.PhasePrefill, PromptTokens: s.Load.PrefillTokens})
	}
	return list
}

// keepOwn lists own reservations as running, so that the table does not drop them.
func keepOwn(attempts []string, phase engine.Phase) []engine.Request {
	list := make([]engine.Request, 0, len(attempts))
	for _, id := range attempts {
		list = append(list, engine.Request{ID: id, Phase: phase})
	}
	return list
}

// estimateID returns an id that is different for each report, so that a report replaces the entries of the previous one.
func estimateID(s *endpointload.State, i int) string {
	return estimatePrefix + strconv.FormatInt(int64(s.ReportedAt), 10) + "/" + strconv.Itoa(i)
}
