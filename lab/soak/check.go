package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"tanagerwood.dev/platform/standin"
)

// execution is what callers, servers and the operator observed in a run.
type execution struct {
	bounds   Bounds
	sent     []*sentRequest
	faults   *timeline
	versions []version
	// evacuations holds the times in which domains were evacuated.
	evacuations []evacuationPeriod
	// runs holds the runs of each request in order of time; servers holds all servers that ever ran.
	runs    map[string][]standin.Run
	servers map[string]*serverBoot
	// limited holds the servers that announced request limits.
	limited map[string]serverLimits
	// poison holds what was observed of the part that crashes engines.
	poison crashObservations
	// deadly holds what was observed of the request that crashes servers.
	deadly crashObservations
	exits  []processExit
	// lateStops, unrecovered and stillBusy name instances and servers that exceeded a bound.
	lateStops, unrecovered, stillBusy []string

	violations []Violation
}

func (e *execution) add(guarantee, request, format string, values ...any) {
	e.violations = append(e.violations, Violation{Guarantee: guarantee, Request: request, Text: fmt.Sprintf(format, values...)})
}

// check runs all checks and returns the violations.
func (e *execution) check() []Violation {
	for _, s := range e.sent {
		e.checkRuns(s)
		e.checkRefusal(s)
		e.checkResponse(s)
		e.checkConfiguration(s)
		e.checkLeaving(s)
	}
	e.checkNotices()
	e.checkEvacuations()
	e.checkUnrequested()
	e.checkOrders()
	e.checkLimits()
	e.checkPoisonRequests()
	e.checkDeadlyRequests()
	e.checkSoundStreams()
	e.checkRollback()
	e.checkQuota()
	e.checkCanceled()
	e.checkCutResponses()
	e.checkProcesses()
	return e.violations
}

// count returns the number of requests by kind and outcome.
func (e *execution) count() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, s := range e.sent {
		if out[string(s.kind)] == nil {
			out[string(s.kind)] = map[string]int{}
		}
		out[string(s.kind)][s.outcome()]++
	}
	return out
}

func (s *sentRequest) outcome() string {
	switch {
	case !s.canceledAt.IsZero():
		return "left"
	case s.response.Err != nil:
		return "cut"
	}
	return fmt.Sprint(s.response.Status)
}

// checkRuns checks that a request that must not be repeated runs at most once, and that every run is unchanged, for its own
// customer and from its own KV cache.
func (e *execution) checkRuns(s *sentRequest) {
	runs := e.runs[s.id]
	if s.kind.atMostOnce() && len(runs) > 1 {
		e.add("once", s.id, "ran %d times, on %s and %s", len(runs), runs[0].Server, runs[1].Server)
	}
	for _, r := range runs {
		if r.Method != http.MethodPost || r.Target != s.path || r.Body != s.body {
			e.add("unchanged", s.id, "ran as %s %s with body %q", r.Method, r.Target, r.Body)
		}
		if s.kind == unknownKeyRequest {
			e.add("keys", s.id, "ran on %s with a key that no configuration has", r.Server)
		} else if r.Tenant != s.kind.customer() || r.Header.Get("Authorization") != "" {
			e.add("keys", s.id, "ran on %s for customer %q, key passed on: %t", r.Server, r.Tenant, r.Header.Get("Authorization") != "")
		}
		e.checkCache(s, r)
	}
}

func (e *execution) checkCache(s *sentRequest, r standin.Run) {
	if r.Cache == "" {
		return
	}
	for _, b := range e.servers {
		if owner := b.server.CacheRequestID(r.Cache); owner != "" && owner != s.id {
			e.add("own KV cache", s.id, "ran on %s from the KV cache of %s", r.Server, owner)
		}
	}
}

// checkRefusal checks that a request did not run if its refusal says so.
func (e *execution) checkRefusal(s *sentRequest) {
	if runs := e.runs[s.id]; s.kind.atMostOnce() && s.response.Err == nil && s.response.NotRun() && len(runs) > 0 {
		e.add("true refusals", s.id, "refused with %d, but ran on %s", s.response.Status, runs[0].Server)
	}
}

