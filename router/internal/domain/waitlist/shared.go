package waitlist

import (
	"cmp"
	"slices"

	"tanagerwood.dev/router/internal/domain/priority"
)

// SortForPeers sorts the waiting requests of all services so that those at the front concern other instances most: by slack, and
// where requests differ in class by their position in the order of their service.
func SortForPeers(requests []Request) {
	slices.SortFunc(requests, func(a, b Request) int { return cmp.Compare(a.SlackMS, b.SlackMS) })
	if !slices.ContainsFunc(requests, func(r Request) bool { return r.Class != priority.Class{} }) {
		return
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return priority.Compare(a.Class, b.Class) })
	// Alternates between the services, so that one whose requests are less urgent than those of another is not left out.
	positions := make([]rankedRequest, len(requests))
	waiting := map[string]int{}
	for i, r := range requests {
		positions[i] = rankedRequest{Request: r, position: waiting[r.Service]}
		waiting[r.Service]++
	}
	slices.SortStableFunc(positions, func(a, b rankedRequest) int { return cmp.Compare(a.position, b.position) })
	for i, p := range positions {
		requests[i] = p.Request
	}
}

// rankedRequest is a request with its position in the order of its service.
type rankedRequest struct {
	Request
	position int
}
