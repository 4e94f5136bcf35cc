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
	instanceCount = 3
	noOwner       = ""
)

// fleet is several instances that share a platform, under random steps and faults.
type fleet struct {
	server           *standin.Server
	client           *platformhttp.Client
	peers            *fakePeers
	syncs            [instanceCount]*Syncer
	greatestRevision [instanceCount]uint64
	// ownerByRevision holds the owner of each revision, which is unique; noOwner marks an invalid revision.
	ownerByRevision map[uint64]string
	newestRevision  uint64
}

func newFleet(t *rapid.T) (*fleet, func()) {
	server := standin.New(standin.Options{})
	web := httptest.NewServer(server)
	f := &fleet{
		server:          server,
		client:          platformhttp.New(platformhttp.Options{BaseURL: web.URL, Timeout: time.Minute}),
		peers:           &fakePeers{snapshots: make(map[string]func() peer.Snapshot)},
		ownerByRevision: make(map[uint64]string),
	}
	for i := range instanceCount {
		f.peers.snapshots[address(i)] = func() peer.Snapshot { return f.syncs[i].Snapshot() }
		f.syncs[i] = f.newSync(i)
	}
	return f, web.Close
}

func address(i int) string { return fmt.Sprintf("http://r%d", i) }

func (f *fleet) newSync(i int) *Syncer {
	seeds := []string{address((i + 1) % instanceCount), address((i + 2) % instanceCount)}
	return New(Options{
		Instance: fmt.Sprint(i), SeedAddresses: seeds, Platform: f.client, Peers: f.peers,
		Events: event.NewLog("r", "1", 16, time.Now), Metrics: metrics.NewRegistry(),
	})
}

func (f *fleet) restart(i int) {
	next := f.newSync(i)
	next.LoadInitial(context.Background())
	f.syncs[i], f.greatestRevision[i] = next, 0
}

// write creates a new revision. The writer sees no platform faults.
func (f *fleet) write(t *rapid.T, valid bool) {
	owner := noOwner
	if valid {
		owner = fmt.Sprintf("owner-%d", f.newestRevision)
	}
	f.setFaults(false, 0)
	value := []byte(fmt.Sprintf(`{"owner":%q}`, owner))
	var err error
	if f.newestRevision == 0 {
		f.newestRevision, err = f.client.Create(context.Background(), platform.KindCatalogue, platform.SingletonName, value)
	} else {
		f.newestRevision, err = f.client.Replace(context.Background(), platform.KindCatalogue, platform.SingletonName, f.newestRevision, value)
	}
	if err != nil {
		t.Fatal(err)
	}
	f.ownerByRevision[f.newestRevision] = owner
}

func (f *fleet) setFaults(outage bool, stale int) {
	f.server.SetFaults(standin.Faults{Outage: &outage, StaleWrites: &stale})
}

// learnFromPeer notifies an instance of a peer's revision in force and has it fetch the revision.
func (f *fleet) learnFromPeer(i, from int) {
	f.syncs[i].NotifyPeerRevision(address(from), f.syncs[from].Current().Revision)
	f.syncs[i].fetchNewestAtPeers(context.Background())
}

// checkInvariants fails if an instance went back to an older revision, or has a revision in force that was not written or is
// invalid.
func (f *fleet) checkInvariants(t *rapid.T) {
	for i, s := range f.syncs {
		c := s.Current()
		if c.Revision < f.greatestRevision[i] {
			t.Fatalf("instance %d went back from %d to %d", i, f.greatestRevision[i], c.Revision)
		}
		f.greatestRevision[i] = c.Revision
		if c.Revision > 0 && (f.ownerByRevision[c.Revision] == noOwner || c.Catalogue.Owner != f.ownerByRevision[c.Revision]) {
			t.Fatalf("instance %d has %q in force as revision %d", i, c.Catalogue.Owner, c.Revision)
		}
	}
}

// settleAndCheck ends all faults and lets all instances poll and learn from each other. Then all must have the same revision in
// force: the newest that any of them had, or the platform's if it is valid.
func (f *fleet) settleAndCheck(t *rapid.T) {
	f.setFaults(false, 0)
	want := uint64(0)
	if f.ownerByRevision[f.newestRevision] != noOwner {
		want = f.newestRevision
	}
	for _, s := range f.syncs {
		want = max(want, s.Current().Revision)
		s.pollCatalogue(context.Background())
	}
	for i := range instanceCount * instanceCount {
		f.learnFromPeer(i%instanceCount, i/instanceCount)
	}
	f.checkInvariants(t)
	for i, s := range f.syncs {
		if s.Current().Revision != want {
			t.Fatalf("instance %d has %d in force after all faults ended, want %d", i, s.Current().Revision, want)
		}
		s.writeStatus(context.Background())
	}
	f.checkStatus(t)
}

func (f *fleet) checkStatus(t *rapid.T) {
	if f.newestRevision == 0 {
		return
	}
	var status catalogue.Status
	o, err := f.client.Get(context.Background(), platform.KindCatalogueStatus, platform.SingletonName)
	if err != nil || json.Unmarshal(o.Value, &status) != nil {
		t.Fatalf("no status: %v", err)
	}
	if status.Revision != f.newestRevision || status.Valid != (f.ownerByRevision[f.newestRevision] != noOwner) {
		t.Fatalf("status %+v for revision %d of owner %q", status, f.newestRevision, f.ownerByRevision[f.newestRevision])
	}
}

// Guards against a sequence of writes, stale reads, outages, lost replies, restarts and peer notifications in which an instance
// goes back to an older revision, takes an invalid one, or stays behind. On a failure, rapid prints the seed and the shortest
// failing schedule.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, closeServer := newFleet(t)
		defer closeServer()
		one := 1
		instance := rapid.IntRange(0, instanceCount-1)
		t.Repeat(map[string]func(*rapid.T){
			"write":   func(t *rapid.T) { f.write(t, rapid.Bool().Draw(t, "valid")) },
			"stale":   func(t *rapid.T) { f.setFaults(false, rapid.IntRange(0, 3).Draw(t, "writes")) },
			"outage":  func(*rapid.T) { f.setFaults(true, 0) },
			"lose":    func(*rapid.T) { f.server.SetFaults(standin.Faults{LoseReplies: &one, LoseKind: &statusKind}) },
			"poll":    func(t *rapid.T) { f.syncs[instance.Draw(t, "i")].pollCatalogue(context.Background()) },
			"hear":    func(t *rapid.T) { f.learnFromPeer(instance.Draw(t, "i"), instance.Draw(t, "from")) },
			"report":  func(t *rapid.T) { f.syncs[instance.Draw(t, "i")].writeStatus(context.Background()) },
			"restart": func(t *rapid.T) { f.restart(instance.Draw(t, "i")) },
			"":        f.checkInvariants,
		})
		f.settleAndCheck(t)
	})
}

var statusKind = platform.KindCatalogueStatus
