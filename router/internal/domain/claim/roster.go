package claim

import (
	"slices"
	"time"

	"tanagerwood.dev/api/peer"
)

// clockSkewMargin allows for differences between the wall clocks of instances.
const clockSkewMargin = time.Minute

// RosterSendersAlive reports whether, according to the roster, the live members include all that may have sent a call
// within SentRetention: each member of the roster is alive, and none was removed or replaced within that time.
func RosterSendersAlive(now time.Time, r peer.Roster, alive []peer.Member) bool {
	if r.Generation == 0 {
		return false
	}
	if r.LastRemovalMS > 0 && now.Sub(time.UnixMilli(r.LastRemovalMS)) <= SentRetention+clockSkewMargin {
		return false
	}
	for _, m := range r.Members {
		if !slices.ContainsFunc(alive, func(a peer.Member) bool { return a.MemberID == m.MemberID }) {
			return false
		}
	}
	return true
}
