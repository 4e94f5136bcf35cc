// Package priority determines the order in which requests of different priority are admitted. A request has the priority of its
// customer if the configuration gives one, and that of its route otherwise. Priorities are in force for a service only where its
// requests differ in priority; the requests of any other service are all of the default class.
package priority

import (
	"cmp"
	"hash/fnv"
	"time"

	"tanagerwood.dev/api/routing"
)

const (
	// mostUrgent and leastUrgent are the bounds of valid priorities.
	mostUrgent  = 0
	leastUrgent = 9
	// reservedOneIn says that one in three of the less urgent requests is queued like the most urgent ones, and is served as often as
	// these. Each class is therefore served at least a third as often as the most urgent one, whatever the load.
	reservedOneIn = 3
	// allowanceFraction is the fraction of the burst that a customer within its rate has left. It is less than the half with which
	// the bucket of a new instance may begin, so that a restart does not make customers count as beyond their rate.
	allowanceFraction = 0.3
)

// Class is the class in which a request is admitted. The zero value is the class of requests of the default priority, and also of
// requests reported by instances that do not send a class.
type Class struct {
	// Offset is the priority relative to the default one; negative if more urgent.
	Offset int `json:"p,omitempty"`
	// BeyondRate is set if the customer is using up its burst. Such requests come after the others of the same priority.
	BeyondRate bool `json:"b,omitempty"`
}

// NewClass returns the class of a priority, which is limited to the valid range.
func NewClass(priority int, beyondRate bool) Class {
	return Class{Offset: clampPriority(priority) - routing.DefaultPriority, BeyondRate: beyondRate}
}

// Priority returns the priority of the class, from 0 to 9.
func (c Class) Priority() int { return clampPriority(c.Offset + routing.DefaultPriority) }

// Valid returns the class with its priority limited to the valid range.
func (c Class) Valid() Class { return NewClass(c.Priority(), c.BeyondRate) }

// Compare returns a negative number if requests of class a are admitted before those of class b.
func Compare(a, b Class) int {
	if byPriority := cmp.Compare(a.Offset, b.Offset); byPriority != 0 || a.BeyondRate == b.BeyondRate {
		return byPriority
	}
	if a.BeyondRate {
		return 1
	}
	return -1
}

func clampPriority(priority int) int { return min(max(priority, mostUrgent), leastUrgent) }

// Effective returns the priority of a request. The customer is nil for requests without one.
func Effective(route *routing.Route, customer *routing.Customer) int {
	if customer != nil && customer.Priority != nil {
		return clampPriority(*customer.Priority)
	}
	return clampPriority(route.Priority)
}

// Service describes the priorities of the requests of one service.
type Service struct {
	// Differ is set if the configuration has requests of different priorities. Nothing else is meaningful otherwise.
	Differ bool
	// MostUrgent is the priority of the most urgent requests, Objective the shortest objective of their routes; zero if they have none.
	MostUrgent int
	Objective  time.Duration
}

// Class returns the class of a request for the service.
func (s Service) Class(priority int, beyondRate bool) Class {
	if !s.Differ {
		return Class{}
	}
	return NewClass(priority, beyondRate)
}

// Services returns the priorities of the services of a configuration that have any route.
func Services(c *routing.Config) map[string]Service {
	customers := customerPriorities(c)
	ranges := map[string]*priorityRange{}
	for i := range c.Routes {
		for _, target := range c.Routes[i].Targets {
			if ranges[target.Service] == nil {
				ranges[target.Service] = &priorityRange{min: leastUrgent, max: mostUrgent}
			}
			ranges[target.Service].addRoute(&c.Routes[i], customers)
		}
	}
	services := make(map[string]Service, len(ranges))
	for name, r := range ranges {
		services[name] = Service{Differ: r.min < r.max, MostUrgent: r.min, Objective: r.objective}
	}
	return services
}

// customerRange describes the priorities that the customers of a configuration have.
type customerRange struct {
	priorities map[int]bool
	// someWithout is set if there are requests that have the priority of their route: of customers without one, or without a customer.
	someWithout bool
}

func customerPriorities(c *routing.Config) customerRange {
	r := customerRange{priorities: map[int]bool{}, someWithout: len(c.Customers) == 0}
	for i := range c.Customers {
		if c.Customers[i].Priority == nil {
			r.someWithout = true
			continue
		}
		r.priorities[clampPriority(*c.Customers[i].Priority)] = true
	}
	return r
}

// priorityRange is the range of the priorities of a service.
type priorityRange struct {
	min, max  int
	objective time.Duration
}

func (r *priorityRange) addRoute(route *routing.Route, customers customerRange) {
	if customers.someWithout || route.Public {
		r.add(clampPriority(route.Priority), route.Objective)
	}
	for p := range customers.priorities {
		r.add(p, route.Objective)
	}
}

func (r *priorityRange) add(priority int, objective time.Duration) {
	if priority < r.min || priority == r.min && (r.objective == 0 || objective > 0 && objective < r.objective) {
		r.objective = objective
	}
	r.min, r.max = min(r.min, priority), max(r.max, priority)
}

// InReservedShare reports whether a request belongs to the share of the less urgent requests that is queued like the most urgent
// ones. It depends on the request's ID, which differs between the attempts of a caller.
func InReservedShare(requestID string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID))
	return mix(h.Sum32())%reservedOneIn == 0
}

// mix spreads the low bits of hashes of similar IDs.
func mix(h uint32) uint32 {
	h ^= h >> 16
	h *= 0x85ebca6b
	return h ^ h>>13
}

// Allowance returns what a customer that is within its rate has left of its burst.
func Allowance(customer *routing.Customer) int64 { return int64(allowanceFraction * customer.Burst) }
