package gossip_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
)

// fleet is a number of instances that start within 300 ms of each other.
type fleet struct {
	*network
	all []*node
}

func startFleet(t *testing.T, size int) *fleet {
	t.Helper()
	f := &fleet{network: newNetwork()}
	for i := range size {
		f.all = append(f.all, f.start(t, fmt.Sprintf("i%03d", i), 1))
		time.Sleep(300 * time.Millisecond / time.Duration(size))
	}
	return f
}

func (f *fleet) stop() {
	for _, nd := range f.all {
		nd.stop()
	}
}

// collectors splits the instances into collectors and readers.
func (f *fleet) collectors() (collectors, readers []*node) {
	for _, nd := range f.all {
		if nd.IsCollector() {
			collectors = append(collectors, nd)
		} else {
			readers = append(readers, nd)
		}
	}
	return collectors, readers
}

// sees reports whether the work that one instance begins is known to another one when that one places its next request.
func sees(from, to *node, endpoint string) bool {
	from.book.Add(endpoint, inflight.Load{Requests: 1, Tokens: 5000})
	from.TriggerReport()
	time.Sleep(10 * time.Millisecond)
	to.RefreshView(nil)
	known := to.book.TotalAt(endpoint).Requests == 1
	from.book.Subtract(endpoint, inflight.Load{Requests: 1, Tokens: 5000})
	from.TriggerReport()
	time.Sleep(10 * time.Millisecond)
	return known
}

// checkVisibility checks that pairs of instances from the whole list know each other's work.
func (f *fleet) checkVisibility(t *testing.T, among []*node) {
	t.Helper()
	for i := range 12 {
		from, to := among[i*len(among)/12], among[(i*7+5)*len(among)/100%len(among)]
		if from != to && !sees(from, to, fmt.Sprint("e", i)) {
			t.Errorf("the work of %s is not known at %s", from.address, to.address)
		}
	}
}

// Guards against a cost per instance that grows with the fleet: at 295 instances, messages took most of their processor time.
func TestCostOfAnInstanceIsFlat(t *testing.T) {
	cost := func(size int) (median int) {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, size)
			time.Sleep(30 * time.Second)
			f.mu.Lock()
			clear(f.datagrams)
			f.mu.Unlock()
			for range 10 {
				for _, nd := range f.all[:size/10] { // one request per second and ten instances
					nd.book.Add("e", inflight.Load{Requests: 1})
					nd.TriggerReport()
				}
				time.Sleep(time.Second)
			}
			var passed []int
			f.mu.Lock()
			for _, n := range f.datagrams {
				passed = append(passed, n)
			}
			f.mu.Unlock()
			slices.Sort(passed)
			median = passed[len(passed)/2]
			f.stop()
		})
		return median
	}
	small, large := cost(30), cost(300)
	if large > small {
		t.Errorf("datagrams of an instance in 10 s: %d of 30, %d of 300", small, large)
	}
}

// Guards against separate groups that do not know of each other. They form when instances that start together know only those
// that were listed before them.
func TestInstancesThatStartTogetherAgreeOnCollectors(t *testing.T) {
	for _, size := range []int{2, 10, 11, 60, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, size)
			time.Sleep(3 * time.Second)
			collectors, _ := f.collectors()
			if want := map[bool]int{true: size, false: 5}[size <= 10]; len(collectors) != want {
				t.Errorf("%d of %d instances are collectors", len(collectors), size)
			}
			for _, nd := range f.all {
				if nd.FleetSize() != size || !nd.Joined() {
					t.Error(nd.address, "knows", nd.FleetSize(), "joined", nd.Joined())
				}
			}
			f.checkVisibility(t, f.all)
			f.stop()
		})
	}
}

// Guards against a fleet without any shared state after all collectors are lost at once.
func TestLostCollectorsAreReplaced(t *testing.T) {
	for _, planned := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, 300)
			time.Sleep(10 * time.Second)
			lost, rest := f.collectors()
			for _, nd := range lost {
				if planned {
					nd.Leave()
				}
				nd.stop()
				f.setCut(nd.address, true)
			}
			time.Sleep(10 * time.Second)
			collectors, _ := f.collectors()
			if len(collectors)-len(lost) != 5 {
				t.Error(len(collectors)-len(lost), "new collectors")
			}
			f.checkVisibility(t, rest)
			for _, nd := range lost { // restart them
				f.setCut(nd.address, false)
				f.start(t, nd.address, 2)
			}
			time.Sleep(10 * time.Second)
			f.checkVisibility(t, rest)
			f.stop()
		})
	}
}

