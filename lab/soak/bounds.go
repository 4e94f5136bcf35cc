// Package soak runs router processes against stand-ins of the platform, injects faults, and checks from what callers and
// servers observed that the system kept its guarantees. A run is determined by its seed except for the timing of the machine.
// The package also measures, with the same processes, what one instance costs.
package soak

import "time"

// Bounds are the delays and amounts within which the guarantees must hold.
type Bounds struct {
	// Stable is how long an instance must have been free of faults before time-bound guarantees are checked on it.
	Stable time.Duration
	// ApplyDelay is how long after its acknowledgement a configuration must be in force.
	ApplyDelay time.Duration
	// Rollback is how long an older version may still be visible after a newer one has taken effect.
	Rollback time.Duration
	// Drain is how long a server may still receive requests after it has announced that it is leaving.
	Drain time.Duration
	// Evacuate is how long a server may still receive requests after the evacuation of its domain has begun.
	Evacuate time.Duration
	// LimitSettle is how long after its first announcement a server's request limit is binding, LimitNotice how long an instance
	// may take to apply what a server has announced to it. In each LimitWindow a server receives at most what the limit allows,
	// times LimitTolerance, plus LimitSlack requests.
	LimitSettle, LimitNotice, LimitWindow time.Duration
	LimitTolerance, LimitSlack            float64
	// LearningCrashes is the number of crashes after which, and LearningTime the time after them in which, the instances must know
	// the part of prompts that causes them. After that, at most PoisonRequests requests with it reach servers, and from
	// SoundTime after the crashes on, streams without it begin at least SoundShare times as often as before.
	LearningCrashes, PoisonRequests int
	LearningTime, SoundTime         time.Duration
	SoundShare                      float64
	// DeadlyCrashes is the number of crashes after which the same holds for a single request that crashes servers.
	DeadlyCrashes int
	// CancelDelay is how long servers may keep working on a request after its caller has disconnected.
	CancelDelay time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// Recovery is how long after the last fault all instances must serve again.
	Recovery time.Duration
	// QuotaWindow, QuotaExcess and QuotaSlack bound what a customer gets. In each window: its rate and burst, times one plus
	// the excess, plus the slack in tokens.
	QuotaWindow time.Duration
	QuotaExcess float64
	QuotaSlack  float64
}

// DefaultBounds returns the bounds of the users' two deployments of 7 and 8 instances.
func DefaultBounds() Bounds {
	return Bounds{
		Stable: 3 * time.Second, ApplyDelay: 2 * time.Second, Rollback: 250 * time.Millisecond, Drain: 2 * time.Second, Evacuate: 2 * time.Second,
		LimitSettle: 3 * time.Second, LimitNotice: 500 * time.Millisecond, LimitWindow: 4 * time.Second, LimitTolerance: 1.5, LimitSlack: 5,
		LearningCrashes: 5, PoisonRequests: 3, LearningTime: 3 * time.Second, SoundTime: 6 * time.Second, SoundShare: 0.5, DeadlyCrashes: 3,
		CancelDelay: 500 * time.Millisecond, Grace: 8 * time.Second, Recovery: 12 * time.Second,
		QuotaWindow: 8 * time.Second, QuotaExcess: 0.1, QuotaSlack: 120_000,
	}
}
