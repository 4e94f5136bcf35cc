package soak

import (
	"fmt"
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

// Keys and customers of a run. Versions add and remove the revocable key; the unknown key is in no version.
const (
	defaultKey, defaultCustomer     = "plant-key", "plant"
	limitedKey, limitedCustomer     = "limited-key", "limited"
	revocableKey, revocableCustomer = "visitor-key", "visitor"
	unknownKey                      = "forged-key"

	// unlimited is a rate and burst that no run reaches; limitedRate is a tenth of what the callers request.
	unlimited   = 10_000_000
	limitedRate = 15_000

	streamTimeout = 10 * time.Second
	plainTimeout  = 2 * time.Second
	// keptVersions is how many versions have a route of their own in a configuration.
	keptVersions = 3
)

// version is a configuration as acknowledged by the store.
type version struct {
	number int
	at     time.Time
	// movedService is the service of the route that moves between services; revocableKeyActive says whether the revocable key
	// is valid.
	movedService       string
	revocableKeyActive bool
}

// hasRoute reports whether the configuration has the route of version n.
func (v version) hasRoute(n int) bool { return n <= v.number && n > v.number-keptVersions }

// operator changes the configuration.
type operator struct {
	store *standin.Store

	mu       sync.Mutex
	versions []version
}

// change writes the next version. The variant chooses what changes in addition to the versions' own routes.
func (o *operator) change(variant int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := version{number: 1, movedService: counterService, revocableKeyActive: true}
	if n := len(o.versions); n > 0 {
		next = o.versions[n-1]
		next.number++
		if variant&1 == 0 {
			next.movedService = map[string]string{counterService: otherService, otherService: counterService}[next.movedService]
		}
		if variant&2 == 0 {
			next.revocableKeyActive = !next.revocableKeyActive
		}
	}
	o.store.Configure(next.configuration())
	next.at = time.Now()
	o.versions = append(o.versions, next)
}

// rewrite writes the newest version again, because the store may have lost it.
func (o *operator) rewrite() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Configure(o.versions[len(o.versions)-1].configuration())
}

// all returns all versions written so far.
func (o *operator) all() []version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]version{}, o.versions...)
}

func (o *operator) newest() version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.versions[len(o.versions)-1]
}

func (v version) configuration() standin.Configuration {
	c := standin.Configuration{
		Version: v.number,
		Routes: []standin.Route{
			{Name: "look", Prefix: "/look/", Service: counterService, Kind: standin.Safe, Timeout: plainTimeout, Attempts: 2},
			{Name: "book", Prefix: "/book/", Service: counterService, Kind: standin.Unsafe, Timeout: plainTimeout, Attempts: 1},
			{Name: "moved", Prefix: "/moved/", Service: v.movedService, Kind: standin.Safe, Timeout: plainTimeout, Attempts: 2},
			{Name: "brief", Prefix: "/brief/", Service: modelService, Kind: standin.Streaming, Timeout: streamTimeout, Attempts: 1},
			{Name: "digest", Prefix: "/digest/", Service: modelService, Kind: standin.Streaming, Timeout: streamTimeout, Attempts: 2, Resumable: true},
		},
		Services: []standin.Service{
			{Name: counterService}, {Name: otherService},
			{Name: modelService, Slots: modelSlots, Lease: lease, SwitchTime: switchTime},
		},
		Customers: []standin.Customer{
			{Name: defaultCustomer, Keys: []string{defaultKey}, Rate: unlimited, Burst: unlimited},
			{Name: limitedCustomer, Keys: []string{limitedKey}, Rate: limitedRate, Burst: limitedRate},
			{Name: revocableCustomer, Keys: []string{}, Rate: unlimited, Burst: unlimited},
		},
	}
	for n := max(1, v.number-keptVersions+1); n <= v.number; n++ {
		c.Routes = append(c.Routes, standin.Route{
			Name: fmt.Sprint("v", n), Prefix: versionPath(n), Service: counterService, Kind: standin.Safe, Timeout: plainTimeout, Attempts: 2,
		})
	}
	if v.revocableKeyActive {
		c.Customers[2].Keys = []string{revocableKey}
	}
	return c
}

func versionPath(n int) string { return fmt.Sprintf("/v%d/", n) }
