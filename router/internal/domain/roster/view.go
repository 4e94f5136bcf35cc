package roster

import (
	"time"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/quota"
)

// maxViews is how many views are kept. Buckets are updated lazily; one that misses more views than this starts empty at
// the oldest view that is kept.
const maxViews = 16

// View is the set of rosters that determine shares from a point in time on: all those that may be in use. It is
// immutable.
type View struct {
	// Seq is the sequence number of the view in this process, from 1.
	Seq uint64
	// EffectiveFrom is when the view took effect.
	EffectiveFrom time.Duration
	// Reset is set if shares must start empty, because this instance may have been out of the roster before.
	Reset bool

	rosters []viewRoster
}

type viewRoster struct {
	members []peer.Member
	names   []string
}

// ViewHistory holds the most recent views, the newest last. It is immutable.
type ViewHistory struct{ views []View }

// Append returns the history with one more view.
func (v *ViewHistory) Append(from time.Duration, reset bool, inUse [][]peer.Member) *ViewHistory {
	next := View{Seq: 1, EffectiveFrom: from, Reset: reset}
	if v == nil {
		v = &ViewHistory{}
	}
	if len(v.views) > 0 {
		next.Seq = v.Newest().Seq + 1
	}
	for _, members := range inUse {
		r := viewRoster{members: members}
		for _, m := range members {
			r.names = append(r.names, m.Name)
		}
		next.rosters = append(next.rosters, r)
	}
	kept := v.views[max(0, len(v.views)+1-maxViews):]
	return &ViewHistory{views: append(append(make([]View, 0, len(kept)+1), kept...), next)}
}

// Newest returns the view in effect.
func (v *ViewHistory) Newest() *View { return &v.views[len(v.views)-1] }

// Since returns the views after seq. complete is false if some of them are no longer kept.
func (v *ViewHistory) Since(seq uint64) (views []View, complete bool) {
	for i := range v.views {
		if v.views[i].Seq > seq {
			return v.views[i:], v.views[i].Seq == seq+1
		}
	}
	return nil, true
}

// Share returns the member's share of a customer's limits: the smallest one under all rosters that may be in use.
func (v *View) Share(l quota.Limits, customer string, self peer.MemberID) quota.Share {
	if len(v.rosters) == 0 {
		return quota.Share{}
	}
	share := quota.Share{Rate: float64(l.Rate), Burst: float64(l.Burst)}
	for _, r := range v.rosters {
		if !containsMember(r.members, self) {
			return quota.Share{}
		}
		share = share.Min(quota.ShareOf(l, quota.Holders(customer, r.names), self.Name))
	}
	return share
}

// Holders returns the members that hold a share of a customer's limits under the newest roster.
func (v *View) Holders(customer string) []peer.Member {
	if len(v.rosters) == 0 {
		return nil
	}
	newest := v.rosters[len(v.rosters)-1]
	var holders []peer.Member
	for _, name := range quota.Holders(customer, newest.names) {
		for _, m := range newest.members {
			if m.Name == name {
				holders = append(holders, m)
			}
		}
	}
	return holders
}
