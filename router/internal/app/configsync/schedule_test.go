package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	standin "tanagerwood.dev/lab/standin/platform"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
)

const (
	instances = 3
	noOwner   = ""
)

// fleet is some instances with one platform, under random steps and faults.
type fleet struct {
	server   *standin.Server
	client   *platformhttp.Client
	peers    *fakePeers
	syncs    [instances]*Syncer
	greatest [instances]uint64
	// owners holds the owner of each revision, which tells them apart; noOwner makes a revision invalid.
	owners map[uint64]string
	newest uint64
}

func newFleet(t *rapid.T) (*fleet, func()) {
	server := standin.New(standin.Options{})
	web := httptest.NewServer(server)
	f := &fleet{
		server: server,
		client: platformhttp.New(platformhttp.Options{BaseURL: web.URL, Timeout: time.Minute}),
		peers:  &fakePeers{snapshots: make(map[string]func() peer.Snapshot)},
		owners: make(map[uint64]string),
	}
	for i := range instances {
		f.peers.snapshots[address(i)] = func() peer.Snapshot { return f.syncs[i].Snapshot() }
		f.syncs[i] = f.newSync(i)
	}
	return f, web.Close
}

func address(i int) string { return fmt.Sprintf("http://r%d", i) }

func (f *fleet) newSync(i int) *Syncer {
	seeds := []string{address((i + 1) % instances), address((i + 2) % instances)}
	return New(Options{
		Instance: fmt.Sprint(i), SeedAddresses: seeds, Platform: f.client, Peers: f.peers,
		Events: event.NewLog("r", "1", 16, time.Now), Metrics: metrics.NewRegistry(),
	})
}

func (f *fleet) restart(i int) {
	next := f.newSync(i)
	next.LoadInitial(context.Background())
	f.syncs[i], f.greatest[i] = next, 0
}

// write makes a new revision; the writer sees the platform without faults.
func (f *fleet) write(t *rapid.T, valid bool) {
	owner := noOwner
	if valid {
		owner = fmt.Sprintf("owner-%d", f.newest)
	}
	f.fault(false, 0)
	value := []byte(fmt.Sprintf(`{"owner":%q}`, owner))
	var err error
	if f.newest == 0 {
		f.newest, err = f.client.Create(context.Background(), platform.KindCatalogue, platform.MainName, value)
	} else {
		f.newest, err = f.client.Replace(context.Background(), platform.KindCatalogue, platform.MainName, f.newest, value)
	}
	if err != nil {
		t.Fatal(err)
	}
	f.owners[f.newest] = owner
}

func (f *fleet) fault(outage bool, stale int) {
	f.server.SetFaults(standin.Faults{Outage: &outage, StaleWrites: &stale})
}

// hear lets an instance see and fetch what a peer has in force.
func (f *fleet) hear(i, from int) {
	f.syncs[i].NotifyPeerRevision(address(from), f.syncs[from].Current().Revision)
	f.syncs[i].fetchNewest(context.Background())
}

// check fails if an instance went back, or has something in force that nobody wrote or that is not valid.
func (f *fleet) check(t *rapid.T) {
	for i, s := range f.syncs {
		c := s.Current()
		if c.Revision < f.greatest[i] {
			t.Fatalf("instance %d went back from %d to %d", i, f.greatest[i], c.Revision)
		}
		f.greatest[i] = c.Revision
		if c.Revision > 0 && (f.owners[c.Revision] == noOwner || c.Catalogue.Owner != f.owners[c.Revision]) {
			t.Fatalf("instance %d has %q in force as revision %d", i, c.Catalogue.Owner, c.Revision)
		}
	}
}

// settle ends all faults and lets everybody poll and hear everybody. Then all must have the same revision in force: the
// newest that any of them had, or the platform's if it is valid.
func (f *fleet) settle(t *rapid.T) {
	f.fault(false, 0)
	want := uint64(0)
	if f.owners[f.newest] != noOwner {
		want = f.newest
	}
	for _, s := range f.syncs {
		want = max(want, s.Current().Revision)
		s.pollCatalogue(context.Background())
	}
	for i := range instances * instances {
		f.hear(i%instances, i/instances)
	}
	f.check(t)
	for i, s := range f.syncs {
		if s.Current().Revision != want {
			t.Fatalf("instance %d has %d in force after all faults ended, want %d", i, s.Current().Revision, want)
		}
		s.writeStatus(context.Background())
	}
	f.checkStatus(t)
}

func (f *fleet) checkStatus(t *rapid.T) {
	if f.newest == 0 {
		return
	}
	var status catalogue.Status
	o, err := f.client.Get(context.Background(), platform.KindCatalogueStatus, platform.MainName)
	if err != nil || json.Unmarshal(o.Value, &status) != nil {
		t.Fatalf("no status: %v", err)
	}
	if status.Revision != f.newest || status.Valid != (f.owners[f.newest] != noOwner) {
		t.Fatalf("status %+v for revision %d of owner %q", status, f.newest, f.owners[f.newest])
	}
}

// Guards against an order of writes, stale reads, outages, lost replies, restarts and gossip in which an instance goes
// back, takes an invalid revision, or stays behind. On a failure, rapid prints the seed and the shortest schedule.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, closeServer := newFleet(t)
		defer closeServer()
		one := 1
		instance := rapid.IntRange(0, instances-1)
		t.Repeat(map[string]func(*rapid.T){
			"write":   func(t *rapid.T) { f.write(t, rapid.Bool().Draw(t, "valid")) },
			"stale":   func(t *rapid.T) { f.fault(false, rapid.IntRange(0, 3).Draw(t, "writes")) },
			"outage":  func(*rapid.T) { f.fault(true, 0) },
			"lose":    func(*rapid.T) { f.server.SetFaults(standin.Faults{LoseReplies: &one, LoseKind: &statusKind}) },
			"poll":    func(t *rapid.T) { f.syncs[instance.Draw(t, "i")].pollCatalogue(context.Background()) },
			"hear":    func(t *rapid.T) { f.hear(instance.Draw(t, "i"), instance.Draw(t, "from")) },
			"report":  func(t *rapid.T) { f.syncs[instance.Draw(t, "i")].writeStatus(context.Background()) },
			"restart": func(t *rapid.T) { f.restart(instance.Draw(t, "i")) },
			"":        f.check,
		})
		f.settle(t)
	})
}

var statusKind = platform.KindCatalogueStatus
