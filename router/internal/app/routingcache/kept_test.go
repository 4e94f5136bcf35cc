package routingcache_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/routingcache"
)

// outage is long enough for entries to expire; untilKeptEnds is longer than entries are kept after it.
const (
	outage        = 5 * time.Second
	untilKeptEnds = 4 * time.Second
)

// lapse has entries expire in an outage of the platform and waits until the cache has noticed, while it still keeps them.
func lapse(t *testing.T, f *fakePlatform, m *routingcache.Cache, ids ...string) {
	t.Helper()
	f.setDown(errors.New("the store is down"))
	time.Sleep(outage)
	f.remove(ids...)
	f.setDown(nil)
	for m.KeptEndpoints() != len(ids) {
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against endpoints that are dropped after an outage although the list holds them: they were written again, and the cache learns
// that from anything else than a watch (review/3).
func TestKeptEndpointsThatAreListedAgainStay(t *testing.T) {
	for name, learn := range map[string]func(f *fakePlatform, m *routingcache.Cache){
		"from a list": func(f *fakePlatform, _ *routingcache.Cache) {
			f.setHistoryGone(true)
			f.put(routing.Endpoint{ID: "a"})
			time.Sleep(time.Second)
			f.setHistoryGone(false)
		},
		"from a snapshot": func(f *fakePlatform, m *routingcache.Cache) {
			m.ApplySnapshot(routingcache.Snapshot{Endpoints: &routingcache.EndpointList{
				Revision: 100, ByID: map[string]routing.Endpoint{"a": {ID: "a"}, "b": {ID: "b"}},
			}}, "peer")
		},
		"from a restored store": func(f *fakePlatform, _ *routingcache.Cache) {
			copied := f.backup()
			copied.endpoints["a"] = routing.Endpoint{ID: "a"}
			f.restore(copied)
		},
		"from a watch": func(f *fakePlatform, _ *routingcache.Cache) { f.put(routing.Endpoint{ID: "a"}) },
	} {
		t.Run(name, func(t *testing.T) {
			withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
				lapse(t, f, m, "a")
				learn(f, m)
				time.Sleep(untilKeptEnds)
				if !isListed(m, "a") || m.KeptEndpoints() != 0 {
					t.Error("listed:", isListed(m, "a"), "kept:", m.KeptEndpoints())
				}
			})
		})
	}
}

// Guards against endpoints that come back to the lists of other instances because one instance keeps them after what it took for an
// outage of the platform (review/2).
func TestKeptEndpointsDoNotSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began, store := time.Now(), newFakePlatform()
		store.put(routing.Endpoint{ID: "a"})
		store.put(routing.Endpoint{ID: "b"})
		connected, link := startCache(t, store), &linkedPlatform{fakePlatform: store}
		isolated, _ := runCacheOf(t.Context(), link, largeFleet)
		time.Sleep(time.Second)
		link.setCut(true)
		for range outage / time.Second {
			time.Sleep(time.Second)
			connected.RecordPeerAnswer(time.Hour + time.Since(began)) // other instances have answers
		}
		store.remove("a")
		time.Sleep(time.Second)
		if isListed(connected, "a") {
			t.Fatal("a removed endpoint is used")
		}
		store.setConfig(2) // raises the revision that the isolated instance reads
		link.setCut(false)
		for isolated.KeptEndpoints() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		connected.ApplySnapshot(isolated.Snapshot(), "isolated")
		if isListed(connected, "a") || !isListed(connected, "b") {
			t.Error("listed:", connected.Endpoints().ByID)
		}
		time.Sleep(untilKeptEnds)
		if isListed(connected, "a") || isListed(isolated, "a") {
			t.Error("the removed endpoint is still used")
		}
	})
}

// Guards against an instance without endpoints that starts after an outage, because the only list that it can get lacks those that the
// others keep, and against endpoints that it uses for longer than they do.
func TestStartingInstancesTakeOverWhatIsKept(t *testing.T) {
	withCache(t, func(f *fakePlatform, m *routingcache.Cache) {
		lapse(t, f, m, "a", "b")
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		starting, _ := runCacheOf(ctx, &linkedPlatform{fakePlatform: f, cut: true}, largeFleet)
		starting.ApplySnapshot(m.Snapshot(), "peer")
		if !isListed(starting, "a") || !isListed(starting, "b") {
			t.Error("listed:", starting.Endpoints().ByID)
		}
		time.Sleep(untilKeptEnds)
		if len(starting.Endpoints().ByID) != 0 || len(m.Endpoints().ByID) != 0 {
			t.Error("listed later:", starting.Endpoints().ByID, m.Endpoints().ByID)
		}
	})
}

