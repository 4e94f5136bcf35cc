package gossip_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	evacuationLimit = 5 * time.Second
	evacuatedDomain = "klang"
)

// evacuationStore holds the entry of one evacuated domain.
type evacuationStore struct {
	mu       sync.Mutex
	revision uint64
	entry    uint64
	wake     chan struct{}
	calls    int
	// rejects reports whether calls of an instance fail, silent whether calls that arrive are never answered.
	rejects func(instance string) bool
	silent  bool
}

func newEvacuationStore() *evacuationStore {
	return &evacuationStore{revision: 1, wake: make(chan struct{}), rejects: func(string) bool { return false }}
}

// set begins or ends the evacuation.
func (s *evacuationStore) set(evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entry = 0
	if evacuated {
		s.entry = s.revision
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

func (s *evacuationStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

func (s *evacuationStore) countCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// evacuationClient is the client of one instance.
type evacuationClient struct {
	*evacuationStore
	instance string
}

// call counts a call and fails if the instance gets no answer.
func (c evacuationClient) call(ctx context.Context, timeout time.Duration) error {
	c.mu.Lock()
	c.calls++
	silent := c.silent
	rejected := c.rejects(c.instance)
	c.mu.Unlock()
	switch {
	case rejected:
		return errors.New("rejected")
	case !silent:
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(timeout):
		return context.DeadlineExceeded
	}
}

func (c evacuationClient) ListEvacuations(ctx context.Context) ([]routing.Evacuation, uint64, error) {
	if err := c.call(ctx, answerGrace); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entry == 0 {
		return nil, c.revision, nil
	}
	return []routing.Evacuation{{Domain: evacuatedDomain, Revision: c.entry}}, c.revision, nil
}

func (c evacuationClient) WatchEvacuations(ctx context.Context, since uint64, wait time.Duration) ([]routing.EvacuationChange, uint64, error) {
	if err := c.call(ctx, wait+answerGrace); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		revision, entry, wake := c.revision, c.entry, c.wake
		c.mu.Unlock()
		if revision > since {
			return []routing.EvacuationChange{{Evacuation: routing.Evacuation{Domain: evacuatedDomain, Revision: entry}, Ended: entry == 0}}, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, revision, nil
		case <-wake:
		}
	}
}

// startEvacuable starts instances with a store of evacuations and waits until they know each other.
func startEvacuable(t *testing.T, n *network, instances int) (nodes []*node) {
	for i := range instances {
		nd := n.start(t, fmt.Sprint("i", i), 1)
		go nd.mirror.Run(t.Context())
		nodes = append(nodes, nd)
	}
	time.Sleep(10 * time.Second)
	return nodes
}

// expectEvacuated fails the test for each instance that does not have the evacuation in force, or ended, within the limit.
func expectEvacuated(t *testing.T, nodes []*node, evacuated bool, within time.Duration) {
	t.Helper()
	time.Sleep(within)
	wrong := 0
	for _, nd := range nodes {
		if nd.mirror.IsEvacuated(evacuatedDomain) != evacuated {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d instances do not have the evacuation in state %t", wrong, len(nodes), evacuated)
	}
}

// Guards against requests to an evacuated domain from instances that the store does not answer, and against evacuations that the others end
// late: instances hear of both from each other, if any of them is answered.
func TestEvacuationReachesInstancesThatTheStoreRejects(t *testing.T) {
	for _, instances := range []int{2, 8, 75} {
		for name, rejects := range map[string]func(nodes []*node) func(string) bool{
			"none": func([]*node) func(string) bool { return func(string) bool { return false } },
			"all but one": func([]*node) func(string) bool {
				return func(instance string) bool {
					return instance != "i1" && instances <= 8 || instance[len(instance)-1] > '1'
				}
			},
			"the collectors": func(nodes []*node) func(string) bool {
				collectors := map[string]bool{}
				for _, nd := range nodes {
					collectors[nd.address] = nd.IsCollector() && instances > 8
				}
				return func(instance string) bool { return collectors[instance] }
			},
		} {
			t.Run(fmt.Sprint(instances, " ", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork()
					n.evacuations = newEvacuationStore()
					nodes := startEvacuable(t, n, instances)
					rejected := rejects(nodes)
					n.evacuations.mu.Lock()
					n.evacuations.rejects = rejected
					n.evacuations.mu.Unlock()
					time.Sleep(10 * time.Second)
					for _, evacuated := range []bool{true, false, true} {
						n.evacuations.set(evacuated)
						expectEvacuated(t, nodes, evacuated, evacuationLimit)
					}
				})
			})
		}
	}
}

// Guards against an evacuation that no instance learns because the store has lost the watches of all of them.
func TestEvacuationAfterTheWatchesWereLost(t *testing.T) {
	for _, instances := range []int{1, 8, 75} {
		for run := range 5 {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				n.evacuations = newEvacuationStore()
				nodes := startEvacuable(t, n, instances)
				n.evacuations.setSilent(true)
				time.Sleep(time.Duration(run+1) * 700 * time.Millisecond)
				n.evacuations.setSilent(false)
				n.evacuations.set(true)
				expectEvacuated(t, nodes, true, evacuationLimit)
			})
		}
	}
}

// Guards against an instance whose collectors are of an earlier version, which pass nothing on, and that waits for them.
func TestEvacuationDuringARollingUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		startEvacuable(t, n, 30)
		n.evacuations = newEvacuationStore()
		var updated []*node
		for i := range 10 {
			nd := n.start(t, fmt.Sprint("new", i), 1)
			go nd.mirror.Run(t.Context())
			updated = append(updated, nd)
		}
		time.Sleep(10 * time.Second)
		for _, evacuated := range []bool{true, false} {
			n.evacuations.set(evacuated)
			expectEvacuated(t, updated, evacuated, evacuationLimit)
		}
	})
}

// Guards against an instance that starts during an evacuation and serves before it knows of it, or never knows of it because the store
// rejects it.
func TestStartDuringAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.evacuations = newEvacuationStore()
		n.evacuations.rejects = func(instance string) bool { return instance == "late" }
		startEvacuable(t, n, 30)
		n.evacuations.set(true)
		time.Sleep(evacuationLimit)
		late := n.start(t, "late", 1)
		go late.mirror.Run(t.Context())
		for range 300 {
			if late.mirror.EvacuationsKnown() && !late.mirror.IsEvacuated(evacuatedDomain) {
				t.Fatal("the instance serves without the evacuation")
			}
			time.Sleep(10 * time.Millisecond)
		}
		expectEvacuated(t, []*node{late}, true, 0)
	})
}

// Guards against calls for evacuations that grow with the number of instances.
func TestEvacuationsCostFewCalls(t *testing.T) {
	for instances, most := range map[int]float64{1: 1, 8: 4, 300: 2.5} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork()
			n.evacuations = newEvacuationStore()
			startEvacuable(t, n, instances)
			before := n.evacuations.countCalls()
			t.Logf("%d instances: %d calls at their start", instances, before)
			time.Sleep(time.Minute)
			perSecond := float64(n.evacuations.countCalls()-before) / time.Minute.Seconds()
			t.Logf("%d instances: %.1f calls a second", instances, perSecond)
			if perSecond > most {
				t.Errorf("%d instances: %.1f calls a second, want at most %.1f", instances, perSecond, most)
			}
		})
	}
}
