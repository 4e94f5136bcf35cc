package servicepath

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/domain/claim"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	// maxClaimAttempts bounds the attempts to create the claim of one call; claimRetryDelay is the delay between two of them.
	maxClaimAttempts = 3
	claimRetryDelay  = 50 * time.Millisecond
	// minRepairBackoff and maxRepairBackoff bound the backoff between attempts to release or complete a claim in the background.
	minRepairBackoff = 50 * time.Millisecond
	maxRepairBackoff = time.Second
)

// storedHeaders lists the response headers that are stored with the response of a completed call.
var storedHeaders = []string{"Content-Type", "Location"}

func selectStoredHeaders(h http.Header) map[string]string {
	kept := map[string]string{}
	for _, name := range storedHeaders {
		if v := h.Get(name); v != "" {
			kept[name] = v
		}
	}
	return kept
}

func claimName(c *Call) string {
	return claim.ObjectName(c.customerName(), c.Route.Name, c.IdempotencyKey)
}

func callDigest(c *Call) string {
	return claim.CallDigest(c.Method, stripCredentials(c.Path), c.Body)
}

// ownClaim is a claim that this call created.
type ownClaim struct {
	name    string
	version uint64
	record  claim.Record
}

// acquireClaim creates the claim. If held is nil, resp and err are the result of the call.
func (o *atMostOnceCall) acquireClaim(ctx context.Context) (held *ownClaim, resp port.ServiceResponse, err error) {
	record := claim.Record{
		Attempt: o.call.RequestID, Instance: o.forwarder.Membership.Self().Name, Digest: callDigest(o.call),
		CreatedMS: o.forwarder.Clock.Now().UnixMilli(), State: claim.StateClaimed,
	}
	mayExist := false
	for n := 0; n < maxClaimAttempts && o.checkMaySend() == nil; n++ {
		version, createErr := o.forwarder.createClaim(ctx, o.claimName, record)
		if createErr == nil {
			o.forwarder.record(o.call, event.ClaimCreated, "", o.claimName)
			return &ownClaim{o.claimName, version, record}, resp, nil
		}
		mayExist = mayExist || mayHaveBeenWritten(createErr)
		if err = createErr; fault.Is(err, fault.Conflict) || mayHaveBeenWritten(err) {
			var found claim.Record
			found, version, err = o.forwarder.readClaimDetached(ctx, o.claimName)
			if err == nil && claim.Decide(found, record.Attempt, record.Digest) == claim.OwnClaim {
				o.forwarder.record(o.call, event.ClaimCreated, "", o.claimName+" (reply lost)")
				return &ownClaim{o.claimName, version, found}, resp, nil
			}
			if err == nil {
				resp, err = o.forwarder.answerFromClaim(o.call, found)
				return nil, resp, err
			}
		}
		sleep(ctx, claimRetryDelay)
	}
	if mayExist {
		o.forwarder.background.start(func() { o.forwarder.retryRelease(o.call, ownClaim{name: o.claimName, record: record}) })
	}
	return nil, resp, o.claimError(ctx, err)
}

// claimError returns the error of a call whose claim could not be created. No part of the call was sent.
func (o *atMostOnceCall) claimError(ctx context.Context, err error) error {
	outcome := o.forwarder.outcomeWithoutPlatform(ctx, o.claimName, 1)
	if ctx.Err() != nil {
		return fault.Wrap(ctx.Err(), fault.CallerDisconnected, outcome, "the call ended before it was sent")
	}
	if err == nil {
		err = context.DeadlineExceeded
	}
	message := "the platform cannot record the call, so it was not sent; repeat it with the same Idempotency-Key"
	if outcome != openai.NotRun {
		message = "the platform cannot be asked whether an earlier call with this Idempotency-Key was sent; this one was not. " +
			"Repeat it with the same key"
	}
	return fault.Wrap(err, fault.PlatformUnavailable, outcome, message).WithRetryAfter(outageRetryAfter)
}

