package roster

import (
	"time"

	"tanagerwood.dev/api/peer"
)

// RemovalVotes remembers for which members this instance agreed to a removal, and for which generation.
type RemovalVotes map[peer.MemberID]uint64

// Reasons for refusing a vote.
const (
	ReasonGenerationMismatch = "another generation is the newest here"
	ReasonNotMember          = "the newest roster does not name this instance"
	ReasonRecentlyHeard      = "the member was heard within the last 5 s"
	ReasonUnknownMember      = "the newest roster does not name the member or the asker"
)

// VoteOnRemoval decides about a request to remove a member, and remembers an agreement.
func (v RemovalVotes) VoteOnRemoval(now time.Duration, c *History, t *HeartbeatTable, self peer.MemberID, r peer.RemovalRequest) peer.RemovalReply {
	switch {
	case r.Generation != c.Generation():
		return peer.RemovalReply{Reason: ReasonGenerationMismatch}
	case !c.Contains(self):
		return peer.RemovalReply{Reason: ReasonNotMember}
	case !c.Contains(r.Remove) || !c.Contains(r.From):
		return peer.RemovalReply{Reason: ReasonUnknownMember}
	case t.TimeSinceHeartbeat(now, r.Remove) < RemovalTimeout:
		return peer.RemovalReply{Reason: ReasonRecentlyHeard}
	}
	v[r.Remove] = r.Generation
	return peer.RemovalReply{Agreed: true}
}

// MayConfirm reports whether this instance may tell an asker, without the platform, that it is still a member: the newest
// roster names both, and this instance has not agreed to the asker's removal.
func (v RemovalVotes) MayConfirm(c *History, self, asker peer.MemberID) bool {
	agreed, voted := v[asker]
	return c.Contains(self) && c.Contains(asker) && !(voted && c.Generation() <= agreed)
}

// Prune forgets votes that a newer generation has made void.
func (v RemovalVotes) Prune(generation uint64) {
	for id, g := range v {
		if g < generation {
			delete(v, id)
		}
	}
}