// checkResponse checks that a successful response is complete, in order and from a server that ran the request, and that a
// server's error reaches the caller as that server sent it, or in place of it an error of the router that has no server's stamp.
func (e *execution) checkResponse(s *sentRequest) {
	a := s.response
	if a.Server != "" && !slices.ContainsFunc(e.runs[s.id], func(r standin.Run) bool { return r.Server == a.Server }) {
		e.add("own answers", s.id, "the answer is from %s, which did not run it", a.Server)
	}
	if a.Status != http.StatusOK {
		if a.Server != "" && !slices.ContainsFunc(e.runs[s.id], func(r standin.Run) bool { return r.Server == a.Server && r.FailureStatus == a.Status }) {
			e.add("own answers", s.id, "status %d bears the stamp of %s, which did not answer with it", a.Status, a.Server)
		}
		return
	}
	if a.Server == "" {
		e.add("own answers", s.id, "a success without a server's stamp")
	}
	if !s.kind.stream() {
		if err := standin.CheckPlain(s.id, a.Body); a.Err == nil && err != nil {
			e.add("whole answers", s.id, "%v", err)
		}
		return
	}
	events, err := standin.CheckStream(s.id, a.Body)
	if err != nil {
		e.add("whole answers", s.id, "%v", err)
	} else if a.Err == nil && events != streamEvents {
		e.add("whole answers", s.id, "looks complete after %d of %d events", events, streamEvents)
	}
}

// inForce returns the versions that may apply to a request: the newest that had to be in force when it was sent, and later ones
// up to its end.
func (e *execution) inForce(s *sentRequest) []version {
	first := 0
	for n, v := range e.versions {
		if v.at.Add(e.bounds.ApplyDelay).Before(s.began) {
			first = n
		}
	}
	last := first
	for n, v := range e.versions {
		// A version can become visible shortly before its acknowledgement is recorded.
		if v.at.Add(-time.Second).Before(s.done) {
			last = max(last, n)
		}
	}
	return e.versions[first : last+1]
}

// checkConfiguration checks that instances without a fault apply new versions within the bound, and that routes and keys that
// all versions contain are always served.
func (e *execution) checkConfiguration(s *sentRequest) {
	if s.kind == unknownKeyRequest {
		return
	}
	if s.denied() && s.kind != newestRouteRequest && s.kind != revocableKeyRequest {
		e.add("configuration", s.id, "%s answers %d to what all versions allow", s.instance, s.response.Status)
		return
	}
	if !e.faults.undisturbed(s.instance, e.bounds.Stable, s.began, s.done) {
		return
	}
	inForce := e.inForce(s)
	allowedBy := func(v version) bool { return e.consistentWith(s, v) }
	if !slices.ContainsFunc(inForce, allowedBy) {
		e.add("configuration", s.id, "%s handled it as no version from %d on does: status %d, runs %d",
			s.instance, inForce[0].number, s.response.Status, len(e.runs[s.id]))
	}
}

// denied reports whether the instance answered that it does not know the route or key.
func (s *sentRequest) denied() bool {
	status := s.response.Status
	return s.response.Err == nil && (status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound)
}

// consistentWith reports whether the request may have been handled by the version. A request that was neither denied nor run is
// consistent with every version.
func (e *execution) consistentWith(s *sentRequest, v version) bool {
	runs := e.runs[s.id]
	if !s.denied() && len(runs) == 0 {
		return true
	}
	switch s.kind {
	case movedRouteRequest:
		return v.movedService == e.servers[runs[0].Server].service
	case newestRouteRequest:
		return v.hasRoute(s.version) != s.denied()
	case revocableKeyRequest:
		return v.revocableKeyActive != s.denied()
	}
	return true
}

// checkRollback checks that an instance does not return to an older version within one start of its process.
func (e *execution) checkRollback() {
	type proof struct {
		number int
		at     time.Time
	}
	seen := map[string]proof{}
	ordered := slices.SortedFunc(slices.Values(e.sent), func(a, b *sentRequest) int { return a.began.Compare(b.began) })
	for _, s := range ordered {
		if runs := e.runs[s.id]; s.kind == newestRouteRequest && len(runs) > 0 {
			if old, ok := seen[s.process()]; !ok || s.version > old.number {
				seen[s.process()] = proof{number: s.version, at: runs[0].Began}
			}
		}
	}
	for _, s := range ordered {
		p, ok := seen[s.process()]
		if !ok || s.kind != newestRouteRequest || s.response.Err != nil || s.response.Status != http.StatusNotFound || s.version > p.number {
			continue
		}
		newest := e.inForce(s)
		if newest[len(newest)-1].hasRoute(s.version) && s.began.After(p.at.Add(e.bounds.Rollback)) {
			e.add("no older configuration", s.id, "%s answers 404 for version %d, %v after it served version %d", s.process(), s.version, s.began.Sub(p.at), p.number)
		}
	}
}

// checkUnrequested checks that servers run only requests that a caller sent.
func (e *execution) checkUnrequested() {
	known := map[string]bool{}
	for _, s := range e.sent {
		known[s.id] = true
	}
	for id, runs := range e.runs {
		if !known[id] {
			e.add("unasked", id, "ran on %s, but no caller sent it", runs[0].Server)
		}
	}
}

// checkOrders checks that a server receives at most one order, from one instance.
func (e *execution) checkOrders() {
	for id, b := range e.servers {
		if orders := b.server.Orders(); len(orders) > 1 {
			e.add("one order", "", "%s got %d orders, from %s and %s", id, len(orders), orders[0].Holder, orders[1].Holder)
		}
	}
}

