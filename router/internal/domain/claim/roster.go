package claim

import (
	"slices"
	"time"

	"tanagerwood.dev/api/peer"
)

// clockMargin covers wall clocks of instances that differ.
const clockMargin = time.Minute

// RosterSendersAlive reports whether the live members are all that may have sent a call within MemoryTime, going by the
// roster: each of its members is alive, and none was removed or replaced within that time.
func RosterSendersAlive(now time.Time, r peer.Roster, alive []peer.Member) bool {
	if r.Generation == 0 {
		return false
	}
	if r.LastRemovalMS > 0 && now.Sub(time.UnixMilli(r.LastRemovalMS)) <= SentRetention+clockMargin {
		return false
	}
	for _, m := range r.Members {
		if !slices.ContainsFunc(alive, func(a peer.Member) bool { return a.MemberID == m.MemberID }) {
			return false
		}
	}
	return true
}
