package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"tanagerwood.dev/platform/standin"
)

// evidence is what callers, servers and the operator saw in a run.
type evidence struct {
	bounds   Bounds
	sent     []*sent
	faults   *timeline
	versions []version
	// runs are the runs of each request in order of time, servers all servers that ever ran.
	runs    map[string][]standin.Run
	servers map[string]*serverBoot
	ends    []end
	// lateStops, unrecovered and atWork name instances and servers that exceeded a bound.
	lateStops, unrecovered, atWork []string

	violations []Violation
}

func (e *evidence) add(promise, request, format string, values ...any) {
	e.violations = append(e.violations, Violation{Guarantee: promise, Request: request, Text: fmt.Sprintf(format, values...)})
}

// check returns all violations.
func (e *evidence) check() []Violation {
	for _, s := range e.sent {
		e.checkRuns(s)
		e.checkRefusal(s)
		e.checkAnswer(s)
		e.checkConfiguration(s)
		e.checkLeaving(s)
	}
	e.checkUnasked()
	e.checkOrders()
	e.checkRollback()
	e.checkQuota()
	e.checkGone()
	e.checkLost()
	e.checkProcesses()
	return e.violations
}

// count returns the number of requests by kind and outcome.
func (e *evidence) count() map[string]map[string]int {
	out := map[string]map[string]int{}
	for _, s := range e.sent {
		if out[string(s.kind)] == nil {
			out[string(s.kind)] = map[string]int{}
		}
		out[string(s.kind)][s.outcome()]++
	}
	return out
}

func (s *sent) outcome() string {
	switch {
	case !s.left.IsZero():
		return "left"
	case s.answer.Err != nil:
		return "cut"
	}
	return fmt.Sprint(s.answer.Status)
}

// checkRuns: what must not be repeated runs at most once, and unchanged, for its own customer, from its own KV cache.
func (e *evidence) checkRuns(s *sent) {
	runs := e.runs[s.id]
	if s.kind.unrepeatable() && len(runs) > 1 {
		e.add("once", s.id, "ran %d times, on %s and %s", len(runs), runs[0].Server, runs[1].Server)
	}
	for _, r := range runs {
		if r.Method != http.MethodPost || r.Target != s.path || r.Body != body(s.id) {
			e.add("unchanged", s.id, "ran as %s %s with body %q", r.Method, r.Target, r.Body)
		}
		if s.kind == forged {
			e.add("keys", s.id, "ran on %s with a key that no configuration has", r.Server)
		} else if r.Tenant != s.kind.customer() || r.Header.Get("Authorization") != "" {
			e.add("keys", s.id, "ran on %s for customer %q, key passed on: %t", r.Server, r.Tenant, r.Header.Get("Authorization") != "")
		}
		e.checkCache(s, r)
	}
}

func (e *evidence) checkCache(s *sent, r standin.Run) {
	if r.Cache == "" {
		return
	}
	for _, b := range e.servers {
		if owner := b.server.CacheRequestID(r.Cache); owner != "" && owner != s.id {
			e.add("own KV cache", s.id, "ran on %s from the KV cache of %s", r.Server, owner)
		}
	}
}

// checkRefusal: a refusal that promises that the request has not run is true.
func (e *evidence) checkRefusal(s *sent) {
	if runs := e.runs[s.id]; s.kind.unrepeatable() && s.answer.Err == nil && s.answer.NotRun() && len(runs) > 0 {
		e.add("true refusals", s.id, "refused with %d, but ran on %s", s.answer.Status, runs[0].Server)
	}
}

