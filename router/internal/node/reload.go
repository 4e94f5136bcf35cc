package node

import (
	"bytes"
	"context"
	"os"
	"runtime/debug"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/retrybudget"
)

// settingsCheck is how often the settings file is compared; it may change without a signal.
const settingsCheck = 2 * time.Second

// Reload reads the settings file again. The stop's grace, the memory limit, the secrets between instances and the retry budget change
// at once; addresses change with the next start.
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
	debug.SetMemoryLimit(memoryLimit(next))
	if t := n.transport.Load(); t != nil {
		t.SetSecrets(next.PeerSecrets)
	}
	if p := n.parts.Load(); p != nil {
		p.budget.UpdateSettings(retrybudget.Settings{
			Ratio: next.RetryRatio, FixedRetries: next.FixedRetries, Window: next.RetryWindow,
		})
	}
	n.options.Logger.Info().Str("event", "settings.reloaded").Bool("needs_restart", next.RestartOnlyValues() != old.RestartOnlyValues()).Msg("")
}

// watchSettings reloads when the file's content changes.
func (n *Node) watchSettings(ctx context.Context) {
	file := n.options.Settings.File
	if file == "" {
		return
	}
	last, err := os.ReadFile(file)
	if err != nil {
		n.options.Logger.Warn().Str("event", "settings.unreadable").Err(err).Msg("")
	}
	background.RunEvery(ctx, settingsCheck, func(context.Context) {
		content, err := os.ReadFile(file)
		if err != nil || bytes.Equal(content, last) {
			return // a file that is being replaced is read at the next check
		}
		last = content
		n.Reload()
	})
}

// newRegistry returns a registry with the counts of dropped log lines, of measurements and notices that cannot be ones, of the
// endpoints that leave or pause, and the era of the platform's store.
func newRegistry(dropped, ignored func() int64, available *availability.Tracker, era func() uint64) metrics.Registry {
	r := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("pace.ignored", r, ignored)
	metrics.NewRegisteredFunctionalGauge("notices.ignored", r, available.InvalidNotices)
	metrics.NewRegisteredFunctionalGauge("endpoints.leaving", r, func() int64 {
		leaving, _ := available.Counts(clock.System{}.Boot())
		return int64(leaving)
	})
	metrics.NewRegisteredFunctionalGauge("endpoints.paused", r, func() int64 {
		_, paused := available.Counts(clock.System{}.Boot())
		return int64(paused)
	})
	metrics.NewRegisteredFunctionalGauge("platform.era", r, func() int64 { return int64(era()) })
	if dropped != nil {
		metrics.NewRegisteredFunctionalGauge("log.dropped_lines", r, dropped)
	}
	return r
}