// checkQuota checks that the rate-limited customer gets no more than its rate and burst allow.
func (e *execution) checkQuota() {
	type use struct{ sent, ran time.Time }
	var uses []use
	for _, s := range e.sent {
		if runs := e.runs[s.id]; s.kind == rateLimitedRequest && len(runs) > 0 {
			uses = append(uses, use{s.began, runs[0].Began})
		}
	}
	slices.SortFunc(uses, func(a, b use) int { return a.ran.Compare(b.ran) })
	allowed := (limitedRate*e.bounds.QuotaWindow.Seconds()+limitedRate)*(1+e.bounds.QuotaExcess) + e.bounds.QuotaSlack
	for n, first := range uses {
		tokens := 0
		for _, u := range uses[n:] {
			if u.ran.Sub(first.sent) > e.bounds.QuotaWindow {
				break
			}
			if !u.sent.Before(first.sent) {
				tokens += limitedTokens + 1
			}
		}
		if float64(tokens) > allowed {
			e.add("rate", "", "customer %s got %d tokens in %v, %.0f are allowed", limitedCustomer, tokens, e.bounds.QuotaWindow, allowed)
			return
		}
	}
}

// lateCancelShare and lateCancelCount bound the canceled requests that servers may work on for longer than the bound.
const (
	lateCancelShare = 0.25
	lateCancelCount = 3
)

// checkCanceled checks that servers stop working on requests whose callers have disconnected.
func (e *execution) checkCanceled() {
	var running int
	var late []string
	for _, s := range e.sent {
		if s.canceledAt.IsZero() || s.kind == unsafeRequest || !e.faults.undisturbed(s.instance, e.bounds.Stable, s.began, s.canceledAt.Add(e.bounds.CancelDelay)) {
			continue
		}
		for _, r := range e.runs[s.id] {
			if r.Began.After(s.canceledAt) || !r.Ended.IsZero() && r.Ended.Before(s.canceledAt) {
				continue
			}
			running++
			if r.Ended.IsZero() || r.Ended.After(s.canceledAt.Add(e.bounds.CancelDelay)) {
				late = append(late, s.id)
			}
		}
	}
	if len(late) > lateCancelCount && float64(len(late)) > lateCancelShare*float64(running) {
		e.add("callers gone", late[0], "servers went on with %d of %d requests for more than %v after their callers had left", len(late), running, e.bounds.CancelDelay)
	}
	for _, server := range e.stillBusy {
		e.add("callers gone", "", "%s still works or keeps memory after the last request", server)
	}
}

// readSlack is how late, counted from the request, a connection may close without a response if no server ran the request: the
// request and the close of the connection have then crossed on the wire.
const readSlack = 200 * time.Millisecond

// checkCutResponses checks that responses are not cut off without an unplanned fault, including while instances are stopped,
// reload their settings or apply a new configuration.
func (e *execution) checkCutResponses() {
	for _, s := range e.sent {
		if s.response.Err == nil || !s.canceledAt.IsZero() || !e.faults.withoutUnplannedFault(s.began.Add(-e.bounds.Stable), s.done) {
			continue
		}
		if len(e.runs[s.id]) > 0 || s.done.Sub(s.began) > readSlack {
			e.add("no cut answers", s.id, "%s closed its connection after %v: %v", s.instance, s.done.Sub(s.began).Round(time.Millisecond), s.response.Err)
		}
	}
}

// signalSetupTime is how long a process built with the race detector may take until it handles signals. Before that, a signal
// has its default action and ends the process, which has not served anything yet.
const signalSetupTime = 250 * time.Millisecond

// allowed reports whether a process that was asked to stop may have exited with its error.
func (e processExit) allowed() bool {
	text := e.err.Error()
	return strings.Contains(text, "signal: killed") || strings.Contains(text, "signal: terminated") && e.uptime < signalSetupTime
}

// checkProcesses checks that processes exit only when asked to, that planned stops finish in time and without an error, and
// that all instances serve again at the end.
func (e *execution) checkProcesses() {
	for _, end := range e.exits {
		if !end.expected {
			e.add("processes", "", "start %d of %s ended by itself: %v", end.boot, end.instance, end.err)
		} else if end.err != nil && !end.allowed() {
			e.add("processes", "", "start %d of %s ended with an error: %v", end.boot, end.instance, end.err)
		}
	}
	for _, name := range e.lateStops {
		e.add("processes", "", "%s did not stop within %v", name, e.bounds.Grace)
	}
	for _, what := range e.unrecovered {
		e.add("recovery", "", "%s is not served %v after the last fault", what, e.bounds.Recovery)
	}
}
