package routingcache_test

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/routingcache"
)

// followedFleet is a fleet in which the instance is always in contact with a collector.
type followedFleet struct{}

func (followedFleet) IsCollector() bool               { return false }
func (followedFleet) AnnounceVersions()               {}
func (followedFleet) AnnounceEvacuations()            {}
func (followedFleet) KnowsMembers() bool              { return true }
func (followedFleet) CollectorContact() time.Duration { return time.Second }
func (followedFleet) WatchingInstances() int          { return largeFleet() }

// startFollower starts a cache that relies on another one.
func startFollower(t *testing.T, f routingcache.PlatformClient) *routingcache.Cache {
	start := time.Now()
	m := routingcache.New(f, limits, largeFleet, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, func() time.Duration { return time.Since(start) + time.Hour })
	m.Connect(followedFleet{})
	go m.Run(t.Context())
	return m
}

// fetch has the follower take over what is newer at the collector, as in package gossip.
func fetch(began time.Time, follower, collector *routingcache.Cache) {
	if age, answered := collector.FleetAnswerAge(); answered {
		follower.RecordPeerAnswer(time.Since(began) + time.Hour - age)
	}
	if !follower.ApplyNewer(collector.SnapshotSince(follower.Known()), "collector") {
		known := follower.Known()
		known.Endpoints = 0
		follower.ApplyNewer(collector.SnapshotSince(known), "collector")
	}
}

func calls(m *routingcache.Cache) (sum int64) {
	for _, n := range m.Calls() {
		sum += n
	}
	return sum
}

// Guards against followers whose lists differ from the platform's after any order of writes, removals, lost fetches and restores, whose
// versions go back, and which call the platform for each change.
func TestFollowersHaveTheStateOfTheCollector(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 5))
			f := newFakePlatform()
			f.setConfig(1)
			for i := range 12 {
				f.put(routing.Endpoint{ID: fmt.Sprint("e", i)})
			}
			collector, follower := startCache(t, f), startFollower(t, f)
			began := time.Now()
			synctest.Wait()
			copied, version, last := f.backup(), uint64(1), uint64(0)
			restores := 0
			for range 60 {
				e := routing.Endpoint{ID: fmt.Sprint("e", random.IntN(12)), StartedMS: random.Int64N(3), Leaving: random.IntN(4) == 0}
				switch random.IntN(16) {
				case 0:
					version++
					f.setConfig(version)
				case 1, 2, 3:
					f.remove(e.ID)
				case 4:
					copied = f.backup()
				case 5:
					f.restore(copied)
					copied = f.backup()
					f.setConfig(version)
					restores++
				default:
					f.put(e)
				}
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
				if random.IntN(4) > 0 {
					fetch(began, follower, collector)
				}
				if now := follower.Table().Config.Version; now < last {
					t.Fatal("the version went back from", last, "to", now)
				} else {
					last = now
				}
			}
			time.Sleep(15 * time.Second)
			f.put(routing.Endpoint{ID: "last"})
			time.Sleep(time.Second)
			fetch(began, follower, collector)
			time.Sleep(untilKeptEnds)
			if a, b := collector.Endpoints(), follower.Endpoints(); !maps.Equal(a.ByID, b.ByID) || follower.Table().Config.Version != version {
				t.Errorf("seed %d: the follower has %v, the collector %v", seed, b.ByID, a.ByID)
			}
			if most := int64(12 + 8*restores); calls(follower) > most {
				t.Errorf("seed %d: %d calls, want at most %d: %v", seed, calls(follower), most, follower.Calls())
			}
		})
	}
}

// Guards against a follower that drops what expired in an outage of the platform although the collector keeps it, and against one that
// keeps what is removed at any other time.
func TestFollowersKeepExpiredEndpointsAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		f.setConfig(1)
		for _, id := range []string{"a", "b", "c", "d"} {
			f.put(routing.Endpoint{ID: id})
		}
		collector, follower := startCache(t, f), startFollower(t, f)
		began := time.Now()
		time.Sleep(time.Second)
		f.put(routing.Endpoint{ID: "e"}) // ends the first watch of the follower
		time.Sleep(time.Second)
		fetch(began, follower, collector)
		f.remove("d")
		time.Sleep(time.Second)
		fetch(began, follower, collector)
		if isListed(follower, "d") {
			t.Error("an endpoint that was removed while the platform answered is kept")
		}
		before := calls(follower)
		f.setDown(errors.New("the store is down"))
		time.Sleep(outage)
		f.remove("a")
		f.setDown(nil)
		for collector.KeptEndpoints() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		fetch(began, follower, collector)
		if !isListed(follower, "a") {
			t.Error("an endpoint that expired in the outage is dropped at once")
		}
		if made := calls(follower) - before; made > 2 {
			t.Error(made, "calls during the outage")
		}
		time.Sleep(untilKeptEnds)
		if isListed(follower, "a") || !isListed(follower, "b") {
			t.Error("listed:", follower.Endpoints().ByID)
		}
	})
}

// Guards against a follower that never learns from the platform that it was restored, and so does not register again.
func TestFollowersCheckAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		f.setConfig(1)
		f.put(routing.Endpoint{ID: "a"})
		collector, follower := startCache(t, f), startFollower(t, f)
		began := time.Now()
		time.Sleep(time.Second)
		f.put(routing.Endpoint{ID: "b"})
		time.Sleep(time.Second)
		fetch(began, follower, collector)
		f.restore(f.backup())
		f.put(routing.Endpoint{ID: "c"})
		for routing.Era(collector.Endpoints().Revision) == routing.Era(follower.Endpoints().Revision) {
			time.Sleep(10 * time.Millisecond)
		}
		before := calls(follower)
		fetch(began, follower, collector)
		time.Sleep(time.Second)
		if calls(follower) == before || !isListed(follower, "c") {
			t.Error("calls after the restore:", calls(follower)-before, "listed:", follower.Endpoints().ByID)
		}
	})
}

// Guards against a follower whose list is not the one that the changes start from, and that would differ from the platform's for good.
func TestChangesOfAnotherListAreNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakePlatform()
		f.setConfig(1)
		for _, id := range []string{"a", "b", "c", "d"} {
			f.put(routing.Endpoint{ID: id})
		}
		collector := startCache(t, f)
		time.Sleep(time.Second)
		known := collector.Known()
		f.put(routing.Endpoint{ID: "e"})
		time.Sleep(time.Second)
		changes := collector.SnapshotSince(known).Changes
		if changes == nil {
			t.Fatal("the whole list is returned for a single change")
		}
		others := collector.Endpoints().ByID
		for name, since := range map[string]uint64{"other endpoints": known.Endpoints, "another revision": known.Endpoints - 1} {
			m := routingcache.New(f, limits, largeFleet, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, func() time.Duration { return time.Hour })
			byID := maps.Clone(others)
			delete(byID, "e")
			if name == "other endpoints" {
				delete(byID, "a")
			}
			m.ApplySnapshot(routingcache.Snapshot{Endpoints: &routingcache.EndpointList{Revision: since, ByID: byID}}, "test")
			if m.ApplyNewer(routingcache.Snapshot{Changes: changes}, "collector") || isListed(m, "e") {
				t.Errorf("%s: the changes were applied", name)
			}
		}
	})
}
