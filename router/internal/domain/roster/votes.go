package roster

import (
	"time"

	"tanagerwood.dev/api/peer"
)

// RemovalVotes records the members whose removal this instance has agreed to, with the roster generation of the vote.
type RemovalVotes map[peer.MemberID]uint64

// Reasons for refusing to vote for a removal.
const (
	ReasonGenerationMismatch = "another generation is the newest here"
	ReasonNotMember          = "the newest roster does not name this instance"
	ReasonRecentHeartbeat    = "the member was heard within the last 5 s"
	ReasonUnknownMember      = "the newest roster does not name the member or the asker"
)

// VoteOnRemoval votes on a request to remove a member, and records an agreement.
func (v RemovalVotes) VoteOnRemoval(now time.Duration, history *History, t *HeartbeatTable, self peer.MemberID, r peer.RemovalRequest) peer.RemovalReply {
	switch {
	case r.Generation != history.Generation():
		return peer.RemovalReply{Reason: ReasonGenerationMismatch}
	case !history.Contains(self):
		return peer.RemovalReply{Reason: ReasonNotMember}
	case !history.Contains(r.Remove) || !history.Contains(r.From):
		return peer.RemovalReply{Reason: ReasonUnknownMember}
	case t.TimeSinceHeartbeat(now, r.Remove) < RemovalTimeout:
		return peer.RemovalReply{Reason: ReasonRecentHeartbeat}
	}
	v[r.Remove] = r.Generation
	return peer.RemovalReply{Agreed: true}
}

// MayConfirm reports whether this instance may confirm, without the platform, that the requester is still a member:
// both are in the newest roster, and this instance has not agreed to the requester's removal.
func (v RemovalVotes) MayConfirm(history *History, self, requester peer.MemberID) bool {
	agreed, voted := v[requester]
	return history.Contains(self) && history.Contains(requester) && !(voted && history.Generation() <= agreed)
}

// Prune drops votes for generations before the given one.
func (v RemovalVotes) Prune(generation uint64) {
	for id, g := range v {
		if g < generation {
			delete(v, id)
		}
	}
}
