// Package soak runs router processes against stand-ins of the platform while faults happen, and checks from what callers
// and servers saw that the system kept its promises. A run is a function of its seed but for the timing of the machine. With the
// same processes it measures what one instance costs.
package soak

import "time"

// Bounds are the times and amounts within which the promises hold.
type Bounds struct {
	// Stable is how long an instance has to be without a fault before promises that have a time are checked on it.
	Stable time.Duration
	// ApplyDelay is how long after its acknowledgement a configuration has to be in force.
	ApplyDelay time.Duration
	// Rollback is how long after the effect of a version an older one may still be seen.
	Rollback time.Duration
	// Drain is how long after it says that it is leaving a server may get requests.
	Drain time.Duration
	// CancelDelay is how long servers may work for a caller that has left.
	CancelDelay time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// Recovery is how long after the last fault all instances have to serve again.
	Recovery time.Duration
	// QuotaWindow, QuotaExcess and QuotaSlack bound what a customer gets: in each window its rate and burst times one plus
	// the excess, and the slack in tokens.
	QuotaWindow time.Duration
	QuotaExcess float64
	QuotaSlack  float64
}

// DefaultBounds are those of the users' two deployments of 7 and 8 instances.
func DefaultBounds() Bounds {
	return Bounds{
		Stable: 3 * time.Second, ApplyDelay: 2 * time.Second, Rollback: 250 * time.Millisecond, Drain: 2 * time.Second,
		CancelDelay: 500 * time.Millisecond, Grace: 8 * time.Second, Recovery: 12 * time.Second,
		QuotaWindow: 8 * time.Second, QuotaExcess: 0.1, QuotaSlack: 120_000,
	}
}
