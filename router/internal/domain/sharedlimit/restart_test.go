package sharedlimit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"tanagerwood.dev/router/internal/domain/sharedlimit"
)

// tolerance and the quotas define the most that a customer may be admitted in any window.
var tolerance = sharedlimit.Tolerance{Window: 8 * time.Second, Overage: 0.1, Slack: 73_000}

const (
	// requestCost is the cost of each request of the load tests in tokens.
	requestCost = 5270
	simStep     = 5 * time.Millisecond
	// simCollectors is the number of collectors in a fleet of more than simMeshSize instances. The others read views.
	simCollectors, simMeshSize = 5, 10
	simPeriod                  = 500 * time.Millisecond
	// lateViews is the part of the requests before which no view arrives in time.
	lateViews = 0.1
)

// simCustomer is a customer of a simulated fleet, with the true level of its bucket and what it was admitted.
type simCustomer struct {
	*sharedlimit.Quota
	// load is what it sends as a multiple of its rate.
	load     float64
	level    float64
	admitted map[time.Duration]int64
	// requests counts all requests, wrongly those that were refused although the bucket held their cost.
	requests, wrongly int
}

// simInstance is an instance of a simulated fleet.
type simInstance struct {
	*sharedlimit.Limiter
	name        string
	incarnation uint64
}

// simFleet is a fleet without a network. Reports take a step; instances learn of each other as in package gossip.
type simFleet struct {
	now       time.Duration
	random    *rand.Rand
	instances []*simInstance
	customers []*simCustomer
	started   uint64
}

func (f *simFleet) find(key string) *sharedlimit.Quota {
	for _, c := range f.customers {
		if c.Key == key {
			return c.Quota
		}
	}
	return nil
}

// restart replaces all instances by new ones, which know no totals of each other.
func (f *simFleet) restart(count int) {
	f.started++
	f.instances = nil
	for i := range count {
		in := &simInstance{Limiter: sharedlimit.New(f.find), name: fmt.Sprint("i", i), incarnation: f.started}
		in.SetTolerance(tolerance)
		in.Begin(f.now)
		in.SetSilenceTimeout(3 * simPeriod)
		f.instances = append(f.instances, in)
	}
	for i, in := range f.instances {
		for j, other := range f.instances {
			if i != j && f.collects(i) {
				in.AddPeer(other.name)
			}
		}
	}
	f.report()
}

// collects reports whether the instance with the index receives reports.
func (f *simFleet) collects(i int) bool {
	return len(f.instances) <= simMeshSize || i < simCollectors
}

// report sends the full state of all instances, and then views to the readers.
func (f *simFleet) report() {
	for i := range f.instances {
		f.reportOf(i, false)
	}
	for i := range f.instances {
		f.view(i)
	}
}

func (f *simFleet) reportOf(i int, partial bool) {
	from := f.instances[i]
	spent := from.LocalSpent()
	for j, to := range f.instances {
		if j != i && f.collects(j) {
			to.ApplyReport(from.name, from.incarnation, spent, nil, partial, f.now)
			to.ConfirmUpToDate(from.name, from.incarnation, f.now)
		}
	}
}

// view sends a view to a reader.
func (f *simFleet) view(i int) {
	if f.collects(i) {
		return
	}
	from := f.instances[i%simCollectors]
	f.instances[i].ApplyAggregate(sharedlimit.AggregateReport{Source: from.name, Incarnation: from.incarnation,
		Instances: len(f.instances) - 1, Spent: from.SpentExcluding(f.instances[i].name), Levels: from.BucketLevels(f.now)}, f.now)
}

// run plays the load of all customers. Requests reach random instances.
func (f *simFleet) run(length time.Duration) {
	for end := f.now + length; f.now < end; {
		f.pass(simStep)
		for _, c := range f.customers {
			for p := c.load * c.RatePerSecond / requestCost * simStep.Seconds(); p > 0; p-- {
				if f.random.Float64() < p {
					f.request(c, f.random.IntN(len(f.instances)))
				}
			}
		}
		if f.now%simPeriod == 0 {
			f.report()
		}
	}
}

