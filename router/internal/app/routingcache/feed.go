package routingcache

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"tanagerwood.dev/router/internal/app/background"
)

const (
	// maxWatchWait is the longest time that a watch call waits for a change.
	maxWatchWait = 25 * time.Second
	// minWaitDivisor and waitPerInstanceDivisor give the range of the waits of watch calls as fractions of the propagation limit; see
	// watchWait.
	minWaitDivisor         = 8
	waitPerInstanceDivisor = 2
	// earlyChecks is the mean number of instances besides the collectors whose first watch after a change has a short wait.
	earlyChecks = 6
	// checkTimeout is the wait of the first watch call after one that failed or was interrupted. Its response shows whether the store
	// was restored meanwhile.
	checkTimeout = time.Millisecond
	// changePauseDivisor gives the pause after a change before the next call, as a fraction of the propagation limit, so that
	// changes in quick succession share a platform call.
	changePauseDivisor = 5
	// minRetryPause and maxRetryPause bound the backoff after a failed platform call.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = time.Second
	// outageThreshold is the number of consecutive failed calls that count as an outage. A single watch may be cut off at any
	// time.
	outageThreshold = 2
)

// feed is a part of the platform's state that is listed and watched.
type feed struct {
	name string
	// limit is the time within which a change must take effect.
	limit time.Duration
	// restart ends an open watch of this feed or the pause after a failed call.
	restart chan struct{}
	// away is set while calls of this feed fail.
	away *atomic.Bool
	// others are the other feeds.
	others []*feed
	// answeredAt is when the last call succeeded, in time since boot.
	answeredAt *atomic.Int64
	list       func(context.Context) (uint64, error)
	// watch reports whether there was a change of the feed: the revision also grows with changes of other kinds of objects.
	watch func(ctx context.Context, since uint64, wait time.Duration) (next uint64, changed bool, err error)
	// wait returns how long the next watch waits.
	wait func(afterChange bool) time.Duration
	// awaitTurn, if it is set, waits until this instance is to make the next call, and reports whether that is not to wait for a change.
	awaitTurn func(ctx context.Context) (checkOnly bool)
}

// requestRestartOfOthers requests the end of the open calls of the other feeds, or of those of them whose calls fail.
func (f *feed) requestRestartOfOthers(onlyAway bool) {
	for _, other := range f.others {
		if other.away.Load() || !onlyAway {
			requestRestart(other.restart)
		}
	}
}

func (m *Cache) superviseFeed(ctx context.Context, f *feed) {
	background.Supervise(ctx, m.logger, f.name, func(ctx context.Context) { m.followFeed(ctx, f) })
}

// watchWait returns how long the next watch of a feed waits for a change. A watch that the platform has lost looks like one without a
// change until its wait is over. The waits are therefore random, and short enough that some instance of the fleet soon makes a
// new call and, through its version, ends the watches of the others. The calls of the whole fleet do not grow with it until maxWatchWait
// binds; in a fleet with readers, only the collectors count. After a change all instances watch again at the same time, and an outage at
// that moment loses the watches of all; some of
// them therefore check soon, and with them the collectors, from which the others hear.
func (m *Cache) watchWait(limit time.Duration, afterChange bool) time.Duration {
	instances := max(1, min(m.instanceCount(), m.fleet.WatchingInstances()))
	shortest := min(limit/minWaitDivisor, maxWatchWait/2)
	if afterChange && (m.fleet.IsCollector() || rand.IntN(instances) < earlyChecks) {
		return shortest + rand.N(max(1, shortest))
	}
	longest := min(time.Duration(instances)*limit/waitPerInstanceDivisor, maxWatchWait)
	return shortest + rand.N(max(1, longest-shortest))
}

// sleepUntilRestart sleeps until the time has passed, a restart is requested or ctx ends, and reports whether one was requested.
func sleepUntilRestart(ctx context.Context, restart <-chan struct{}, d time.Duration) (requested bool) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-restart:
		return true
	case <-timer.C:
	}
	return false
}

// recordFeedAnswer records that the platform answered a call of a feed.
func (m *Cache) recordFeedAnswer() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordOwnAnswer()
}

// randomPause returns a random time around d, so that the calls of many instances spread.
func randomPause(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// RecordEra records the era in a response of the store. If it is a new one, watches that began in an earlier era are restarted: the
// store may not end them, since it has other changes under the same revisions.
func (m *Cache) RecordEra(era uint64) (isNew bool) {
	for {
		known := m.era.Load()
		if era <= known {
			return false
		}
		if m.era.CompareAndSwap(known, era) {
			m.RestartWatches()
			if m.evacuations != nil {
				requestRestart(m.evacuations.restart)
			}
			return true
		}
	}
}

// receiveRestart takes a pending restart request, if there is one. The next call, or the response of one that was open, fulfils it.
func receiveRestart(restart <-chan struct{}) (requested bool) {
	select {
	case <-restart:
		return true
	default:
		return false
	}
}

// callInterruptible makes a call that is cancelled when the channel receives a value.
func callInterruptible(ctx context.Context, c <-chan struct{}, call func(context.Context) (uint64, error)) (next uint64, interrupted bool, err error) {
	own, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-c:
			cancel()
		case <-own.Done():
		}
	}()
	next, err = call(own)
	interrupted = own.Err() != nil && ctx.Err() == nil
	cancel()
	<-done
	return next, interrupted, err
}
