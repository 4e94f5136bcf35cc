package node

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/routingcache"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/coldstart"
	"tanagerwood.dev/router/internal/domain/pace"
	"tanagerwood.dev/router/internal/domain/quarantine"
	"tanagerwood.dev/router/internal/domain/retrybudget"
	"tanagerwood.dev/router/internal/domain/speed"
)

// settingsCheckInterval is the interval at which the settings file is checked for changes that come without a SIGHUP.
const settingsCheckInterval = 2 * time.Second

// Reload rereads the settings file. The stop grace period, memory limit, peer secrets and retry budget take effect immediately;
// names and addresses take effect after a restart.
func (n *Node) Reload() {
	old := n.settings.Load()
	if old.File == "" {
		return
	}
	next, err := old.Reload()
	if err != nil {
		n.options.Logger.Error().Str("event", "settings.refused").Err(err).Msg("")
		return
	}
	n.settings.Store(next)
	debug.SetMemoryLimit(memoryShare(next, heapMemoryFraction))
	if t := n.transport.Load(); t != nil {
		t.SetSecrets(next.PeerSecrets)
	}
	if p := n.components.Load(); p != nil {
		p.budget.UpdateSettings(retrybudget.Settings{
			Ratio: next.RetryRatio, FixedRetries: next.FixedRetries, Window: next.RetryWindow,
		})
	}
	n.options.Logger.Info().Str("event", "settings.reloaded").Bool("needs_restart", next.RestartOnlyValues() != old.RestartOnlyValues()).Msg("")
}

// watchSettings reloads the settings when the content of the settings file changes.
func (n *Node) watchSettings(ctx context.Context) {
	file := n.options.Settings.File
	if file == "" {
		return
	}
	last, err := os.ReadFile(file)
	if err != nil {
		n.options.Logger.Warn().Str("event", "settings.unreadable").Err(err).Msg("")
	}
	background.RunEvery(ctx, settingsCheckInterval, func(context.Context) {
		content, err := os.ReadFile(file)
		if err != nil || bytes.Equal(content, last) {
			return // an unreadable file may be in the middle of a replacement; the next check reads it
		}
		last = content
		n.Reload()
	})
}

// newRegistry returns a metrics registry with gauges for dropped log lines, invalid latency samples and notices, leaving, paused
// and limited endpoints, quarantined parts of prompts, and the era of the platform's store.
func newRegistry(droppedLines, invalidSamples func() int64, tracker *availability.Tracker, crashes *quarantine.Tracker, storeEra func() uint64) metrics.Registry {
	r := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("pace.ignored", r, invalidSamples)
	metrics.NewRegisteredFunctionalGauge("notices.ignored", r, tracker.InvalidNotices)
	metrics.NewRegisteredFunctionalGauge("endpoints.leaving", r, func() int64 {
		leaving, _ := tracker.Counts(clock.System{}.Boot())
		return int64(leaving)
	})
	metrics.NewRegisteredFunctionalGauge("endpoints.paused", r, func() int64 {
		_, paused := tracker.Counts(clock.System{}.Boot())
		return int64(paused)
	})
	metrics.NewRegisteredFunctionalGauge("endpoints.limited", r, func() int64 { return int64(tracker.LimitedCount()) })
	metrics.NewRegisteredFunctionalGauge("limit.requests_sent", r, tracker.TotalSentUnderLimit)
	metrics.NewRegisteredFunctionalGauge("quarantine.prompts", r, func() int64 {
		return int64(len(crashes.Quarantined(clock.System{}.Boot())))
	})
	metrics.NewRegisteredFunctionalGauge("quarantine.blocked_requests", r, crashes.BlockedRequests)
	metrics.NewRegisteredFunctionalGauge("platform.era", r, func() int64 { return int64(storeEra()) })
	if droppedLines != nil {
		metrics.NewRegisteredFunctionalGauge("log.dropped_lines", r, droppedLines)
	}
	return r
}

// registerColdGauge adds the number of cold endpoints.
func registerColdGauge(r metrics.Registry, cold *coldstart.Tracker) {
	metrics.NewRegisteredFunctionalGauge("endpoints.cold", r, func() int64 { return int64(cold.Count(clock.System{}.Boot())) })
}

// registerSpeedGauges adds the number of services whose endpoints state their speed, and of endpoints that deviate from their service.
func registerSpeedGauges(r metrics.Registry, speeds *speed.Tracker) {
	metrics.NewRegisteredFunctionalGauge("speed.services", r, func() int64 {
		services, _ := speeds.Counts(clock.System{}.Boot())
		return int64(services)
	})
	metrics.NewRegisteredFunctionalGauge("speed.deviating", r, func() int64 {
		_, deviating := speeds.Counts(clock.System{}.Boot())
		return int64(deviating)
	})
}

// registerPaceGauges adds the number of endpoints with a limit of their pace, and how often one withheld a request.
func registerPaceGauges(r metrics.Registry, paces *pace.Limiter) {
	metrics.NewRegisteredFunctionalGauge("endpoints.paced", r, func() int64 {
		paced, _ := paces.Counts()
		return int64(paced)
	})
	metrics.NewRegisteredFunctionalGauge("pace.withheld", r, func() int64 {
		_, withheld := paces.Counts()
		return withheld
	})
}

// registerCacheGauges adds the version of the configuration in force and the time since the platform last answered each feed. Together
// they tell a watch that was lost from one whose changes cannot be applied.
func registerCacheGauges(r metrics.Registry, cache *routingcache.Cache) {
	metrics.NewRegisteredFunctionalGauge("config.version", r, func() int64 {
		version, _ := cache.Versions()
		return int64(version)
	})
	for _, feed := range routingcache.Feeds {
		for _, reason := range routingcache.CallReasons {
			metrics.NewRegisteredFunctionalGauge(fmt.Sprintf("platform.calls.%s.%s", feed, reason), r, func() int64 {
				return cache.Calls()[routingcache.Call{Feed: feed, Reason: reason}]
			})
		}
	}
	metrics.NewRegisteredFunctionalGauge("config.malformed", r, cache.MalformedConfigs)
	metrics.NewRegisteredFunctionalGauge("evacuation.domains", r, func() int64 { return int64(cache.EvacuatedDomains()) })
	metrics.NewRegisteredFunctionalGauge("endpoints.kept", r, func() int64 { return int64(cache.KeptEndpoints()) })
	metrics.NewRegisteredFunctionalGauge("platform.config_answer_age_ms", r, func() int64 {
		config, _ := cache.AnswerAges()
		return config.Milliseconds()
	})
	metrics.NewRegisteredFunctionalGauge("platform.endpoints_answer_age_ms", r, func() int64 {
		_, endpoints := cache.AnswerAges()
		return endpoints.Milliseconds()
	})
}

// registerFetchGauges adds the numbers of states that were fetched from collectors, by outcome.
func registerFetchGauges(r metrics.Registry, peers *gossip.Service) {
	for _, outcome := range gossip.FetchOutcomes() {
		metrics.NewRegisteredFunctionalGauge("state.fetches."+outcome.String(), r, func() int64 { return peers.Fetches(outcome) })
	}
}
