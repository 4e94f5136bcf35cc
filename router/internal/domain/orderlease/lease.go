// Package orderlease implements the rules of order leases: when the holder may send orders, when another instance may take over,
// and how long the new holder waits for endpoints that do not check fencing tokens. Times are on the boot-time clock.
package orderlease

import (
	"time"

	"tanagerwood.dev/api/peer"
)

const (
	// LeaseDuration is how long a lease is valid, from the start of the write that acquired or renewed it.
	LeaseDuration = 15 * time.Second
	// SendTimeout bounds one order, from its first byte to its answer.
	SendTimeout = 5 * time.Second
	// clockDriftPercent and clockDriftMargin cover clocks of instances that run at different rates.
	clockDriftPercent = 1
	clockDriftMargin  = 10 * time.Millisecond
)

// Record is an order lease as stored on the platform. It is never deleted, so that fencing tokens only increase.
type Record struct {
	Holder       peer.MemberID `json:"holder"`
	FencingToken uint64        `json:"fencing"`
	// DurationMS is the duration of the lease in milliseconds.
	DurationMS int64 `json:"lengthMs"`
	// Renewal counts renewals, so that each renewal writes a distinct record.
	Renewal uint64 `json:"renewal"`
	// Released is set if the holder has released the lease with no order in flight.
	Released bool `json:"released,omitempty"`
}

// Duration returns the duration of the lease.
func (r Record) Duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// Successor returns the record of a new holder.
func (r Record) Successor(holder peer.MemberID) Record {
	return Record{Holder: holder, FencingToken: r.FencingToken + 1, DurationMS: LeaseDuration.Milliseconds()}
}

// Renewed returns the record of a renewal by the same holder.
func (r Record) Renewed() Record {
	r.Renewal++
	return r
}

// Lease is a lease that this instance holds.
type Lease struct {
	Record  Record
	Version uint64
	// WriteStart is when the write that acquired or renewed the lease started.
	WriteStart time.Duration
	// NotBefore is the earliest time at which an order may be sent.
	NotBefore time.Duration
}

// MaySend reports whether an order may be started at now; the lease must outlast the order.
func (l Lease) MaySend(now time.Duration) bool {
	return now >= l.NotBefore && l.WriteStart+l.Record.Duration()-now > SendTimeout
}

// NeedsRenewal reports whether the lease must be renewed at now, also by a holder that is still waiting for NotBefore.
func (l Lease) NeedsRenewal(now time.Duration) bool {
	left := l.WriteStart + l.Record.Duration() - now
	return left <= SendTimeout
}

// MayRelease reports whether the lease may be released at now. It may not be released before NotBefore, because the next holder
// could send at once, while an order of the previous holder may still be in flight.
func (l Lease) MayRelease(now time.Duration) bool { return now >= l.NotBefore }

// TakeoverDelay returns how long a new holder waits before its first order. The previous holder's orders end with its lease. An
// endpoint that does not check fencing tokens could still accept a delayed order, so the wait is another lease duration plus one
// send timeout.
func TakeoverDelay(old Record, checksFencing bool) time.Duration {
	if checksFencing || old.Released || old.FencingToken == 0 {
		return 0
	}
	return withDrift(old.Duration()) + SendTimeout
}

// ExpiryWatch detects the expiry of another holder's lease without comparing clocks. The lease started before its version could
// be read, so it has expired once the version has not changed for the duration of the lease.
type ExpiryWatch struct {
	version uint64
	since   time.Duration
}

// Expired records that the version was read at now, and reports whether the lease has expired.
func (w *ExpiryWatch) Expired(version uint64, now, duration time.Duration) bool {
	if w.version != version {
		w.version, w.since = version, now
	}
	return now-w.since > withDrift(duration)
}

func withDrift(d time.Duration) time.Duration { return d + d*clockDriftPercent/100 + clockDriftMargin }
