package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/lab/internal/load"
)

// Speeds and sizes of the stand-ins. All are about four times as fast as the target (56 ms between tokens), so that a run of
// half a minute has a few hundred requests.
const (
	tokenInterval   = 10 * time.Millisecond
	intervalGrowth  = 0.02
	slots           = 20
	blocks          = 32 // 20 requests of mostly one block each nearly fill the memory
	blockTokens     = 2048
	prefillBlocks   = 96
	prefillRate     = 4500 // a mean prompt of 1,100 tokens costs as much time as 18 to 24 output tokens
	bytesPerToken   = 4
	kvBytesPerToken = 128 << 10
	linkRate        = 2_000_000_000 // a mean prompt's KV cache takes 70 ms
	loadInterval    = 250 * time.Millisecond
	kvExpiry        = 800 * time.Millisecond // "under a second" is required
	cacheBlocks     = 600
	maxPromptTokens = 20_000
	maxOutputTokens = 1_200
	burstSeconds    = 10
	minBurst        = 30_000
)

// Lengths of prompts and outputs: tens to tens of thousands of tokens, and a mean output of about 300.
var (
	promptLength = load.LengthDistribution{Median: 600, Sigma: 1.1, Min: 20, Max: maxPromptTokens}
	outputLength = load.LengthDistribution{Median: 250, Sigma: 0.6, Min: 20, Max: maxOutputTokens}
)

// Deployment describes a fleet and its customers.
type Deployment struct {
	Name        string
	Region      string
	Domains     []string
	Owner       string
	Routers     int
	Prefill     int
	Decode      int
	Services    int
	ModelPool   string
	ServicePool string
	Class       catalogue.Class
	Customers   []CustomerLoad
	// Booking is a route whose calls must not run twice; those of Lookup may.
	Booking catalogue.Route
	Lookup  catalogue.Route
	// CallsPerSecond is the rate of bookings and of lookups over all customers.
	CallsPerSecond float64
}

// CustomerLoad is a customer's fraction of the traffic.
type CustomerLoad struct {
	Customer string
	Fraction float64
}

// Both deployments split nine model servers into five for prefill and four for decode. Four decode servers hold 80
// requests, so with four domains the loss of one domain or server takes a quarter of the capacity; with the prefix
// cache covering about two fifths of the prompt text, five prefill servers prefill about 1.4 times as much as four decode
// servers can decode. With more decode servers, runs would never waste prefill for lack of decode; with fewer prefill servers,
// prefill would be the bottleneck.
const (
	prefillServers = 5
	decodeServers  = 4
	routerCount    = 8
)

var asahan = Deployment{
	Name: "asahan", Region: "my-west", Domains: []string{"klang", "ipoh", "melaka", "penang"},
	Owner: "asahan-tajam", Routers: routerCount, Prefill: prefillServers, Decode: decodeServers, Services: 4,
	ModelPool: "tulis", ServicePool: "kaunter",
	Class: catalogue.Class{Name: "briefing", Kind: catalogue.ClassInteractive,
		FirstTokenMS: 1400, TokenIntervalMS: 25, MaxQueueWaitMS: 1500, Priority: 1},
	Customers: []CustomerLoad{{"pisau", 0.40}, {"gergaji", 0.25}, {"gunting", 0.15}, {"kapak", 0.12}, {"parang", 0.08}},
	Booking:   catalogue.Route{Name: "slots", PathPrefix: "/slots", Repeatable: false, TimeoutMS: 3000},
	Lookup:    catalogue.Route{Name: "balances", PathPrefix: "/balances", Repeatable: true, TimeoutMS: 3000},

	CallsPerSecond: 4,
}

var bombas = Deployment{
	Name: "bombas", Region: "occidente", Domains: []string{"xela-centro", "xela-sur", "totonicapan"},
	Owner: "bombas-y-fuentes", Routers: routerCount, Prefill: prefillServers, Decode: decodeServers, Services: 3,
	ModelPool: "modelo-taller", ServicePool: "despacho",
	Class: catalogue.Class{Name: "history", Kind: catalogue.ClassBatch,
		FirstTokenMS: 8000, TokenIntervalMS: 25, MaxQueueWaitMS: 10000, Priority: 5},
	Customers: []CustomerLoad{{"fuente", 0.35}, {"pila", 0.30}, {"chorro", 0.15}, {"tanque", 0.12}, {"grifo", 0.08}},
	Booking:   catalogue.Route{Name: "visits", PathPrefix: "/visits", Repeatable: false, TimeoutMS: 3000},
	Lookup:    catalogue.Route{Name: "parts", PathPrefix: "/parts", Repeatable: true, TimeoutMS: 3000},

	CallsPerSecond: 4,
}

