package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
)

// refusingPlatform is the platform as one instance sees it, which may be refused.
type refusingPlatform struct {
	*silentPlatform
	mu      *sync.Mutex
	refused *bool
}

func (p refusingPlatform) refuse(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*p.refused = on
}

// answers returns an error if the instance is refused. A refusal is a call of the platform, too, and a response of which parts arrive.
func (p refusingPlatform) answers(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !*p.refused {
		return nil
	}
	p.silentPlatform.mu.Lock()
	defer p.silentPlatform.mu.Unlock()
	p.calls++
	routing.ReportProgress(ctx)
	return errors.New("503")
}

func (p refusingPlatform) ReadConfig(ctx context.Context) (*routing.Config, uint64, error) {
	if err := p.answers(ctx); err != nil {
		return nil, 0, err
	}
	return p.silentPlatform.ReadConfig(ctx)
}

func (p refusingPlatform) WatchConfig(ctx context.Context, since uint64, wait time.Duration) (*routing.Config, uint64, error) {
	if err := p.answers(ctx); err != nil {
		return nil, 0, err
	}
	return p.silentPlatform.WatchConfig(ctx, since, wait)
}

func (p refusingPlatform) ListEndpoints(ctx context.Context) ([]routing.Endpoint, uint64, error) {
	if err := p.answers(ctx); err != nil {
		return nil, 0, err
	}
	return p.silentPlatform.ListEndpoints(ctx)
}

func (p refusingPlatform) WatchEndpoints(ctx context.Context, since uint64, wait time.Duration) ([]routing.EndpointChange, uint64, error) {
	if err := p.answers(ctx); err != nil {
		return nil, 0, err
	}
	return p.silentPlatform.WatchEndpoints(ctx, since, wait)
}

// followingFleet is a fleet on one platform.
type followingFleet struct {
	*network
	platform *silentPlatform
	all      []*node
	clients  map[string]refusingPlatform
}

func startFollowing(t *testing.T, instances int, limit time.Duration) *followingFleet {
	f := &followingFleet{network: newNetwork(), platform: newSilentPlatform(), clients: map[string]refusingPlatform{}}
	f.propagationLimit = limit
	for i := range instances {
		name := fmt.Sprint("i", i)
		client := refusingPlatform{f.platform, &sync.Mutex{}, new(bool)}
		nd := f.startOn(t, client, name, 1)
		go nd.mirror.Run(t.Context())
		f.clients[name] = client
		f.all = append(f.all, nd)
	}
	time.Sleep(10 * time.Second)
	f.platform.write() // ends the watches that readers began at their start
	time.Sleep(limit)
	return f
}

func (f *followingFleet) split() (collectors, readers []*node) {
	for _, nd := range f.all {
		if nd.IsCollector() {
			collectors = append(collectors, nd)
		} else {
			readers = append(readers, nd)
		}
	}
	return collectors, readers
}

// kill removes instances from the network and returns the others.
func (f *followingFleet) kill(dead []*node) (alive []*node) {
	gone := map[string]bool{}
	for _, nd := range dead {
		gone[nd.address] = true
		nd.stop()
		f.setCut(nd.address, true)
	}
	for _, nd := range f.all {
		if !gone[nd.address] {
			alive = append(alive, nd)
		}
	}
	return alive
}

// Guards against calls of the platform that grow with the number of readers: on a day with 82 instances, watches of all of them ended with
// each change.
func TestCallsPerChangeDoNotGrowWithTheReaders(t *testing.T) {
	const changes, limit, mostPerChange = 40, 3 * time.Second, 30
	for _, instances := range []int{30, 82, 300} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFollowing(t, instances, limit)
				before, _ := f.platform.counts()
				for range changes {
					if took := timeToLearn(f.all, f.platform.write(), limit); took > limit {
						t.Errorf("the last instance learns the version %s after it was written, want at most %s", took, limit)
					}
					time.Sleep(500 * time.Millisecond)
				}
				after, _ := f.platform.counts()
				if perChange := float64(after-before) / changes; perChange > mostPerChange {
					t.Errorf("%.1f calls for each change, want at most %d", perChange, mostPerChange)
				} else {
					t.Logf("%.1f calls for each change", perChange)
				}
			})
		})
	}
}

// Guards against readers that check for themselves again and again while the platform is away.
func TestReadersCallRarelyDuringAnOutage(t *testing.T) {
	const limit, outage = 3 * time.Second, 6 * time.Second
	synctest.Test(t, func(t *testing.T) {
		f := startFollowing(t, 82, limit)
		before, _ := f.platform.counts()
		for _, c := range f.clients {
			c.refuse(true)
		}
		time.Sleep(outage)
		after, _ := f.platform.counts()
		for _, c := range f.clients {
			c.refuse(false)
		}
		if took := timeToLearn(f.all, f.platform.write(), limit); took > limit {
			t.Errorf("the last instance learns the version %s after it was written, want at most %s", took, limit)
		}
		t.Logf("%d calls in an outage of %s", after-before, outage)
		if after-before > 200 {
			t.Errorf("%d calls in an outage of %s, want at most 200", after-before, outage)
		}
	})
}

// Guards against readers that learn of a version too late because they rely on collectors that fail them.
func TestReadersLearnVersionsInTimeDespiteFaults(t *testing.T) {
	const rounds = 3
	faults := map[string]func(f *followingFleet) (alive []*node){
		"none": func(f *followingFleet) []*node { return f.all },
		"a tenth of the messages lost": func(f *followingFleet) []*node {
			random := rand.New(rand.NewPCG(1, 2))
			f.mu.Lock()
			defer f.mu.Unlock()
			f.loses = func() bool { return random.Float64() < 0.1 }
			return f.all
		},
		"a collector killed": func(f *followingFleet) []*node {
			collectors, _ := f.split()
			return f.kill(collectors[:1])
		},
		"all collectors killed": func(f *followingFleet) []*node {
			collectors, _ := f.split()
			return f.kill(collectors)
		},
		"collectors refused by the platform, but for one": func(f *followingFleet) []*node {
			collectors, _ := f.split()
			for _, nd := range collectors[1:] {
				f.clients[nd.address].refuse(true)
			}
			return f.all
		},
		"readers refused by the platform": func(f *followingFleet) []*node {
			_, readers := f.split()
			for _, nd := range readers {
				f.clients[nd.address].refuse(true)
			}
			return f.all
		},
		"readers cut from all instances": func(f *followingFleet) []*node {
			_, readers := f.split()
			for _, nd := range readers[:5] {
				f.setCut(nd.address, true)
			}
			return f.all
		},
		"no copies": func(f *followingFleet) []*node {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.fetchErr = errors.New("503")
			return f.all
		},
		"watches lost in a silence": func(f *followingFleet) []*node {
			f.platform.write()
			time.Sleep(50 * time.Millisecond)
			f.platform.setSilent(true)
			time.Sleep(time.Second)
			f.platform.setSilent(false)
			return f.all
		},
	}
	for name, cause := range faults {
		for instances, limit := range map[int]time.Duration{30: 2 * time.Second, 82: 3 * time.Second, 300: 4 * time.Second} {
			t.Run(fmt.Sprint(instances, " ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFollowing(t, instances, limit)
					alive := cause(f)
					for round := range rounds {
						if took := timeToLearn(alive, f.platform.write(), limit); took > limit {
							t.Errorf("round %d: the last instance learns the version %s after it was written, want at most %s", round, took, limit)
						}
						time.Sleep(500 * time.Millisecond)
					}
				})
			})
		}
	}
}
