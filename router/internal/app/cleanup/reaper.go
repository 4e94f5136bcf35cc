package cleanup

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/port"
)

const (
	// reapInterval is the time between two passes over the engines.
	reapInterval = time.Second
	// minInquiryAge is the request age below which a live instance is not asked about a request, because the engine may list a
	// request before the instance has registered it.
	minInquiryAge = 3 * time.Second
	// listTimeout bounds a call to an engine, inquiryTimeout a call to a peer.
	listTimeout    = time.Second
	inquiryTimeout = 500 * time.Millisecond
	// maxUnknownRounds is the number of consecutive passes in which a live instance must not know a request before it is
	// cancelled.
	maxUnknownRounds = 2
	// attemptIDSuffixParts is the number of parts after the instance's name in an attempt id: incarnation, sequence number and
	// attempt.
	attemptIDSuffixParts = 3
)

// Deps are the dependencies of a Reaper.
type Deps struct {
	Config     port.Config
	Membership port.Membership
	Engine     port.Engine
	Peers      port.Peers
	Inflight   port.Inflight
	Events     port.EventLog
	Canceller  *Canceller
	// ListObserver gets each list that is read, so that other components need not read it again. It may be nil.
	ListObserver RequestListObserver
}

// RequestListObserver receives the request lists of the engines that this instance owns.
type RequestListObserver interface {
	Observe(ep port.Endpoint, list engine.RequestList)
}

// Reaper cancels requests of dead instances and requests that live instances do not know, at the endpoints that this instance
// owns.
type Reaper struct {
	Deps
	mu sync.Mutex
	// unknownRounds counts the consecutive passes in which an attempt was unknown, by endpoint and attempt.
	unknownRounds map[string]map[string]int
	// addresses holds the last known peer address of each instance.
	addresses map[string]string
}

// NewReaper returns a Reaper.
func NewReaper(d Deps) *Reaper {
	return &Reaper{Deps: d, unknownRounds: make(map[string]map[string]int), addresses: make(map[string]string)}
}

// HandleInflightRequest returns which of the attempts in a peer's request are not in the registry.
func HandleInflightRequest(inflight port.Inflight, m peer.InflightRequest) peer.InflightReply {
	reply := peer.InflightReply{Unknown: []string{}}
	for _, attempt := range m.Attempts {
		if !inflight.Has(attempt) {
			reply.Unknown = append(reply.Unknown, attempt)
		}
	}
	return reply
}

// Run calls ReapOnce every second until ctx ends.
func (r *Reaper) Run(ctx context.Context) {
	background.RunEvery(ctx, reapInterval, r.ReapOnce)
}

// ReapOnce checks each engine that this instance owns once, all of them in parallel.
func (r *Reaper) ReapOnce(ctx context.Context) {
	r.updateAddresses()
	var wg sync.WaitGroup
	owned := make(map[string]bool)
	for _, ep := range r.Config.Endpoints() {
		if ep.Role == platform.RoleService {
			continue
		}
		if _, own := r.Membership.Owner(ep.Name); own {
			owned[ep.Name] = true
			wg.Go(func() { r.reapEndpoint(ctx, ep) })
		}
	}
	wg.Wait()
	r.pruneUnknownRounds(owned)
}

// updateAddresses keeps the peer addresses of instances, which are needed after a member dies. The address of a live member
// takes precedence over the platform's list.
func (r *Reaper) updateAddresses() {
	r.mu.Lock()
	defer r.mu.Unlock()
	routers, _ := r.Config.Routers()
	for _, instance := range routers {
		r.addresses[instance.Name] = instance.URL
	}
	for _, m := range r.Membership.Alive() {
		r.addresses[m.Name] = m.Address
	}
}

// pruneUnknownRounds drops the counts of endpoints that are no longer owned. Their next owner starts from zero.
func (r *Reaper) pruneUnknownRounds(owned map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint := range r.unknownRounds {
		if !owned[endpoint] {
			delete(r.unknownRounds, endpoint)
		}
	}
}