// pass lets time pass without requests.
func (f *simFleet) pass(d time.Duration) {
	f.now += d
	for _, c := range f.customers {
		c.level = min(c.Burst, c.level+d.Seconds()*c.RatePerSecond)
	}
}

func (f *simFleet) request(c *simCustomer, i int) {
	in := f.instances[i]
	if f.random.Float64() < lateViews {
		in.MarkAggregateSilent()
	} else {
		f.view(i)
	}
	c.requests++
	ok, _ := in.Take(c.Quota, requestCost, f.now)
	switch {
	case ok:
		c.level -= requestCost
		c.admitted[f.now] += requestCost
		f.reportOf(i, true)
	case c.level >= requestCost:
		c.wrongly++
	}
}

// excess returns how much more than the rule allows was admitted in the worst window.
func (c *simCustomer) excess(end time.Duration) int64 {
	allowed := int64((c.RatePerSecond*tolerance.Window.Seconds()+c.Burst)*(1+tolerance.Overage) + tolerance.Slack)
	worst, sum := int64(0), int64(0)
	for at := time.Duration(0); at <= end; at += simStep {
		sum += c.admitted[at] - c.admitted[at-tolerance.Window]
		worst = max(worst, sum)
	}
	return worst - allowed
}

// Guards against refusals of requests that the unused allowance of their customer would have covered, and against a burst that each
// restart of all instances hands out again.
func TestRestartsOfAllInstances(t *testing.T) {
	for _, count := range []int{8, 82} {
		for _, down := range []time.Duration{200 * time.Millisecond, 3300 * time.Millisecond} {
			t.Run(fmt.Sprint(count, " ", down), func(t *testing.T) {
				f := &simFleet{now: 100 * time.Second, random: rand.New(rand.NewPCG(1, uint64(count)))}
				f.customers = []*simCustomer{
					newSimCustomer("six times its rate", 180_000, 180_000, 6),
					newSimCustomer("six times its rate, large burst", 60_000, 600_000, 6),
					newSimCustomer("usual", 180_000, 180_000, 0.67),
					newSimCustomer("rare requests, small burst", 3_000, 9_000, 0.3),
				}
				f.restart(count)
				f.run(30 * time.Second)
				for range 5 {
					f.idle(12 * time.Second)
					f.run(4 * time.Second)
					f.pass(down)
					f.restart(count)
					f.run(8 * time.Second)
				}
				f.check(t)
			})
		}
	}
}

// Guards against a new bucket with more than half of the burst where the tolerance is unknown.
func TestInitialLevelWithoutATolerance(t *testing.T) {
	q := newSimCustomer("c", 60_000, 100_000, 1).Quota
	l := sharedlimit.New(func(string) *sharedlimit.Quota { return q })
	l.Begin(time.Second)
	if ok, _ := l.Take(q, 50_000, time.Second); !ok {
		t.Error("half of the burst was refused")
	}
	if ok, _ := l.Take(q, 1, time.Second); ok {
		t.Error("more than half of the burst was admitted")
	}
}

// idle lets time pass without requests but with reports.
func (f *simFleet) idle(length time.Duration) {
	for end := f.now + length; f.now < end; {
		f.pass(simStep)
		if f.now%simPeriod == 0 {
			f.report()
		}
	}
}

func (f *simFleet) check(t *testing.T) {
	t.Helper()
	for _, c := range f.customers {
		excess := c.excess(f.now)
		t.Logf("%s: %d of %d requests wrongly refused, excess %d", c.Key, c.wrongly, c.requests, excess)
		if excess > 0 {
			t.Errorf("%s: admitted %d tokens more than the rule allows in a window", c.Key, excess)
		}
		if c.load <= 1 && c.wrongly > 0 {
			t.Errorf("%s: %d of %d requests refused although the customer had the tokens left", c.Key, c.wrongly, c.requests)
		}
	}
}

func newSimCustomer(key string, rate, burst, load float64) *simCustomer {
	q := &sharedlimit.Quota{Key: key, RatePerSecond: rate, Burst: burst, Standing: true, CountsTokens: true}
	return &simCustomer{Quota: q, load: load, level: burst, admitted: map[time.Duration]int64{}}
}
