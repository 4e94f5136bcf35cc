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
	// claimTries bounds how often the claim of one call is tried, claimPause is between two tries.
	claimTries = 3
	claimPause = 50 * time.Millisecond
	// firstRepairPause and maxRepairPause are between tries to release or complete a claim after its caller has the answer.
	firstRepairPause = 50 * time.Millisecond
	maxRepairPause   = time.Second
)

// keptHeaders are stored with the answer of a done call.
var keptHeaders = []string{"Content-Type", "Location"}

func keptHeader(h http.Header) map[string]string {
	kept := map[string]string{}
	for _, name := range keptHeaders {
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
	return claim.CallDigest(c.Method, withoutCredentials(c.Path), c.Body)
}

// heldClaim is a claim that this call made.
type heldClaim struct {
	name    string
	version uint64
	record  claim.Record
}

// makeClaim makes the claim. Without held, the other results answer the call.
func (o *onceCall) makeClaim(ctx context.Context) (held *heldClaim, resp port.ServiceResponse, err error) {
	record := claim.Record{
		Attempt: o.call.RequestID, Instance: o.path.Membership.Self().Name, Digest: callDigest(o.call),
		CreatedMS: o.path.Clock.Now().UnixMilli(), State: claim.StateClaimed,
	}
	mayExist := false
	for n := 0; n < claimTries && o.gateOpen() == nil; n++ {
		version, createErr := o.path.createClaim(ctx, o.name, record)
		if createErr == nil {
			o.path.record(o.call, event.ClaimCreated, "", o.name)
			return &heldClaim{o.name, version, record}, resp, nil
		}
		mayExist = mayExist || writeMayHold(createErr)
		if err = createErr; fault.Is(err, fault.Conflict) || writeMayHold(err) {
			var found claim.Record
			found, version, err = o.path.readClaimDetached(ctx, o.name)
			if err == nil && claim.Decide(found, record.Attempt, record.Digest) == claim.OwnClaim {
				o.path.record(o.call, event.ClaimCreated, "", o.name+" (reply lost)")
				return &heldClaim{o.name, version, found}, resp, nil
			}
			if err == nil {
				resp, err = o.path.existing(o.call, found)
				return nil, resp, err
			}
		}
		pause(ctx, claimPause)
	}
	if mayExist {
		o.path.work.start(func() { o.path.keepReleasing(o.call, heldClaim{name: o.name, record: record}) })
	}
	return nil, resp, o.notClaimed(ctx, err)
}

// notClaimed is the refusal of a call whose claim could not be made. Nothing of it was sent.
func (o *onceCall) notClaimed(ctx context.Context, err error) error {
	outcome := o.path.outcomeWithoutPlatform(ctx, o.name, 1)
	if ctx.Err() != nil {
		return fault.Wrap(ctx.Err(), fault.CallerGone, outcome, "the call ended before it was sent")
	}
	if err == nil {
		err = context.DeadlineExceeded
	}
	message := "the platform cannot record the call, so it was not sent; repeat it with the same Idempotency-Key"
	if outcome != openai.NotRun {
		message = "the platform cannot be asked whether an earlier call with this Idempotency-Key was sent; this one was not. " +
			"Repeat it with the same key"
	}
	return fault.Wrap(err, fault.PlatformDown, outcome, message).WithRetryAfter(outageRetryAfter)
}

// existing answers a call whose claim another attempt made.
func (p *Forwarder) existing(c *Call, record claim.Record) (port.ServiceResponse, error) {
	switch claim.Decide(record, c.RequestID, callDigest(c)) {
	case claim.DifferentCall:
		return port.ServiceResponse{}, fault.New(fault.KeyReused,
			"the Idempotency-Key was used for another call; send a new key with this one")
	case claim.ReplayAnswer:
		p.record(c, event.ClaimReplayed, "", record.Attempt)
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

// writeMayHold reports whether a write that failed may have taken effect all the same.
func writeMayHold(err error) bool {
	f := fault.As(err)
	return f.Kind != fault.Conflict && f.Kind != fault.NotFound && f.Outcome != openai.NotRun
}

func (p *Forwarder) createClaim(ctx context.Context, name string, record claim.Record) (uint64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return 0, err
	}
	// A caller that leaves must not leave the claim in doubt, so its context does not end the write.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	return p.Platform.Create(ctx, platform.KindClaim, name, value)
}

func (p *Forwarder) readClaimDetached(ctx context.Context, name string) (claim.Record, uint64, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), platformTimeout)
	defer cancel()
	return p.readClaim(ctx, name)
}

func (p *Forwarder) readClaim(ctx context.Context, name string) (claim.Record, uint64, error) {
	object, err := p.Platform.Get(ctx, platform.KindClaim, name)
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

// tryRelease deletes the claim if this call made it. It returns true once the claim is known not to be there for it.
func (p *Forwarder) tryRelease(c *Call, held heldClaim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if held.version == 0 {
		found, version, err := p.readClaim(ctx, held.name)
		if err != nil || found.Attempt != held.record.Attempt {
			return fault.Is(err, fault.NotFound) || err == nil
		}
		held.version = version
	}
	err := p.Platform.Delete(ctx, platform.KindClaim, held.name, held.version)
	if err == nil {
		p.record(c, event.ClaimReleased, "", held.name)
	}
	return err == nil || fault.Is(err, fault.NotFound) || fault.Is(err, fault.Conflict)
}

// keepReleasing repeats the release for as long as repeats of the call are expected.
func (p *Forwarder) keepReleasing(c *Call, held heldClaim) {
	p.repair(func() bool { return p.tryRelease(c, held) })
}

// tryComplete stores the answer. After a lost reply the claim is read back.
func (p *Forwarder) tryComplete(held *heldClaim) bool {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	value, err := json.Marshal(held.record)
	if err != nil {
		return true
	}
	if _, err = p.Platform.Replace(ctx, platform.KindClaim, held.name, held.version, value); err == nil {
		return true
	}
	found, version, err := p.readClaim(ctx, held.name)
	if err != nil {
		return fault.Is(err, fault.NotFound)
	}
	held.version = version
	return found.Attempt != held.record.Attempt || found.State == claim.StateDone
}

func (p *Forwarder) keepCompleting(held *heldClaim) {
	p.repair(func() bool { return p.tryComplete(held) })
}

// repair repeats f until it returns true or repeats of the call are no longer expected.
func (p *Forwarder) repair(f func() bool) {
	end := p.Clock.Boot() + claim.SentRetention
	for backoff := firstRepairPause; p.Clock.Boot() < end; backoff = min(2*backoff, maxRepairPause) {
		pause(context.Background(), backoff)
		if f() {
			return
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
