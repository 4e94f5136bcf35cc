package gossip_test

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/routingcache"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
	"tanagerwood.dev/router/internal/domain/waitlist"
)

func TestInstancesFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		var nodes []*node
		for i := range 7 {
			nodes = append(nodes, n.start(t, fmt.Sprint("i", i), 1))
		}
		if nodes[0].Joined() {
			t.Error("an instance that has just started must not count as joined")
		}
		time.Sleep(300 * time.Millisecond)
		for _, nd := range nodes {
			if nd.FleetSize() != 7 || !nd.Joined() {
				t.Error(nd.address, nd.FleetSize(), nd.Joined())
			}
			nd.stop()
		}
	})
}

// Guards against placements based on the state of the last period: work and waiting requests must be reported at once.
func TestReportsChangesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a, b := n.start(t, "a", 1), n.start(t, "b", 1)
		time.Sleep(time.Second)
		a.book.Add("e", inflight.Load{Requests: 1, Tokens: 7000})
		a.mu.Lock()
		a.waiting = []waitlist.Request{{Service: "m"}}
		a.mu.Unlock()
		a.TriggerReport()
		time.Sleep(10 * time.Millisecond)
		if got := b.book.TotalAt("e"); got.Tokens != 7000 || b.heardFrom("a") != 1 {
			t.Error("not reported:", got, b.heardFrom("a"))
		}
		a.book.Subtract("e", inflight.Load{Requests: 1, Tokens: 7000})
		a.mu.Lock()
		a.waiting = nil
		a.mu.Unlock()
		a.TriggerReport()
		time.Sleep(10 * time.Millisecond)
		if got := b.book.TotalAt("e"); got != (inflight.Load{}) || b.heardFrom("a") != 0 {
			t.Error("the end was not reported:", got, b.heardFrom("a"))
		}
		a.stop()
		b.stop()
	})
}

// Guards against instances that start at the same time and each admit requests as if they were alone (QUOTA on grown asahan,
// trouble-2).
func TestNewInstancesKnowWhatOthersAdmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		customer := &sharedlimit.Quota{Key: "c", RatePerSecond: 1000, Burst: 20_000}
		n.addCustomer(customer)
		var nodes []*node
		for i := range 40 {
			nodes = append(nodes, n.start(t, fmt.Sprint("i", i), 1))
		}
		var admitted atomic.Int64
		began := time.Now()
		var group sync.WaitGroup
		for _, nd := range nodes {
			group.Go(func() {
				for range 200 {
					time.Sleep(5 * time.Millisecond)
					if !nd.Joined() {
						continue
					}
					nd.RefreshView(nil)
					if ok, _ := nd.limiter.Take(customer, 500, time.Since(start)+30*365*24*time.Hour); ok {
						admitted.Add(500)
						nd.TriggerReport()
					}
				}
			})
		}
		group.Wait()
		accrued := 1000 * time.Since(began).Seconds()
		// The initial half of the burst, the accrued tokens, and one request of each instance that the others learned of late.
		if limit := 10_000 + int64(accrued) + 40*500; admitted.Load() > limit {
			t.Errorf("%d tokens were admitted, want at most %d", admitted.Load(), limit)
		}
		for _, nd := range nodes {
			nd.stop()
		}
	})
}

// Guards against work of dead instances that counts forever, and against stopped instances that keep a share of the rates.
func TestForgetsWorkOfLostInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a, b, c := n.start(t, "a", 1), n.start(t, "b", 1), n.start(t, "c", 1)
		time.Sleep(time.Second)
		b.book.Add("e", inflight.Load{Requests: 1})
		c.book.Add("e", inflight.Load{Requests: 1})
		time.Sleep(time.Second)
		if got := a.book.TotalAt("e").Requests; got != 2 {
			t.Error(got)
		}
		b.stop()
		c.Leave()
		c.stop()
		time.Sleep(100 * time.Millisecond)
		if got := a.book.TotalAt("e").Requests; got != 1 || a.FleetSize() != 2 {
			t.Error("an instance that announces its stop must be forgotten at once:", got, a.FleetSize())
		}
		time.Sleep(3 * time.Second)
		if got := a.book.TotalAt("e").Requests; got != 0 || a.FleetSize() != 2 {
			t.Error("a silent instance must still count, but not its work:", got, a.FleetSize())
		}
		d := n.start(t, "d", 1)
		time.Sleep(time.Minute)
		if a.FleetSize() != 2 {
			t.Error("a silent instance must be forgotten eventually")
		}
		n.mu.Lock()
		if _, listed := n.listed["b"]; listed || n.removals != 1 {
			t.Error("it must be removed from the list exactly once:", n.listed, n.removals)
		}
		n.mu.Unlock()
		d.stop()
		a.stop()
	})
}

