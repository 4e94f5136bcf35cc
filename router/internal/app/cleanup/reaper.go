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
	// period is the time between two lists of an engine's requests.
	period = time.Second
	// youngAge is the age below which a live instance is not asked about a request: the engine may know of it before
	// the instance's own registry does.
	youngAge = 3 * time.Second
	// listTimeout and inquiryTimeout bound a call to an engine and to a peer.
	listTimeout    = time.Second
	inquiryTimeout = 500 * time.Millisecond
	// unknownRounds is how often in a row an instance must not know a request before it is cancelled.
	unknownRounds = 2
	// attemptParts follow the instance's name in an attempt id: incarnation, sequence number and attempt.
	attemptParts = 3
)

// Deps are what a Reaper works with.
type Deps struct {
	Config     port.Config
	Membership port.Membership
	Engine     port.Engine
	Peers      port.Peers
	Inflight   port.Inflight
	Events     port.EventLog
	Canceller  *Canceller
	// ListObserver gets each list that is read, so that others need not read it again. It may be nil.
	ListObserver RequestListObserver
}

// RequestListObserver takes request lists of owned engines.
type RequestListObserver interface {
	Observe(ep port.Endpoint, list engine.RequestList)
}

// Reaper cancels requests of dead instances and requests that live instances do not know, at the endpoints that this
// instance owns.
type Reaper struct {
	Deps
	mu sync.Mutex
	// unknown counts the rounds in a row in which an attempt was unknown, by endpoint.
	unknown map[string]map[string]int
	// addresses holds the last known peer address of each instance.
	addresses map[string]string
}

// NewReaper returns a Reaper.
func NewReaper(d Deps) *Reaper {
	return &Reaper{Deps: d, unknown: make(map[string]map[string]int), addresses: make(map[string]string)}
}

// HandleInflightRequest answers a peer's question from the registry.
func HandleInflightRequest(inflight port.Inflight, m peer.InflightRequest) peer.InflightReply {
	reply := peer.InflightReply{Unknown: []string{}}
	for _, attempt := range m.Attempts {
		if !inflight.Has(attempt) {
			reply.Unknown = append(reply.Unknown, attempt)
		}
	}
	return reply
}

// Run does a round every second until ctx ends.
func (r *Reaper) Run(ctx context.Context) {
	background.RunEvery(ctx, period, r.ReapOnce)
}

// ReapOnce looks once at every engine that this instance owns, at all of them at the same time.
func (r *Reaper) ReapOnce(ctx context.Context) {
	r.learnAddresses()
	var wg sync.WaitGroup
	owned := make(map[string]bool)
	for _, ep := range r.Config.Endpoints() {
		if ep.Role == platform.RoleService {
			continue
		}
		if _, own := r.Membership.Owner(ep.Name); own {
			owned[ep.Name] = true
			wg.Go(func() { r.reap(ctx, ep) })
		}
	}
	wg.Wait()
	r.forget(owned)
}

// learnAddresses keeps addresses of members that may die, from the members first and the platform's list second.
func (r *Reaper) learnAddresses() {
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

// forget drops the counts of endpoints that are no longer owned, whose next owner counts anew.
func (r *Reaper) forget(owned map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for endpoint := range r.unknown {
		if !owned[endpoint] {
			delete(r.unknown, endpoint)
		}
	}
}

func (r *Reaper) reap(ctx context.Context, ep port.Endpoint) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := r.Engine.Requests(listCtx, ep)
	if err != nil {
		return // the next round lists again
	}
	if r.ListObserver != nil {
		r.ListObserver.Observe(ep, list)
	}
	unknown := make(map[string]bool)
	for id, attempts := range byInstance(list.Requests) {
		for _, attempt := range r.unknownTo(ctx, ep, id, attempts) {
			unknown[attempt] = true
		}
	}
	r.count(ep, unknown)
}

// byInstance groups the requests by the instance in their ids. Requests of other clients are left alone.
func byInstance(requests []engine.Request) map[peer.MemberID][]engine.Request {
	groups := make(map[peer.MemberID][]engine.Request)
	for _, request := range requests {
		if id, ok := parseAttempt(request.ID); ok {
			groups[id] = append(groups[id], request)
		}
	}
	return groups
}

// parseAttempt reads the instance from <instance>.<incarnation>.<seq>.<attempt>.
func parseAttempt(attempt string) (peer.MemberID, bool) {
	parts := strings.Split(attempt, ".")
	if len(parts) <= attemptParts {
		return peer.MemberID{}, false
	}
	at := len(parts) - attemptParts
	incarnation, err := strconv.ParseUint(parts[at], 10, 64)
	return peer.MemberID{Name: strings.Join(parts[:at], "."), Incarnation: incarnation}, err == nil
}

// unknownTo returns the attempts that their instance answers not to know. Those of a dead instance are cancelled.
func (r *Reaper) unknownTo(ctx context.Context, ep port.Endpoint, id peer.MemberID, requests []engine.Request) []string {
	alive := r.Membership.IsAlive(id)
	var attempts []string
	for _, request := range requests {
		if !alive || time.Duration(request.AgeMS)*time.Millisecond > youngAge {
			attempts = append(attempts, request.ID)
		}
	}
	if len(attempts) == 0 {
		return nil
	}
	if !alive && r.replaced(id) {
		r.cancelAll(ep, attempts, "instance was replaced")
		return nil
	}
	unknown, err := r.ask(ctx, id, attempts)
	if err == nil {
		return unknown
	}
	if !alive {
		r.cancelAll(ep, attempts, "instance is dead")
	}
	return nil
}

// replaced reports whether a later incarnation of the instance lives.
func (r *Reaper) replaced(id peer.MemberID) bool {
	for _, m := range r.Membership.Alive() {
		if m.Name == id.Name {
			return m.Incarnation > id.Incarnation
		}
	}
	return false
}

// ask asks the instance at its peer address, even if no heartbeat comes from it: only the heartbeats may be lost.
func (r *Reaper) ask(ctx context.Context, id peer.MemberID, attempts []string) ([]string, error) {
	question := peer.InflightRequest{Attempts: attempts}
	if r.Membership.Self().MemberID == id {
		return HandleInflightRequest(r.Inflight, question).Unknown, nil
	}
	r.mu.Lock()
	address, known := r.addresses[id.Name]
	r.mu.Unlock()
	if !known {
		return attempts, nil // counted, so that an instance that this one has not heard of yet gets another round
	}
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	reply, err := r.Peers.Inflight(ctx, address, question)
	return reply.Unknown, err
}

// count cancels the attempts that were unknown often enough in a row.
func (r *Reaper) count(ep port.Endpoint, unknown map[string]bool) {
	r.mu.Lock()
	last, next := r.unknown[ep.Name], make(map[string]int)
	var gone []string
	for attempt := range unknown {
		if next[attempt] = last[attempt] + 1; next[attempt] >= unknownRounds {
			gone = append(gone, attempt)
		}
	}
	r.unknown[ep.Name] = next
	r.mu.Unlock()
	r.cancelAll(ep, gone, "instance does not know the request")
}

func (r *Reaper) cancelAll(ep port.Endpoint, attempts []string, detail string) {
	for _, attempt := range attempts {
		r.Events.Record(event.Event{Kind: event.OrphanCancelled, Request: attempt, Endpoint: ep.Name, Detail: detail})
		r.Canceller.Cancel(ep, attempt)
	}
}