func (r *Reaper) reapEndpoint(ctx context.Context, ep port.Endpoint) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := r.Engine.Requests(listCtx, ep)
	if err != nil {
		return // the next pass tries again
	}
	if r.ListObserver != nil {
		r.ListObserver.Observe(ep, list)
	}
	unknown := make(map[string]bool)
	for id, attempts := range groupByInstance(list.Requests) {
		for _, attempt := range r.findUnknown(ctx, ep, id, attempts) {
			unknown[attempt] = true
		}
	}
	r.countUnknown(ep, unknown)
}

// groupByInstance groups the requests by the instance in their ids. Requests of other clients are ignored.
func groupByInstance(requests []engine.Request) map[peer.MemberID][]engine.Request {
	groups := make(map[peer.MemberID][]engine.Request)
	for _, request := range requests {
		if id, ok := parseAttempt(request.ID); ok {
			groups[id] = append(groups[id], request)
		}
	}
	return groups
}

// parseAttempt reads the instance from an id of the form <instance>.<incarnation>.<seq>.<attempt>.
func parseAttempt(attempt string) (peer.MemberID, bool) {
	parts := strings.Split(attempt, ".")
	if len(parts) <= attemptIDSuffixParts {
		return peer.MemberID{}, false
	}
	at := len(parts) - attemptIDSuffixParts
	incarnation, err := strconv.ParseUint(parts[at], 10, 64)
	return peer.MemberID{Name: strings.Join(parts[:at], "."), Incarnation: incarnation}, err == nil
}

// findUnknown returns the attempts that their instance does not know. It cancels those of a dead instance.
func (r *Reaper) findUnknown(ctx context.Context, ep port.Endpoint, id peer.MemberID, requests []engine.Request) []string {
	alive := r.Membership.IsAlive(id)
	var attempts []string
	for _, request := range requests {
		if !alive || time.Duration(request.AgeMS)*time.Millisecond > minInquiryAge {
			attempts = append(attempts, request.ID)
		}
	}
	if len(attempts) == 0 {
		return nil
	}
	if !alive && r.isReplaced(id) {
		r.cancelAll(ep, attempts, "instance was replaced")
		return nil
	}
	unknown, err := r.queryInstance(ctx, id, attempts)
	if err == nil {
		return unknown
	}
	if !alive {
		r.cancelAll(ep, attempts, "instance is dead")
	}
	return nil
}

// isReplaced reports whether a later incarnation of the instance is alive.
func (r *Reaper) isReplaced(id peer.MemberID) bool {
	for _, m := range r.Membership.Alive() {
		if m.Name == id.Name {
			return m.Incarnation > id.Incarnation
		}
	}
	return false
}

// queryInstance asks the instance at its peer address, even without heartbeats from it, because only the heartbeats may be lost.
func (r *Reaper) queryInstance(ctx context.Context, id peer.MemberID, attempts []string) ([]string, error) {
	question := peer.InflightRequest{Attempts: attempts}
	if r.Membership.Self().MemberID == id {
		return HandleInflightRequest(r.Inflight, question).Unknown, nil
	}
	r.mu.Lock()
	address, known := r.addresses[id.Name]
	r.mu.Unlock()
	if !known {
		return attempts, nil // counted as unknown, so that an instance that is not known here yet gets another pass
	}
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	reply, err := r.Peers.Inflight(ctx, address, question)
	return reply.Unknown, err
}

// countUnknown cancels the attempts that were unknown in enough consecutive passes.
func (r *Reaper) countUnknown(ep port.Endpoint, unknown map[string]bool) {
	r.mu.Lock()
	last, next := r.unknownRounds[ep.Name], make(map[string]int)
	var gone []string
	for attempt := range unknown {
		if next[attempt] = last[attempt] + 1; next[attempt] >= maxUnknownRounds {
			gone = append(gone, attempt)
		}
	}
	r.unknownRounds[ep.Name] = next
	r.mu.Unlock()
	r.cancelAll(ep, gone, "instance does not know the request")
}

func (r *Reaper) cancelAll(ep port.Endpoint, attempts []string, detail string) {
	for _, attempt := range attempts {
		r.Events.Record(event.Event{Kind: event.OrphanCancelled, Request: attempt, Endpoint: ep.Name, Detail: detail})
		r.Canceller.Cancel(ep, attempt)
	}
}
