package mirror_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/mirror"
)

// store is a platform that can come back from a copy: positions rise, but its state goes back.
type store struct {
	mu        sync.Mutex
	era       uint64
	number    uint64
	version   uint64
	endpoints map[string]routing.Endpoint
	changes   []storeChange
	wake      chan struct{}
}

type storeChange struct {
	number   uint64
	endpoint routing.EndpointChange
}

func newStore() *store {
	return &store{number: 1, version: 1, endpoints: map[string]routing.Endpoint{}, wake: make(chan struct{})}
}

func (s *store) write(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.number++
	do()
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *store) put(e routing.Endpoint) {
	s.write(func() {
		s.endpoints[e.ID] = e
		s.changes = append(s.changes, storeChange{s.number, routing.EndpointChange{ID: e.ID, Endpoint: &e}})
	})
}

func (s *store) remove(id string) {
	s.write(func() {
		delete(s.endpoints, id)
		s.changes = append(s.changes, storeChange{s.number, routing.EndpointChange{ID: id}})
	})
}

// restore goes back to what copied returned.
func (s *store) restore(c *store) {
	s.write(func() {
		s.era++
		s.number, s.version, s.changes = c.number, c.version, append([]storeChange{}, c.changes...)
		s.endpoints = c.endpoints
	})
}

func (s *store) copied() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &store{number: s.number, version: s.version, endpoints: map[string]routing.Endpoint{}, changes: append([]storeChange{}, s.changes...)}
	for id, e := range s.endpoints {
		c.endpoints[id] = e
	}
	return c
}

func (s *store) config() *routing.Config {
	return &routing.Config{Version: s.version, Revision: routing.Revision(s.era, s.number)}
}

func (s *store) ReadConfig(context.Context) (*routing.Config, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config(), routing.Revision(s.era, s.number), nil
}

func (s *store) ListEndpoints(context.Context) ([]routing.Endpoint, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []routing.Endpoint
	for _, e := range s.endpoints {
		out = append(out, e)
	}
	return out, routing.Revision(s.era, s.number), nil
}

// wait blocks until the store is past the revision, and fails if that is of an earlier era.
func (s *store) wait(ctx context.Context, since uint64, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		era, number, wake := s.era, s.number, s.wake
		s.mu.Unlock()
		switch {
		case era != routing.Era(since):
			return routing.ErrGone
		case number > routing.Number(since):
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case <-wake:
		}
	}
}

func (s *store) WatchConfig(ctx context.Context, since uint64, wait time.Duration) (*routing.Config, uint64, error) {
	if err := s.wait(ctx, since, wait); err != nil {
		return nil, 0, err
	}
	return s.ReadConfig(ctx)
}

func (s *store) WatchEndpoints(ctx context.Context, since uint64, wait time.Duration) ([]routing.EndpointChange, uint64, error) {
	if err := s.wait(ctx, since, wait); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != routing.Era(since) {
		return nil, 0, routing.ErrGone
	}
	var out []routing.EndpointChange
	for _, c := range s.changes {
		if c.number > routing.Number(since) {
			out = append(out, c.endpoint)
		}
	}
	return out, routing.Revision(s.era, s.number), nil
}

func follow(t *testing.T, s *store) *mirror.Mirror {
	t.Helper()
	began := time.Now()
	m := mirror.New(s, limits, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, func() time.Duration { return time.Since(began) + time.Hour })
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.Run(ctx)
	return m
}

