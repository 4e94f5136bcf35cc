// Package capacity lays out fleets of growing size and fits how much each customer, endpoint and router adds to the
// cost of a router. It starts no process; scripts/capacity.sh does.
package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/lab/internal/experiment"
)

// Bounds of a point.
const (
	maxRouters   = 64
	maxCustomers = 5_000
	maxEndpoints = 2_000
	region       = "lab"
)

// Domains of the fleet, as many as at the target.
var domains = []string{"d1", "d2", "d3", "d4", "d5", "d6", "d7"}

// Point is one size of a fleet.
type Point struct {
	Routers   int `json:"routers"`
	Customers int `json:"customers"`
	Endpoints int `json:"endpoints"`
}

// Grid lists the points to measure. Each size varies alone around a middle point, and the last points grow all sizes together,
// so that a fit can separate the three.
func Grid() []Point {
	grid := []Point{{8, 100, 60}}
	for _, routers := range []int{2, 4, 16, 32} {
		grid = append(grid, Point{routers, 100, 60})
	}
	for _, customers := range []int{5, 330, 990} {
		grid = append(grid, Point{8, customers, 60})
	}
	for _, endpoints := range []int{12, 200, 620} {
		grid = append(grid, Point{8, 100, endpoints})
	}
	return append(grid, Point{16, 330, 200}, Point{32, 990, 620})
}

// ID returns the id of the point, as used in file names.
func (p Point) ID() string { return fmt.Sprintf("r%d-c%d-e%d", p.Routers, p.Customers, p.Endpoints) }

// ParsePoint parses the id of a point and checks its bounds.
func ParsePoint(id string) (Point, error) {
	var p Point
	n, err := fmt.Sscanf(id, "r%d-c%d-e%d", &p.Routers, &p.Customers, &p.Endpoints)
	if err != nil || n != 3 || p.ID() != id {
		return Point{}, fmt.Errorf("point %q is not of the form r8-c100-e60", id)
	}
	inside := p.Routers >= 1 && p.Routers <= maxRouters && p.Customers >= 1 && p.Customers <= maxCustomers &&
		p.Endpoints >= 4 && p.Endpoints <= maxEndpoints
	if !inside {
		return Point{}, fmt.Errorf("point %q is out of bounds: %d routers, %d customers, 4 to %d endpoints", id, maxRouters, maxCustomers, maxEndpoints)
	}
	return p, nil
}

// Endpoint is one of the stand-ins that a single process serves.
type Endpoint struct {
	Name string
	Role platform.InstanceRole
	Pool string
}

// Layout lists the endpoints: a quarter services, the rest prefill and decode in the ratio 5 to 4.
func (p Point) Layout() []Endpoint {
	services := p.Endpoints / 4
	prefill := (p.Endpoints - services) * 5 / 9
	var list []Endpoint
	for i := range p.Endpoints {
		switch {
		case i < services:
			list = append(list, Endpoint{fmt.Sprintf("service-%d", i+1), platform.RoleService, "counter"})
		case i < services+prefill:
			list = append(list, Endpoint{fmt.Sprintf("prefill-%d", i+1), platform.RolePrefill, "model-prefill"})
		default:
			list = append(list, Endpoint{fmt.Sprintf("decode-%d", i+1), platform.RoleDecode, "model-decode"})
		}
	}
	return list
}

// Prepare writes catalogue.json, instances.json and processes.txt for the script.
func Prepare(p Point, dir string, basePort int) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	platformAddress, endpoints := address(basePort+1), address(basePort+2)
	lines := []string{
		fmt.Sprintf("platform platform none http://%s none -listen %s -platform-token %s -instances instances.json -reads-per-second 0",
			platformAddress, platformAddress, experiment.PlatformToken),
		fmt.Sprintf("endpoints endpoints none http://%s none -listen %s -point %s", endpoints, endpoints, p.ID()),
	}
	var list platform.InstanceList
	for i, e := range p.Layout() {
		list.Instances = append(list.Instances, platform.Instance{
			Name: e.Name, Role: e.Role, Pool: e.Pool, URL: "http://" + endpoints + "/" + e.Name,
			Domain: domains[i%len(domains)], Region: region, State: platform.InstanceLive,
		})
	}
	for i := range p.Routers {
		port := basePort + 10 + 3*i
		name, domain, peers := fmt.Sprintf("router-%d", i+1), domains[i%len(domains)], address(port+2)
		arguments := experiment.RouterArguments(name, domain, region, "http://"+platformAddress, address(port), address(port+1), peers)
		lines = append(lines, fmt.Sprintf("%s router %s http://%s http://%s %s", name, domain, address(port), address(port+1), strings.Join(arguments, " ")))
		list.Instances = append(list.Instances, platform.Instance{
			Name: name, Role: platform.RoleRouter, URL: "http://" + peers, Domain: domain, Region: region, State: platform.InstanceLive,
		})
	}
	for name, document := range map[string]any{"catalogue.json": p.Catalogue(), "instances.json": list} {
		raw, err := json.MarshalIndent(document, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, name), raw, 0o644); err != nil {
			return err
		}
	}
	return os.WriteFile(filepath.Join(dir, "processes.txt"), []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

func address(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// Catalogue returns a configuration with one model, one service and the point's customers.
func (p Point) Catalogue() catalogue.Catalogue {
	c := catalogue.Catalogue{
		Owner: "lab",
		Models: []catalogue.Model{{Name: "model", Owner: "lab", Class: "class", BytesPerToken: 4, KVBytesPerToken: 128 << 10,
			MaxPromptTokens: 20_000, MaxOutputTokens: 1_000, DefaultOutputTokens: 300}},
		Classes: []catalogue.Class{{Name: "class", Kind: catalogue.ClassInteractive, FirstTokenMS: 1400, TokenIntervalMS: 56, MaxQueueWaitMS: 1500}},
		Pools: []catalogue.Pool{
			{Name: "model-prefill", Owner: "lab", Role: catalogue.RolePrefill, Model: "model", PrefillRate: 20_000},
			{Name: "model-decode", Owner: "lab", Role: catalogue.RoleDecode, Model: "model", Slots: 20, Blocks: 64, BlockTokens: 2048, LinkRate: 10_000_000_000},
			{Name: "counter", Owner: "lab", Role: catalogue.RoleService},
		},
		Routes: []catalogue.Route{{Name: "bookings", Owner: "lab", PathPrefix: "/bookings", Pool: "counter", TimeoutMS: 3000}},
	}
	for i := range p.Customers {
		name := fmt.Sprintf("customer-%d", i+1)
		digest := sha256.Sum256([]byte(experiment.Key(name)))
		c.Customers = append(c.Customers, catalogue.Customer{Name: name, Owner: "lab", RateTokens: 10_000, BurstTokens: 100_000,
			Keys: []catalogue.Key{{Name: "lab", SHA256: hex.EncodeToString(digest[:])}}})
	}
	return c
}
