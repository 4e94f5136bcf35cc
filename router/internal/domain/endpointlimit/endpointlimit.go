// Package endpointlimit keeps the request limits that endpoints announce, and those of cold endpoints. A limit applies to the requests of
// all instances together, so each limited endpoint has a quota in the shared limiter, which counts what this instance admits at once and
// what the others admit as soon as they report it.
package endpointlimit

import (
	"math"
	"strconv"
	"strings"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/availability"
	"tanagerwood.dev/router/internal/domain/coldstart"
	"tanagerwood.dev/router/internal/domain/sharedlimit"
)

const (
	// minRate is the rate, in requests per second, at which an endpoint gets requests even if it accepts fewer. Responses to them
	// show when its limit rises or ends.
	minRate = 0.25
	// burstTime is the time whose requests, and one more, may be sent at once.
	burstTime = 500 * time.Millisecond
	// coldBurstTime is burstTime for cold endpoints, which crash at half more than their limit. The rest is left for requests that
	// instances send before they hear of each other's.
	coldBurstTime = 200 * time.Millisecond
	// keyPrefix distinguishes the quotas of endpoints from those of customers, whose names are sent in HTTP headers and therefore
	// contain no NUL byte.
	keyPrefix = "\x00"
)

// Deps holds the dependencies of a Limiter.
type Deps struct {
	// Notices holds the limits that endpoints have announced.
	Notices *availability.Tracker
	// Cold holds the cold endpoints; nil if none is limited.
	Cold   *coldstart.Tracker
	Quotas *sharedlimit.Limiter
	// OnAdmit is called when a request to a limited endpoint was admitted, which the other instances must learn at once. It must not
	// block: callers may hold locks.
	OnAdmit   func()
	SinceBoot func() time.Duration
}

// Limiter admits requests to endpoints. It is safe for concurrent use.
type Limiter struct{ Deps }

// New returns a Limiter.
func New(d Deps) *Limiter { return &Limiter{Deps: d} }

// quotaKey returns the key of the quota of an incarnation of an endpoint.
func quotaKey(ep routing.Endpoint) string {
	return keyPrefix + strconv.FormatInt(ep.StartedMS, 10) + " " + ep.ID
}

// FindQuota returns the quota of the given key, or nil if the key is not that of an endpoint that has announced a limit.
func FindQuota(notices *availability.Tracker, key string) *sharedlimit.Quota {
	return FindQuotaAt(notices, nil, key, 0)
}

// FindQuotaAt returns the quota of the given key, or nil if the key is not that of an endpoint that has announced a limit or is cold.
func FindQuotaAt(notices *availability.Tracker, cold *coldstart.Tracker, key string, now time.Duration) *sharedlimit.Quota {
	rest, isEndpoint := strings.CutPrefix(key, keyPrefix)
	start, id, complete := strings.Cut(rest, " ")
	startMS, err := strconv.ParseInt(start, 10, 64)
	if !isEndpoint || !complete || err != nil {
		return nil
	}
	return newQuota(notices, cold, routing.Endpoint{ID: id, StartedMS: startMS}, now)
}

// newQuota returns the quota of an endpoint, or nil if it has no limit. The lower of two limits holds.
func newQuota(notices *availability.Tracker, cold *coldstart.Tracker, ep routing.Endpoint, now time.Duration) *sharedlimit.Quota {
	perSecond, limited := notices.LimitOf(ep)
	burst := burstTime
	if cold != nil {
		if coldLimit, isCold := cold.Limit(ep, now); isCold && (!limited || coldLimit < perSecond) {
			perSecond, limited, burst = coldLimit, true, coldBurstTime
		}
	}
	if !limited {
		return nil
	}
	rate := max(minRate, perSecond)
	return &sharedlimit.Quota{Key: quotaKey(ep), RatePerSecond: rate, Burst: 1 + rate*burst.Seconds()}
}

// quota returns the quota of an endpoint, or nil if it has no limit.
func (l *Limiter) quota(ep routing.Endpoint) *sharedlimit.Quota {
	return newQuota(l.Notices, l.Cold, ep, l.SinceBoot())
}

// Limited reports whether an endpoint has a limit.
func (l *Limiter) Limited(ep routing.Endpoint) bool {
	return l.quota(ep) != nil
}

// Admit reports whether a request may be sent to an endpoint now, and counts it if so.
func (l *Limiter) Admit(ep routing.Endpoint) bool {
	q := l.quota(ep)
	if q == nil {
		return true
	}
	admitted, _ := l.Quotas.Take(q, 1, l.SinceBoot())
	if admitted {
		l.OnAdmit()
	}
	return admitted
}

// Charge counts a request that is sent to an endpoint in any case, such as one that frees memory there.
func (l *Limiter) Charge(ep routing.Endpoint) {
	if q := l.quota(ep); q != nil {
		l.Quotas.Charge(q, 1, l.SinceBoot())
		l.OnAdmit()
	}
}

// Delay returns the time until a request may be sent to an endpoint; zero if it may be sent now.
func (l *Limiter) Delay(ep routing.Endpoint) time.Duration {
	q := l.quota(ep)
	if q == nil {
		return 0
	}
	return l.Quotas.Delay(q, 1, l.SinceBoot())
}

// QueueDelay returns the time until one of the endpoints may be sent a request that is behind the given number of others; zero if
// one of them has no limit.
func (l *Limiter) QueueDelay(endpoints []routing.Endpoint, ahead int) time.Duration {
	first, rate := time.Duration(math.MaxInt64), 0.0
	for _, ep := range endpoints {
		q := l.quota(ep)
		if q == nil {
			return 0
		}
		rate += q.RatePerSecond
		first = min(first, l.Quotas.Delay(q, 1, l.SinceBoot()))
	}
	if rate == 0 || first == 0 && ahead == 0 {
		return 0
	}
	return first + time.Duration(float64(ahead)/rate*float64(time.Second))
}

// Prune drops the quotas of endpoints whose limits are forgotten.
func (l *Limiter) Prune() {
	l.Quotas.RetainKeys(func(key string) bool {
		return !strings.HasPrefix(key, keyPrefix) || FindQuotaAt(l.Notices, l.Cold, key, l.SinceBoot()) != nil
	})
}