// Guards against an outage after all instances were killed, because each one waits for the others.
func TestFleetIsBackSoonAfterAllWereKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 300)
		time.Sleep(5 * time.Second)
		var again []*node
		for _, nd := range f.all {
			nd.stop()
		}
		time.Sleep(time.Second)
		for _, nd := range f.all {
			again = append(again, f.start(t, nd.address, 2))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		for _, nd := range again {
			if !nd.Joined() {
				t.Error(nd.address, "has not joined")
			}
		}
		f.checkVisibility(t, again)
		for _, nd := range again {
			nd.stop()
		}
	})
}

// Guards against two instances with the same name that answer each other's messages endlessly.
func TestIgnoresInstancesOfItsOwnName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		a := n.start(t, "a", 1)
		time.Sleep(time.Second)
		a.HandleMessage(gossip.Message{Sender: routing.Instance{Name: "a", Address: "a", Incarnation: 2}, ViewFor: "a"})
		a.HandleMessage(gossip.Message{Sender: routing.Instance{Name: "a", Address: "a", Incarnation: 2}, Sequence: 1, ReportNumber: 1})
		time.Sleep(time.Second)
		if a.FleetSize() != 1 || n.datagrams["a"] != 0 {
			t.Error("size", a.FleetSize(), "messages", n.datagrams["a"])
		}
		a.stop()
	})
}

// Guards against a fleet that stays split after the links between its parts are back.
func TestSeparatedPartsMeetAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 120)
		time.Sleep(10 * time.Second)
		collectors, _ := f.collectors()
		apart := map[string]bool{}
		for _, nd := range slices.Concat(collectors[:3], f.all[:40]) {
			apart[nd.address] = true
		}
		f.mu.Lock()
		f.separated = func(a, b string) bool { return apart[a] != apart[b] }
		f.mu.Unlock()
		time.Sleep(15 * time.Second)
		var far []*node
		for _, nd := range f.all {
			if apart[nd.address] {
				far = append(far, nd)
			}
		}
		f.checkVisibility(t, far)
		f.mu.Lock()
		f.separated = func(string, string) bool { return false }
		f.mu.Unlock()
		time.Sleep(15 * time.Second)
		f.checkVisibility(t, f.all)
		if collectors, _ := f.collectors(); len(collectors) != 5 {
			t.Error(len(collectors), "collectors")
		}
		f.stop()
	})
}

// Guards against a customer that exceeds its rate: 300 instances admit far more requests than the rate allows, also while the
// collectors change.
func TestFleetKeepsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 300)
		time.Sleep(5 * time.Second)
		customer := &sharedlimit.Quota{Key: "c", RatePerSecond: 20_000, Burst: 20_000}
		f.addCustomer(customer)
		var admitted atomic.Int64
		began := time.Now()
		var group sync.WaitGroup
		collectors, readers := f.collectors()
		for i, nd := range readers {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				for time.Since(began) < 20*time.Second {
					nd.RefreshView(nil)
					if ok, _ := nd.limiter.Take(customer, 500, nd.Boot()); ok {
						admitted.Add(500)
						nd.TriggerReport()
					}
					time.Sleep(time.Second)
				}
			})
		}
		time.Sleep(5 * time.Second)
		for _, nd := range collectors[:4] {
			nd.stop()
			f.setCut(nd.address, true)
		}
		group.Wait()
		accrued := customer.RatePerSecond * time.Since(began).Seconds()
		// A second of the rate may be admitted beyond it while the collectors change.
		if limit := customer.Burst + accrued + customer.RatePerSecond; float64(admitted.Load()) > limit {
			t.Errorf("%d tokens were admitted, want at most %.0f", admitted.Load(), limit)
		}
		if float64(admitted.Load()) < 0.7*accrued {
			t.Errorf("%d tokens were admitted of %.0f that accrued", admitted.Load(), accrued)
		}
		f.stop()
	})
}
