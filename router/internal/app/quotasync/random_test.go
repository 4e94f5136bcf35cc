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

// A schedule runs in a synctest bubble, whose body must not end the test of the rapid check; it returns an error instead.

// disturbance is one fault of a random schedule.
type disturbance struct {
	After time.Duration
	Kind  string
	Node  int
	Other int
	For   time.Duration
}

var kinds = []string{"kill", "freeze", "restart", "replace-frozen", "leave", "isolate", "cut", "platform-down", "platform-silent",
	"platform-slow", "platform-cut", "lost-reply", "lossy", "restart-all"}

func randomLimits() map[string]quota.Limits {
	return map[string]quota.Limits{
		"asahan": {Rate: 1500, Burst: 5000},
		"bombas": {Rate: 600, Burst: 2500},
	}
}

func drawSchedule(t *rapid.T) []disturbance {
	one := rapid.Custom(func(t *rapid.T) disturbance {
		return disturbance{
			After: time.Duration(rapid.IntRange(0, 8000).Draw(t, "after")) * time.Millisecond,
			Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
			Node:  rapid.IntRange(1, 5).Draw(t, "node"),
			Other: rapid.IntRange(1, 5).Draw(t, "other"),
			For:   time.Duration(rapid.IntRange(100, 15000).Draw(t, "for")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 1, 10).Draw(t, "schedule")
}

// apply starts a disturbance; one with a duration ends by itself.
func (w *world) apply(d disturbance) {
	name := fmt.Sprint("router-", d.Node)
	w.mu.Lock()
	n := w.nodes[name]
	w.mu.Unlock()
	until := func(begin, end func()) {
		begin()
		w.load.Go(func() {
			time.Sleep(d.For)
			end()
		})
	}
	platform := func(change func(p *fakePlatform, on bool)) {
		until(func() { w.platform.set(func(p *fakePlatform) { change(p, true) }) },
			func() { w.platform.set(func(p *fakePlatform) { change(p, false) }) })
	}
	switch d.Kind {
	case "kill":
		until(func() { w.kill(n) }, func() { w.launch(name, "") })
	case "freeze":
		until(n.freeze, n.wake)
	case "restart":
		w.kill(n)
		w.launch(name, "")
	case "replace-frozen":
		until(func() {
			n.freeze()
			w.launch(name, fmt.Sprint("http://", name, "-", n.self.Incarnation))
		}, n.wake)
	case "leave":
		ctx, cancel := context.WithTimeout(context.Background(), d.For)
		w.load.Go(func() {
			defer cancel()
			_ = n.members.Leave(ctx)
			w.kill(n)
			w.launch(name, "")
		})
	case "isolate":
		until(func() { w.net.isolate(name, true) }, func() { w.net.isolate(name, false) })
	case "cut":
		other := fmt.Sprint("router-", d.Other)
		until(func() { w.net.cut(name, other, true) }, func() { w.net.cut(name, other, false) })
	case "platform-down":
		platform(func(p *fakePlatform, on bool) { p.down = on })
	case "platform-silent":
		platform(func(p *fakePlatform, on bool) { p.silent = on })
	case "platform-slow":
		platform(func(p *fakePlatform, on bool) {
			p.latency = 0
			if on {
				p.latency = d.For / 20
			}
		})
	case "platform-cut":
		platform(func(p *fakePlatform, on bool) { p.cutOff[name] = on })
	case "lost-reply":
		w.platform.set(func(p *fakePlatform) { p.lostReplies++ })
	case "lossy":
		set := func(loss, double, crossed float64) func() {
			return func() {
				w.net.mu.Lock()
				defer w.net.mu.Unlock()
				w.net.loss, w.net.double, w.net.crossed = loss, double, crossed
			}
		}
		until(set(0.1, 0.2, 0.1), set(0, 0, 0))
	case "restart-all":
		for i := range 5 {
			name := fmt.Sprint("router-", i+1)
			w.mu.Lock()
			n := w.nodes[name]
			w.mu.Unlock()
			w.kill(n)
			w.launch(name, "")
		}
	}
}

// TestRandomFaults guards the bound under any combination of the faults. CI uses a fixed seed; another one is given with
// -rapid.seed, more schedules with -rapid.checks.
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
		seed := rapid.Uint64().Draw(rt, "world seed")
		var violation error
		inWorld(t, seed, 5, randomLimits(), func(w *world) {
			time.Sleep(8 * time.Second)
			// Several times the rate keeps all buckets empty and every token that exists too much visible.
			for name := range randomLimits() {
				w.send(name, 2, 100*time.Millisecond, w.anyRunning)
			}
			time.Sleep(10 * time.Second)
			for _, d := range schedule {
				time.Sleep(d.After)
				w.apply(d)
			}
			time.Sleep(25 * time.Second)
			violation = w.violation()
		})
		if violation != nil {
			rt.Fatalf("%v\nschedule: %+v", violation, schedule)
		}
	})
}

// anyRunning also picks old incarnations that still run, which no balancer would do, because they must not admit either.
func (w *world) anyRunning() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var up []*node
	for _, n := range w.all {
		if !n.dead.Load() && !n.isFrozen() {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[int(w.rng.float()*float64(len(up)))]
}
