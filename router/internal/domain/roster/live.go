package roster

import (
	"sync"
	"time"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/rendezvous"
)

// LiveMembers is the set of members that are alive at one time. It is safe for concurrent use.
type LiveMembers struct {
	*liveIndex
	// ValidUntil is when the next member counts as dead unless a heartbeat of it arrives before.
	ValidUntil time.Duration
}

// liveIndex is shared by successive LiveMembers until the set changes, because building it is the largest part of the
// cost of a heartbeat.
type liveIndex struct {
	// Members are sorted by name.
	Members []peer.Member

	alive      map[peer.MemberID]bool
	draining   map[peer.MemberID]bool
	owners     []peer.Member
	ownerCache sync.Map // endpoint to peer.Member
}

// IsAlive reports whether the member counted as alive when l was built.
func (l *LiveMembers) IsAlive(id peer.MemberID) bool { return l.alive[id] }

// Owner returns the live member that owns an endpoint: the one with the highest rendezvous hash among those that are
// not draining, or fallback if all are draining.
func (l *LiveMembers) Owner(endpoint string, fallback peer.Member) peer.Member {
	if len(l.owners) == 0 {
		return fallback
	}
	if cached, ok := l.ownerCache.Load(endpoint); ok {
		return cached.(peer.Member)
	}
	owner, highest := l.owners[0], uint64(0)
	for _, m := range l.owners {
		if w := rendezvous.Weight(endpoint, m.Name); w > highest {
			owner, highest = m, w
		}
	}
	l.ownerCache.Store(endpoint, owner)
	return owner
}
