package quotasync_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagerwood.dev/router/internal/domain/quota"
)

// The body of a synctest bubble must not fail the test of the rapid check, so a schedule returns an error instead.

// faultEvent is one fault of a random schedule. It starts After the one before it.
type faultEvent struct {
	After time.Duration
	Kind  string
	Node  int
	Other int
	For   time.Duration
}

var faultKinds = []string{"kill", "freeze", "restart", "replace-frozen", "leave", "isolate", "cut", "platform-down", "platform-silent",
	"platform-slow", "platform-cut", "lost-reply", "lossy", "restart-all"}

func randomLimits() map[string]quota.Limits {
	return map[string]quota.Limits{
		"asahan": {Rate: 1500, Burst: 5000},
		"bombas": {Rate: 600, Burst: 2500},
	}
}

func drawSchedule(t *rapid.T) []faultEvent {
	event := rapid.Custom(func(t *rapid.T) faultEvent {
		return faultEvent{
			After: time.Duration(rapid.IntRange(0, 8000).Draw(t, "after")) * time.Millisecond,
			Kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Node:  rapid.IntRange(1, 5).Draw(t, "node"),
			Other: rapid.IntRange(1, 5).Draw(t, "other"),
			For:   time.Duration(rapid.IntRange(100, 15000).Draw(t, "for")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(event, 1, 10).Draw(t, "schedule")
}

// inject starts a fault. A fault with a duration is undone after it.
func (fleet *testFleet) inject(event faultEvent) {
	name := fmt.Sprint("router-", event.Node)
	fleet.mu.Lock()
	n := fleet.nodes[name]
	fleet.mu.Unlock()
	withDuration := func(begin, end func()) {
		begin()
		fleet.loads.Go(func() {
			time.Sleep(event.For)
			end()
		})
	}
	platformFault := func(change func(p *fakePlatform, on bool)) {
		withDuration(func() { fleet.platform.update(func(p *fakePlatform) { change(p, true) }) },
			func() { fleet.platform.update(func(p *fakePlatform) { change(p, false) }) })
	}
	switch event.Kind {
	case "kill":
		withDuration(func() { fleet.kill(n) }, func() { fleet.launch(name, "") })
	case "freeze":
		withDuration(n.freeze, n.unfreeze)
	case "restart":
		fleet.kill(n)
		fleet.launch(name, "")
	case "replace-frozen":
		withDuration(func() {
			n.freeze()
			fleet.launch(name, fmt.Sprint("http://", name, "-", n.self.Incarnation))
		}, n.unfreeze)
	case "leave":
		ctx, cancel := context.WithTimeout(context.Background(), event.For)
		fleet.loads.Go(func() {
			defer cancel()
			_ = n.members.Leave(ctx)
			fleet.kill(n)
			fleet.launch(name, "")
		})
	case "isolate":
		withDuration(func() { fleet.network.isolate(name, true) }, func() { fleet.network.isolate(name, false) })
	case "cut":
		other := fmt.Sprint("router-", event.Other)
		withDuration(func() { fleet.network.setCut(name, other, true) }, func() { fleet.network.setCut(name, other, false) })
	case "platform-down":
		platformFault(func(p *fakePlatform, on bool) { p.down = on })
	case "platform-silent":
		platformFault(func(p *fakePlatform, on bool) { p.hanging = on })
	case "platform-slow":
		platformFault(func(p *fakePlatform, on bool) {
			p.latency = 0
			if on {
				p.latency = event.For / 20
			}
		})
	case "platform-cut":
		platformFault(func(p *fakePlatform, on bool) { p.cutOff[name] = on })
	case "lost-reply":
		fleet.platform.update(func(p *fakePlatform) { p.lostReplies++ })
	case "lossy":
		setProbabilities := func(loss, duplicate, mismatch float64) func() {
			return func() {
				fleet.network.mu.Lock()
				defer fleet.network.mu.Unlock()
				fleet.network.loss, fleet.network.duplicate, fleet.network.mismatch = loss, duplicate, mismatch
			}
		}
		withDuration(setProbabilities(0.1, 0.2, 0.1), setProbabilities(0, 0, 0))
	case "restart-all":
		for i := range 5 {
			name := fmt.Sprint("router-", i+1)
			fleet.mu.Lock()
			n := fleet.nodes[name]
			fleet.mu.Unlock()
			fleet.kill(n)
			fleet.launch(name, "")
		}
	}
}

// TestRandomFaults checks that random combinations of the faults never violate the bound. CI uses a fixed seed. Use
// -rapid.seed for another seed and -rapid.checks for more schedules.
func TestRandomFaults(t *testing.T) {
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "20", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		schedule := drawSchedule(rt)
		seed := rapid.Uint64().Draw(rt, "fleet seed")
		var violation error
		withFleet(t, seed, 5, randomLimits(), func(fleet *testFleet) {
			time.Sleep(8 * time.Second)
			// Twice the rate keeps all buckets empty, so that any token in excess violates the bound.
			for name := range randomLimits() {
				fleet.offerLoad(name, 2, 100*time.Millisecond, fleet.pickAnyRunning)
			}
			time.Sleep(10 * time.Second)
			for _, event := range schedule {
				time.Sleep(event.After)
				fleet.inject(event)
			}
			time.Sleep(25 * time.Second)
			violation = fleet.checkAllBounds()
		})
		if violation != nil {
			rt.Fatalf("%v\nschedule: %+v", violation, schedule)
		}
	})
}

// pickAnyRunning picks a random running node, or nil if there is none. Unlike a load balancer it also picks old incarnations
// that still run, because these must not admit requests in excess either.
func (fleet *testFleet) pickAnyRunning() *node {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var up []*node
	for _, n := range fleet.allNodes {
		if !n.killed.Load() && !n.isFrozen() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[int(fleet.rng.float()*float64(len(up)))]
}
