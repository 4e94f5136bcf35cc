// Package routetable indexes a configuration for the request path: routes by host and path, customers by key and by name, and
// services by name.
package routetable

import (
	"net"
	"sort"
	"strings"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/priority"
)

// Table is an immutable index of one configuration.
type Table struct {
	Config *routing.Config

	routesByHost    map[string][]*routing.Route
	customersByKey  map[string]*routing.Customer
	customersByName map[string]*routing.Customer
	servicesByName  map[string]*routing.Service
	serviceList     []*routing.Service
	priorities      map[string]priority.Service
}

// New indexes a configuration, which must not be modified afterwards.
func New(c *routing.Config) *Table {
	t := &Table{
		Config:          c,
		routesByHost:    make(map[string][]*routing.Route),
		customersByKey:  make(map[string]*routing.Customer),
		customersByName: make(map[string]*routing.Customer, len(c.Customers)),
		servicesByName:  make(map[string]*routing.Service, len(c.Services)),
		priorities:      priority.Services(c),
	}
	for i := range c.Routes {
		host := strings.ToLower(c.Routes[i].Host)
		t.routesByHost[host] = append(t.routesByHost[host], &c.Routes[i])
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].PathPrefix) > len(routes[j].PathPrefix) })
	}
	for i := range c.Customers {
		t.customersByName[c.Customers[i].Name] = &c.Customers[i]
		for _, key := range c.Customers[i].Keys {
			t.customersByKey[key] = &c.Customers[i]
		}
	}
	for i := range c.Services {
		t.servicesByName[c.Services[i].Name] = &c.Services[i]
		t.serviceList = append(t.serviceList, &c.Services[i])
	}
	return t
}

// Route returns the route of the host whose path prefix is the longest match, or nil.
func (t *Table) Route(host, path string) *routing.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// CustomerByKey returns the customer that owns the API key, or nil.
func (t *Table) CustomerByKey(key string) *routing.Customer { return t.customersByKey[key] }

// CustomerByName returns the customer with the name, or nil.
func (t *Table) CustomerByName(name string) *routing.Customer { return t.customersByName[name] }

// Services returns all services in the order of the configuration.
func (t *Table) Services() []*routing.Service { return t.serviceList }

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *routing.Service { return t.servicesByName[name] }

// Priorities describes the priorities of the requests of the service.
func (t *Table) Priorities(service string) priority.Service { return t.priorities[service] }

// PickTarget selects the service of one of a route's targets in proportion to their weights, by a random point in [0, 1). It
// returns "" if no target has a weight.
func PickTarget(r *routing.Route, point float64) string {
	total := 0
	for _, target := range r.Targets {
		total += max(0, target.Weight)
	}
	remaining := point * float64(total)
	for _, target := range r.Targets {
		remaining -= float64(max(0, target.Weight))
		if remaining < 0 {
			return target.Service
		}
	}
	return ""
}