// DeploymentByName finds one of the two deployments of the design page.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range []Deployment{asahan, bombas} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, fmt.Errorf("unknown deployment %q; use asahan or bombas", name)
}

// Capacity is the decode capacity in output tokens a second, with all slots busy.
func (d Deployment) Capacity() float64 {
	full := tokenInterval.Seconds() * (1 + intervalGrowth*(slots-1))
	return float64(d.Decode) * slots / full
}

// Domain returns the failure domain of the process with this index; processes of one kind are spread round-robin.
func (d Deployment) Domain(index int) string { return d.Domains[index%len(d.Domains)] }

// rate returns the token rate of a customer that sends its fraction of the rated load.
func (d Deployment) rate(p CustomerLoad, ratedLoad float64) int64 {
	tokensPerOutput := (promptLength.Mean() + outputLength.Mean()) / outputLength.Mean()
	return int64(ratedLoad * d.Capacity() * p.Fraction * tokensPerOutput)
}

// Key returns the API key of a customer in the lab.
func Key(customer string) string { return "lab-key-" + customer }

// Catalogue returns the configuration of a cell.
func (d Deployment) Catalogue(c Cell) catalogue.Catalogue {
	class := d.Class
	booking, lookup := d.Booking, d.Lookup
	booking.Owner, booking.Pool = d.Owner, d.ServicePool
	lookup.Owner, lookup.Pool = d.Owner, d.ServicePool
	link := int64(linkRate * c.Scenario.linkFactor())
	return catalogue.Catalogue{
		Owner:     d.Owner,
		Customers: d.customers(c.Scenario),
		Models: []catalogue.Model{{
			Name: d.ModelPool, Owner: d.Owner, Class: class.Name, BytesPerToken: bytesPerToken, KVBytesPerToken: kvBytesPerToken,
			MaxPromptTokens: maxPromptTokens + 100, MaxOutputTokens: maxOutputTokens, DefaultOutputTokens: 300,
		}},
		Classes: []catalogue.Class{class},
		Pools: []catalogue.Pool{
			{Name: d.ModelPool + "-prefill", Owner: d.Owner, Role: catalogue.RolePrefill, Model: d.ModelPool,
				PrefillRate: prefillRate, ChecksFencing: true},
			{Name: d.ModelPool + "-decode", Owner: d.Owner, Role: catalogue.RoleDecode, Model: d.ModelPool,
				Slots: slots, Blocks: blocks, BlockTokens: blockTokens, LinkRate: link, ChecksFencing: true},
			{Name: d.ServicePool, Owner: d.Owner, Role: catalogue.RoleService},
		},
		Routes: []catalogue.Route{booking, lookup},
		Policy: catalogue.Policy{Scheduling: c.Policy},
	}
}

func (d Deployment) customers(s Scenario) []catalogue.Customer {
	var list []catalogue.Customer
	for _, p := range d.Customers {
		rate := d.rate(p, s.RatedLoad)
		digest := sha256.Sum256([]byte(Key(p.Customer)))
		list = append(list, catalogue.Customer{
			Name: p.Customer, Owner: d.Owner, Weight: int64(100 * p.Fraction),
			RateTokens: rate, BurstTokens: max(burstSeconds*rate, minBurst),
			Keys: []catalogue.Key{{Name: "lab", SHA256: hex.EncodeToString(digest[:])}},
		})
	}
	return list
}

func (s Scenario) linkFactor() float64 {
	if s.LinkFactor == 0 {
		return 1
	}
	return s.LinkFactor
}

// Traffic returns the load scenario of a cell.
func (d Deployment) Traffic(c Cell) load.Scenario {
	s := load.Scenario{
		Name: c.Scenario.Name, Seed: c.Seed, Policy: string(c.Policy),
		DurationMS: c.Scenario.DurationMS, WarmupMS: c.Scenario.WarmupMS,
		CapacityTokens: d.Capacity(), LoadFraction: c.Scenario.Load,
	}
	for _, p := range d.Customers {
		multiple := c.Scenario.Load / c.Scenario.RatedLoad
		if n := c.Scenario.Noisy; n != nil && n.Customer == p.Customer {
			multiple = n.Multiple
		}
		calls := d.CallsPerSecond * p.Fraction
		s.Mixes = append(s.Mixes, load.Mix{
			Customer: p.Customer, Key: Key(p.Customer), Model: d.ModelPool, RateMultiple: multiple,
			Prompt: promptLength, Output: outputLength, Prefixes: 4, PrefixPortion: 0.5,
			Services: []load.ServiceCall{
				{Method: "POST", Path: d.Booking.PathPrefix, PerSecond: calls, ExecuteOnce: true, RepeatPortion: 0.1},
				{Method: "GET", Path: d.Lookup.PathPrefix + "/17", PerSecond: calls},
			},
		})
	}
	return s
}
