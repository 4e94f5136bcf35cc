package membership

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/peer"
)

type counters struct {
	confirmed, confirmedByPeers, confirmationsFailed  metrics.Counter
	heartbeatsSent, heartbeatsFailed                  metrics.Counter
	rosterWrites, rosterConflicts, membersRemoved     metrics.Counter
	removalsAgreed, removalsRefused, membersSuspected metrics.Counter
	liveMembers, rosterGeneration, isConfirmed        metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	return counters{
		confirmed:           metrics.GetOrRegisterCounter("membership.confirmed", r),
		confirmedByPeers:    metrics.GetOrRegisterCounter("membership.confirmed_by_peers", r),
		confirmationsFailed: metrics.GetOrRegisterCounter("membership.confirm_failed", r),
		heartbeatsSent:      metrics.GetOrRegisterCounter("membership.heartbeats_sent", r),
		heartbeatsFailed:    metrics.GetOrRegisterCounter("membership.heartbeats_failed", r),
		rosterWrites:        metrics.GetOrRegisterCounter("membership.roster_written", r),
		rosterConflicts:     metrics.GetOrRegisterCounter("membership.roster_conflicts", r),
		membersRemoved:      metrics.GetOrRegisterCounter("membership.members_removed", r),
		removalsAgreed:      metrics.GetOrRegisterCounter("membership.removals_agreed", r),
		removalsRefused:     metrics.GetOrRegisterCounter("membership.removals_refused", r),
		membersSuspected:    metrics.GetOrRegisterCounter("membership.members_suspected", r),
		liveMembers:         metrics.GetOrRegisterGauge("membership.live_members", r),
		rosterGeneration:    metrics.GetOrRegisterGauge("membership.roster_generation", r),
		isConfirmed:         metrics.GetOrRegisterGauge("membership.is_confirmed", r),
	}
}

func describeRoster(r peer.Roster) string {
	return fmt.Sprintf("generation %d, %d members, %d older generations in use", r.Generation, len(r.Members), len(r.Changes))
}
