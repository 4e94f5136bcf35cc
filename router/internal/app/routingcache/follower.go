package routingcache

import (
	"context"
	"errors"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/background"
)

// follower keeps a feed up to date with one platform call after another.
type follower struct {
	*Cache
	feed *feed
	// revision is that up to which the feed is known. It is zero if the feed is to be listed.
	revision uint64
	// pause is the mean backoff after a failed call.
	pause time.Duration
	// wait is how long the next watch waits for a change, and reason why it is made.
	wait   time.Duration
	reason CallReason
}

// answer is the outcome of a platform call.
type answer struct {
	revision uint64
	// changed is set if a watch has received a change of the feed.
	changed bool
	// interrupted is set if the call was cancelled because a restart was requested.
	interrupted bool
	err         error
}

// followFeed lists, then watches. After a failure it retries with a growing, random backoff; if the platform has dropped the
// history, it lists again.
func (m *Cache) followFeed(ctx context.Context, f *feed) {
	l := &follower{Cache: m, feed: f, pause: minRetryPause, wait: f.wait(true), reason: CallWatch}
	for ctx.Err() == nil {
		l.prepareCall(ctx)
		a := l.call(ctx)
		l.wait, l.reason = checkTimeout, CallRetry
		switch {
		case a.err == nil:
			l.recordSuccess(ctx, a)
		case a.interrupted:
			l.reason = CallRequested
		default:
			l.recordFailure(ctx, a.err)
			l.backOff(ctx)
		}
	}
}

// prepareCall waits for this instance's turn to call, and has the feed listed again if the store was restored.
func (l *follower) prepareCall(ctx context.Context) {
	if l.feed.awaitTurn != nil && l.feed.awaitTurn(ctx) {
		l.wait = checkTimeout
	}
	if routing.Era(l.revision) < l.era.Load() {
		l.revision = 0 // the store may have assigned the revision again to another change
		background.SleepContext(ctx, randomPause(l.pause))
	}
}

// call lists the feed, or watches it if its revision is known.
func (l *follower) call(ctx context.Context) answer {
	if l.revision == 0 {
		return l.list(ctx)
	}
	return l.watch(ctx)
}

func (l *follower) list(ctx context.Context) (a answer) {
	l.calls.add(Call{l.feed.name, CallList})
	a.revision, a.err = l.feed.list(ctx)
	receiveRestart(l.feed.restart)
	return a
}

func (l *follower) watch(ctx context.Context) (a answer) {
	l.awaitCheck(ctx)
	if receiveRestart(l.feed.restart) { // requested during the pause
		l.wait, l.reason = checkTimeout, CallRequested
	}
	l.calls.add(Call{l.feed.name, l.reason})
	a.revision, a.interrupted, a.err = callInterruptible(ctx, l.feed.restart, func(ctx context.Context) (next uint64, err error) {
		next, a.changed, err = l.feed.watch(ctx, l.revision, l.wait)
		return next, err
	})
	return a
}

// awaitCheck waits, in an instance that learns of changes from a collector, until it is to check the platform itself.
func (l *follower) awaitCheck(ctx context.Context) {
	if l.reason == CallRequested {
		return
	}
	if check := l.awaitOwnCheck(ctx, l.feed); check != "" {
		adopted, _ := l.adoptedRevision(l.feed.name)
		l.revision, l.wait, l.reason = max(l.revision, adopted), checkTimeout, check
	}
}

// recordSuccess records a response. After a change it pauses, so that changes in quick succession share a call.
func (l *follower) recordSuccess(ctx context.Context, a answer) {
	if l.RecordEra(routing.Era(a.revision)) {
		receiveRestart(l.feed.restart)
	}
	l.endOutage()
	advanced := l.revision != 0 && l.revision != a.revision
	l.revision, l.pause, l.wait, l.reason = a.revision, minRetryPause, l.feed.wait(a.changed), CallWatch
	l.feed.answeredAt.Store(int64(l.sinceBoot()))
	l.recordFeedAnswer()
	if advanced {
		background.SleepContext(ctx, l.feed.limit/changePauseDivisor)
	}
}

// endOutage records that the platform responds again, if the call before failed.
func (l *follower) endOutage() {
	if !l.feed.away.Swap(false) {
		return
	}
	l.feed.requestRestartOfOthers(true)
	l.logger.Info().Str("event", "platform.regained").Str("feed", l.feed.name).Dur("away", l.sinceAnswer()).Msg("")
}

// recordFailure records a failed call. It logs the first one of an outage.
func (l *follower) recordFailure(ctx context.Context, err error) {
	switch {
	case errors.Is(err, routing.ErrHistoryGone):
		l.revision = 0
		l.logger.Warn().Str("event", "platform.history_gone").Str("feed", l.feed.name).Msg("")
	case ctx.Err() != nil: // the instance stops
	case !l.feed.away.Swap(true):
		if errors.Is(err, context.DeadlineExceeded) {
			l.feed.requestRestartOfOthers(false) // the platform may have lost the watches of the other feeds, too
		}
		l.logger.Warn().Str("event", "platform.lost").Str("feed", l.feed.name).Uint64("era", routing.Era(l.revision)).
			Uint64("revision", routing.Number(l.revision)).Dur("unanswered", l.sinceAnswer()).Err(err).Msg("")
	}
}

// backOff pauses before the next call, unless that is requested at once.
func (l *follower) backOff(ctx context.Context) {
	if sleepUntilRestart(ctx, l.feed.restart, randomPause(l.pause)) {
		l.reason = CallRequested
	}
	l.pause = min(2*l.pause, maxRetryPause)
}

// sinceAnswer returns the time since the last response to a call of the feed.
func (l *follower) sinceAnswer() time.Duration {
	return l.sinceBoot() - time.Duration(l.feed.answeredAt.Load())
}
