package configsync

import (
	"context"

	"github.com/rcrowley/go-metrics"
	"github.com/samber/lo"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/port"
)

// instanceList is the instance list as read at one time. It is immutable.
type instanceList struct {
	all       []platform.Instance
	endpoints []port.Endpoint
	routers   []platform.Instance
	// readFromPlatform is false for a list that a peer sent.
	readFromPlatform bool
}

func newInstanceList(all []platform.Instance, read bool) *instanceList {
	l := &instanceList{all: all, readFromPlatform: read}
	for _, i := range all {
		if i.Role == platform.RoleRouter {
			l.routers = append(l.routers, i)
			continue
		}
		l.endpoints = append(l.endpoints, port.Endpoint{
			Name:    i.Name,
			Role:    i.Role,
			Pool:    i.Pool,
			URL:     i.URL,
			Domain:  i.Domain,
			Region:  i.Region,
			Leaving: i.State == platform.InstanceLeaving,
		})
	}
	return l
}

// Endpoints implements port.Config.
func (s *Syncer) Endpoints() []port.Endpoint { return s.instances.Load().endpoints }

// Routers implements port.Config.
func (s *Syncer) Routers() ([]platform.Instance, bool) {
	l := s.instances.Load()
	return l.routers, l.readFromPlatform
}

// sampleRouters picks the peer addresses of a few random routers from the instance list.
func (s *Syncer) sampleRouters() []string {
	picked := lo.Samples(s.instances.Load().routers, maxAskedRouters)
	return lo.Map(picked, func(i platform.Instance, _ int) string { return i.URL })
}

// pollInstances reads the instance list. While the platform is down, the last list stays in use.
func (s *Syncer) pollInstances(ctx context.Context) {
	all, err := s.options.Platform.Instances(ctx)
	if err != nil {
		s.counters.instancesFailed.Inc(1)
		return
	}
	next := newInstanceList(all, true)
	s.recordLeaving(s.instances.Swap(next), next)
}

// adoptPeerInstances uses a peer's list until the platform's list has been read.
func (s *Syncer) adoptPeerInstances(all []platform.Instance) {
	previous := s.instances.Load()
	if previous.readFromPlatform || len(all) == 0 {
		return
	}
	s.instances.CompareAndSwap(previous, newInstanceList(all, false))
}

func (s *Syncer) recordLeaving(previous, next *instanceList) {
	left := lo.SliceToMap(previous.endpoints, func(e port.Endpoint) (string, bool) { return e.Name, e.Leaving })
	for _, e := range next.endpoints {
		if e.Leaving && !left[e.Name] {
			s.options.Events.Record(event.Event{Kind: event.EndpointLeaving, Endpoint: e.Name, Detail: "instance list"})
		}
	}
}

// counters are the metrics of the configuration synchronization.
type counters struct {
	revision        metrics.Gauge
	applied         metrics.Counter
	rejected        metrics.Counter
	stale           metrics.Counter
	withdrawn       metrics.Counter
	pollFailed      metrics.Counter
	instancesFailed metrics.Counter
	peerFailed      metrics.Counter
	statusWritten   metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		revision:        metrics.GetOrRegisterGauge("config.revision", r),
		applied:         metrics.GetOrRegisterCounter("config.applied", r),
		rejected:        metrics.GetOrRegisterCounter("config.rejected", r),
		stale:           metrics.GetOrRegisterCounter("config.stale_ignored", r),
		withdrawn:       metrics.GetOrRegisterCounter("config.keys_withdrawn", r),
		pollFailed:      metrics.GetOrRegisterCounter("config.poll_failed", r),
		instancesFailed: metrics.GetOrRegisterCounter("config.instances_poll_failed", r),
		peerFailed:      metrics.GetOrRegisterCounter("config.peer_fetch_failed", r),
		statusWritten:   metrics.GetOrRegisterCounter("config.status_written", r),
	}
}
