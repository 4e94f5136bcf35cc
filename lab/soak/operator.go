package soak

import (
	"fmt"
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

// Keys and customers of a run. The visitor's key comes and goes with versions; the forged key never exists.
const (
	plantKey, plantName     = "plant-key", "plant"
	limitedKey, limitedName = "limited-key", "limited"
	visitorKey, visitorName = "visitor-key", "visitor"
	forgedKey               = "forged-key"

	// unlimited is a rate and burst that no run reaches; limitedRate is a tenth of what callers ask.
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
	// moved is the service of the route that moves; visitor says whether the visitor's key is there.
	moved   string
	visitor bool
}

// has reports whether the configuration has the route of version n.
func (v version) has(n int) bool { return n <= v.number && n > v.number-keptVersions }

// operator changes the configuration.
type operator struct {
	store *standin.Store

	mu       sync.Mutex
	versions []version
}

// change writes the next version. The variant chooses what changes besides the versions' own routes.
func (o *operator) change(variant int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := version{number: 1, moved: counterService, visitor: true}
	if n := len(o.versions); n > 0 {
		next = o.versions[n-1]
		next.number++
		if variant&1 == 0 {
			next.moved = map[string]string{counterService: otherService, otherService: counterService}[next.moved]
		}
		if variant&2 == 0 {
			next.visitor = !next.visitor
		}
	}
	o.store.Configure(next.configuration())
	next.at = time.Now()
	o.versions = append(o.versions, next)
}

// rewrite writes the newest version again, which the store may have lost.
func (o *operator) rewrite() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.store.Configure(o.versions[len(o.versions)-1].configuration())
}

// all returns the versions so far.
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
			{Name: "moved", Prefix: "/moved/", Service: v.moved, Kind: standin.Safe, Timeout: plainTimeout, Attempts: 2},
			{Name: "brief", Prefix: "/brief/", Service: modelService, Kind: standin.Streaming, Timeout: streamTimeout, Attempts: 1},
			{Name: "digest", Prefix: "/digest/", Service: modelService, Kind: standin.Streaming, Timeout: streamTimeout, Attempts: 2, Resumable: true},
		},
		Services: []standin.Service{
			{Name: counterService}, {Name: otherService},
			{Name: modelService, Slots: engineSlots, Lease: lease, SwitchTime: switchTime},
		},
		Customers: []standin.Customer{
			{Name: plantName, Keys: []string{plantKey}, Rate: unlimited, Burst: unlimited},
			{Name: limitedName, Keys: []string{limitedKey}, Rate: limitedRate, Burst: limitedRate},
			{Name: visitorName, Keys: []string{}, Rate: unlimited, Burst: unlimited},
		},
	}
	for n := max(1, v.number-keptVersions+1); n <= v.number; n++ {
		c.Routes = append(c.Routes, standin.Route{
			Name: fmt.Sprint("v", n), Prefix: versionPath(n), Service: counterService, Kind: standin.Safe, Timeout: plainTimeout, Attempts: 2,
		})
	}
	if v.visitor {
		c.Customers[2].Keys = []string{visitorKey}
	}
	return c
}

func versionPath(n int) string { return fmt.Sprintf("/v%d/", n) }
