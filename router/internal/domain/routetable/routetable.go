// Package routetable indexes a configuration for the request path: routes by host and path, customers by key, services by
// name. A table is immutable.
package routetable

import (
	"net"
	"sort"
	"strings"

	"tanagerwood.dev/api/routing"
)

// Table is an index of one configuration.
type Table struct {
	Config *routing.Config

	hosts     map[string][]*routing.Route
	customers map[string]*routing.Customer
	named     map[string]*routing.Customer
	services  map[string]*routing.Service
	listed    []*routing.Service
}

// New indexes a configuration, which must not change afterwards.
func New(c *routing.Config) *Table {
	t := &Table{
		Config:    c,
		hosts:     make(map[string][]*routing.Route),
		customers: make(map[string]*routing.Customer),
		named:     make(map[string]*routing.Customer, len(c.Customers)),
		services:  make(map[string]*routing.Service, len(c.Services)),
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &c.Routes[i])
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Customers {
		t.named[c.Customers[i].Name] = &c.Customers[i]
		for _, key := range c.Customers[i].Keys {
			t.customers[key] = &c.Customers[i]
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
		t.listed = append(t.listed, &c.Services[i])
	}
	return t
}

// Route returns the route of the host with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *routing.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// CustomerByKey returns the customer that holds the key, or nil.
func (t *Table) CustomerByKey(key string) *routing.Customer { return t.customers[key] }

// CustomerByName returns the customer of the name, or nil.
func (t *Table) CustomerByName(name string) *routing.Customer { return t.named[name] }

// Services lists all services in the order of the configuration.
func (t *Table) Services() []*routing.Service { return t.listed }

// Service returns the service of the name, or nil.
func (t *Table) Service(name string) *routing.Service { return t.services[name] }

// PickTarget chooses one of a route's targets in proportion to the weights; point is in [0, 1). It returns "" if there is none.
func PickTarget(r *routing.Route, point float64) string {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	rest := point * float64(total)
	for _, target := range r.Targets {
		rest -= float64(max(0, target.Weight))
		if rest < 0 {
			return target.Service
		}
	}
	return ""
}