// checkAnswer: a success is whole, in order, and from a server that ran the request; a server's failure is its own.
func (e *evidence) checkAnswer(s *sent) {
	a := s.answer
	if a.Server != "" && !slices.ContainsFunc(e.runs[s.id], func(r standin.Run) bool { return r.Server == a.Server }) {
		e.add("own answers", s.id, "the answer is from %s, which did not run it", a.Server)
	}
	if a.Status != http.StatusOK {
		if a.Server != "" && a.Status != http.StatusInternalServerError {
			e.add("own answers", s.id, "status %d bears the stamp of %s, which answers 200 or 500", a.Status, a.Server)
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

// inForce returns the versions that may apply to a request: the newest that had to be in force when it was sent, and later
// ones up to its end.
func (e *evidence) inForce(s *sent) []version {
	first := 0
	for n, v := range e.versions {
		if v.at.Add(e.bounds.ApplyDelay).Before(s.began) {
			first = n
		}
	}
	last := first
	for n, v := range e.versions {
		// A version can be seen a little before its acknowledgement is noted.
		if v.at.Add(-time.Second).Before(s.done) {
			last = max(last, n)
		}
	}
	return e.versions[first : last+1]
}

// checkConfiguration: instances without a fault follow versions within the bound; routes and keys that all versions have are
// always there.
func (e *evidence) checkConfiguration(s *sent) {
	if s.kind == forged {
		return
	}
	if s.denied() && s.kind != newest && s.kind != visitor {
		e.add("configuration", s.id, "%s answers %d to what all versions allow", s.instance, s.answer.Status)
		return
	}
	if !e.faults.inTouch(s.instance, e.bounds.Stable, s.began, s.done) {
		return
	}
	inForce := e.inForce(s)
	allowedBy := func(v version) bool { return e.agrees(s, v) }
	if !slices.ContainsFunc(inForce, allowedBy) {
		e.add("configuration", s.id, "%s handled it as no version from %d on does: status %d, runs %d",
			s.instance, inForce[0].number, s.answer.Status, len(e.runs[s.id]))
	}
}

// denied reports whether the instance answered that it knows no such route or key.
func (s *sent) denied() bool {
	status := s.answer.Status
	return s.answer.Err == nil && (status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound)
}

// agrees reports whether the request may have been handled by the version. One that was neither denied nor run agrees with all.
func (e *evidence) agrees(s *sent, v version) bool {
	runs := e.runs[s.id]
	if !s.denied() && len(runs) == 0 {
		return true
	}
	switch s.kind {
	case moved:
		return v.moved == e.servers[runs[0].Server].service
	case newest:
		return v.has(s.version) != s.denied()
	case visitor:
		return v.visitor != s.denied()
	}
	return true
}

// checkRollback: an instance does not go back to an older version within one start of its process.
func (e *evidence) checkRollback() {
	type proof struct {
		number int
		at     time.Time
	}
	seen := map[string]proof{}
	ordered := slices.SortedFunc(slices.Values(e.sent), func(a, b *sent) int { return a.began.Compare(b.began) })
	boot := func(s *sent) string { return fmt.Sprint(s.instance, " start ", s.boot) }
	for _, s := range ordered {
		if runs := e.runs[s.id]; s.kind == newest && len(runs) > 0 {
			if old, ok := seen[boot(s)]; !ok || s.version > old.number {
				seen[boot(s)] = proof{number: s.version, at: runs[0].Began}
			}
		}
	}
	for _, s := range ordered {
		p, ok := seen[boot(s)]
		if !ok || s.kind != newest || s.answer.Err != nil || s.answer.Status != http.StatusNotFound || s.version > p.number {
			continue
		}
		newest := e.inForce(s)
		if newest[len(newest)-1].has(s.version) && s.began.After(p.at.Add(e.bounds.Rollback)) {
			e.add("no older configuration", s.id, "%s answers 404 for version %d, %v after it served version %d", boot(s), s.version, s.began.Sub(p.at), p.number)
		}
	}
}

// checkLeaving: a server that is leaving gets no requests after the drain time from instances without a fault.
func (e *evidence) checkLeaving(s *sent) {
	for _, r := range e.runs[s.id] {
		b := e.servers[r.Server]
		if b.leaving.IsZero() || !r.Began.After(b.leaving.Add(e.bounds.Drain)) {
			continue
		}
		if e.faults.inTouch(s.instance, e.bounds.Stable, b.leaving, r.Began) {
			e.add("leaving servers", s.id, "%s sent it to %s, %v after the server said that it is leaving", s.instance, r.Server, r.Began.Sub(b.leaving))
		}
	}
}

// checkUnasked: servers run no request that no caller sent.
func (e *evidence) checkUnasked() {
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

// checkOrders: a server is ordered by one instance at most, and only once.
func (e *evidence) checkOrders() {
	for id, b := range e.servers {
		if orders := b.server.Orders(); len(orders) > 1 {
			e.add("one order", "", "%s got %d orders, from %s and %s", id, len(orders), orders[0].Holder, orders[1].Holder)
		}
	}
}

// checkQuota: the limited customer gets no more than its rate and burst allow.
func (e *evidence) checkQuota() {
	type use struct{ sent, ran time.Time }
	var uses []use
	for _, s := range e.sent {
		if runs := e.runs[s.id]; s.kind == limited && len(runs) > 0 {
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
			e.add("rate", "", "customer %s got %d tokens in %v, %.0f are allowed", limitedName, tokens, e.bounds.QuotaWindow, allowed)
			return
		}
	}
}

// lateWorkShare and lateWorkFew bound the requests of callers gone that servers may work on for longer than the bound.
const (
	lateWorkShare = 0.25
	lateWorkFew   = 3
)

// checkGone: servers stop working for callers that have left.
func (e *evidence) checkGone() {
	var running int
	var late []string
	for _, s := range e.sent {
		if s.left.IsZero() || s.kind == book || !e.faults.inTouch(s.instance, e.bounds.Stable, s.began, s.left.Add(e.bounds.CancelDelay)) {
			continue
		}
		for _, r := range e.runs[s.id] {
			if r.Began.After(s.left) || !r.Ended.IsZero() && r.Ended.Before(s.left) {
				continue
			}
			running++
			if r.Ended.IsZero() || r.Ended.After(s.left.Add(e.bounds.CancelDelay)) {
				late = append(late, s.id)
			}
		}
	}
	if len(late) > lateWorkFew && float64(len(late)) > lateWorkShare*float64(running) {
		e.add("callers gone", late[0], "servers went on with %d of %d requests for more than %v after their callers had left", len(late), running, e.bounds.CancelDelay)
	}
	for _, server := range e.atWork {
		e.add("callers gone", "", "%s still works or keeps memory after the last request", server)
	}
}

// readSlack is how late a connection may end without an answer, counted from the request, if no server has run it: such a
// request has crossed the end of the connection.
const readSlack = 200 * time.Millisecond

// checkLost: without an unplanned fault, requests are not cut off, also while instances are stopped, read settings again or
// follow a new configuration.
func (e *evidence) checkLost() {
	for _, s := range e.sent {
		if s.answer.Err == nil || !s.left.IsZero() || !e.faults.calm(s.began.Add(-e.bounds.Stable), s.done) {
			continue
		}
		if len(e.runs[s.id]) > 0 || s.done.Sub(s.began) > readSlack {
			e.add("no cut answers", s.id, "%s closed its connection after %v: %v", s.instance, s.done.Sub(s.began).Round(time.Millisecond), s.answer.Err)
		}
	}
}

// beginTime is how long a process may take, with the race detector, until it takes signals. Before, the operating system ends
// it; it has served nothing yet.
const beginTime = 250 * time.Millisecond

// allowed reports whether a process that was asked to end may have ended with its error.
func (e end) allowed() bool {
	text := e.err.Error()
	return strings.Contains(text, "signal: killed") || strings.Contains(text, "signal: terminated") && e.ran < beginTime
}

// checkProcesses: processes end only when they are asked to, planned stops in time and without an error; all serve again in
// the end.
func (e *evidence) checkProcesses() {
	for _, end := range e.ends {
		if !end.wanted {
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
