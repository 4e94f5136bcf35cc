package forward

import (
	"net/http"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/pace"
	"tanagerwood.dev/router/internal/domain/speed"
)

// soonestDone returns the index of the endpoint that is expected to answer first.
func (r *requestState) soonestDone(candidates []routing.Endpoint) int {
	now := r.SinceBoot()
	options := make([]speed.Option, len(candidates))
	for i, ep := range candidates {
		options[i] = speed.Option{
			Endpoint: ep, Local: r.EndpointLoad.LocalAt(ep.ID).Requests, Peers: r.EndpointLoad.PeersAt(ep.ID).Requests,
			Penalty: failureRateWeight*r.Health.FailureRate(ep.ID, now) + r.Random()*loadJitter,
		}
		if ep.Domain != r.Domain {
			options[i].Penalty += crossDomainPenalty
		}
	}
	return r.Speeds.SelectSoonest(options, r.plainWork(), r.LoadAge(), r.Random, now)
}

// plainWork returns the kind of work of a plain request, whose duration depends on the route.
func (r *requestState) plainWork() speed.Work {
	return speed.Work{Service: r.service.Name, Route: r.route.Name, Step: speed.Plain}
}

// recordPlainSpeed records how long a plain endpoint took to answer.
func (r *requestState) recordPlainSpeed(ep routing.Endpoint, status int, start time.Duration) {
	if status/100 == http.StatusOK/100 {
		now := r.SinceBoot()
		r.Speeds.Record(ep, r.plainWork(), 1, now-start, now)
		r.Pace.RecordAnswer(ep, now)
	}
}

// recordPrefillSpeed records how long a prefill engine took for a prompt and those queued before it, in tokens.
func (r *requestState) recordPrefillSpeed(ep routing.Endpoint, queued int64, took time.Duration) {
	r.Speeds.Record(ep, speed.Work{Service: r.service.Name, Step: speed.Prefill}, queued, took, r.SinceBoot())
	r.Pace.RecordAnswer(ep, r.SinceBoot())
}

// allowedByPace reports for each endpoint whether the request may go there by its pace. usual is the usual duration of an answer.
func (r *requestState) allowedByPace(candidates []routing.Endpoint, usual time.Duration) []bool {
	options := make([]pace.Option, len(candidates))
	for i, ep := range candidates {
		load := pace.Load{Local: r.EndpointLoad.LocalAt(ep.ID).Requests, Total: r.EndpointLoad.TotalAt(ep.ID).Requests}
		options[i] = pace.Option{Endpoint: ep, Load: load}
	}
	return r.Pace.Allowed(options, usual, r.SinceBoot())
}

// scaled returns the expected duration at an endpoint of work that takes the given time at its service on average.
func (r *requestState) scaled(ep routing.Endpoint, usual time.Duration) time.Duration {
	if !r.Speeds.InForce(ep.Service) {
		return usual
	}
	return time.Duration(r.Speeds.Factor(ep, r.SinceBoot()) * float64(usual))
}

// extended returns a time limit, extended if the endpoint is slow. It is never shortened, because a fast endpoint may become slower.
func (r *requestState) extended(ep routing.Endpoint, limit time.Duration) time.Duration {
	return max(limit, r.scaled(ep, limit))
}