// Guards against what was acknowledged and is undone when the store comes back from a copy: an older configuration with keys that
// were withdrawn, requests to endpoints that are leaving or gone, and new writes that are ignored because their revisions are lower.
func TestStoreComesBackFromACopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		for _, id := range []string{"stays", "leaves", "goes", "comes"} {
			if id != "comes" {
				s.put(routing.Endpoint{ID: id, Born: 1})
			}
		}
		m := follow(t, s)
		time.Sleep(time.Second)
		copied := s.copied()
		s.write(func() { s.version = 5 })
		s.put(routing.Endpoint{ID: "leaves", Born: 1, Leaving: true})
		s.remove("goes")
		s.put(routing.Endpoint{ID: "comes", Born: 1})
		time.Sleep(3 * time.Second)
		s.restore(copied)
		time.Sleep(time.Second)
		byID := m.Endpoints().ByID
		if _, gone := byID["goes"]; gone || !byID["leaves"].Leaving || len(byID) != 3 || m.Table().Config.Version != 5 {
			t.Fatal(byID, m.Table().Config.Version)
		}
		// What was written is written again, and then something new.
		s.write(func() { s.version = 5 })
		s.put(routing.Endpoint{ID: "comes", Born: 1})
		s.put(routing.Endpoint{ID: "goes", Born: 2})
		s.write(func() { s.version = 6 })
		time.Sleep(3 * time.Second)
		byID = m.Endpoints().ByID
		if len(byID) != 4 || byID["goes"].Born != 2 || !byID["leaves"].Leaving || m.Table().Config.Version != 6 {
			t.Fatal(byID, m.Table().Config.Version)
		}
		s.put(routing.Endpoint{ID: "leaves", Born: 3})
		time.Sleep(time.Second)
		if byID = m.Endpoints().ByID; byID["leaves"].Leaving {
			t.Fatal("a new start counts as leaving")
		}
	})
}

// Guards against an endpoint that is never used again, because it was gone for a while when the store came back.
func TestEndpointOfACopyReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.put(routing.Endpoint{ID: "a", Born: 1})
		m := follow(t, s)
		time.Sleep(time.Second)
		copied := s.copied()
		s.remove("a")
		time.Sleep(time.Second)
		s.restore(copied)
		time.Sleep(5 * time.Second)
		if len(m.Endpoints().ByID) != 0 {
			t.Fatal("an endpoint that is gone is used")
		}
		time.Sleep(6 * time.Second)
		if len(m.Endpoints().ByID) != 1 {
			t.Fatal("an endpoint that is alive is not used")
		}
	})
}

// Guards, over random schedules of writes, restores and passing on between instances, against configurations that go back, endpoints that
// serve again though they were leaving or gone and were not written again, and states that are not in force in the end.
func TestErasAtRandom(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playEras(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func playEras(t *testing.T, random *rand.Rand) {
	s := newStore()
	instances := []*mirror.Mirror{follow(t, s), follow(t, s), follow(t, s)}
	time.Sleep(time.Second)
	last, starts := map[*mirror.Mirror]uint64{}, int64(0)
	copied, version := s.copied(), uint64(1)
	truth := map[string]routing.Endpoint{}
	write := func(id string) {
		e := truth[id]
		s.put(e)
	}
	for range 60 {
		id := fmt.Sprint("e", random.IntN(4))
		switch random.IntN(8) {
		case 0, 1:
			version += 1 + random.Uint64N(3)
			s.write(func() { s.version = version })
		case 2, 3:
			starts++
			truth[id] = routing.Endpoint{ID: id, Born: starts}
			write(id)
		case 4:
			if e, known := truth[id]; known {
				e.Leaving = true
				truth[id] = e
				write(id)
			}
		case 5:
			copied = s.copied()
		case 6:
			a, b := random.IntN(3), random.IntN(3)
			instances[a].Adopt(instances[b].Copy(), "peer")
		case 7:
			s.restore(copied)
			copied = s.copied()
			time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
			s.write(func() { s.version = version })
			for id := range truth {
				write(id)
			}
		}
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		for i, m := range instances {
			if now := m.Table().Config.Version; now < last[m] {
				t.Fatalf("instance %d went back from version %d to %d", i, last[m], now)
			} else {
				last[m] = now
			}
		}
	}
	time.Sleep(13 * time.Second)
	for i, m := range instances {
		if now := m.Table().Config.Version; now != version {
			t.Errorf("instance %d has version %d, the last one is %d", i, now, version)
		}
		for id, want := range truth {
			if got := m.Endpoints().ByID[id]; got != want {
				t.Errorf("instance %d has %+v, written was %+v", i, got, want)
			}
		}
	}
}
