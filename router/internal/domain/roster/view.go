package roster

import (
	"time"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/quota"
)

// viewHistory is how many views are kept for buckets that are brought up to date lazily. A bucket that is older starts
// empty at the oldest view.
const viewHistory = 16

// View is what decides about shares from a moment on: all rosters that may be in use. It is never changed.
type View struct {
	// Seq numbers the views of a process from 1.
	Seq uint64
	// EffectiveFrom is when the view came into force.
	EffectiveFrom time.Duration
	// Reset says that shares start empty, because this instance may have been out of the roster before.
	Reset bool

	rosters []viewRoster
}

type viewRoster struct {
	members []peer.Member
	names   []string
}

// ViewHistory is the recent history of views, the newest last. It is never changed.
type ViewHistory struct{ list []View }

// Append returns the history with one more view.
func (v *ViewHistory) Append(from time.Duration, reset bool, inUse [][]peer.Member) *ViewHistory {
	next := View{Seq: 1, EffectiveFrom: from, Reset: reset}
	if v == nil {
		v = &ViewHistory{}
	}
	if len(v.list) > 0 {
		next.Seq = v.Newest().Seq + 1
	}
	for _, members := range inUse {
		r := viewRoster{members: members}
		for _, m := range members {
			r.names = append(r.names, m.Name)
		}
		next.rosters = append(next.rosters, r)
	}
	kept := v.list[max(0, len(v.list)+1-viewHistory):]
	return &ViewHistory{list: append(append(make([]View, 0, len(kept)+1), kept...), next)}
}

// Newest is the view in force.
func (v *ViewHistory) Newest() *View { return &v.list[len(v.list)-1] }

// Since lists the views after seq. complete is false if some of them are no longer kept.
func (v *ViewHistory) Since(seq uint64) (views []View, complete bool) {
	for i := range v.list {
		if v.list[i].Seq > seq {
			return v.list[i:], v.list[i].Seq == seq+1
		}
	}
	return nil, true
}

// Share is the member's share of a customer: the least one under all rosters that may be in use.
func (v *View) Share(l quota.Limits, customer string, self peer.MemberID) quota.Share {
	if len(v.rosters) == 0 {
		return quota.Share{}
	}
	share := quota.Share{Rate: float64(l.Rate), Burst: float64(l.Burst)}
	for _, r := range v.rosters {
		if !names(r.members, self) {
			return quota.Share{}
		}
		share = share.Min(quota.ShareOf(l, quota.Holders(customer, r.names), self.Name))
	}
	return share
}

// Holders are the holders of a customer under the newest roster.
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
