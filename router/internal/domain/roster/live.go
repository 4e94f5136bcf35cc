package roster

import (
	"sync"
	"time"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/rendezvous"
)

// LiveMembers is the set of live members at one time. It is safe for concurrent use.
type LiveMembers struct {
	*liveSet
	// ValidUntil is when the first member counts as dead if it is not heard again.
	ValidUntil time.Duration
}

// liveSet is shared by the Lives between two changes, because building it is the largest part of a heartbeat's cost.
type liveSet struct {
	// Members are in order of name.
	Members []peer.Member

	alive    map[peer.MemberID]bool
	draining map[peer.MemberID]bool
	owners   []peer.Member
	cache    sync.Map // endpoint -> peer.Member
}

// IsAlive reports whether the member lives.
func (l *LiveMembers) IsAlive(id peer.MemberID) bool { return l.alive[id] }

// Owner is the live member that owns an endpoint: the highest by rendezvous hash that is not draining, or fallback if
// all are draining.
func (l *LiveMembers) Owner(endpoint string, fallback peer.Member) peer.Member {
	if len(l.owners) == 0 {
		return fallback
	}
	if cached, ok := l.cache.Load(endpoint); ok {
		return cached.(peer.Member)
	}
	owner, highest := l.owners[0], uint64(0)
	for _, m := range l.owners {
		if w := rendezvous.Weight(endpoint, m.Name); w > highest {
			owner, highest = m, w
		}
	}
	l.cache.Store(endpoint, owner)
	return owner
}