// Guards against an instance that starts while the store is unavailable and gets no configuration.
func TestStartsFromSeedsWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a, b := n.start(t, "a", 1), n.start(t, "b", 1)
		a.mirror.ApplySnapshot(routingcache.Snapshot{Config: &routing.Config{Version: 3, Revision: 9}}, "test")
		time.Sleep(time.Second)
		if b.mirror.Table() == nil {
			t.Error("the configuration did not reach an instance that the store does not serve")
		}
		n.mu.Lock()
		n.storeErr = errors.New("the store is unavailable")
		n.mu.Unlock()
		c := n.start(t, "c", 1, "a")
		time.Sleep(300 * time.Millisecond)
		if c.mirror.Table() == nil || !c.Joined() || c.FleetSize() != 3 || b.FleetSize() != 3 {
			t.Error(c.mirror.Table(), c.Joined(), c.FleetSize(), b.FleetSize())
		}
		for _, nd := range []*node{a, b, c} {
			nd.stop()
		}
	})
}

// Guards against messages from before a restart that overwrite newer state.
func TestIgnoresOldMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := n.start(t, "a", 1)
		time.Sleep(time.Second)
		tell := func(incarnation, sequence uint64, requests int) {
			a.Service.HandleMessage(gossip.Message{
				Sender: routing.Instance{Name: "b", Address: "b", Incarnation: incarnation}, Sequence: sequence,
				Work: map[string]inflight.Load{"e": {Requests: requests}},
			})
		}
		tell(2, 5, 3)
		tell(2, 4, 9)
		tell(1, 50, 9)
		if got := a.book.TotalAt("e").Requests; got != 3 {
			t.Error(got)
		}
		tell(3, 1, 1)
		if got := a.book.TotalAt("e").Requests; got != 1 {
			t.Error("a restarted instance begins at sequence 1:", got)
		}
		a.stop()
	})
}

// Guards against requests from other instances to an engine that is changing its stage, and against two instances that both act
// as the leader.
func TestReportsStageTransitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a, b := n.start(t, "a", 1), n.start(t, "b", 1)
		time.Sleep(time.Second)
		if !a.IsLeader() || b.IsLeader() {
			t.Error("is leader:", a.IsLeader(), b.IsLeader())
		}
		a.transitions.Add("p1", routing.Decode, a.Boot()+6*time.Second)
		a.health.RecordFailure("s1", false, a.Boot())
		time.Sleep(time.Second)
		if b.health.FailureRate("s1", b.Boot()) == 0 {
			t.Error("failures are not reported")
		}
		if to, ok := b.transitions.Target("p1", routing.Prefill, b.Boot()); !ok || to != routing.Decode {
			t.Error("not reported:", to, ok)
		}
		a.stop()
		time.Sleep(4 * time.Second)
		if !b.IsLeader() {
			t.Error("there is no leader after the first one has stopped")
		}
		time.Sleep(2 * time.Second)
		if _, ok := b.transitions.Target("p1", routing.Prefill, b.Boot()); ok {
			t.Error("the transition of an instance that has stopped is still in force")
		}
	})
}

// Guards against instances that new ones cannot find, because the platform was restored from a backup without their entries, and
// against a fleet whose instances all register again at the same moment.
func TestRegistersAgainInALaterEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 12
		n := newNetwork()
		for i := range size {
			n.start(t, fmt.Sprint("i", i), 1)
		}
		time.Sleep(3 * time.Second)
		n.mu.Lock()
		clear(n.listed)
		n.era++
		n.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
		if list, _ := n.Instances(t.Context()); len(list) > size/2 {
			t.Error(len(list), "instances registered at once")
		}
		time.Sleep(4 * time.Second)
		if list, _ := n.Instances(t.Context()); len(list) != size {
			t.Error(len(list), "instances are listed")
		}
	})
}
