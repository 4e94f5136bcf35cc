package quotasync_test

import (
	"context"
	"encoding/json"
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

// newAdmission returns an Admission of the member with index self, on the real clock.
func newAdmission(lender quotasync.LoanClient, members []peer.Member, self int, limits []catalogue.Customer) (*quotasync.Admission, *config.Snapshot) {
	m := &fixedMembers{self: members[self], views: (*roster.ViewHistory)(nil).Append(-time.Hour, false, [][]peer.Member{members})}
	m.confirmed.Store(true)
	conf := &fakeConfig{}
	conf.snapshot.Store(config.New(1, catalogue.Catalogue{Customers: limits}))
	a := quotasync.New(quotasync.Dependencies{Membership: m, LoanClient: lender, Clock: clock.System{}, Config: conf,
		Events: event.NewLog("a", "1", 1024, time.Now), Metrics: metrics.NewRegistry()})
	return a, conf.Current()
}

func newCustomers(n int, rate, burst int64) []catalogue.Customer {
	list := make([]catalogue.Customer, n)
	for i := range list {
		list[i] = catalogue.Customer{Name: fmt.Sprint("customer-", i), RateTokens: rate, BurstTokens: burst}
	}
	return list
}

func newMembers(n int) []peer.Member {
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
			a, snapshot := newAdmission(unreachableLenders{}, newMembers(7), 0, newCustomers(n, 1e12, 1e12))
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

// BenchmarkAdmitOneLoan measures requests whose tokens are all borrowed from one peer over loopback.
func BenchmarkAdmitOneLoan(b *testing.B) {
	log := event.NewLog("a", "1", 1024, time.Now)
	members := newMembers(2)
	lender, _ := newAdmission(unreachableLenders{}, members, 1, newCustomers(1, 1e12, 1e12))
	server := httptest.NewServer(peerhttp.NewHandler("token", log, peerhttp.Receivers{Loans: lender}))
	defer server.Close()
	members[1].Address = server.URL
	client := peerhttp.NewClient("token", peerhttp.DefaultTimeouts(), log, peerhttp.NewTransport())
	a, snapshot := newAdmission(client, members, 0, newCustomers(1, 1e12, 1e12))
	a.Membership.(*fixedMembers).confirmed.Store(false) // so that no local tokens are used
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

// BenchmarkCustomerMemory reports the heap bytes of each customer that has sent a request. Other customers have no account.
func BenchmarkCustomerMemory(b *testing.B) {
	for _, n := range []int{5, 50, 200, 990} {
		b.Run(fmt.Sprint("customers=", n), func(b *testing.B) {
			for b.Loop() {
				a, snapshot := newAdmission(unreachableLenders{}, newMembers(7), 0, newCustomers(n, 1e9, 1e9))
				before := heapBytes()
				for i := range snapshot.Catalogue.Customers {
					c, _ := snapshot.Customer(snapshot.Catalogue.Customers[i].Name)
					if _, err := a.Admit(context.Background(), c, 1, 0); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/active")
				runtime.KeepAlive(a)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// countingBytes makes the network count message bytes. The measurements behind the build tag "scale" set it.
var countingBytes bool

// countBytes adds the length of a message's JSON body, without HTTP headers, to the traffic counters if countingBytes is set.
func (n *network) countBytes(m any) {
	if !countingBytes {
		return
	}
	body, _ := json.Marshal(m)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes += len(body)
}
