package quotasync_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/adapter/peerhttp"
	"tanagerwood.dev/router/internal/app/quotasync"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/roster"
)

// newAdmission returns an admission on the real clock at the first of the members.
func newAdmission(lender quotasync.Lenders, members []peer.Member, self int, limits []catalogue.Customer) (*quotasync.Admission, *config.Snapshot) {
	m := &fixedMembers{self: members[self], views: (*roster.Views)(nil).With(-time.Hour, false, [][]peer.Member{members})}
	m.confirmed.Store(true)
	conf := &fakeConfig{}
	conf.snapshot.Store(config.New(1, catalogue.Catalogue{Customers: limits}))
	a := quotasync.New(quotasync.Dependencies{Members: m, Lenders: lender, Clock: clock.System{}, Config: conf,
		Events: event.NewLog("a", "1", 1024, time.Now), Metrics: metrics.NewRegistry()})
	return a, conf.Current()
}

func customers(n int, rate, burst int64) []catalogue.Customer {
	list := make([]catalogue.Customer, n)
	for i := range list {
		list[i] = catalogue.Customer{Name: fmt.Sprint("customer-", i), RateTokens: rate, BurstTokens: burst}
	}
	return list
}

func fleetOf(n int) []peer.Member {
	members := make([]peer.Member, n)
	for i := range members {
		name := fmt.Sprintf("router-%03d", i+1)
		members[i] = peer.Member{MemberID: peer.MemberID{Name: name, Incarnation: 1796354000000000000}, Address: "http://10.20.30.40:7946/" + name, Domain: "Xela-centro"}
	}
	return members
}

func BenchmarkAdmitLocal(b *testing.B) {
	for _, n := range []int{5, 990} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			a, snapshot := newAdmission(nobody{}, fleetOf(7), 0, customers(n, 1e12, 1e12))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					c, _ := snapshot.Customer(snapshot.Catalogue.Customers[i%n].Name)
					charge, err := a.Admit(context.Background(), c, 100, 0)
					if err != nil {
						b.Fatal(err)
					}
					charge.Settle(60)
				}
			})
		})
	}
}

// BenchmarkAdmitOneLoan borrows each request's tokens from a peer over loopback.
func BenchmarkAdmitOneLoan(b *testing.B) {
	log := event.NewLog("a", "1", 1024, time.Now)
	members := fleetOf(2)
	lender, _ := newAdmission(nobody{}, members, 1, customers(1, 1e12, 1e12))
	server := httptest.NewServer(peerhttp.NewHandler("token", log, peerhttp.Services{Loans: lender}))
	defer server.Close()
	members[1].Address = server.URL
	client := peerhttp.NewClient("token", peerhttp.DefaultTimeouts(), log, peerhttp.NewTransport())
	a, snapshot := newAdmission(client, members, 0, customers(1, 1e12, 1e12))
	a.Members.(*fixedMembers).confirmed.Store(false) // nothing local may be used
	c, _ := snapshot.Customer("customer-0")
	b.ReportAllocs()
	for b.Loop() {
		charge, err := a.Admit(context.Background(), c, 100, 0)
		if err != nil {
			b.Fatal(err)
		}
		charge.Settle(60)
	}
	a.Stop()
}

// BenchmarkCustomerMemory reports the heap per customer that was seen. A customer that was not has no account.
func BenchmarkCustomerMemory(b *testing.B) {
	for _, n := range []int{5, 50, 200, 990} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			for b.Loop() {
				a, snapshot := newAdmission(nobody{}, fleetOf(7), 0, customers(n, 1e9, 1e9))
				before := heap()
				for i := range snapshot.Catalogue.Customers {
					c, _ := snapshot.Customer(snapshot.Catalogue.Customers[i].Name)
					if _, err := a.Admit(context.Background(), c, 1, 0); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/active")
				runtime.KeepAlive(a)
			}
		})
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

var (
	scale       = flag.Bool("scale", false, "measure control traffic against the size of the fleet")
	scaleFanout = flag.Int("scale-fanout", 0, "random peers in each round of heartbeats; 0 takes the default")
)

// TestFleetScale prints control traffic and staleness for fleets of several sizes, without load and without faults.
func TestFleetScale(t *testing.T) {
	if !*scale {
		t.Skip("run with -scale to measure")
	}
	fmt.Println("members fanout messages/s  body-B/s  suspected  mean-age  max-age  CPU-us/s  roster-B")
	for _, n := range []int{2, 8, 32, 128, 340} {
		inWorldOf(t, *scaleFanout, n, func(w *world) { measureScale(w, n) })
	}
}

// TestLoanTraffic prints the messages of the steady load of the fault tests.
func TestLoanTraffic(t *testing.T) {
	if !*scale {
		t.Skip("run with -scale to measure")
	}
	inWorld(t, 1, 7, steadyLimits(), func(w *world) {
		time.Sleep(10 * time.Second)
		w.steadyLoad()
		time.Sleep(warmUp - w.now())
		w.net.reset()
		names := []string{"quota.admitted_requests", "quota.refused", "quota.refused_by_forecast", "quota.loans_asked", "quota.loans_given", "quota.loans_returned"}
		before := make(map[string]int64)
		for _, name := range names {
			before[name] = w.sum(name)
		}
		time.Sleep(time.Minute)
		messages, bytes := w.net.totals()
		fmt.Printf("7 instances, steady load: %.1f messages/s and %.0f body bytes/s for each instance\n", float64(messages)/420, float64(bytes)/420)
		for _, name := range names {
			fmt.Printf("%s %.1f/s in the fleet\n", name, float64(w.sum(name)-before[name])/60)
		}
	})
}

func measureScale(w *world, n int) {
	const period = 30 * time.Second
	time.Sleep(60 * time.Second)
	w.net.reset()
	suspected := w.sum("membership.members_suspected")
	began := cpuTime()
	time.Sleep(period)
	cpu := cpuTime() - began
	messages, bytes := w.net.totals()
	suspected = w.sum("membership.members_suspected") - suspected
	mean, longest := w.staleness()
	per := float64(n) * period.Seconds()
	fmt.Printf("%7d %6d %10.2f %9.0f %10d %8.2fs %7.2fs %9.0f %9d\n", n, w.fanout, float64(messages)/per, float64(bytes)/per, suspected,
		mean.Seconds(), longest.Seconds(), float64(cpu.Microseconds())/per, len(w.platform.objects["roster/main"].Value))
}

// staleness is the mean and the greatest age of what an instance knows about another: the time since it heard of a
// heartbeat of it, plus the age of this heartbeat as counted in periods behind the member's own counter.
func (w *world) staleness() (mean, longest time.Duration) {
	own := make(map[string]uint64)
	for _, n := range w.all {
		own[n.name] = n.members.Entries()[n.name].Counter
	}
	sum, count := time.Duration(0), 0
	for _, n := range w.all {
		for name, e := range n.members.Entries() {
			if name == n.name {
				continue
			}
			age := time.Duration(own[name]-min(own[name], e.Counter)) * 500 * time.Millisecond
			sum, count, longest = sum+age, count+1, max(longest, age)
		}
	}
	return sum / time.Duration(max(1, count)), longest
}

func (w *world) sum(name string) (total int64) {
	for _, n := range w.all {
		total += counter(n, name)
	}
	return total
}

// size is the length of a message on the wire without HTTP heads, counted only while measuring.
func (n *network) size(m any) {
	if !*scale {
		return
	}
	body, _ := json.Marshal(m)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += len(body)
}

func (n *network) reset() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages, n.bytes = 0, 0
}

func (n *network) totals() (messages, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.messages, n.bytes
}
