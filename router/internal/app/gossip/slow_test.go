package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/routingcache"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
)

// slow is a platform whose answers take a while to arrive, as large configurations do on slow links.
type slow struct {
	idle
	transfer time.Duration
	revision uint64
}

func (s slow) ReadConfig(ctx context.Context) (*routing.Config, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(s.transfer):
		return &routing.Config{Version: 7, Revision: s.revision}, s.revision, nil
	}
}

// Guards against an instance that never gets a configuration (CONFIG on grown bfq trouble-3): messages of instances that had it
// made this one abort and repeat the call of the platform while the answer was arriving.
func TestSlowAnswersArriveAlthoughOthersAreAhead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := n.start(t, "a", 1)
		a.mirror.ApplySnapshot(routingcache.Snapshot{Config: &routing.Config{Version: 7, Revision: 9}}, "test")
		n.mu.Lock()
		n.fetchErr = errors.New("the link is slow for copies, too")
		n.mu.Unlock()
		b := n.startOn(t, slow{transfer: 2 * time.Second, revision: 9}, "b", 1)
		go b.mirror.Run(t.Context())
		time.Sleep(4 * time.Second)
		if version, _ := b.mirror.Versions(); version != 7 {
			t.Error("version", version)
		}
	})
}

// arriving is a platform whose answers keep arriving for a while.
type arriving struct{ idle }

func (arriving) ReadConfig(ctx context.Context) (*routing.Config, uint64, error) {
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		routing.ReportProgress(ctx)
	}
	return &routing.Config{Version: 7, Revision: 9}, 9, nil
}

// Guards against copies fetched over the links on which the platform's answer is arriving: 300 instances that started at once
// fetched 1 MB each from each other and served nothing for 30 s (sweep of grown bfq).
func TestFetchesNothingWhileTheAnswerArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := n.start(t, "a", 1)
		a.mirror.ApplySnapshot(routingcache.Snapshot{Config: &routing.Config{Version: 7, Revision: 9}}, "test")
		b := n.startOn(t, arriving{}, "b", 1)
		go b.mirror.Run(t.Context())
		time.Sleep(4 * time.Second)
		fetches := n.countFetches()
		if version, _ := b.mirror.Versions(); version != 7 || fetches != 0 {
			t.Error("version", version, "copies fetched", fetches)
		}
	})
}

// Guards against many instances that start at once and all fetch copies from the same seeds: 300 instances on links of 10 Mbit/s
// did not serve for 30 s (sweep of grown bfq).
func TestSeedsAreAskedOnlyIfThePlatformDoesNotAnswer(t *testing.T) {
	for _, unavailable := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			if unavailable {
				n.storeErr = errors.New("the store is unavailable")
			}
			for i := range 20 {
				nd := n.start(t, fmt.Sprint("i", i), 1, "i0", "i1")
				nd.mirror.ApplySnapshot(routingcache.Snapshot{Config: &routing.Config{Version: 7, Revision: 9}}, "test")
			}
			time.Sleep(5 * time.Second)
			fetches := n.countFetches()
			if asked := fetches > 0; asked != unavailable {
				t.Error("the store is unavailable:", unavailable, "copies fetched:", fetches)
			}
		})
	}
}

// Guards against work and spending that stay wrong after a lost message until the next full state.
func TestRequestsFullStateAfterLostMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a, b := n.start(t, "a", 1), n.start(t, "b", 1)
		time.Sleep(20 * time.Second)
		customer := &sharedlimit.Quota{Key: "c", RatePerSecond: 1000, Burst: 1000}
		n.setCut("a", true)
		a.book.Add("e", inflight.Load{Requests: 3})
		a.limiter.Take(customer, 500, a.Boot())
		a.TriggerReport()
		time.Sleep(100 * time.Millisecond)
		n.setCut("a", false)
		a.book.Add("other", inflight.Load{Requests: 1})
		a.TriggerReport()
		time.Sleep(10 * time.Millisecond)
		if got := b.book.TotalAt("e").Requests; got != 3 {
			t.Error("work reported in the lost message:", got)
		}
		a.book.Subtract("e", inflight.Load{Requests: 3})
		a.TriggerReport()
		time.Sleep(10 * time.Millisecond)
		if got := b.book.TotalAt("e").Requests; got != 0 {
			t.Error("work that has ended:", got)
		}
	})
}

// Guards against the full state in every message, which made up most of the traffic between 300 instances.
func TestReportsFullStateRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := n.start(t, "a", 1)
		n.start(t, "b", 1)
		time.Sleep(time.Second)
		a.book.Add("e", inflight.Load{Requests: 3})
		n.countSent()
		time.Sleep(30 * time.Second)
		full, partial := n.countSent()
		if full == 0 || partial < 8*full {
			t.Error("full:", full, "partial:", partial)
		}
	})
}
