package node

import (
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/deadpeer"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/adapter/frontend"
	"tanagerwood.dev/router/internal/domain/slowreader"
	"tanagerwood.dev/router/internal/settings"
)

// newCallerDetector returns the detector of callers that are dead, or that read nothing for too long. What their connections hold counts to
// the memory for slow callers.
func newCallerDetector(s *settings.Node, slow *slowreader.Tracker, r metrics.Registry, logger *log.Logger) *deadpeer.Detector {
	cuts := map[deadpeer.Reason]metrics.Counter{}
	for _, reason := range []deadpeer.Reason{deadpeer.PeerDead, deadpeer.PauseTooLong, deadpeer.HoldsTooMuch} {
		cuts[reason] = metrics.NewRegisteredCounter("callers.unread_answers."+string(reason), r)
	}
	metrics.NewRegisteredFunctionalGauge("callers.blocked_bytes", r, slow.Held)
	metrics.NewRegisteredFunctionalGauge("callers.cut_slow", r, slow.CutWrites)
	return deadpeer.New(deadpeer.Options{
		Silence: deadConnectionTimeout, MaxPause: frontend.DefaultWriteTimeout, MaxLingering: maxLingering(s), Unread: unreadAnswers{slow},
		OnCut: func(c deadpeer.Cut) {
			cuts[c.Reason].Inc(1)
			logger.Warn().Str("event", "caller.cut").Str("reason", string(c.Reason)).Str("remote", c.Remote.String()).
				Int("unread_bytes", c.Unread).Dur("paused", c.Paused).Msg("the caller has not got the end of an answer")
		},
	})
}

// unreadAnswers implements deadpeer.UnreadLimiter for answers that lie in the buffers of callers' connections.
type unreadAnswers struct{ tracker *slowreader.Tracker }

// Begin implements deadpeer.UnreadLimiter.
func (u unreadAnswers) Begin(bytes int64, cut func()) (end func()) {
	w := &slowreader.Write{Bytes: bytes, Cut: cut}
	u.tracker.Begin(w, sinceBoot())
	return func() { u.tracker.End(w) }
}

// Check implements deadpeer.UnreadLimiter.
func (u unreadAnswers) Check() { u.tracker.Check(sinceBoot()) }

func sinceBoot() time.Duration { return clock.System{}.Boot() }
