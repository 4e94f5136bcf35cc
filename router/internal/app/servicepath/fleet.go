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
	// membershipPollInterval is the interval at which the live members are sampled. A dead member stays listed for longer than
	// that, so none is missed.
	membershipPollInterval = 500 * time.Millisecond
	// claimCleanupInterval is the interval between two deletions of expired claims.
	claimCleanupInterval = 10 * time.Minute
	// claimCleanupDuty is the ownership key of the deletion of expired claims, which one member performs at a time.
	claimCleanupDuty = "claims"
)

// Run monitors the members and deletes expired claims until ctx ends.
func (fw *Forwarder) Run(ctx context.Context) {
	observe := time.NewTicker(membershipPollInterval)
	defer observe.Stop()
	sweep := time.NewTicker(claimCleanupInterval)
	defer sweep.Stop()
	for {
		fw.fleetMonitor.Observe(fw.Clock.Boot(), fw.Membership.Alive())
		select {
		case <-ctx.Done():
			return
		case <-observe.C:
		case <-sweep.C:
			if _, own := fw.Membership.Owner(claimCleanupDuty); own {
				fw.DeleteExpiredClaims(ctx)
			}
		}
	}
}

// DeleteExpiredClaims deletes the claims that are older than claim.RecordRetention.
func (fw *Forwarder) DeleteExpiredClaims(ctx context.Context) {
	expired := map[string]uint64{} // versions by name
	err := fw.Platform.List(ctx, platform.KindClaim, func(o platform.Object) {
		if record, ok := parseClaimObject(o); ok && record.Expired(fw.Clock.Now()) {
			expired[o.Name] = o.Version
		}
	})
	if err != nil {
		return // the next run lists the same claims
	}
	for name, version := range expired {
		_ = fw.Platform.Delete(ctx, platform.KindClaim, name, version)
	}
}

// outcomeWithoutPlatform returns the outcome of a call that is refused while its claim cannot be read. It is not_run only if
// every instance that may have sent the call reports that it has not. The parameter ownPending is the number of pending entries
// for the claim that belong to this call itself.
func (fw *Forwarder) outcomeWithoutPlatform(ctx context.Context, name string, ownPending int) openai.Outcome {
	if !fw.allSendersAlive() || fw.sendTracker.MayHaveSent(name, ownPending, fw.Clock.Boot()) {
		return openai.Unknown
	}
	if !fw.noPeerMayHaveSent(context.WithoutCancel(ctx), name) || !fw.allSendersAlive() {
		return openai.Unknown
	}
	return openai.NotRun
}

// allSendersAlive reports whether the live members include every instance that may have sent a call. Only confirmed members send
// calls that are not repeatable, so the roster names all senders unless it lost a member lately.
func (fw *Forwarder) allSendersAlive() bool {
	if fw.RosterSource != nil && fw.Membership.Confirmed() &&
		claim.RosterSendersAlive(fw.Clock.Now(), fw.RosterSource.Roster(), fw.Membership.Alive()) {
		return true
	}
	routers, read := fw.Config.Routers()
	if !read {
		return false
	}
	names := make([]string, 0, len(routers))
	for _, r := range routers {
		names = append(names, r.Name)
	}
	now := fw.Clock.Boot()
	fw.fleetMonitor.Observe(now, fw.Membership.Alive())
	return fw.fleetMonitor.AllSendersAlive(now, names)
}

// noPeerMayHaveSent asks all other live members whether they may have sent the call. A member that does not answer counts as
// having sent it.
func (fw *Forwarder) noPeerMayHaveSent(ctx context.Context, name string) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	self := fw.Membership.Self().MemberID
	members := fw.Membership.Alive()
	notSent := make([]bool, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		if m.MemberID == self {
			notSent[i] = true
			continue
		}
		wg.Go(func() {
			reply, err := fw.Peers.Claims(ctx, m.Address, peer.ClaimsRequest{Claim: name})
			notSent[i] = err == nil && !reply.Sent
		})
	}
	wg.Wait()
	for _, ok := range notSent {
		if !ok {
			return false
		}
	}
	return true
}

// parseClaimObject returns ok=false for an object that is not a claim of this version. Such objects are kept for operators to
// handle.
func parseClaimObject(o platform.Object) (record claim.Record, ok bool) {
	record, err := parseRecord(o.Value)
	return record, err == nil && record.CreatedMS > 0
}
