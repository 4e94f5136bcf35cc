package routingcache_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/routingcache"
)

// fakePlatform is a platform whose responses the test sets.
type fakePlatform struct {
	mu          sync.Mutex
	down        error
	historyGone bool
	config      *routing.Config
	endpoints   map[string]routing.Endpoint
	revision    uint64
	changes     []change
	listCalls   int
	watchCalls  int
	wake        chan struct{}
}

// change is a change of the endpoint list at a revision.
type change struct {
	routing.EndpointChange
	revision uint64
}

// With these limits, changes within 400 ms share a call.
var limits = routingcache.PropagationLimits{Config: 2 * time.Second, Endpoints: 2 * time.Second}

// largeFleet is the number of instances in tests of a single one. In a large fleet few watches of an instance end by themselves.
func largeFleet() int { return 300 }

func newFakePlatform() *fakePlatform {
	return &fakePlatform{revision: 10, endpoints: map[string]routing.Endpoint{}, wake: make(chan struct{})}
}

func (f *fakePlatform) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	do()
	close(f.wake)
	f.wake = make(chan struct{})
}

func (f *fakePlatform) ReadConfig(context.Context) (*routing.Config, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config, f.revision, f.down
}

func (f *fakePlatform) ListEndpoints(context.Context) ([]routing.Endpoint, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listCalls++
	var out []routing.Endpoint
	for _, e := range f.endpoints {
		out = append(out, e)
	}
	return out, f.revision, f.down
}

// waitForChange blocks until there is a newer revision, and at most for the given time.
func (f *fakePlatform) waitForChange(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	f.mu.Lock()
	f.watchCalls++
	f.mu.Unlock()
	for {
		f.mu.Lock()
		revision, down, gone, wake := f.revision, f.down, f.historyGone, f.wake
		f.mu.Unlock()
		switch {
		case down != nil:
			return 0, down
		case gone:
			return 0, routing.ErrHistoryGone
		case routing.Era(revision) != routing.Era(since):
			return 0, routing.ErrHistoryGone
		case revision > since:
			return revision, nil
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-timer.C:
			return since, nil
		case <-wake:
		}
	}
}

func (f *fakePlatform) WatchConfig(ctx context.Context, since uint64, wait time.Duration) (*routing.Config, uint64, error) {
	revision, err := f.waitForChange(ctx, since, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || revision == since {
		return nil, revision, err
	}
	return f.config, revision, nil
}

func (f *fakePlatform) WatchEndpoints(ctx context.Context, since uint64, wait time.Duration) ([]routing.EndpointChange, uint64, error) {
	revision, err := f.waitForChange(ctx, since, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || revision == since {
		return nil, revision, err
	}
	var out []routing.EndpointChange
	for _, c := range f.changes {
		if c.revision > since && c.revision <= revision {
			out = append(out, c.EndpointChange)
		}
	}
	return out, revision, nil
}

func (f *fakePlatform) put(e routing.Endpoint) {
	f.change(func() {
		f.endpoints[e.ID] = e
		f.changes = append(f.changes, change{routing.EndpointChange{ID: e.ID, Endpoint: &e}, f.revision})
	})
}

func (f *fakePlatform) remove(ids ...string) {
	f.change(func() {
		for _, id := range ids {
			delete(f.endpoints, id)
			f.changes = append(f.changes, change{routing.EndpointChange{ID: id}, f.revision})
		}
	})
}

func (f *fakePlatform) setDown(err error) { f.change(func() { f.down = err }) }

// setHistoryGone has the platform answer watches with routing.ErrHistoryGone, or not any more.
func (f *fakePlatform) setHistoryGone(gone bool) { f.change(func() { f.historyGone = gone }) }

func (f *fakePlatform) setConfig(version uint64) {
	f.change(func() { f.config = &routing.Config{Version: version, Revision: f.revision} })
}

// withCache runs the test in virtual time with a cache of the fake platform.
func withCache(t *testing.T, test func(f *fakePlatform, m *routingcache.Cache)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		f.endpoints["a"] = routing.Endpoint{ID: "a"}
		f.endpoints["b"] = routing.Endpoint{ID: "b"}
		ctx, cancel := context.WithCancel(t.Context())
		m, done := runCache(ctx, f)
		time.Sleep(time.Second)
		test(f, m)
		cancel()
		<-done
	})
}

// runCache starts a cache of the fake platform, as one of a large fleet. done is closed when it has ended.
func runCache(ctx context.Context, f routingcache.PlatformClient) (m *routingcache.Cache, done chan struct{}) {
	return runCacheOf(ctx, f, largeFleet)
}

// runCacheOf is runCache for a fleet of any size.
func runCacheOf(ctx context.Context, f routingcache.PlatformClient, instanceCount func() int) (m *routingcache.Cache, done chan struct{}) {
	start := time.Now()
	boot := func() time.Duration { return time.Since(start) + time.Hour }
	m = routingcache.New(f, limits, instanceCount, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, boot)
	done = make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	return m, done
}

func isListed(m *routingcache.Cache, id string) bool { _, ok := m.Endpoints().ByID[id]; return ok }

