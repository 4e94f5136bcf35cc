package membership

import (
	"fmt"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/peer"
)

type counters struct {
	confirmed, confirmedByPeers, confirmFailed metrics.Counter
	beats, beatsFailed                         metrics.Counter
	written, conflicts, removed                metrics.Counter
	agreed, refused, suspected                 metrics.Counter
	live, generation, isConfirmed              metrics.Gauge
}

func newCounters(r metrics.Registry) counters {
	return counters{
		confirmed:        metrics.GetOrRegisterCounter("membership.confirmed", r),
		confirmedByPeers: metrics.GetOrRegisterCounter("membership.confirmed_by_peers", r),
		confirmFailed:    metrics.GetOrRegisterCounter("membership.confirm_failed", r),
		beats:            metrics.GetOrRegisterCounter("membership.heartbeats_sent", r),
		beatsFailed:      metrics.GetOrRegisterCounter("membership.heartbeats_failed", r),
		written:          metrics.GetOrRegisterCounter("membership.roster_written", r),
		conflicts:        metrics.GetOrRegisterCounter("membership.roster_conflicts", r),
		removed:          metrics.GetOrRegisterCounter("membership.members_removed", r),
		agreed:           metrics.GetOrRegisterCounter("membership.removals_agreed", r),
		refused:          metrics.GetOrRegisterCounter("membership.removals_refused", r),
		suspected:        metrics.GetOrRegisterCounter("membership.members_suspected", r),
		live:             metrics.GetOrRegisterGauge("membership.live_members", r),
		generation:       metrics.GetOrRegisterGauge("membership.roster_generation", r),
		isConfirmed:      metrics.GetOrRegisterGauge("membership.is_confirmed", r),
	}
}

func describe(r peer.Roster) string {
	return fmt.Sprintf("generation %d, %d members, %d older generations in use", r.Generation, len(r.Members), len(r.Changes))
}