// Guards against an endpoint that the backup listed, that has been dropped from the list since, and that is used again when the time for
// which removed endpoints are hidden is over.
func TestHiddenEndpointsThatAreDroppedStayAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		f.put(routing.Endpoint{ID: "a", StartedMS: 1})
		f.put(routing.Endpoint{ID: "b", StartedMS: 1})
		m := startCache(t, f)
		time.Sleep(time.Second)
		copied := f.backup()
		f.remove("a")
		time.Sleep(time.Second)
		f.restore(copied)
		time.Sleep(time.Second)
		f.setHistoryGone(true) // the removal is not seen by a watch
		f.remove("a")
		time.Sleep(time.Second)
		f.setHistoryGone(false)
		time.Sleep(15 * time.Second)
		if isListed(m, "a") || !isListed(m, "b") {
			t.Error("listed:", m.Endpoints().ByID)
		}
	})
}

// linkedPlatform is a platform that one instance reaches over a link that can be cut.
type linkedPlatform struct {
	*fakePlatform
	cut bool
}

var errCut = errors.New("the instance is cut off")

func (p *linkedPlatform) setCut(cut bool) { p.change(func() { p.cut = cut }) }

func (p *linkedPlatform) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *linkedPlatform) ReadConfig(ctx context.Context) (*routing.Config, uint64, error) {
	if p.isCut() {
		return nil, 0, errCut
	}
	return p.fakePlatform.ReadConfig(ctx)
}

func (p *linkedPlatform) ListEndpoints(ctx context.Context) ([]routing.Endpoint, uint64, error) {
	if p.isCut() {
		return nil, 0, errCut
	}
	return p.fakePlatform.ListEndpoints(ctx)
}

func (p *linkedPlatform) WatchConfig(ctx context.Context, since uint64, wait time.Duration) (*routing.Config, uint64, error) {
	c, next, err := p.fakePlatform.WatchConfig(ctx, since, wait)
	if p.isCut() {
		return nil, 0, errCut
	}
	return c, next, err
}

func (p *linkedPlatform) WatchEndpoints(ctx context.Context, since uint64, wait time.Duration) ([]routing.EndpointChange, uint64, error) {
	changes, next, err := p.fakePlatform.WatchEndpoints(ctx, since, wait)
	if p.isCut() {
		return nil, 0, errCut
	}
	return changes, next, err
}

// Runs random schedules of outages in which entries expire, lost histories, writes and snapshots exchanged between instances. Guards
// against lists that differ from the platform's for longer than entries are kept, whatever way they took.
func TestOutagesAtRandom(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomOutages(t, rand.New(rand.NewPCG(seed, 2))) })
		})
	}
}

func runRandomOutages(t *testing.T, random *rand.Rand) {
	f := newFakePlatform()
	f.setConfig(1)
	links := []*linkedPlatform{{fakePlatform: f}, {fakePlatform: f}, {fakePlatform: f}}
	var instances []*routingcache.Cache
	for _, link := range links {
		m, _ := runCacheOf(t.Context(), link, func() int { return len(links) })
		instances = append(instances, m)
	}
	time.Sleep(time.Second)
	for range 50 {
		id := fmt.Sprint("e", random.IntN(5))
		switch random.IntN(7) {
		case 0, 1:
			f.put(routing.Endpoint{ID: id, StartedMS: 1})
		case 2:
			f.remove(id)
		case 3:
			f.setDown(errors.New("the store is down"))
			time.Sleep(time.Duration(1000+random.IntN(5000)) * time.Millisecond)
			f.remove("e0", "e1", "e2")
			f.setDown(nil)
		case 4:
			f.setHistoryGone(random.IntN(2) == 0)
		case 5:
			links[random.IntN(3)].setCut(random.IntN(2) == 0)
		case 6:
			instances[random.IntN(3)].ApplySnapshot(instances[random.IntN(3)].Snapshot(), "peer")
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	for _, link := range links {
		link.setCut(false)
	}
	f.setHistoryGone(false)
	f.put(routing.Endpoint{ID: "last", StartedMS: 1})
	time.Sleep(30 * time.Second)
	for i, m := range instances {
		if got := m.Endpoints().ByID; !maps.Equal(got, f.endpoints) {
			t.Errorf("instance %d lists %v, want %v", i, got, f.endpoints)
		}
	}
}
