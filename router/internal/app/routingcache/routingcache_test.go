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

// fake is a platform whose answers the test sets.
type fake struct {
	mu        sync.Mutex
	down      error
	gone      bool
	config    *routing.Config
	endpoints map[string]routing.Endpoint
	revision  uint64
	changes   []change
	lists     int
	watches   int
	wake      chan struct{}
}

// change is a change of the list of endpoints at a revision.
type change struct {
	routing.EndpointChange
	revision uint64
}

// limits are those of the tests: changes share a call for 400 ms.
var limits = routingcache.PropagationLimits{Config: 2 * time.Second, Endpoints: 2 * time.Second}

func newFake() *fake {
	return &fake{revision: 10, endpoints: map[string]routing.Endpoint{}, wake: make(chan struct{})}
}

func (f *fake) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	do()
	close(f.wake)
	f.wake = make(chan struct{})
}

func (f *fake) ReadConfig(context.Context) (*routing.Config, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config, f.revision, f.down
}

func (f *fake) ListEndpoints(context.Context) ([]routing.Endpoint, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	var out []routing.Endpoint
	for _, e := range f.endpoints {
		out = append(out, e)
	}
	return out, f.revision, f.down
}

// wait blocks until something newer than the revision is there.
func (f *fake) wait(ctx context.Context, since uint64, wait time.Duration) (uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	f.mu.Lock()
	f.watches++
	f.mu.Unlock()
	for {
		f.mu.Lock()
		revision, down, gone, wake := f.revision, f.down, f.gone, f.wake
		f.mu.Unlock()
		switch {
		case down != nil:
			return 0, down
		case gone:
			return 0, routing.ErrGone
		case routing.Era(revision) != routing.Era(since):
			return 0, routing.ErrGone
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

func (f *fake) WatchConfig(ctx context.Context, since uint64, wait time.Duration) (*routing.Config, uint64, error) {
	revision, err := f.wait(ctx, since, wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil || revision == since {
		return nil, revision, err
	}
	return f.config, revision, nil
}

func (f *fake) WatchEndpoints(ctx context.Context, since uint64, wait time.Duration) ([]routing.EndpointChange, uint64, error) {
	revision, err := f.wait(ctx, since, wait)
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

func (f *fake) put(e routing.Endpoint) {
	f.change(func() {
		f.endpoints[e.ID] = e
		f.changes = append(f.changes, change{routing.EndpointChange{ID: e.ID, Endpoint: &e}, f.revision})
	})
}

func (f *fake) remove(ids ...string) {
	f.change(func() {
		for _, id := range ids {
			delete(f.endpoints, id)
			f.changes = append(f.changes, change{routing.EndpointChange{ID: id}, f.revision})
		}
	})
}

func (f *fake) setDown(err error) { f.change(func() { f.down = err }) }

func (f *fake) setConfig(version uint64) {
	f.change(func() { f.config = &routing.Config{Version: version, Revision: f.revision} })
}

// run runs the test in virtual time with a mirror of the fake platform.
func run(t *testing.T, test func(f *fake, m *routingcache.Cache)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		f.endpoints["a"] = routing.Endpoint{ID: "a"}
		f.endpoints["b"] = routing.Endpoint{ID: "b"}
		ctx, cancel := context.WithCancel(t.Context())
		m, done := follow(ctx, f)
		time.Sleep(time.Second)
		test(f, m)
		cancel()
		<-done
	})
}

// follow starts a mirror of the fake platform. Done is closed when it has ended.
func follow(ctx context.Context, f *fake) (m *routingcache.Cache, done chan struct{}) {
	start := time.Now()
	boot := func() time.Duration { return time.Since(start) + time.Hour }
	m = routingcache.New(f, limits, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, boot)
	done = make(chan struct{})
	go func() { m.Run(ctx); close(done) }()
	return m, done
}

func has(m *routingcache.Cache, id string) bool { _, ok := m.Endpoints().ByID[id]; return ok }

// Guards against a configuration that goes back, or comes late.
func TestFollowsTheConfiguration(t *testing.T) {
	run(t, func(f *fake, m *routingcache.Cache) {
		if m.Table() != nil {
			t.Fatal("there is none yet")
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

// Guards against work for endpoints that are leaving or gone.
func TestFollowsTheEndpoints(t *testing.T) {
	run(t, func(f *fake, m *routingcache.Cache) {
		f.put(routing.Endpoint{ID: "a", Leaving: true})
		synctest.Wait()
		if !m.Endpoints().ByID["a"].Leaving {
			t.Fatal("the endpoint is leaving")
		}
		time.Sleep(time.Second)
		f.remove("b")
		synctest.Wait()
		if has(m, "b") {
			t.Fatal("the endpoint is gone")
		}
	})
}

// Guards against changes in quick succession that each cost a call of the platform, or come into force late.
func TestTakesQuickChangesTogether(t *testing.T) {
	run(t, func(f *fake, m *routingcache.Cache) {
		f.mu.Lock()
		before := f.watches
		f.mu.Unlock()
		for i := range 20 {
			f.setConfig(uint64(i + 1))
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if v := m.Table().Config.Version; v != 20 {
			t.Error("a second after the last change, version", v, "is in force")
		}
		// Both feeds are counted; the endpoints' feed sees the revisions as well.
		if calls := f.watches - before; calls > 12 {
			t.Error(calls, "calls for 20 changes within a second")
		}
	})
}

// Guards against an empty list after an outage in which all entries have expired.
func TestKeepsEndpointsThatLapsedInAnOutage(t *testing.T) {
	run(t, func(f *fake, m *routingcache.Cache) {
		f.put(routing.Endpoint{ID: "leaving", Leaving: true})
		synctest.Wait()
		f.setDown(errors.New("the store is away"))
		time.Sleep(5 * time.Second)
		if !has(m, "a") || !has(m, "b") {
			t.Fatal("the last state must hold during the outage")
		}
		f.remove("a", "b", "leaving")
		f.setDown(nil)
		// The pause between calls is random and at most 1.5 s; with its end the endpoint that was leaving is gone.
		for waited := time.Duration(0); has(m, "leaving"); waited += 10 * time.Millisecond {
			if waited > 1500*time.Millisecond {
				t.Fatal("the store's return was not noticed")
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(1800 * time.Millisecond)
		if !has(m, "a") || !has(m, "b") {
			t.Fatal("endpoints that were not leaving have nearly two seconds to come back:", m.Endpoints().ByID)
		}
		f.put(routing.Endpoint{ID: "a"})
		time.Sleep(500 * time.Millisecond)
		if !has(m, "a") || has(m, "b") {
			t.Fatal("only what came back stays:", m.Endpoints().ByID)
		}
	})
}

// Guards against an endpoint that is kept for a single watch that was cut off.
func TestRemovesAtOnceWithoutAnOutage(t *testing.T) {
	run(t, func(f *fake, m *routingcache.Cache) {
		f.setDown(errors.New("cut off"))
		synctest.Wait()
		f.mu.Lock()
		f.down = nil // the next call succeeds
		f.mu.Unlock()
		time.Sleep(time.Second)
		f.remove("a")
		synctest.Wait()
		if has(m, "a") {
			t.Fatal("the endpoint is gone")
		}
	})
}

// Guards against changes that are missed when the platform drops its history.
func TestListsAgainWhenTheHistoryIsGone(t *testing.T) {
	run(t, func(f *fake, m *routingcache.Cache) {
		f.mu.Lock()
		before := f.lists
		f.mu.Unlock()
		f.change(func() {
			f.gone = true
			delete(f.endpoints, "a")
		})
		time.Sleep(50 * time.Millisecond)
		f.change(func() { f.gone = false })
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.lists <= before || has(m, "a") {
			t.Fatal(f.lists, m.Endpoints().ByID)
		}
	})
}

// Guards against a peer's older list that brings an endpoint back.
func TestAdoptsOnlyNewerEndpoints(t *testing.T) {
	run(t, func(_ *fake, m *routingcache.Cache) {
		m.ApplySnapshot(routingcache.Snapshot{Endpoints: &routingcache.EndpointList{Revision: 1, ByID: map[string]routing.Endpoint{}}}, "peer")
		if !has(m, "a") {
			t.Fatal("an older list was adopted")
		}
		m.ApplySnapshot(routingcache.Snapshot{Endpoints: &routingcache.EndpointList{Revision: 100, ByID: map[string]routing.Endpoint{"c": {ID: "c"}}}}, "peer")
		if has(m, "a") || !has(m, "c") {
			t.Fatal("a newer list was not adopted")
		}
	})
}

// Guards against a watch that is ended and made again because of a refresh that came while the list was being read: the list
// is newer, and every call is priced.
func TestListsAnswerRefreshes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake()
		m := routingcache.New(f, limits, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, func() time.Duration { return time.Hour })
		m.RestartWatches()
		go m.Run(t.Context())
		time.Sleep(5 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.watches != 2 {
			t.Error("watches of the two feeds:", f.watches)
		}
	})
}
