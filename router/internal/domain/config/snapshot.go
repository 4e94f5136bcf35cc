// Package config holds the active configuration as an immutable, indexed snapshot of one catalogue revision.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"

	"tanagerwood.dev/api/catalogue"
)

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// Customer is a customer with an index of its models.
type Customer struct {
	catalogue.Customer
	models map[string]bool
}

// MayUse reports whether the customer is allowed to use the model.
func (c *Customer) MayUse(model string) bool {
	return len(c.models) == 0 || c.models[model]
}

// Snapshot is an indexed catalogue revision. It is immutable.
type Snapshot struct {
	Revision  uint64
	Catalogue catalogue.Catalogue

	customersByName map[string]*Customer
	customersByKey  map[KeyDigest]*Customer
	models          map[string]*catalogue.Model
	classes         map[string]*catalogue.Class
	pools           map[string]*catalogue.Pool
	routes          []catalogue.Route
}

// New indexes a catalogue that has passed validation.
func New(revision uint64, c catalogue.Catalogue) *Snapshot {
	s := &Snapshot{
		Revision:        revision,
		Catalogue:       c,
		customersByName: make(map[string]*Customer, len(c.Customers)),
		customersByKey:  make(map[KeyDigest]*Customer),
		models:          make(map[string]*catalogue.Model, len(c.Models)),
		classes:         make(map[string]*catalogue.Class, len(c.Classes)),
		pools:           make(map[string]*catalogue.Pool, len(c.Pools)),
	}
	for _, customer := range c.Customers {
		s.addCustomer(customer)
	}
	for i := range c.Models {
		s.models[c.Models[i].Name] = &c.Models[i]
	}
	for i := range c.Classes {
		s.classes[c.Classes[i].Name] = &c.Classes[i]
	}
	for i := range c.Pools {
		s.pools[c.Pools[i].Name] = &c.Pools[i]
	}
	s.routes = append(s.routes, c.Routes...)
	sort.SliceStable(s.routes, func(i, j int) bool { return len(s.routes[i].PathPrefix) > len(s.routes[j].PathPrefix) })
	return s
}

func (s *Snapshot) addCustomer(customer catalogue.Customer) {
	indexed := &Customer{Customer: customer, models: make(map[string]bool, len(customer.Models))}
	for _, m := range customer.Models {
		indexed.models[m] = true
	}
	s.customersByName[customer.Name] = indexed
	for _, k := range customer.Keys {
		raw, err := hex.DecodeString(k.SHA256)
		if err == nil && len(raw) == sha256.Size {
			s.customersByKey[KeyDigest(raw)] = indexed
		}
	}
}

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// CustomerByKey returns the customer that owns the API key with the digest. The map lookup uses the digest, so that its timing
// reveals nothing about the key; the stored digest is still compared in constant time.
func (s *Snapshot) CustomerByKey(d KeyDigest) (*Customer, bool) {
	c, ok := s.customersByKey[d]
	if !ok {
		return nil, false
	}
	for _, k := range c.Keys {
		raw, err := hex.DecodeString(k.SHA256)
		if err == nil && subtle.ConstantTimeCompare(raw, d[:]) == 1 {
			return c, true
		}
	}
	return nil, false
}

// Customer returns the customer with the name.
func (s *Snapshot) Customer(name string) (*Customer, bool) {
	c, ok := s.customersByName[name]
	return c, ok
}

// Model returns the model with the name.
func (s *Snapshot) Model(name string) (*catalogue.Model, bool) {
	m, ok := s.models[name]
	return m, ok
}

// Class returns the request class with the name.
func (s *Snapshot) Class(name string) (*catalogue.Class, bool) {
	c, ok := s.classes[name]
	return c, ok
}

// Pool returns the pool with the name.
func (s *Snapshot) Pool(name string) (*catalogue.Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Route returns the route with the longest prefix that matches whole segments of the path.
func (s *Snapshot) Route(path string) (*catalogue.Route, bool) {
	for i := range s.routes {
		prefix := strings.TrimSuffix(s.routes[i].PathPrefix, "/")
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return &s.routes[i], true
		}
	}
	return nil, false
}
