package membership

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/adapter/peerhttp"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/port"
)

type emptyConfig struct{ port.Config }

func (emptyConfig) Current() *config.Snapshot            { return &config.Snapshot{} }
func (emptyConfig) Routers() ([]platform.Instance, bool) { return nil, true }

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newInformedService returns the service of the member with index self in a fleet of n, with all members known. Member 1
// has the given address.
func newInformedService(n, self int, address string, peers port.Peers) *Service {
	r := peer.Roster{Generation: 700, Changes: []peer.RosterChange{{}}}
	var entries []peer.HeartbeatEntry
	for i := range n {
		name := fmt.Sprintf("router-%03d", i+1)
		m := peer.Member{MemberID: peer.MemberID{Name: name, Incarnation: 1796354000000000000}, Address: "http://10.20.30.40:7946/" + name, Domain: "Xela-centro"}
		if i == 1 {
			m.Address = address
		}
		r.Members = append(r.Members, m)
		entries = append(entries, peer.HeartbeatEntry{Member: m, Counter: uint64(1000 + i), RosterGeneration: 700, CatalogueRevision: 90000})
	}
	s := New(Settings{Self: r.Members[self], Fanout: DefaultFanout}, Dependencies{Peers: peers, Clock: clock.System{}, Config: emptyConfig{},
		Events: event.NewLog("a", "1", 1024, time.Now), Metrics: metrics.NewRegistry()})
	s.prepareHeartbeatRound()
	s.mergeHeartbeat(peer.Heartbeat{Entries: entries, Roster: r})
	return s
}

// BenchmarkHeartbeat measures one heartbeat exchange between two members over loopback when only counters have changed. It
// reports the cost of both ends, and the bytes on the wire in both directions with HTTP headers.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{2, 8, 32, 128, 340} {
		b.Run(fmt.Sprint("members=", n), func(b *testing.B) {
			log := event.NewLog("a", "1", 1024, time.Now)
			server := httptest.NewUnstartedServer(nil)
			receiver := newInformedService(n, 1, "http://"+server.Listener.Addr().String(), nil)
			server.Config.Handler = peerhttp.NewHandler("0123456789abcdef0123456789abcdef", log, peerhttp.Receivers{Heartbeats: receiver})
			server.Start()
			defer server.Close()
			var bytes atomic.Int64
			transport := peerhttp.NewTransport()
			transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countingConn{conn, &bytes}, err
			}
			client := peerhttp.NewClient("0123456789abcdef0123456789abcdef", peerhttp.DefaultTimeouts(), log, transport)
			sender := newInformedService(n, 0, server.URL, client)
			sender.exchangeHeartbeat(context.Background(), server.URL) // makes the two heartbeat tables equal
			bytes.Store(0)
			b.ReportAllocs()
			for b.Loop() {
				sender.prepareHeartbeatRound()
				sender.exchangeHeartbeat(context.Background(), server.URL)
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
			if sender.counters.heartbeatsFailed.Count() > 0 {
				b.Fatal("exchanges failed")
			}
		})
	}
}
