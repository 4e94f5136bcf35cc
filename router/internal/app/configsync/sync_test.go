package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	standin "tanagerwood.dev/lab/standin/platform"
	"tanagerwood.dev/router/internal/adapter/peerhttp"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/port"
)

func TestConfigSync(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configuration")
}

// fakePeers answers snapshot requests by address.
type fakePeers struct {
	port.Peers
	snapshots map[string]func() peer.Snapshot
	asked     atomic.Int64
}

func (f *fakePeers) Snapshot(_ context.Context, address string) (peer.Snapshot, error) {
	f.asked.Add(1)
	if snapshot, ok := f.snapshots[address]; ok {
		return snapshot(), nil
	}
	return peer.Snapshot{}, errors.New("connection refused")
}

var _ = Describe("configuration", func() {
	var (
		ctx    = context.Background()
		yes    = true
		one    = 1
		server *standin.Server
		client port.Platform
		peers  *fakePeers
		log    *event.Log
	)

	start := func(o standin.Options) {
		server = standin.New(o)
		web := httptest.NewServer(server)
		DeferCleanup(web.Close)
		client = platformhttp.New(platformhttp.Options{BaseURL: web.URL, Timeout: 5 * time.Second})
		peers = &fakePeers{snapshots: make(map[string]func() peer.Snapshot)}
		log = event.NewLog("router", "1", 64, time.Now)
	}

	newSync := func(name string, seeds ...string) *Syncer {
		return New(Options{
			Instance: name, SeedAddresses: seeds, Platform: client, Peers: peers, Events: log,
			PollInterval: 5 * time.Millisecond, Metrics: metrics.NewRegistry(),
		})
	}

	// put writes a revision. Its owner distinguishes revisions.
	put := func(version uint64, text string) uint64 {
		GinkgoHelper()
		var err error
		if version == 0 {
			version, err = client.Create(ctx, platform.KindCatalogue, platform.SingletonName, []byte(text))
		} else {
			version, err = client.Replace(ctx, platform.KindCatalogue, platform.SingletonName, version, []byte(text))
		}
		Expect(err).NotTo(HaveOccurred())
		return version
	}

	catalogueStatus := func() (status catalogue.Status) {
		GinkgoHelper()
		o, err := client.Get(ctx, platform.KindCatalogueStatus, platform.SingletonName)
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(o.Value, &status)).To(Succeed())
		return status
	}

	statusWrites := func() int64 { return server.Calls().Kinds[platform.KindCatalogueStatus].Writes }

	kinds := func() (kinds []event.Kind) {
		for _, e := range log.Since(0).Events {
			kinds = append(kinds, e.Kind)
		}
		return kinds
	}

	It("never goes back to an older revision after a stale read", func() {
		start(standin.Options{})
		first := put(0, `{"owner":"first"}`)
		second := put(first, `{"owner":"second"}`)
		s := newSync("r1")
		s.LoadInitial(ctx)
		Expect(s.Current().Revision).To(Equal(second))
		server.SetFaults(standin.Faults{StaleWrites: &one})
		s.pollCatalogue(ctx)
		Expect(s.Current().Revision).To(Equal(second))
		Expect(s.Current().Catalogue.Owner).To(Equal("second"))
		Expect(s.counters.stale.Count()).To(BeEquivalentTo(1))
	})

	It("starts from a peer's newer revision when the platform's read is stale", func() {
		start(standin.Options{})
		first := put(0, `{"owner":"first"}`)
		put(first, `{"owner":"second"}`)
		running := newSync("r1")
		running.LoadInitial(ctx)
		peers.snapshots["http://r1"] = running.Snapshot
		server.SetFaults(standin.Faults{StaleWrites: &one})
		s := newSync("r2", "http://r1")
		s.LoadInitial(ctx)
		Expect(s.Current().Catalogue.Owner).To(Equal("second"))
	})

	It("starts from the newest of its peers during an outage, and finds further peers through their instance list", func() {
		start(standin.Options{Instances: []platform.Instance{
			{Name: "r2", Role: platform.RoleRouter, URL: "http://r2"},
			{Name: "tulis-1", Role: platform.RoleDecode, URL: "http://tulis-1", State: platform.InstanceLeaving},
		}})
		first := put(0, `{"owner":"first"}`)
		older := newSync("r1")
		older.LoadInitial(ctx)
		put(first, `{"owner":"second"}`)
		newer := newSync("r2")
		newer.LoadInitial(ctx)
		peers.snapshots["http://r1"], peers.snapshots["http://r2"] = older.Snapshot, newer.Snapshot
		server.SetFaults(standin.Faults{Outage: &yes})
		restarted := newSync("r3", "http://r1", "http://dead")
		restarted.LoadInitial(ctx)
		Expect(restarted.Current().Catalogue.Owner).To(Equal("second"))
		Expect(restarted.Endpoints()).To(ConsistOf(port.Endpoint{Name: "tulis-1", Role: platform.RoleDecode, URL: "http://tulis-1", Leaving: true}))
		routers, read := restarted.Routers()
		Expect(routers).To(HaveLen(1))
		Expect(read).To(BeFalse(), "a peer's list does not count as read from the platform")
	})

	// Guards against an instance that cannot start during an outage because a catalogue of the target size is too large for the
	// peer port.
	It("starts from a peer over HTTP with a catalogue of 990 customers", func() {
		start(standin.Options{})
		large := catalogue.Catalogue{Owner: "o"}
		for i := range 990 {
			c := catalogue.Customer{Name: fmt.Sprintf("customer-%d", i), Owner: "o", RateTokens: 1, BurstTokens: 1}
			for k := range 4 {
				c.Keys = append(c.Keys, catalogue.Key{Name: fmt.Sprint(k), SHA256: fmt.Sprintf("%064x", 4*i+k)})
			}
			large.Customers = append(large.Customers, c)
		}
		text, err := catalogue.Marshal(large)
		Expect(err).NotTo(HaveOccurred())
		put(0, string(text))
		running := newSync("r1")
		running.LoadInitial(ctx)
		peerPort := httptest.NewServer(peerhttp.NewHandler("peer-token", log, peerhttp.Receivers{Snapshots: running}))
		DeferCleanup(peerPort.Close)
		server.SetFaults(standin.Faults{Outage: &yes})
		restarted := New(Options{
			Instance: "r2", SeedAddresses: []string{peerPort.URL}, Platform: client, Events: log, Metrics: metrics.NewRegistry(),
			Peers: peerhttp.NewClient("peer-token", peerhttp.DefaultTimeouts(), log, peerhttp.NewTransport()),
		})
		started := func() uint64 { restarted.LoadInitial(ctx); return restarted.Current().Revision }
		Eventually(started).WithTimeout(time.Minute).Should(Equal(running.Current().Revision))
		Expect(restarted.Current().Catalogue).To(Equal(running.Current().Catalogue))
	})

	It("keeps everything as it is through an outage and a used-up call rate, and goes on afterwards", func() {
		now := time.Unix(1_700_000_000, 0)
		start(standin.Options{ReadsPerSecond: 4, WritesPerSecond: 100, Now: func() time.Time { return now },
			Instances: []platform.Instance{{Name: "kaunter-1", Role: platform.RoleService}}})
		first := put(0, `{"owner":"first"}`)
		s := newSync("r1")
		s.LoadInitial(ctx)
		put(first, `{"owner":"second"}`)
		for range 4 {
			s.pollInstances(ctx)
		}
		s.pollCatalogue(ctx) // rejected with status 429
		Expect(s.counters.pollFailed.Count()).To(BeEquivalentTo(1))
		Expect(s.Current().Catalogue.Owner).To(Equal("first"))
		server.SetFaults(standin.Faults{Outage: &yes})
		s.pollCatalogue(ctx)
		s.pollInstances(ctx)
		Expect(s.Current().Catalogue.Owner).To(Equal("first"))
		Expect(s.Endpoints()).To(HaveLen(1))
		no := false
		server.SetFaults(standin.Faults{Outage: &no})
		now = now.Add(time.Second)
		s.pollCatalogue(ctx)
		Expect(s.Current().Catalogue.Owner).To(Equal("second"))
	})

	It("keeps an invalid revision between valid ones out of force and says why", func() {
		start(standin.Options{})
		first := put(0, `{"owner":"first"}`)
		s := newSync("r1")
		s.LoadInitial(ctx)
		invalid := put(first, `{"owner":"second","routes":[{"name":"r"}]}`)
		s.pollCatalogue(ctx)
		s.writeStatus(ctx)
		Expect(s.Current().Revision).To(Equal(first))
		status := catalogueStatus()
		Expect(status.Revision).To(Equal(invalid))
		Expect(status.Valid).To(BeFalse())
		Expect(status.ValidatedBy).To(Equal("r1"))
		Expect(fmt.Sprint(status.Problems)).To(ContainSubstring("routes[0].pathPrefix"))
		third := put(invalid, `{"owner":"third"}`)
		s.pollCatalogue(ctx)
		s.writeStatus(ctx)
		Expect(s.Current().Revision).To(Equal(third))
		Expect(catalogueStatus()).To(Equal(catalogue.Status{Revision: third, Valid: true, ValidatedBy: "r1"}))
		Expect(kinds()).To(Equal([]event.Kind{event.ConfigApplied, event.ConfigRejected, event.ConfigApplied}))
	})

	// Guards against an instance that starts while the newest revision is invalid and stays without a configuration.
	It("takes a peer's valid revision although a newer one was rejected, and reports the newer one once", func() {
		start(standin.Options{})
		first := put(0, `{"owner":"first"}`)
		running := newSync("r1")
		running.LoadInitial(ctx)
		peers.snapshots["http://r1"] = running.Snapshot
		second := put(first, `{"owner":""}`)
		third := put(second, `{"owner":""}`)
		s := newSync("r2")
		server.SetFaults(standin.Faults{StaleWrites: &one})
		s.pollCatalogue(ctx) // second
		none := 0
		server.SetFaults(standin.Faults{StaleWrites: &none})
		s.pollCatalogue(ctx) // third
		server.SetFaults(standin.Faults{StaleWrites: &one})
		s.pollCatalogue(ctx) // second again
		server.SetFaults(standin.Faults{StaleWrites: &none})
		Expect(s.counters.rejected.Count()).To(BeEquivalentTo(2))
		s.NotifyPeerRevision("http://r1", first)
		s.fetchNewestAtPeers(ctx)
		Expect(s.Current().Revision).To(Equal(first))
		Expect(s.pendingStatus().Revision).To(Equal(third))
		revision, valid := s.Status()
		Expect(revision).To(Equal(third))
		Expect(valid).To(BeFalse())
	})

	It("writes the status of a revision once, by whichever instance is first, also if the reply is lost", func() {
		start(standin.Options{})
		put(0, `{"owner":"first"}`)
		one, two := newSync("r1"), newSync("r2")
		one.LoadInitial(ctx)
		two.LoadInitial(ctx)
		lost := 1
		server.SetFaults(standin.Faults{LoseReplies: &lost})
		one.writeStatus(ctx)
		Expect(one.pendingStatus()).NotTo(BeNil(), "the reply was lost, so the status is not known to be written")
		two.writeStatus(ctx)
		one.writeStatus(ctx)
		Expect(one.pendingStatus()).To(BeNil())
		Expect(two.pendingStatus()).To(BeNil())
		Expect(statusWrites()).To(BeEquivalentTo(1))
		Expect(catalogueStatus().ValidatedBy).To(Equal("r1"))
	})

	It("adopts a revision that it sees only at a peer, and fetches it once", func() {
		start(standin.Options{})
		put(0, `{"owner":"first"}`)
		s := newSync("r1")
		s.LoadInitial(ctx)
		next := s.Current().Revision + 5
		peers.snapshots["http://r2"] = func() peer.Snapshot {
			return peer.Snapshot{Revision: next, Catalogue: []byte(`{"owner":"second"}`)}
		}
		s.NotifyPeerRevision("http://r2", next)
		s.NotifyPeerRevision("http://r3", next-1)
		Expect(s.peerRevisionSeen).To(Receive())
		s.fetchNewestAtPeers(ctx)
		Expect(s.Current().Revision).To(Equal(next))
		s.NotifyPeerRevision("http://r2", next)
		Expect(s.peerRevisionSeen).NotTo(Receive())
		Expect(peers.asked.Load()).To(BeEquivalentTo(1))
		s.pollCatalogue(ctx)
		Expect(s.Current().Revision).To(Equal(next), "the platform's older copy must not replace it")
	})

	// Guards against an instance that stays behind because the only peer that it asks is unreachable.
	It("asks other routers if the peer with the newer revision does not answer", func() {
		start(standin.Options{Instances: []platform.Instance{{Name: "r2", Role: platform.RoleRouter, URL: "http://r2"}}})
		put(0, `{"owner":"first"}`)
		s := newSync("r1")
		s.LoadInitial(ctx)
		next := s.Current().Revision + 1
		peers.snapshots["http://r2"] = func() peer.Snapshot {
			return peer.Snapshot{Revision: next, Catalogue: []byte(`{"owner":"second"}`)}
		}
		s.NotifyPeerRevision("http://unreachable", next)
		s.fetchNewestAtPeers(ctx)
		Expect(s.Current().Revision).To(Equal(next))
	})

	It("does not let an invalid copy from a peer keep the platform's valid copy out of force", func() {
		start(standin.Options{})
		first := put(0, `{"owner":"first"}`)
		s := newSync("r1")
		s.LoadInitial(ctx)
		peers.snapshots["http://r2"] = func() peer.Snapshot {
			return peer.Snapshot{Revision: first + 1, Catalogue: []byte(`{"owner":`)}
		}
		s.NotifyPeerRevision("http://r2", first+1)
		s.fetchNewestAtPeers(ctx)
		Expect(s.Current().Revision).To(Equal(first))
		Expect(statusWrites()).To(BeZero())
		Expect(put(first, `{"owner":"second"}`)).To(Equal(first + 1))
		s.pollCatalogue(ctx)
		Expect(s.Current().Catalogue.Owner).To(Equal("second"))
	})

	It("tells subscribers and the timeline of a withdrawn key, never the key or its digest", func() {
		start(standin.Options{})
		digest := strings.Repeat("1", 64)
		keys := func(list string) string {
			return `{"owner":"o","customers":[{"name":"kedai","owner":"o","rateTokensPerSecond":1,"burstTokens":1,"keys":[` + list + `]}]}`
		}
		first := put(0, keys(`{"name":"autumn","sha256":"`+digest+`"}`))
		s := newSync("r1")
		var seen []uint64
		s.Subscribe(func(c *config.Snapshot) { seen = append(seen, c.Revision) })
		s.LoadInitial(ctx)
		second := put(first, keys(""))
		s.pollCatalogue(ctx)
		Expect(seen).To(Equal([]uint64{first, second}))
		events := log.Since(0).Events
		last := events[len(events)-1]
		Expect(last.Kind).To(Equal(event.KeyWithdrawn))
		Expect(last.Customer).To(Equal("kedai"))
		Expect(fmt.Sprint(events)).NotTo(ContainSubstring(digest))
	})

	It("follows the platform and its peers, and writes the status, until the context ends", func() {
		start(standin.Options{})
		s := newSync("r1")
		running, stop := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { defer close(ended); s.Run(running) }()
		first := put(0, `{"owner":"first"}`)
		Eventually(func() uint64 { return s.Current().Revision }).WithTimeout(20 * time.Second).Should(Equal(first))
		Eventually(statusWrites).WithTimeout(20 * time.Second).Should(BeEquivalentTo(1))
		Eventually(func() bool { _, read := s.Routers(); return read }).WithTimeout(20 * time.Second).Should(BeTrue())
		stop()
		Eventually(ended).WithTimeout(20 * time.Second).Should(BeClosed())
	})
})
