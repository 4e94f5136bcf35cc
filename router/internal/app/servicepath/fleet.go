package servicepath

import (
	"context"
	"sync"
	"time"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/domain/claim"
)

const (
	// observePeriod is how often the live members are noted; a dead member stays listed for longer.
	observePeriod = 500 * time.Millisecond
	// sweepPeriod is how often old claims are deleted.
	sweepPeriod = 10 * time.Minute
	// sweepOwner names the duty of deleting old claims, which one member has at a time.
	sweepOwner = "claims"
)

// Run watches the members and deletes old claims until ctx ends.
func (p *Forwarder) Run(ctx context.Context) {
	observe := time.NewTicker(observePeriod)
	defer observe.Stop()
	sweep := time.NewTicker(sweepPeriod)
	defer sweep.Stop()
	for {
		p.fleet.Observe(p.Clock.Boot(), p.Membership.Alive())
		select {
		case <-ctx.Done():
			return
		case <-observe.C:
		case <-sweep.C:
			if _, own := p.Membership.Owner(sweepOwner); own {
				p.DeleteExpiredClaims(ctx)
			}
		}
	}
}

// DeleteExpiredClaims deletes the claims that are older than claim.KeepTime.
func (p *Forwarder) DeleteExpiredClaims(ctx context.Context) {
	list, err := p.Platform.List(ctx, platform.KindClaim)
	if err != nil {
		return // the next sweep finds the same claims
	}
	for _, object := range list.Objects {
		if record, ok := decodeRecord(object); ok && record.Expired(p.Clock.Now()) {
			_ = p.Platform.Delete(ctx, platform.KindClaim, object.Name, object.Version)
		}
	}
}

// outcomeWithoutPlatform is the outcome of a call that is refused while its claim cannot be read: not_run only if the
// memory of the whole fleet shows that no instance has sent it. Own is how much work on the claim this call does itself.
func (p *Forwarder) outcomeWithoutPlatform(ctx context.Context, name string, own int) openai.Outcome {
	if !p.fleetKnown() || p.memory.MayHaveSent(name, own, p.Clock.Boot()) {
		return openai.Unknown
	}
	if !p.nobodySent(context.WithoutCancel(ctx), name) || !p.fleetKnown() {
		return openai.Unknown
	}
	return openai.NotRun
}

// fleetKnown reports whether the live members are all that may have sent a call. Calls that are not repeatable are sent
// only by confirmed members, so the roster names all senders unless it lost one lately.
func (p *Forwarder) fleetKnown() bool {
	if p.RosterSource != nil && p.Membership.Confirmed() &&
		claim.RosterSendersAlive(p.Clock.Now(), p.RosterSource.Roster(), p.Membership.Alive()) {
		return true
	}
	routers, read := p.Config.Routers()
	if !read {
		return false
	}
	names := make([]string, 0, len(routers))
	for _, r := range routers {
		names = append(names, r.Name)
	}
	now := p.Clock.Boot()
	p.fleet.Observe(now, p.Membership.Alive())
	return p.fleet.AllSendersAlive(now, names)
}

// nobodySent asks all other live members. A member that does not answer may have sent the call.
func (p *Forwarder) nobodySent(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	self := p.Membership.Self().MemberID
	members := p.Membership.Alive()
	clean := make([]bool, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		if m.MemberID == self {
			clean[i] = true
			continue
		}
		wg.Go(func() {
			reply, err := p.Peers.Claims(ctx, m.Address, peer.ClaimsRequest{Claim: name})
			clean[i] = err == nil && !reply.Sent
		})
	}
	wg.Wait()
	for _, ok := range clean {
		if !ok {
			return false
		}
	}
	return true
}

// decodeRecord returns ok=false for an object that is no claim of this version; it is left to operators.
func decodeRecord(o platform.Object) (record claim.Record, ok bool) {
	record, err := parseRecord(o.Value)
	return record, err == nil && record.CreatedMS > 0
}
