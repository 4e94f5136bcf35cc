package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/domain/quarantine"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// sustainedAfter is how long an answer goes on, and sustainedEvents the number of its events, until its prompt counts as harmless. A
	// prompt that crashes engines does so at the beginning of the answer.
	sustainedAfter  = 500 * time.Millisecond
	sustainedEvents = 3
	// crashProbes is the number of attempts to connect to an engine that may have crashed, crashProbeInterval the time between them:
	// connections of a process that ends may be closed before its listener is.
	crashProbes        = 2
	crashProbeInterval = 100 * time.Millisecond
	crashProbeTimeout  = 400 * time.Millisecond
)

// traits returns what the request has in common with others: its fingerprint, and the parts of its prompt that they may share.
func (r *requestState) traits() []string {
	if r.quarantineTraits == nil {
		fields := append([]string{r.req.Method, r.req.Host, r.req.Target, r.call.Customer}, r.req.Caller.SharedParts...)
		r.quarantineTraits = append([]string{quarantine.Fingerprint(r.call.Body, fields...)}, r.req.Caller.SharedParts...)
	}
	return r.quarantineTraits
}

// checkQuarantine returns an error if the request, or a part of its prompt, crashes endpoints, unless the request is a trial.
func (r *requestState) checkQuarantine() error {
	if !r.Quarantine.HasCrashes(r.service.Name) {
		return nil
	}
	remaining, blocked := r.Quarantine.Blocked(r.service.Name, r.traits(), r.SinceBoot())
	if !blocked || r.isQuarantineTrial && !r.mayHaveRun {
		return nil
	}
	if r.IsLeader() && r.Quarantine.ClaimTrial(r.service.Name, r.traits(), r.SinceBoot()) {
		r.isQuarantineTrial = true
		r.Logger.Info().Str("event", "quarantine.trial").Str("request", r.req.Caller.RequestID).Strs("parts", r.traits()).Msg("")
		return nil
	}
	return fault.New(fault.PromptQuarantined, "the request or a part of its prompt crashes the service's endpoints; do not send it again before Retry-After").
		WithRetryAfter(remaining)
}

// expectAnswer notes that an attempt was sent at the given time since boot.
func (r *requestState) expectAnswer(sent time.Duration) {
	r.answerRequested, r.answerBegan, r.answerEvents, r.answerSustained = sent, 0, 0, false
}

// recordAnswer notes that events of the answer have arrived, or that it has ended. An answer that has gone on for sustainedAfter, has had
// sustainedEvents or has ended is sustained.
func (r *requestState) recordAnswer(events int, ended bool) {
	now := r.SinceBoot()
	r.answerEvents += events
	begins := r.answerBegan == 0 && r.answerEvents > 0
	switch {
	case begins:
		r.answerBegan = now
	case r.answerBegan == 0 && ended: // an answer that is no stream of events
		r.answerBegan = r.answerRequested
	}
	sustained := r.answerBegan > 0 && (ended || r.answerEvents >= sustainedEvents || now-r.answerBegan >= sustainedAfter)
	if !begins && (r.answerSustained || !sustained) {
		return
	}
	r.answerSustained = sustained
	if r.Quarantine.HasCrashes(r.service.Name) && r.Quarantine.RecordAnswer(r.service.Name, r.traits(), sustained, r.answerBegan, now) {
		r.OnCrash()
	}
}

// reportCrash records a crash of the endpoint if the attempt failed because its process ended at the beginning of the answer.
// Whether it ended is determined in the background.
func (r *requestState) reportCrash(ep routing.Endpoint, err error) {
	now := r.SinceBoot()
	atBeginning := r.answerBegan == 0 || !r.answerSustained && now-r.answerBegan < sustainedAfter
	if !atBeginning || r.ctx.Err() != nil || !isBrokenConnection(err) {
		return
	}
	f, service, id, parts := r.Forwarder, r.service.Name, r.req.Caller.RequestID, r.traits()
	go background.CallWithRecover(r.Logger, "crash probe", func() {
		if !f.hasCrashed(ep) {
			return
		}
		f.Quarantine.RecordCrash(service, ep.ID, id, parts, now)
		f.Logger.Warn().Str("event", "engine.crashed").Str("endpoint", ep.ID).Str("request", id).Strs("parts", parts).
			Int("quarantined", len(f.Quarantine.Quarantined(now))).Msg("the endpoint crashed at the beginning of the request's answer")
		f.OnCrash()
	})
}

// isBrokenConnection reports whether the endpoint closed or reset the connection before the end of its answer.
func isBrokenConnection(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// hasCrashed reports whether no process listens at the endpoint's address any more.
func (f *Forwarder) hasCrashed(ep routing.Endpoint) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	for range crashProbes {
		if f.Client.RefusesConnections(ctx, ep) {
			return true
		}
		background.SleepContext(ctx, crashProbeInterval)
	}
	return false
}