// Guards against a configuration that goes back to an older version or takes effect late.
func TestFollowsTheConfiguration(t *testing.T) {
	withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
		if m.Table() != nil {
			t.Fatal("a configuration is in force before one was written")
		}
		f.setConfig(3)
		synctest.Wait()
		if m.Table().Config.Version != 3 {
			t.Fatal(m.Table().Config)
		}
		m.ApplySnapshot(routingcache.Snapshot{Config: &routing.Config{Version: 2, Revision: 5}}, "peer")
		if m.Table().Config.Version != 3 {
			t.Fatal("an older version was adopted")
		}
		m.ApplySnapshot(routingcache.Snapshot{Config: &routing.Config{Version: 4, Revision: 500}}, "peer")
		if m.Table().Config.Version != 4 {
			t.Fatal("a newer version was not adopted")
		}
	})
}

// Guards against requests to endpoints that are leaving or removed.
func TestFollowsTheEndpoints(t *testing.T) {
	withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
		f.put(routing.Endpoint{ID: "a", Leaving: true})
		synctest.Wait()
		if !m.Endpoints().ByID["a"].Leaving {
			t.Fatal("the endpoint is not marked as leaving")
		}
		time.Sleep(time.Second)
		f.remove("b")
		synctest.Wait()
		if isListed(m, "b") {
			t.Fatal("the removed endpoint is still listed")
		}
	})
}

// Guards against changes in quick succession that each cost a platform call or take effect late.
func TestTakesQuickChangesTogether(t *testing.T) {
	withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
		f.mu.Lock()
		before := f.watchCalls
		f.mu.Unlock()
		for i := range 20 {
			f.setConfig(uint64(i + 1))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if v := m.Table().Config.Version; v != 20 {
			t.Error("a second after the last change, version", v, "is in force, want 20")
		}
		// The calls of both feeds are counted, because the endpoint feed sees every new revision as well.
		if calls := f.watchCalls - before; calls > 12 {
			t.Error(calls, "calls for 20 changes within a second")
		}
	})
}

// Guards against an empty endpoint list after an outage in which all entries have expired.
func TestKeepsEndpointsThatLapsedInAnOutage(t *testing.T) {
	withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
		f.put(routing.Endpoint{ID: "leaving", Leaving: true})
		synctest.Wait()
		f.setDown(errors.New("the store is down"))
		time.Sleep(5 * time.Second)
		if !isListed(m, "a") || !isListed(m, "b") {
			t.Fatal("the last endpoint list was not kept during the outage")
		}
		f.remove("a", "b", "leaving")
		f.setDown(nil)
		// The pause between calls is random and at most 1.5 s. At the first successful call the leaving endpoint is removed.
		for waited := time.Duration(0); isListed(m, "leaving"); waited += 10 * time.Millisecond {
			if waited > 1500*time.Millisecond {
				t.Fatal("the store's return was not detected")
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(1800 * time.Millisecond)
		if !isListed(m, "a") || !isListed(m, "b") {
			t.Fatal("endpoints that were not leaving were removed within the grace period:", m.Endpoints().ByID)
		}
		f.put(routing.Endpoint{ID: "a"})
		time.Sleep(500 * time.Millisecond)
		if !isListed(m, "a") || isListed(m, "b") {
			t.Fatal("want only the endpoint that came back:", m.Endpoints().ByID)
		}
	})
}

// Guards against a removed endpoint that is kept because a single watch was cut off.
func TestRemovesAtOnceWithoutAnOutage(t *testing.T) {
	withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
		f.setDown(errors.New("cut off"))
		synctest.Wait()
		f.mu.Lock()
		f.down = nil // the next call succeeds
		f.mu.Unlock()
		time.Sleep(time.Second)
		f.remove("a")
		synctest.Wait()
		if isListed(m, "a") {
			t.Fatal("the removed endpoint is still listed")
		}
	})
}

// Guards against changes that are missed when the platform drops its history.
func TestListsAgainWhenTheHistoryIsGone(t *testing.T) {
	withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
		f.mu.Lock()
		before := f.listCalls
		f.mu.Unlock()
		f.change(func() {
			f.historyGone = true
			delete(f.endpoints, "a")
		})
		time.Sleep(50 * time.Millisecond)
		f.change(func() { f.historyGone = false })
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.listCalls <= before || isListed(m, "a") {
			t.Fatal(f.listCalls, m.Endpoints().ByID)
		}
	})
}

// Guards against an older list from a peer that restores a removed endpoint.
func TestAdoptsOnlyNewerEndpoints(t *testing.T) {
	withCache(t, func(_ *fakePlatform, m *routingcache.Cache) {
		m.ApplySnapshot(routingcache.Snapshot{Endpoints: &routingcache.EndpointList{Revision: 1, ByID: map[string]routing.Endpoint{}}}, "peer")
		if !isListed(m, "a") {
			t.Fatal("an older list was adopted")
		}
		m.ApplySnapshot(routingcache.Snapshot{Endpoints: &routingcache.EndpointList{Revision: 100, ByID: map[string]routing.Endpoint{"c": {ID: "c"}}}}, "peer")
		if isListed(m, "a") || !isListed(m, "c") {
			t.Fatal("a newer list was not adopted")
		}
	})
}

// Guards against a watch that is restarted because of a request that came during the list call. The list is newer already, and
// every platform call has a cost.
func TestListsAnswerRefreshes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		m := routingcache.New(f, limits, largeFleet, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, func() time.Duration { return time.Hour })
		m.RestartWatches()
		go m.Run(t.Context())
		time.Sleep(limits.Config / 10) // no watch ends by itself before
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.watchCalls != 2 {
			t.Error("want 2 watch calls, one for each feed; got", f.watchCalls)
		}
	})
}