// answerFromClaim returns the result of a call whose claim another request created.
func (fw *Forwarder) answerFromClaim(c *Call, record claim.Record) (port.ServiceResponse, error) {
	switch claim.Decide(record, c.RequestID, callDigest(c)) {
	case claim.DifferentCall:
		return port.ServiceResponse{}, fault.New(fault.IdempotencyKeyReused,
			"the Idempotency-Key was used for another call; send a new key with this one")
	case claim.ReplayAnswer:
		fw.record(c, event.ClaimReplayed, "", record.Attempt)
		resp := port.ServiceResponse{Status: record.Status, Header: http.Header{}, Body: record.Body}
		for name, value := range record.Header {
			resp.Header.Set(name, value)
		}
		resp.Header.Set(ReplayedHeader, "true")
		return resp, nil
	}
	message := "a call with this Idempotency-Key was sent and has no answer yet; ask the service what became of it"
	if record.TooLarge {
		message = "the call with this Idempotency-Key has run; its answer was too large to be kept"
	}
	return port.ServiceResponse{}, fault.New(fault.Conflict, message).WithOutcome(openai.Unknown)
}

// mayHaveBeenWritten reports whether a failed write to the platform may have taken effect.
func mayHaveBeenWritten(err error) bool {
	f := fault.As(err)
	return f.Kind != fault.Conflict && f.Kind != fault.NotFound && f.Outcome != openai.NotRun
}

func (fw *Forwarder) createClaim(ctx context.Context, name string, record claim.Record) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	// Detached from the caller's context: a write cancelled halfway would leave it unknown whether the claim exists.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	return fw.Platform.Create(ctx, platform.KindClaim, name, value)
}

func (fw *Forwarder) readClaimDetached(ctx context.Context, name string) (claim.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	return fw.readClaim(ctx, name)
}

func (fw *Forwarder) readClaim(ctx context.Context, name string) (claim.Record, uint64, error) {
	object, err := fw.Platform.Get(ctx, platform.KindClaim, name)
	if err != nil {
		return claim.Record{}, 0, err
	}
	record, err := parseRecord(object.Value)
	return record, object.Version, err
}

func parseRecord(value json.RawMessage) (record claim.Record, err error) {
	err = json.Unmarshal(value, &record)
	return record, err
}

// releaseClaim deletes the claim if this call created it. It returns true once the call is known to hold no claim.
func (fw *Forwarder) releaseClaim(c *Call, held ownClaim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if held.version == 0 {
		found, version, err := fw.readClaim(ctx, held.name)
		if err != nil || found.Attempt != held.record.Attempt {
			return fault.Is(err, fault.NotFound) || err == nil
		}
		held.version = version
	}
	err := fw.Platform.Delete(ctx, platform.KindClaim, held.name, held.version)
	if err == nil {
		fw.record(c, event.ClaimReleased, "", held.name)
	}
	return err == nil || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Conflict)
}

// retryRelease retries releaseClaim for as long as retries of the call by its caller are expected.
func (fw *Forwarder) retryRelease(c *Call, held ownClaim) {
	fw.retryWithBackoff(func() bool { return fw.releaseClaim(c, held) })
}

// completeClaim stores the response in the claim. If the write fails, it reads the claim back, as only the reply may have been
// lost.
func (fw *Forwarder) completeClaim(held *ownClaim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	value, err := json.Marshal(held.record)
	if err != nil {
		return true
	}
	if _, err = fw.Platform.Replace(ctx, platform.KindClaim, held.name, held.version, value); err == nil {
		return true
	}
	found, version, err := fw.readClaim(ctx, held.name)
	if err != nil {
		return fault.Is(err, fault.NotFound)
	}
	held.version = version
	return found.Attempt != held.record.Attempt || found.State == claim.StateDone
}

func (fw *Forwarder) retryComplete(held *ownClaim) {
	fw.retryWithBackoff(func() bool { return fw.completeClaim(held) })
}

// retryWithBackoff calls f with exponential backoff until f returns true or retries of the call are no longer expected.
func (fw *Forwarder) retryWithBackoff(f func() bool) {
	end := fw.Clock.Boot() + claim.SentRetention
	for backoff := minRepairBackoff; fw.Clock.Boot() < end; backoff = min(2*backoff, maxRepairBackoff) {
		sleep(context.Background(), backoff)
		if f() {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
